package fbsched

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"github.com/filbertford/filbertford"
)

// TestJobAnswerWithFaultyTargets runs jobs on targets with one fault per case.
func TestJobAnswerWithFaultyTargets(t *testing.T) {
	tests := map[string]struct {
		fault  func(sim *simulation)
		tasks  int
		want   filbertford.AnswerKind
		within time.Duration
	}{
		"calm":                    {tasks: 4, want: filbertford.AnswerCompleted, within: 150 * time.Millisecond},
		"more tasks than slots":   {tasks: 12, want: filbertford.AnswerCompleted, within: 400 * time.Millisecond},
		"failing target":          {tasks: 6, want: filbertford.AnswerCompleted, within: 300 * time.Millisecond, fault: func(sim *simulation) { sim.targets["t00"].failing = true }},
		"all targets fail":        {tasks: 2, want: filbertford.AnswerFailed, within: 2 * time.Second, fault: func(sim *simulation) { sim.eachTarget(func(t *fakeTarget) { t.failing = true }) }},
		"hanging target":          {tasks: 6, want: filbertford.AnswerCompleted, within: 900 * time.Millisecond, fault: func(sim *simulation) { sim.targets["t01"].hanging = true }},
		"target is down":          {tasks: 6, want: filbertford.AnswerCompleted, within: 300 * time.Millisecond, fault: func(sim *simulation) { sim.targets["t02"].down = true }},
		"target stops responding": {tasks: 6, want: filbertford.AnswerCompleted, within: 1400 * time.Millisecond, fault: func(sim *simulation) { sim.after(50*time.Millisecond, func() { sim.targets["t02"].down = true }) }},
		"draining target":         {tasks: 6, want: filbertford.AnswerCompleted, within: 300 * time.Millisecond, fault: func(sim *simulation) { sim.targets["t00"].draining = true }},
		"no target responds":      {tasks: 1, want: filbertford.AnswerNotRun, within: time.Second, fault: func(sim *simulation) { sim.eachTarget(func(t *fakeTarget) { t.down = true }) }},
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
			if latency := sim.answeredAt[1] - submitted; latency > tt.within {
				t.Errorf("answered after %v, want at most %v", latency, tt.within)
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

// TestPoolRemovesTargetsDuringTick checks that a tick can remove several targets.
func TestPoolRemovesTargetsDuringTick(t *testing.T) {
	sim := newSimulation(6, 2)
	o := sim.addOwner("a", 1)
	sim.advance(50 * time.Millisecond)
	o.pool.SetTargets(sim.now, nil)
	sim.advance(100 * time.Millisecond)
	if n := len(o.pool.sortedTargets); n != 0 {
		t.Errorf("pool has %d targets, want 0", n)
	}
}

// TestNewOwnerAdoptsRunsAndStartsWaitingTasks moves the pool to a new owner while some
// tasks run and others wait. Runs continue, those that have ended count, and waiting
// tasks start.
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
		t.Errorf("answer is %q, want completed", got)
	}
	if sim.starts != 8 {
		t.Errorf("%d runs were started, want 8", sim.starts)
	}
	if n := sim.countEvents(EventRunAdopted); n != 4 {
		t.Errorf("%d runs were adopted, want 4", n)
	}
}

// TestPoolStopsUnclaimedRuns checks that a new owner stops the runs of the earlier one
// if no coordinator offers it their tasks.
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
			t.Errorf("%s has %d runs, want 0", id, n)
		}
	}
}

