package fbsched

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"github.com/filbertford/filbertford"
)

// TestJobAnswerWithFaultyTargets runs jobs against targets with one fault each.
func TestJobAnswerWithFaultyTargets(t *testing.T) {
	tests := map[string]struct {
		fault  func(sim *simulation)
		tasks  int
		want   filbertford.AnswerKind
		within time.Duration
	}{
		"calm":            {tasks: 4, want: filbertford.AnswerCompleted, within: 150 * time.Millisecond},
		"more than fits":  {tasks: 12, want: filbertford.AnswerCompleted, within: 400 * time.Millisecond},
		"failing target":  {tasks: 6, want: filbertford.AnswerCompleted, within: 300 * time.Millisecond, fault: func(sim *simulation) { sim.targets["t00"].failing = true }},
		"all fail":        {tasks: 2, want: filbertford.AnswerFailed, within: 2 * time.Second, fault: func(sim *simulation) { sim.eachTarget(func(t *fakeTarget) { t.failing = true }) }},
		"hanging target":  {tasks: 6, want: filbertford.AnswerCompleted, within: 900 * time.Millisecond, fault: func(sim *simulation) { sim.targets["t01"].hanging = true }},
		"target is down":  {tasks: 6, want: filbertford.AnswerCompleted, within: 300 * time.Millisecond, fault: func(sim *simulation) { sim.targets["t02"].down = true }},
		"target vanishes": {tasks: 6, want: filbertford.AnswerCompleted, within: 1400 * time.Millisecond, fault: func(sim *simulation) { sim.after(50*time.Millisecond, func() { sim.targets["t02"].down = true }) }},
		"drained target":  {tasks: 6, want: filbertford.AnswerCompleted, within: 300 * time.Millisecond, fault: func(sim *simulation) { sim.targets["t00"].draining = true }},
		"nothing answers": {tasks: 1, want: filbertford.AnswerNotRun, within: time.Second, fault: func(sim *simulation) { sim.eachTarget(func(t *fakeTarget) { t.down = true }) }},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			sim := newSimulation(4, 2)
			sim.advance(time.Millisecond)
			if tt.fault != nil {
				tt.fault(sim)
			}
			o := sim.addOwner("a", 1)
			sim.advance(30 * time.Millisecond)
			sim.announceOwner(o)
			submitted := sim.now
			sim.submit(1, "00000000000000aa", tt.tasks)
			sim.advance(10 * time.Second)
			if got := sim.answers[1]; got != tt.want {
				t.Errorf("answer is %q, want %q", got, tt.want)
			}
			if took := sim.answeredAt[1] - submitted; took > tt.within {
				t.Errorf("answered after %v, want at most %v", took, tt.within)
			}
			if len(sim.violations) > 0 {
				t.Error(sim.violations)
			}
		})
	}
}

func (sim *simulation) eachTarget(f func(*fakeTarget)) {
	for _, t := range sim.targets {
		f(t)
	}
}

// TestPoolRemovesTargetsDuringTick removes several targets in one tick.
func TestPoolRemovesTargetsDuringTick(t *testing.T) {
	sim := newSimulation(6, 2)
	o := sim.addOwner("a", 1)
	sim.advance(50 * time.Millisecond)
	o.pool.SetTargets(sim.now, nil)
	sim.advance(100 * time.Millisecond)
	if n := len(o.pool.order); n != 0 {
		t.Errorf("%d targets are left", n)
	}
}

// TestNewOwnerAdoptsRunsAndStartsWaitingTasks moves the pool to a new owner while tasks run and wait: what runs
// goes on, what has ended counts, what waited starts.
func TestNewOwnerAdoptsRunsAndStartsWaitingTasks(t *testing.T) {
	sim := newSimulation(2, 2)
	a := sim.addOwner("a", 1)
	sim.advance(30 * time.Millisecond)
	sim.announceOwner(a)
	sim.submit(1, "00000000000000aa", 8)
	sim.advance(60 * time.Millisecond)
	a.stopped = true
	sim.announceOwner(nil)
	sim.advance(20 * time.Millisecond)
	b := sim.addOwner("b", 2)
	sim.announceOwner(b)
	sim.advance(time.Second)
	if got := sim.answers[1]; got != filbertford.AnswerCompleted {
		t.Errorf("answer is %q", got)
	}
	if sim.starts != 8 {
		t.Errorf("%d runs were started for 8 tasks", sim.starts)
	}
	if n := sim.countEvents(EventRunAdopted); n != 4 {
		t.Errorf("%d runs were adopted, want the 4 that ran", n)
	}
}

