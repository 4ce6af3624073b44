package fbsched

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/filbertford/filbertford"
)

// TestForeignEndIsLeftForNextOwner: an owner that reads the end of a stored job's
// run that nobody claims lets the target keep it until the end is recorded: if the
// pool moves on before, as after a start of all daemons, the next owner must find it.
func TestForeignEndIsLeftForNextOwner(t *testing.T) {
	now := time.Minute
	p := NewPool(poolName, 1, 1_000_000, now)
	boot := filbertford.NewBoot("t00", 1)
	rec := filbertford.NewTargetRecord(boot, "ordering", "t00:80", "nordnes", filbertford.NewDemand(4000, 1000, 0), "a", "r1")
	p.SetTargets(now, []filbertford.TargetRecord{rec})
	end := filbertford.NewRunEnd(1, filbertford.NewTaskKey("00000000000000aa", 0, 0, 0), 7, filbertford.EndDone)
	seen := func() uint64 {
		var most uint64
		for _, a := range p.TakeActions(now) {
			if l, ok := a.(LookCall); ok {
				most = max(most, l.Order.Seen())
				r := filbertford.NewCallReply(filbertford.CallDone, 1000).WithLists(nil, []filbertford.RunEnd{end})
				p.LookReply(now, l.Order, r, now, now)
			}
		}
		return most
	}
	for elapsed := time.Duration(0); elapsed < 10*time.Second; elapsed += 20 * time.Millisecond {
		if n := seen(); n != 0 {
			t.Fatalf("ends up to %d are acknowledged after %v", n, elapsed)
		}
		now += 20 * time.Millisecond
		p.Tick(now, 1_000_000)
	}
	p.Confirm(now, NewConfirm(poolName, end.Task(), true, 0))
	now += 20 * time.Millisecond
	p.Tick(now, 1_000_000)
	if acknowledged := seen(); acknowledged != 1 {
		t.Errorf("ends up to %d are acknowledged in the end, want 1", acknowledged)
	}
}

// TestRepeatedSearch: a task that is looked for twice, while the pool has not
// listed its target yet, isn't reported as being there.
func TestRepeatedSearch(t *testing.T) {
	now := time.Minute
	p := NewPool(poolName, 1, 1_000_000, now)
	rec := filbertford.NewTargetRecord(filbertford.NewBoot("t00", 1), "ordering", "t00:80", "nordnes", filbertford.NewDemand(4000, 1000, 0), "a", "r1")
	p.SetTargets(now, []filbertford.TargetRecord{rec})
	step := filbertford.NewStep(1, filbertford.NewDemand(1000, 1, 0), 100*time.Millisecond)
	batch := NewBatch(poolName, "00000000000000aa", 0, 0, step, []Item{NewItem(0, 0)}).
		WithWork("", "ordering", 3).WithTimes(time.Second, time.Hour).WithFence(1).WithDurable(true, true).WithResume(0)
	p.Offer(now, "c", batch)
	p.Offer(now, "c", batch)
	var look filbertford.LookOrder
	for _, a := range p.TakeActions(now) {
		switch v := a.(type) {
		case SendReport:
			t.Errorf("reported as %s before the target was listed", v.Report.Verdict())
		case LookCall:
			look = v.Order
		}
	}
	p.LookReply(now, look, filbertford.NewCallReply(filbertford.CallDone, 1000), now, now)
	p.Tick(now, 1_000_000)
	var verdicts []Verdict
	for _, a := range p.TakeActions(now) {
		if v, ok := a.(SendReport); ok {
			verdicts = append(verdicts, v.Report.Verdict())
		}
	}
	if diff := cmp.Diff([]Verdict{VerdictAbsent}, verdicts); diff != "" {
		t.Errorf("verdicts (-want +got):\n%s", diff)
	}
}

// TestEndCrossesStop: the run of a stored job that nobody claims ends as done while
// the owner stops it. The task that is offered afterwards must not start again.
func TestEndCrossesStop(t *testing.T) {
	now := time.Minute
	p := NewPool(poolName, 1, 1_000_000, now)
	rec := filbertford.NewTargetRecord(filbertford.NewBoot("t00", 1), "ordering", "t00:80", "nordnes", filbertford.NewDemand(4000, 1000, 0), "a", "r1")
	p.SetTargets(now, []filbertford.TargetRecord{rec})
	key := filbertford.NewTaskKey("00000000000000aa", 0, 0, 0)
	o := filbertford.NewLookOrder(rec.Boot(), rec.Address(), 1, 0, 0, 0)
	done := filbertford.NewCallReply(filbertford.CallDone, 1000)
	p.LookReply(now, o, done.WithLists([]filbertford.RunStatus{filbertford.NewRunStatus(key, 7, 50)}, nil), now, now)
	now += 2 * adoptionTerm
	p.Tick(now, 1_000_000)
	p.LookReply(now, o, done.WithLists(nil, []filbertford.RunEnd{filbertford.NewRunEnd(1, key, 7, filbertford.EndDone)}), now, now)
	step := filbertford.NewStep(1, filbertford.NewDemand(1000, 1, 0), 100*time.Millisecond)
	batch := NewBatch(poolName, key.Job(), 0, 0, step, []Item{NewItem(0, 0)}).
		WithWork("", "ordering", 3).WithTimes(time.Second, time.Hour).WithFence(1).WithDurable(true, false).WithResume(0)
	p.Offer(now, "c", batch)
	var verdict Verdict
	for _, a := range p.TakeActions(now) {
		if r, ok := a.(SendReport); ok {
			verdict = r.Report.Verdict()
		}
	}
	if verdict != VerdictDone {
		t.Errorf("the task is reported as %q, want %q", verdict, VerdictDone)
	}
}