// TestResumedTaskWaitsForUnlistedTarget checks a partition in which an isolated owner
// still controls a target that its successor can't reach. The successor must not start
// the task on another target while the run may continue.
func TestResumedTaskWaitsForUnlistedTarget(t *testing.T) {
	tests := map[string]struct{ record, departed bool }{
		"target has a record":     {record: true},
		"record has been removed": {departed: true},
		"target is unknown":       {},
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
			// The successor reaches only one target; the first owner controls the other.
			sim.announceOwner(nil)
			records := sim.records()
			b := &fakeOwner{node: "b", pool: NewPool(testPool, 2, 1_000_000, sim.now)}
			unreachable := sim.targets["t01"]
			sim.delivery = func() delivery { return delivery{requestDelay: time.Millisecond, replyDelay: time.Millisecond} }
			sim.owners = append(sim.owners, b)
			if tt.departed {
				b.pool.SetDeparted([]filbertford.TargetRecord{recordOf("t01", 1)})
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
				t.Errorf("%d runs were started while the first two may continue, want 2", sim.starts)
			}
			sim.targets["t01"] = unreachable
			sim.advance(4 * time.Second)
			if len(sim.violations) > 0 {
				t.Error(sim.violations)
			}
		})
	}
}

// TestCoordinatorIgnoresReportsOfEarlierOwner checks that a coordinator does not offer
// a task again when an earlier owner of the pool returns it after its successor has
// accepted it.
func TestCoordinatorIgnoresReportsOfEarlierOwner(t *testing.T) {
	c := NewCoordinator("p")
	c.SetOwner(0, "p", "a", 1)
	c.SetOwner(0, "q", "z", 9)
	step := filbertford.NewStep(1, filbertford.NewResources(1, 1, 0), time.Second)
	c.Submit(0, 1, filbertford.NewRoute("h", "/", "s"), filbertford.NewWorkload("00000000000000aa", "", step), time.Minute)
	c.SetOwner(time.Second, "p", "b", 2)
	c.TakeActions()
	key := filbertford.NewTaskKey("00000000000000aa", 0, 0, 0)
	for _, status := range []Status{StatusReturned, StatusExpired, StatusFailed, StatusReassigned} {
		c.HandleReport(time.Second, NewReport("p", 1, key, status, 0))
		for _, a := range c.TakeActions() {
			switch v := a.(type) {
			case SendBatch:
				t.Errorf("task was offered to pool %s after an earlier owner reported it as %s", v.Batch.Pool(), status)
			case Answer:
				t.Errorf("job was answered after an earlier owner reported its task as %s", status)
			}
		}
	}
	// The current owner keeps a task that was offered to it as resumed, so that its token on a
	// return answers an earlier offer. It returns one that was offered to it first.
	c.HandleReport(time.Second, NewReport("p", 2, key, StatusReturned, 0))
	for _, a := range c.TakeActions() {
		if b, ok := a.(SendBatch); ok {
			t.Errorf("resumed task was offered to pool %s after a return", b.Batch.Pool())
		}
	}
	c.Submit(time.Second, 2, filbertford.NewRoute("h", "/", "s"), filbertford.NewWorkload("00000000000000bb", "", step), time.Minute)
	c.TakeActions()
	c.HandleReport(time.Second, NewReport("p", 2, filbertford.NewTaskKey("00000000000000bb", 0, 0, 0), StatusReturned, 0))
	var pools []filbertford.PoolID
	for _, a := range c.TakeActions() {
		if b, ok := a.(SendBatch); ok {
			pools = append(pools, b.Batch.Pool())
		}
	}
	if diff := cmp.Diff(1, len(pools)); diff != "" {
		t.Errorf("batches after a report of the current owner (-want +got):\n%s", diff)
	}
}