// TestPoolStopsUnclaimedRuns lets an owner take over runs whose coordinator has
// gone too.
func TestPoolStopsUnclaimedRuns(t *testing.T) {
	sim := newSimulation(2, 2)
	sim.taskDuration = 5 * time.Second
	a := sim.addOwner("a", 1)
	sim.advance(30 * time.Millisecond)
	sim.announceOwner(a)
	sim.submit(1, "00000000000000aa", 4)
	sim.advance(60 * time.Millisecond)
	a.stopped = true
	sim.addOwner("b", 2)
	sim.advance(adoptionTimeout + 200*time.Millisecond)
	for id, target := range sim.targets {
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
			sim := newSimulation(2, 1)
			sim.taskDuration = 1500 * time.Millisecond
			a := sim.addOwner("a", 1)
			sim.advance(30 * time.Millisecond)
			sim.announceOwner(a)
			sim.submit(1, "00000000000000aa", 2)
			sim.advance(300 * time.Millisecond)
			a.isolated = true
			// The successor reaches one target only; the other obeys the first owner.
			sim.announceOwner(nil)
			records := sim.records()
			b := &fakeOwner{node: "b", pool: NewPool(testPool, 2, 1_000_000, sim.now)}
			hidden := sim.targets["t01"]
			sim.delivery = func() delivery { return delivery{requestDelay: time.Millisecond, replyDelay: time.Millisecond} }
			sim.owners = append(sim.owners, b)
			if tt.ghost {
				b.pool.SetDeparted([]filbertford.TargetID{"t01"})
			}
			if !tt.record {
				records = []filbertford.TargetRecord{sim.targets["t00"].rec}
			}
			delete(sim.targets, "t01")
			b.pool.SetTargets(sim.now, records)
			sim.scheduleTick(b)
			sim.announceOwner(b)
			sim.advance(500 * time.Millisecond)
			if sim.starts != 2 {
				t.Errorf("%d runs were started while the first two go on", sim.starts)
			}
			sim.targets["t01"] = hidden
			sim.advance(4 * time.Second)
			if len(sim.violations) > 0 {
				t.Error(sim.violations)
			}
		})
	}
}

// TestCoordinatorIgnoresReportsOfEarlierOwner: an owner that no longer has the pool
// returns a batch which its successor has begun.
func TestCoordinatorIgnoresReportsOfEarlierOwner(t *testing.T) {
	c := NewCoordinator("p")
	c.SetOwner(0, "p", "a", 1)
	c.SetOwner(0, "q", "z", 9)
	step := filbertford.NewStep(1, filbertford.NewResources(1, 1, 0), time.Second)
	c.Submit(0, 1, filbertford.NewRoute("h", "/", "s"), filbertford.NewWorkload("00000000000000aa", "", step), time.Minute)
	c.SetOwner(time.Second, "p", "b", 2)
	c.TakeActions()
	key := filbertford.NewTaskKey("00000000000000aa", 0, 0, 0)
	c.HandleReport(time.Second, NewReport("p", 1, key, StatusReturned, 0))
	for _, a := range c.TakeActions() {
		if b, ok := a.(SendBatch); ok {
			t.Errorf("the task was offered to pool %s again", b.Batch.Pool())
		}
	}
	c.HandleReport(time.Second, NewReport("p", 2, key, StatusReturned, 0))
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
		sim := newSimulation(rapid.IntRange(1, 5).Draw(rt, "targets"), rapid.IntRange(1, 3).Draw(rt, "slots"))
		sim.taskDuration = time.Duration(rapid.IntRange(20, 900).Draw(rt, "work")) * time.Millisecond
		lossPercent := rapid.IntRange(0, 20).Draw(rt, "lost calls in 100")
		sim.delivery = func() delivery {
			d := delivery{requestDelay: time.Duration(rapid.IntRange(1, 30).Draw(rt, "there")) * time.Millisecond, replyDelay: time.Millisecond}
			if rapid.IntRange(0, 99).Draw(rt, "luck") < lossPercent {
				d.lost = true
				d.lateAfter = time.Duration(rapid.SampledFrom([]int{0, 0, 3, 40, 700, 3000}).Draw(rt, "late")) * time.Millisecond
			}
			return d
		}
		owner := sim.addOwner("n0", 1)
		sim.advance(100 * time.Millisecond)
		sim.announceOwner(owner)
		for i := range rapid.IntRange(1, 6).Draw(rt, "jobs") {
			sim.submit(uint64(i+1), filbertford.JobKey(fmt.Sprintf("%016x", i)), rapid.IntRange(1, 6).Draw(rt, "tasks"))
			sim.advance(time.Duration(rapid.IntRange(0, 400).Draw(rt, "pause")) * time.Millisecond)
			switch rapid.IntRange(0, 5).Draw(rt, "fault") {
			case 0: // the owner dies
				owner.stopped = true
				owner = sim.replaceOwner(i)
			case 1: // it is paused, and wakes after its successor took over
				old := owner
				old.paused = true
				sim.after(time.Duration(rapid.IntRange(100, 3000).Draw(rt, "sleep"))*time.Millisecond, func() { sim.resume(old) })
				sim.advance(400 * time.Millisecond)
				owner = sim.replaceOwner(i)
			case 2: // a planned move
				owner = sim.replaceOwner(i)
			}
		}
		sim.advance(12 * time.Second)
		if len(sim.violations) > 0 {
			rt.Fatal(sim.violations)
		}
		for r := range sim.answers {
			key := filbertford.JobKey(fmt.Sprintf("%016x", r-1))
			if sim.answers[r] == filbertford.AnswerNotRun && sim.jobStarted[key] {
				rt.Fatalf("request %d was answered as not run, but has run", r)
			}
		}
	})
}

