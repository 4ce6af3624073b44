package fbsched

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"github.com/filbertford/filbertford"
)

// TestJobs runs jobs against targets with one fault each.
func TestJobs(t *testing.T) {
	tests := map[string]struct {
		fault  func(w *fakeWorld)
		tasks  int
		want   filbertford.AnswerKind
		within time.Duration
	}{
		"calm":            {tasks: 4, want: filbertford.AnswerCompleted, within: 150 * time.Millisecond},
		"more than fits":  {tasks: 12, want: filbertford.AnswerCompleted, within: 400 * time.Millisecond},
		"failing target":  {tasks: 6, want: filbertford.AnswerCompleted, within: 300 * time.Millisecond, fault: func(w *fakeWorld) { w.targets["t00"].failing = true }},
		"all fail":        {tasks: 2, want: filbertford.AnswerFailed, within: 2 * time.Second, fault: func(w *fakeWorld) { w.eachTarget(func(t *fakeTarget) { t.failing = true }) }},
		"hanging target":  {tasks: 6, want: filbertford.AnswerCompleted, within: 900 * time.Millisecond, fault: func(w *fakeWorld) { w.targets["t01"].hanging = true }},
		"target is down":  {tasks: 6, want: filbertford.AnswerCompleted, within: 300 * time.Millisecond, fault: func(w *fakeWorld) { w.targets["t02"].down = true }},
		"target vanishes": {tasks: 6, want: filbertford.AnswerCompleted, within: 1400 * time.Millisecond, fault: func(w *fakeWorld) { w.after(50*time.Millisecond, func() { w.targets["t02"].down = true }) }},
		"drained target":  {tasks: 6, want: filbertford.AnswerCompleted, within: 300 * time.Millisecond, fault: func(w *fakeWorld) { w.targets["t00"].draining = true }},
		"nothing answers": {tasks: 1, want: filbertford.AnswerNotRun, within: time.Second, fault: func(w *fakeWorld) { w.eachTarget(func(t *fakeTarget) { t.down = true }) }},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			w := newFakeWorld(4, 2)
			w.run(time.Millisecond)
			if tt.fault != nil {
				tt.fault(w)
			}
			o := w.own("a", 1)
			w.run(30 * time.Millisecond)
			w.tell(o)
			begun := w.now
			w.submit(1, "00000000000000aa", tt.tasks)
			w.run(10 * time.Second)
			if got := w.answers[1]; got != tt.want {
				t.Errorf("answer is %q, want %q", got, tt.want)
			}
			if took := w.answered[1] - begun; took > tt.within {
				t.Errorf("answered after %v, want at most %v", took, tt.within)
			}
			if len(w.broken) > 0 {
				t.Error(w.broken)
			}
		})
	}
}

func (w *fakeWorld) eachTarget(f func(*fakeTarget)) {
	for _, t := range w.targets {
		f(t)
	}
}

// TestTargetsLeaveDuringTick removes several targets in one tick.
func TestTargetsLeaveDuringTick(t *testing.T) {
	w := newFakeWorld(6, 2)
	o := w.own("a", 1)
	w.run(50 * time.Millisecond)
	o.pool.SetTargets(w.now, nil)
	w.run(100 * time.Millisecond)
	if n := len(o.pool.order); n != 0 {
		t.Errorf("%d targets are left", n)
	}
}

// TestTakeover moves the pool to a new owner while tasks run and wait: what runs
// goes on, what has ended counts, what waited starts.
func TestTakeover(t *testing.T) {
	w := newFakeWorld(2, 2)
	a := w.own("a", 1)
	w.run(30 * time.Millisecond)
	w.tell(a)
	w.submit(1, "00000000000000aa", 8)
	w.run(60 * time.Millisecond)
	a.dead = true
	w.tell(nil)
	w.run(20 * time.Millisecond)
	b := w.own("b", 2)
	w.tell(b)
	w.run(time.Second)
	if got := w.answers[1]; got != filbertford.AnswerCompleted {
		t.Errorf("answer is %q", got)
	}
	if w.starts != 8 {
		t.Errorf("%d runs were started for 8 tasks", w.starts)
	}
	if n := w.count(NoteAdopted); n != 4 {
		t.Errorf("%d runs were adopted, want the 4 that ran", n)
	}
}