// TestRunsOfTaskDoNotOverlap stops, pauses and replaces owners while calls are lost or
// carried out late. No task may have two runs at a time, and no job whose task was
// started may be answered as not run.
func TestRunsOfTaskDoNotOverlap(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		sim := newSimulation(rapid.IntRange(1, 5).Draw(rt, "targets"), rapid.IntRange(1, 3).Draw(rt, "slots"))
		sim.taskDuration = time.Duration(rapid.IntRange(20, 900).Draw(rt, "work")) * time.Millisecond
		lossPercent := rapid.IntRange(0, 20).Draw(rt, "lost calls in 100")
		slowPercent := rapid.IntRange(0, 20).Draw(rt, "slow calls in 100")
		sim.delivery = func() delivery {
			d := delivery{requestDelay: time.Duration(rapid.IntRange(1, 30).Draw(rt, "there")) * time.Millisecond, replyDelay: time.Millisecond}
			switch luck := rapid.IntRange(0, 99).Draw(rt, "luck"); {
			case luck < lossPercent:
				d.lost = true
				d.lateAfter = time.Duration(rapid.SampledFrom([]int{0, 0, 3, 40, 700, 3000}).Draw(rt, "late")) * time.Millisecond
			case luck < lossPercent+slowPercent: // the reply, or the call, is later than the timeout
				d.requestDelay = time.Duration(rapid.IntRange(1, 300).Draw(rt, "slow there")) * time.Millisecond
				d.replyDelay = time.Duration(rapid.IntRange(1, 300).Draw(rt, "slow back")) * time.Millisecond
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
			case 0: // the owner stops
				owner.stopped = true
				owner = sim.replaceOwner(i)
			case 1: // the owner is paused, and resumes after its successor took over
				paused := owner
				paused.paused = true
				sim.after(time.Duration(rapid.IntRange(100, 3000).Draw(rt, "sleep"))*time.Millisecond, func() { sim.resume(paused) })
				sim.advance(400 * time.Millisecond)
				owner = sim.replaceOwner(i)
			case 2: // a new owner takes over while the owner runs
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
				rt.Fatalf("request %d was answered as not run, but a task was started", r)
			}
		}
	})
}

// replaceOwner adds the owner that follows owner i and announces it to the coordinator.
func (sim *simulation) replaceOwner(i int) *fakeOwner {
	sim.announceOwner(nil)
	sim.advance(10 * time.Millisecond)
	o := sim.addOwner(filbertford.NodeID(fmt.Sprintf("n%d", i+1)), uint64(i+2))
	sim.announceOwner(o)
	return o
}

// TestResumedTaskWaitsForAllTargets checks that a resumed task is not started before
// all targets are listed. The last report that the coordinator has received is of an
// earlier start; the task has since been started on a target that is not listed yet.
func TestResumedTaskWaitsForAllTargets(t *testing.T) {
	sim := newSimulation(2, 2)
	p := NewPool(testPool, 2, 1_000_000, sim.now)
	p.SetTargets(sim.now, sim.records())
	p.TakeActions(sim.now)
	first, second := sim.targets["t00"], sim.targets["t01"]
	poll := func(target *fakeTarget, running ...filbertford.RunStatus) {
		req := filbertford.NewPollRequest(target.rec.Instance(), target.rec.Address(), 2, 0, 0, 0)
		r := filbertford.NewCallReply(filbertford.CallDone, 1000).WithRuns(running, nil)
		answerPoll(p, sim.now, req, r)
	}
	poll(first)
	step := filbertford.NewStep(1, filbertford.NewResources(1000, 1, 0), 100*time.Millisecond)
	batch := NewBatch(testPool, "00000000000000aa", 0, 0, step, []Item{NewItem(0, 0).WithTarget("t00")}).
		WithWork("", "ordering", 3).WithTimes(time.Second, time.Second).WithFence(2).WithResume(0)
	p.Offer(sim.now, "c", batch)
	for _, a := range p.TakeActions(sim.now) {
		if s, ok := a.(StartCall); ok {
			t.Fatalf("task was started on %s before t01 was listed", s.Request.Instance().ID())
		}
	}
	poll(second, filbertford.NewRunStatus(batch.key(0), 7, 50))
	if task := p.tasks[batch.key(0)]; task == nil || task.run == nil || task.run.target.id() != "t01" {
		t.Error("run on t01 was not adopted")
	}
}

// TestRunEndsBeforeResume checks that a task is not run again if the run of an earlier
// owner is listed and ends before the coordinator offers the task to the new owner.
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

// TestJobWaitsUntilTargetsAreListed checks that a job submitted before the new owner of
// the pool has listed its targets waits and is not rejected.
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
		t.Errorf("answer is %q, want completed", got)
	}
}