// replaceOwner makes a new owner and tells the coordinator.
func (sim *simulation) replaceOwner(i int) *fakeOwner {
	sim.announceOwner(nil)
	sim.advance(10 * time.Millisecond)
	o := sim.addOwner(filbertford.NodeID(fmt.Sprintf("n%d", i+1)), uint64(i+2))
	sim.announceOwner(o)
	return o
}

// TestResumedTaskWaitsForAllTargets: a coordinator has heard of an earlier start
// of a task only. The task was since started on a target that is not listed yet.
func TestResumedTaskWaitsForAllTargets(t *testing.T) {
	sim := newSimulation(2, 2)
	p := NewPool(testPool, 2, 1_000_000, sim.now)
	p.SetTargets(sim.now, sim.records())
	p.TakeActions(sim.now)
	first, second := sim.targets["t00"], sim.targets["t01"]
	poll := func(target *fakeTarget, running ...filbertford.RunStatus) {
		o := filbertford.NewPollRequest(target.rec.Instance(), target.rec.Address(), 2, 0, 0, 0)
		r := filbertford.NewCallReply(filbertford.CallDone, 1000).WithRuns(running, nil)
		p.HandlePollReply(sim.now, o, r, sim.now, sim.now)
	}
	poll(first)
	step := filbertford.NewStep(1, filbertford.NewResources(1000, 1, 0), 100*time.Millisecond)
	batch := NewBatch(testPool, "00000000000000aa", 0, 0, step, []Item{NewItem(0, 0).WithTarget("t00")}).
		WithWork("", "ordering", 3).WithTimes(time.Second, time.Second).WithFence(2).WithResume(0)
	p.Offer(sim.now, "c", batch)
	for _, a := range p.TakeActions(sim.now) {
		if s, ok := a.(StartCall); ok {
			t.Fatalf("the task was started on %s before t01 was listed", s.Order.Instance().ID())
		}
	}
	poll(second, filbertford.NewRunStatus(batch.key(0), 7, 50))
	if task := p.tasks[batch.key(0)]; task == nil || task.run == nil || task.run.target.id() != "t01" {
		t.Error("the run on t01 was not adopted")
	}
}

// TestRunEndsBeforeResume: a run of an earlier owner is listed, and ends, before its
// coordinator offers the task to the new owner.
func TestRunEndsBeforeResume(t *testing.T) {
	sim := newSimulation(1, 2)
	a := sim.addOwner("a", 1)
	sim.advance(30 * time.Millisecond)
	sim.announceOwner(a)
	sim.submit(1, "00000000000000aa", 1)
	sim.advance(80 * time.Millisecond)
	a.stopped = true
	sim.announceOwner(nil)
	b := sim.addOwner("b", 2)
	sim.advance(100 * time.Millisecond)
	sim.announceOwner(b)
	sim.advance(500 * time.Millisecond)
	if got := sim.answers[1]; got != filbertford.AnswerCompleted || sim.starts != 1 {
		t.Errorf("answer is %q after %d starts, want completed after 1", got, sim.starts)
	}
}