// TestUnclaimedRunsAreStopped lets an owner take over runs whose coordinator has
// gone too.
func TestUnclaimedRunsAreStopped(t *testing.T) {
	w := newFakeWorld(2, 2)
	w.work = 5 * time.Second
	a := w.own("a", 1)
	w.run(30 * time.Millisecond)
	w.tell(a)
	w.submit(1, "00000000000000aa", 4)
	w.run(60 * time.Millisecond)
	a.dead = true
	w.own("b", 2)
	w.run(adoptionTerm + 200*time.Millisecond)
	for id, target := range w.targets {
		if n := len(target.runs); n != 0 {
			t.Errorf("%s still has %d runs", id, n)
		}
	}
}

// TestResumedTaskWaitsForUnlistedTarget: an owner that is cut off goes on with a
// target that its successor can't reach. The successor doesn't start the task
// elsewhere while the run may go on.
func TestResumedTaskWaitsForUnlistedTarget(t *testing.T) {
	tests := map[string]struct{ record, ghost bool }{
		"record there":   {record: true},
		"record gone":    {ghost: true},
		"never heard of": {},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			w := newFakeWorld(2, 1)
			w.work = 1500 * time.Millisecond
			a := w.own("a", 1)
			w.run(30 * time.Millisecond)
			w.tell(a)
			w.submit(1, "00000000000000aa", 2)
			w.run(300 * time.Millisecond)
			a.cut = true
			// The successor reaches one target only; the other obeys the first owner.
			w.tell(nil)
			records := w.records()
			b := &fakeOwner{node: "b", pool: NewPool(poolName, 2, 1_000_000, w.now)}
			hidden := w.targets["t01"]
			w.fate = func() fate { return fate{there: time.Millisecond, back: time.Millisecond} }
			w.owners = append(w.owners, b)
			if tt.ghost {
				b.pool.SetGhosts([]filbertford.TargetID{"t01"})
			}
			if !tt.record {
				records = []filbertford.TargetRecord{w.targets["t00"].rec}
			}
			delete(w.targets, "t01")
			b.pool.SetTargets(w.now, records)
			w.tick(b)
			w.tell(b)
			w.run(500 * time.Millisecond)
			if w.starts != 2 {
				t.Errorf("%d runs were started while the first two go on", w.starts)
			}
			w.targets["t01"] = hidden
			w.run(4 * time.Second)
			if len(w.broken) > 0 {
				t.Error(w.broken)
			}
		})
	}
}

// TestReportsOfEarlierOwnersAreIgnored: an owner that no longer has the pool
// returns a batch which its successor has begun.
func TestReportsOfEarlierOwnersAreIgnored(t *testing.T) {
	c := NewCoordinator("p")
	c.SetOwner(0, "p", "a", 1)
	c.SetOwner(0, "q", "z", 9)
	step := filbertford.NewStep(1, filbertford.NewDemand(1, 1, 0), time.Second)
	c.Submit(0, 1, filbertford.NewRoute("h", "/", "s"), filbertford.NewWorkload("00000000000000aa", "", step), time.Minute)
	c.SetOwner(time.Second, "p", "b", 2)
	c.TakeActions()
	key := filbertford.NewTaskKey("00000000000000aa", 0, 0, 0)
	c.TakeReport(time.Second, NewReport("p", 1, key, VerdictReturned, 0))
	for _, a := range c.TakeActions() {
		if b, ok := a.(SendBatch); ok {
			t.Errorf("the task was offered to pool %s again", b.Batch.Pool())
		}
	}
	c.TakeReport(time.Second, NewReport("p", 2, key, VerdictReturned, 0))
	var pools []filbertford.PoolID
	for _, a := range c.TakeActions() {
		if b, ok := a.(SendBatch); ok {
			pools = append(pools, b.Batch.Pool())
		}
	}
	if diff := cmp.Diff(1, len(pools)); diff != "" {
		t.Errorf("batches after the owner's own report (-want +got):\n%s", diff)
	}
}