// TestLateAnswerToSearch: a pool answers a search twice. The second answer doesn't
// take back the offer that followed the first.
func TestLateAnswerToSearch(t *testing.T) {
	c := NewCoordinator("p")
	now := time.Minute
	c.SetOwner(now, "p", "a", 1)
	route := filbertford.NewRoute("h", "/p/", "ordering").WithPolicy(0, 3)
	w := filbertford.NewWorkload("00000000000000aa", "", filbertford.NewStep(1, filbertford.NewDemand(1000, 1, 0), 100*time.Millisecond))
	c.BeginStored(now, route, w, func(int, int) Progress { return Progress{} }, true)
	absent := NewReport("p", 1, filbertford.NewTaskKey(w.Key(), 0, 0, 0), VerdictAbsent, 0)
	offers := func() int {
		n := 0
		for _, a := range c.TakeActions() {
			if b, ok := a.(SendBatch); ok && !b.Batch.Search() {
				n++
			}
		}
		return n
	}
	c.TakeReport(now, absent)
	if n := offers(); n != 1 {
		t.Fatalf("%d offers after the first answer, want 1", n)
	}
	c.TakeReport(now, absent)
	if n := offers(); n != 0 {
		t.Errorf("%d offers after the second answer, want 0", n)
	}
}

// TestStoredTaskWaitsForItsTarget: the earlier owner was lost long ago, so none of
// its runs is at work any more. One has ended as done on a target that the new
// owner has not listed yet: the task must not start on another one meanwhile.
func TestStoredTaskWaitsForItsTarget(t *testing.T) {
	for name, target := range map[string]filbertford.TargetID{"told where it runs": "t01", "not told": ""} {
		t.Run(name, func(t *testing.T) {
			w := newFakeWorld(2, 2)
			p := NewPool(poolName, 2, 1_000_000, w.now)
			p.SetTargets(w.now, w.records())
			key := filbertford.NewTaskKey("00000000000000aa", 0, 0, 0)
			look := func(id filbertford.TargetID, ended ...filbertford.RunEnd) {
				rec := w.targets[id].rec
				o := filbertford.NewLookOrder(rec.Boot(), rec.Address(), 2, 0, 0, 0)
				p.LookReply(w.now, o, filbertford.NewCallReply(filbertford.CallDone, 1000).WithLists(nil, ended), w.now, w.now)
			}
			step := filbertford.NewStep(1, filbertford.NewDemand(1000, 1, 0), 100*time.Millisecond)
			p.Offer(w.now, "c", NewBatch(poolName, key.Job(), 0, 0, step, []Item{NewItem(0, 0).WithTarget(target)}).
				WithWork("", "ordering", 3).WithTimes(time.Second, time.Hour).WithFence(2).WithDurable(true, false).WithResume(time.Minute))
			look("t00")
			for _, a := range p.TakeActions(w.now) {
				if s, ok := a.(StartCall); ok {
					t.Fatalf("the task was started on %s before t01 was listed", s.Order.Boot().ID())
				}
			}
			look("t01", filbertford.NewRunEnd(1, key, 7, filbertford.EndDone))
			var verdict Verdict
			for _, a := range p.TakeActions(w.now) {
				if r, ok := a.(SendReport); ok {
					verdict = r.Report.Verdict()
				}
			}
			if verdict != VerdictDone {
				t.Errorf("the task is reported as %q, want %q", verdict, VerdictDone)
			}
		})
	}
}

// TestOfferOfEarlierKeeper: the offer of a keeper that was replaced comes after its
// successor was told that the task is not here. It must not start the task.
func TestOfferOfEarlierKeeper(t *testing.T) {
	w := newFakeWorld(1, 2)
	p := NewPool(poolName, 2, 1_000_000, w.now)
	p.SetTargets(w.now, w.records())
	rec := w.targets["t00"].rec
	o := filbertford.NewLookOrder(rec.Boot(), rec.Address(), 2, 0, 0, 0)
	p.LookReply(w.now, o, filbertford.NewCallReply(filbertford.CallDone, 1000), w.now, w.now)
	step := filbertford.NewStep(1, filbertford.NewDemand(1000, 1, 0), 100*time.Millisecond)
	batch := NewBatch(poolName, "00000000000000aa", 0, 0, step, []Item{NewItem(0, 0)}).
		WithWork("", "ordering", 3).WithTimes(time.Second, time.Hour).WithFence(2)
	p.Offer(w.now, "new", batch.WithDurable(true, true).WithResume(0).WithKeeper(9))
	p.TakeActions(w.now)
	starts := func() int {
		n := 0
		for _, a := range p.TakeActions(w.now) {
			if _, ok := a.(StartCall); ok {
				n++
			}
		}
		return n
	}
	p.Offer(w.now, "old", batch.WithDurable(true, false).WithKeeper(8))
	if n := starts(); n != 0 {
		t.Errorf("%d starts for the earlier keeper, want 0", n)
	}
	p.Offer(w.now, "new", batch.WithDurable(true, false).WithKeeper(9))
	if n := starts(); n != 1 {
		t.Errorf("%d starts for the keeper, want 1", n)
	}
}