// TestJobWaitsUntilTargetsAreListed submits a job before the new owner of the pool has read
// its targets: it waits instead of being refused.
func TestJobWaitsUntilTargetsAreListed(t *testing.T) {
	sim := newSimulation(2, 2)
	o := &fakeOwner{node: "a", pool: NewPool(testPool, 1, 1_000_000, sim.now)}
	sim.owners = append(sim.owners, o)
	o.pool.SetTargets(sim.now, sim.records())
	sim.scheduleTick(o)
	sim.announceOwner(o)
	sim.submit(1, "00000000000000aa", 2)
	sim.advance(time.Second)
	if got := sim.answers[1]; got != filbertford.AnswerCompleted {
		t.Errorf("answer is %q", got)
	}
}

// TestExpiryDuringResumeIsNotAnsweredNotRun: a pool gives a task up while the coordinator offers it
// again, after a stream was made anew. Then it may yet run, and "not run" would
// not be true.
func TestExpiryDuringResumeIsNotAnsweredNotRun(t *testing.T) {
	c := NewCoordinator("p")
	c.SetOwner(0, "p", "a", 1)
	step := filbertford.NewStep(1, filbertford.NewResources(1, 1, 0), time.Second)
	c.Submit(0, 1, filbertford.NewRoute("h", "/", "s"), filbertford.NewWorkload("00000000000000aa", "", step), time.Minute)
	c.Resume(time.Second, "p")
	c.HandleReport(time.Second, NewReport("p", 1, filbertford.NewTaskKey("00000000000000aa", 0, 0, 0), StatusExpired, 0))
	for _, a := range c.TakeActions() {
		if answer, ok := a.(Answer); ok && answer.Answer.Kind() == filbertford.AnswerNotRun {
			t.Errorf("answered as %q", answer.Answer.Kind())
		}
	}
}

// TestQuarantineGrowsOncePerProbe: several runs that hang at once are one reason
// to mistrust a target.
func TestQuarantineGrowsOncePerProbe(t *testing.T) {
	sim := newSimulation(2, 4)
	sim.targets["t00"].hanging = true
	o := sim.addOwner("a", 1)
	sim.advance(30 * time.Millisecond)
	sim.announceOwner(o)
	sim.submit(1, "00000000000000aa", 6)
	sim.advance(600 * time.Millisecond)
	for _, n := range sim.poolEvents {
		if n.Kind == EventTargetQuarantined && n.Age != minQuarantine {
			t.Errorf("quarantine of %v", n.Age)
		}
	}
}

// TestTaskWaitsForFasterTarget: a task that would be late on a slow target waits for
// a fast one that is about to be free; one that has time takes the slow one.
func TestTaskWaitsForFasterTarget(t *testing.T) {
	tests := map[string]struct {
		work   time.Duration
		starts int
	}{
		"late on the slow target":    {work: time.Second, starts: 1},
		"in time on the slow target": {work: 60 * time.Millisecond, starts: 2},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			sim := newSimulation(1, 1)
			slow := sim.addTarget("t99", 1)
			slow.rec = filbertford.NewTargetRecord(filbertford.NewTargetInstance("t99", 1), "ordering", "t99:80", "nordnes", filbertford.NewResources(1000, 1000, 0), "b", "r2")
			o := sim.addOwner("a", 1)
			o.pool.speeds.observe("a", 0.7)
			o.pool.speeds.observe("b", 1.7)
			sim.advance(30 * time.Millisecond)
			sim.taskDuration = tt.work
			sim.announceOwner(o)
			sim.submit(1, "00000000000000aa", 1)
			sim.submit(2, "00000000000000bb", 1)
			sim.advance(10 * time.Millisecond)
			if sim.starts != tt.starts {
				t.Errorf("%d tasks were started, want %d", sim.starts, tt.starts)
			}
		})
	}
}

// TestIsolatedCoordinatorRejectsJobs: a job that comes while no pool has an
// owner waits for a take-over, but not for longer.
func TestIsolatedCoordinatorRejectsJobs(t *testing.T) {
	tests := map[string]struct {
		vacant time.Duration
		want   filbertford.AnswerKind
	}{
		"take-over": {vacant: 300 * time.Millisecond},
		"isolated":  {vacant: 2 * time.Second, want: filbertford.AnswerNotRun},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			sim := newSimulation(1, 1)
			o := sim.addOwner("a", 1)
			sim.announceOwner(o)
			sim.advance(100 * time.Millisecond)
			o.stopped = true
			sim.announceOwner(nil)
			sim.advance(tt.vacant)
			sim.submit(1, "00000000000000aa", 1)
			if got := sim.answers[1]; got != tt.want {
				t.Errorf("answer is %q, want %q", got, tt.want)
			}
		})
	}
}