// TestNoTaskRunsTwiceAtOnce lets owners follow each other, pause, and be cut off
// while calls are lost or carried out late.
func TestNoTaskRunsTwiceAtOnce(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		w := newFakeWorld(rapid.IntRange(1, 5).Draw(rt, "targets"), rapid.IntRange(1, 3).Draw(rt, "slots"))
		w.work = time.Duration(rapid.IntRange(20, 900).Draw(rt, "work")) * time.Millisecond
		lossy := rapid.IntRange(0, 20).Draw(rt, "lost calls in 100")
		w.fate = func() fate {
			f := fate{there: time.Duration(rapid.IntRange(1, 30).Draw(rt, "there")) * time.Millisecond, back: time.Millisecond}
			if rapid.IntRange(0, 99).Draw(rt, "luck") < lossy {
				f.lost = true
				f.late = time.Duration(rapid.SampledFrom([]int{0, 0, 3, 40, 700, 3000}).Draw(rt, "late")) * time.Millisecond
			}
			return f
		}
		owner := w.own("n0", 1)
		w.run(100 * time.Millisecond)
		w.tell(owner)
		for i := range rapid.IntRange(1, 6).Draw(rt, "jobs") {
			w.submit(uint64(i+1), filbertford.JobKey(fmt.Sprintf("%016x", i)), rapid.IntRange(1, 6).Draw(rt, "tasks"))
			w.run(time.Duration(rapid.IntRange(0, 400).Draw(rt, "pause")) * time.Millisecond)
			switch rapid.IntRange(0, 5).Draw(rt, "fault") {
			case 0: // the owner dies
				owner.dead = true
				owner = w.succeed(i)
			case 1: // it is paused, and wakes after its successor took over
				old := owner
				old.paused = true
				w.after(time.Duration(rapid.IntRange(100, 3000).Draw(rt, "sleep"))*time.Millisecond, func() { w.resume(old) })
				w.run(400 * time.Millisecond)
				owner = w.succeed(i)
			case 2: // a planned move
				owner = w.succeed(i)
			}
		}
		w.run(12 * time.Second)
		if len(w.broken) > 0 {
			rt.Fatal(w.broken)
		}
		for r := range w.answers {
			key := filbertford.JobKey(fmt.Sprintf("%016x", r-1))
			if w.answers[r] == filbertford.AnswerNotRun && w.begun[key] {
				rt.Fatalf("request %d was answered as not run, but has run", r)
			}
		}
	})
}

// succeed makes a new owner and tells the coordinator.
func (w *fakeWorld) succeed(i int) *fakeOwner {
	w.tell(nil)
	w.run(10 * time.Millisecond)
	o := w.own(filbertford.NodeID(fmt.Sprintf("n%d", i+1)), uint64(i+2))
	w.tell(o)
	return o
}

// TestResumedTaskWaitsForAllTargets: a coordinator has heard of an earlier start
// of a task only. The task was since started on a target that is not listed yet.
func TestResumedTaskWaitsForAllTargets(t *testing.T) {
	w := newFakeWorld(2, 2)
	p := NewPool(poolName, 2, 1_000_000, w.now)
	p.SetTargets(w.now, w.records())
	p.TakeActions(w.now)
	first, second := w.targets["t00"], w.targets["t01"]
	look := func(target *fakeTarget, running ...filbertford.RunStatus) {
		o := filbertford.NewLookOrder(target.rec.Boot(), target.rec.Address(), 2, 0, 0, 0)
		r := filbertford.NewCallReply(filbertford.CallDone, 1000).WithLists(running, nil)
		p.LookReply(w.now, o, r, w.now, w.now)
	}
	look(first)
	step := filbertford.NewStep(1, filbertford.NewDemand(1000, 1, 0), 100*time.Millisecond)
	batch := NewBatch(poolName, "00000000000000aa", 0, 0, step, []Item{NewItem(0, 0).WithTarget("t00")}).
		WithWork("", "ordering", 3).WithTimes(time.Second, time.Second).WithFence(2).WithResume(0)
	p.Offer(w.now, "c", batch)
	for _, a := range p.TakeActions(w.now) {
		if s, ok := a.(StartCall); ok {
			t.Fatalf("the task was started on %s before t01 was listed", s.Order.Boot().ID())
		}
	}
	look(second, filbertford.NewRunStatus(batch.key(0), 7, 50))
	if task := p.tasks[batch.key(0)]; task == nil || task.run == nil || task.run.target.id() != "t01" {
		t.Error("the run on t01 was not adopted")
	}
}

// TestEndBeforeResume: a run of an earlier owner is listed, and ends, before its
// coordinator offers the task to the new owner.
func TestEndBeforeResume(t *testing.T) {
	w := newFakeWorld(1, 2)
	a := w.own("a", 1)
	w.run(30 * time.Millisecond)
	w.tell(a)
	w.submit(1, "00000000000000aa", 1)
	w.run(80 * time.Millisecond)
	a.dead = true
	w.tell(nil)
	b := w.own("b", 2)
	w.run(100 * time.Millisecond)
	w.tell(b)
	w.run(500 * time.Millisecond)
	if got := w.answers[1]; got != filbertford.AnswerCompleted || w.starts != 1 {
		t.Errorf("answer is %q after %d starts, want completed after 1", got, w.starts)
	}
}