// TestExpiryDuringResumeIsNotAnsweredNotRun checks a report of expiry that the pool
// sends while the coordinator offers the task again after a reconnect. The task may
// still run, so the job must not be answered as not run.
func TestExpiryDuringResumeIsNotAnsweredNotRun(t *testing.T) {
	c := NewCoordinator("p")
	c.SetOwner(0, "p", "a", 1)
	step := filbertford.NewStep(1, filbertford.NewResources(1, 1, 0), time.Second)
	c.Submit(0, 1, filbertford.NewRoute("h", "/", "s"), filbertford.NewWorkload("00000000000000aa", "", step), time.Minute)
	c.Resume(time.Second, "p")
	c.HandleReport(time.Second, NewReport("p", 1, filbertford.NewTaskKey("00000000000000aa", 0, 0, 0), StatusExpired, 0))
	for _, a := range c.TakeActions() {
		if answer, ok := a.(Answer); ok && answer.Answer.Kind() == filbertford.AnswerNotRun {
			t.Errorf("answer is %q, although the task may still run", answer.Answer.Kind())
		}
	}
}

// TestQuarantineGrowsOncePerProbe checks that several runs that hang at the same time
// count as one failure of the target, so that the quarantine is not doubled for each.
func TestQuarantineGrowsOncePerProbe(t *testing.T) {
	sim := newSimulation(2, 4)
	sim.targets["t00"].hanging = true
	o := sim.addOwner("a", 1)
	sim.advance(30 * time.Millisecond)
	sim.announceOwner(o)
	sim.submit(1, "00000000000000aa", 6)
	sim.advance(600 * time.Millisecond)
	for _, e := range sim.poolEvents {
		if e.Kind == EventTargetQuarantined && e.Age != minQuarantine {
			t.Errorf("quarantine lasts %v, want the minimum", e.Age)
		}
	}
}

// TestTaskWaitsForFasterTarget checks that a task that would miss its objective on a
// slow target waits for a fast one that may soon be free, and that a task with enough
// time starts on the slow one.
func TestTaskWaitsForFasterTarget(t *testing.T) {
	tests := map[string]struct {
		taskDuration time.Duration
		starts       int
	}{
		"late on the slow target":    {taskDuration: time.Second, starts: 1},
		"in time on the slow target": {taskDuration: 60 * time.Millisecond, starts: 2},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			sim := newSimulation(1, 1)
			slow := sim.addTarget("t99", 1)
			slow.rec = filbertford.NewTargetRecord(filbertford.NewTargetInstance("t99", 1), "ordering", "t99:80", "nordnes", filbertford.NewResources(1000, 1000, 0), "b", "r2")
			o := sim.addOwner("a", 1)
			o.pool.kindFactors.observe("a", 0.7)
			o.pool.kindFactors.observe("b", 1.7)
			sim.advance(30 * time.Millisecond)
			sim.taskDuration = tt.taskDuration
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

// TestIsolatedCoordinatorRejectsJobs checks that a job submitted while no pool has an
// owner waits for a takeover, and is rejected immediately if no pool has had an owner
// for longer than a takeover lasts.
func TestIsolatedCoordinatorRejectsJobs(t *testing.T) {
	tests := map[string]struct {
		unowned time.Duration
		want    filbertford.AnswerKind
	}{
		"take-over": {unowned: 300 * time.Millisecond},
		"isolated":  {unowned: 2 * time.Second, want: filbertford.AnswerNotRun},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			sim := newSimulation(1, 1)
			o := sim.addOwner("a", 1)
			sim.announceOwner(o)
			sim.advance(100 * time.Millisecond)
			o.stopped = true
			sim.announceOwner(nil)
			sim.advance(tt.unowned)
			sim.submit(1, "00000000000000aa", 1)
			if got := sim.answers[1]; got != tt.want {
				t.Errorf("answer is %q, want %q", got, tt.want)
			}
		})
	}
}
