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