// TestJobWaitsForTargets submits a job before the new owner of the pool has read
// its targets: it waits instead of being refused.
func TestJobWaitsForTargets(t *testing.T) {
	w := newFakeWorld(2, 2)
	o := &fakeOwner{node: "a", pool: NewPool(poolName, 1, 1_000_000, w.now)}
	w.owners = append(w.owners, o)
	o.pool.SetTargets(w.now, w.records())
	w.tick(o)
	w.tell(o)
	w.submit(1, "00000000000000aa", 2)
	w.run(time.Second)
	if got := w.answers[1]; got != filbertford.AnswerCompleted {
		t.Errorf("answer is %q", got)
	}
}

// TestReportCrossesResume: a pool gives a task up while the coordinator offers it
// again, after a stream was made anew. Then it may yet run, and "not run" would
// not be true.
func TestReportCrossesResume(t *testing.T) {
	c := NewCoordinator("p")
	c.SetOwner(0, "p", "a", 1)
	step := filbertford.NewStep(1, filbertford.NewDemand(1, 1, 0), time.Second)
	c.Submit(0, 1, filbertford.NewRoute("h", "/", "s"), filbertford.NewWorkload("00000000000000aa", "", step), time.Minute)
	c.Resume(time.Second, "p")
	c.TakeReport(time.Second, NewReport("p", 1, filbertford.NewTaskKey("00000000000000aa", 0, 0, 0), VerdictExpired, 0))
	for _, a := range c.TakeActions() {
		if answer, ok := a.(Answer); ok && answer.Answer.Kind() == filbertford.AnswerNotRun {
			t.Errorf("answered as %q", answer.Answer.Kind())
		}
	}
}

// TestQuarantineGrowsOncePerProbe: several runs that hang at once are one reason
// to mistrust a target.
func TestQuarantineGrowsOncePerProbe(t *testing.T) {
	w := newFakeWorld(2, 4)
	w.targets["t00"].hanging = true
	o := w.own("a", 1)
	w.run(30 * time.Millisecond)
	w.tell(o)
	w.submit(1, "00000000000000aa", 6)
	w.run(600 * time.Millisecond)
	for _, n := range w.notes {
		if n.Kind == NoteQuarantine && n.Age != quarantineFirst {
			t.Errorf("quarantine of %v", n.Age)
		}
	}
}

// TestWaitsForAFastTarget: a task that would be late on a slow target waits for
// a fast one that is about to be free; one that has time takes the slow one.
func TestWaitsForAFastTarget(t *testing.T) {
	tests := map[string]struct {
		work   time.Duration
		starts int
	}{
		"late on the slow target":    {work: time.Second, starts: 1},
		"in time on the slow target": {work: 60 * time.Millisecond, starts: 2},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			w := newFakeWorld(1, 1)
			slow := w.addTarget("t99", 1)
			slow.rec = filbertford.NewTargetRecord(filbertford.NewBoot("t99", 1), "ordering", "t99:80", "nordnes", filbertford.NewDemand(1000, 1000, 0), "b", "r2")
			o := w.own("a", 1)
			o.pool.speeds.observe("a", 0.7)
			o.pool.speeds.observe("b", 1.7)
			w.run(30 * time.Millisecond)
			w.work = tt.work
			w.tell(o)
			w.submit(1, "00000000000000aa", 1)
			w.submit(2, "00000000000000bb", 1)
			w.run(10 * time.Millisecond)
			if w.starts != tt.starts {
				t.Errorf("%d tasks were started, want %d", w.starts, tt.starts)
			}
		})
	}
}

// TestIsolatedCoordinatorRefusesAtOnce: a job that comes while no pool has an
// owner waits for a take-over, but not for longer.
func TestIsolatedCoordinatorRefusesAtOnce(t *testing.T) {
	tests := map[string]struct {
		vacant time.Duration
		want   filbertford.AnswerKind
	}{
		"take-over": {vacant: 300 * time.Millisecond},
		"isolated":  {vacant: 2 * time.Second, want: filbertford.AnswerNotRun},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			w := newFakeWorld(1, 1)
			o := w.own("a", 1)
			w.tell(o)
			w.run(100 * time.Millisecond)
			o.dead = true
			w.tell(nil)
			w.run(tt.vacant)
			w.submit(1, "00000000000000aa", 1)
			if got := w.answers[1]; got != tt.want {
				t.Errorf("answer is %q, want %q", got, tt.want)
			}
		})
	}
}

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
