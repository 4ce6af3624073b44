package fbsched

import (
	"fmt"
	"testing"
	"time"

	"github.com/filbertford/filbertford"
)

const deadlyJob filbertford.JobKey = "00000000000000dd"

// deadlyTask is the first task of deadlyJob.
var deadlyTask = filbertford.NewTaskKey(deadlyJob, 0, 0, 0)

func isDeadlyTask(key filbertford.TaskKey) bool { return key == deadlyTask }

// ruleCrashes is the number of crashes that the platform allows: three, and two starts more.
const ruleCrashes = 5

// newCrashSimulation returns a pool of targets for two tasks each that crash under deadlyTask.
func newCrashSimulation(targets int) *simulation {
	sim := newSimulation(targets, 2)
	sim.crashUnder(isDeadlyTask)
	sim.announceOwner(sim.addOwner("a", 1))
	sim.advance(100 * time.Millisecond)
	return sim
}

// TestTaskThatCrashesItsTargetsIsGivenUp checks a stored job with such a task.
func TestTaskThatCrashesItsTargetsIsGivenUp(t *testing.T) {
	jobs := map[filbertford.JobKey]int{deadlyJob: 3}
	tests := map[string]struct {
		after   func(*simulation, *fakeTarget)
		crashes int // allowed
	}{
		"targets start again under another ID": {after: (*simulation).restartUnderOtherID, crashes: maxCrashesAlone},
		"targets start again under their ID":   {after: (*simulation).restartUnderSameID, crashes: maxCrashesAlone},
		"targets are gone":                     {after: (*simulation).loseTarget, crashes: maxCrashes},
		"the owner is lost too": {crashes: ruleCrashes, after: func(sim *simulation, t *fakeTarget) {
			sim.restartUnderOtherID(t)
			sim.after(100*time.Millisecond, sim.loseOwner)
		}},
		"the owner is lost after the lease": {crashes: ruleCrashes, after: func(sim *simulation, t *fakeTarget) {
			sim.restartUnderOtherID(t)
			sim.after(1500*time.Millisecond, sim.loseOwner)
		}},
		"the owner is lost after the restart": {crashes: ruleCrashes, after: func(sim *simulation, t *fakeTarget) {
			sim.restartUnderOtherID(t)
			sim.after(restartDelay+recordDelay+time.Second, sim.loseOwner)
		}},
		"the job's owner is lost too": {crashes: ruleCrashes, after: func(sim *simulation, t *fakeTarget) {
			sim.restartUnderOtherID(t)
			sim.after(1500*time.Millisecond, func() { sim.replaceJobsOwner(jobs) })
		}},
		"all daemons are lost after the restart": {crashes: ruleCrashes, after: func(sim *simulation, t *fakeTarget) {
			sim.restartUnderOtherID(t)
			sim.after(restartDelay+recordDelay+time.Second, func() {
				sim.loseOwner()
				sim.after(time.Second, func() { sim.replaceJobsOwner(jobs) })
			})
		}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			sim := newCrashSimulation(8)
			sim.crashes.after = func(target *fakeTarget) { tt.after(sim, target) }
			sim.startStored(deadlyJob, jobs[deadlyJob], false)
			sim.advance(90 * time.Second)
			if n := sim.crashes.under[deadlyTask]; n > tt.crashes {
				t.Errorf("%d targets crashed under the task, want %d at most", n, tt.crashes)
			}
			if !sim.jobFailed(deadlyJob, 3) || sim.coordinator.Jobs() > 0 {
				t.Errorf("the job is recorded as %+v, want it failed", sim.crashes.recorded)
			}
			if len(sim.violations) > 0 {
				t.Error(sim.violations)
			}
		})
	}
}

// TestTasksBesideDeadlyOneAreDone checks that a task that shared its target with one that
// crashes it isn't blamed, nor started beside another one.
func TestTasksBesideDeadlyOneAreDone(t *testing.T) {
	sim := newCrashSimulation(4)
	sim.crashes.deadly = func(key filbertford.TaskKey) bool { return key.Index() == 0 && key.Job()[0] == 'd' }
	jobs := make(map[filbertford.JobKey]int)
	for i := range 6 {
		deadly, other := filbertford.JobKey(fmt.Sprintf("d%015x", i)), filbertford.JobKey(fmt.Sprintf("e%015x", i))
		jobs[deadly], jobs[other] = 2, 2
		sim.startStored(deadly, 2, false)
		sim.startStored(other, 2, false)
		sim.advance(100 * time.Millisecond)
	}
	sim.advance(120 * time.Second)
	for _, key := range sortedJobs(jobs) {
		if deadly := key[0] == 'd'; sim.jobFailed(key, 2) != deadly {
			t.Errorf("job %s has failed: %v, want %v", key, !deadly, deadly)
		}
	}
	if n := sim.coordinator.Jobs(); n > 0 {
		t.Errorf("%d jobs have not ended", n)
	}
	for key, n := range sim.crashes.under {
		if !sim.crashes.deadly(key) && n > 1 {
			t.Errorf("%d targets crashed under %v, want one at most", n, key)
		}
	}
	if len(sim.violations) > 0 {
		t.Error(sim.violations)
	}
}

// TestSilentTargetsHaveNotCrashed checks a task whose targets are cut off one after the other.
func TestSilentTargetsHaveNotCrashed(t *testing.T) {
	sim := newSimulation(4, 2)
	sim.crashUnder(func(filbertford.TaskKey) bool { return false })
	sim.taskDuration = 2 * time.Second
	cut := make(map[string]bool)
	sim.linkDown = func(_ *fakeOwner, address string) (bool, bool) { return cut[address], cut[address] }
	sim.announceOwner(sim.addOwner("a", 1))
	sim.advance(100 * time.Millisecond)
	sim.startStored(deadlyJob, 1, false)
	for range 5 {
		sim.advance(500 * time.Millisecond)
		for _, target := range sim.targets {
			if len(target.runs) > 0 {
				cut[target.rec.Address()] = true
			}
		}
		sim.advance(1500 * time.Millisecond)
		if len(cut) > 1 {
			clear(cut)
		}
	}
	clear(cut)
	sim.advance(30 * time.Second)
	if sim.done[deadlyTask] == 0 || sim.jobFailed(deadlyJob, 1) {
		t.Errorf("the task is done %d times, recorded as %+v; want it done", sim.done[deadlyTask], sim.crashes.recorded)
	}
	if n := sim.countEvents(EventTargetCrashed); n > 0 {
		t.Errorf("%d targets count as crashed, want none", n)
	}
	if sim.countEvents(EventRunLost) < 2 || sim.countEvents(EventTargetNotCrashed) < 2 {
		t.Error("the task has lost fewer than two targets")
	}
}

// TestSuspectedTaskRunsAloneInBusyPool checks that a task that is to run alone doesn't wait
// for ever while other tasks keep all targets busy.
func TestSuspectedTaskRunsAloneInBusyPool(t *testing.T) {
	sim := newCrashSimulation(4)
	sim.startStored(deadlyJob, 1, false)
	for i := range 200 {
		sim.startStored(filbertford.JobKey(fmt.Sprintf("%016x", i)), 8, false)
		sim.advance(100 * time.Millisecond)
	}
	if n := sim.crashes.under[deadlyTask]; n != maxCrashesAlone {
		t.Errorf("%d targets crashed under the task, want %d", n, maxCrashesAlone)
	}
	if !sim.jobFailed(deadlyJob, 1) {
		t.Error("the deadly job has not failed")
	}
}

// TestDeadlyJobSentAgainIsAnsweredAsFailed checks a best-effort job whose caller sends it
// again, to another coordinator.
func TestDeadlyJobSentAgainIsAnsweredAsFailed(t *testing.T) {
	sim := newCrashSimulation(6)
	var answers []filbertford.AnswerKind
	for request := uint64(1); request <= 8; request++ {
		sim.submit(request, deadlyJob, 2)
		sim.advance(1500 * time.Millisecond)
		answers = append(answers, sim.answers[request])
		if sim.answers[request] == filbertford.AnswerFailed {
			break
		}
		sim.node += "x"
		sim.coordinator = NewCoordinator(testPool)
		sim.announceOwner(sim.owners[0])
		sim.advance(time.Second)
	}
	if last := answers[len(answers)-1]; last != filbertford.AnswerFailed {
		t.Errorf("answers %v, want the last one %s", answers, filbertford.AnswerFailed)
	}
	if n := sim.crashes.under[deadlyTask]; n > maxCrashes {
		t.Errorf("%d targets crashed under the task, want %d at most", n, maxCrashes)
	}
}

// TestCrashCountsOnceAfterHandOver checks that the next owner of a pool isn't told of a target
// that has crashed and is among the crashes already.
func TestCrashCountsOnceAfterHandOver(t *testing.T) {
	c := NewCoordinator("p")
	now := time.Minute
	c.SetOwner(now, "p", "a", 1)
	w := filbertford.NewWorkload(deadlyJob, "", filbertford.NewStep(1, filbertford.NewResources(1000, 1, 0), 100*time.Millisecond))
	c.StartStored(now, crashRoute, w, func(int, int) Progress { return Progress{} }, false)
	c.HandleReport(now, NewReport("p", 1, deadlyTask, StatusStarted, 0).WithStarted(true).WithTarget("t00"))
	c.HandleReport(now, NewReport("p", 1, deadlyTask, StatusRetried, 0).WithStarted(true).WithCrashes(1).WithTarget("t00"))
	c.SetOwner(now, "p", "b", 2)
	c.TakeActions()
	c.ResumeStored(now, "p")
	var items []Item
	for _, a := range c.TakeActions() {
		if b, ok := a.(SendBatch); ok {
			items = append(items, b.Batch.Items()...)
		}
	}
	if len(items) != 1 || items[0].Crashes() != 1 || items[0].Target() != "" {
		t.Errorf("the next owner is offered %+v, want one task with one crash and no target", items)
	}
}

// TestStoppedRunIsNotBlamedForLaterCrash checks a run that its target has confirmed to have
// stopped, before it is cut off and crashes.
func TestStoppedRunIsNotBlamedForLaterCrash(t *testing.T) {
	now := time.Minute
	p := NewPool(testPool, 1, 1_000_000, now)
	p.SetTargets(now, []filbertford.TargetRecord{recordOf("t00", 1)})
	answerLists(p, now, "t00", 1, 10)
	step := filbertford.NewStep(1, filbertford.NewResources(1000, 1, 0), 100*time.Millisecond)
	p.Offer(now, "c", NewBatch(testPool, deadlyJob, 0, 0, step, []Item{NewItem(0, 0)}).
		WithWork("", "ordering", 3).WithTimes(time.Second, time.Hour).WithFence(1).WithStored(true, false))
	start := startCalls(p.TakeActions(now))[0]
	unknown := filbertford.NewCallReply(filbertford.CallUnknown, 0)
	p.HandleStartReply(now, start, unknown, now, now)
	now += 20 * time.Millisecond
	answerLists(p, now, "t00", 1, 30)
	stop := stopCalls(p.TakeActions(now))[0]
	p.HandleStopReply(now, stop, filbertford.NewCallReply(filbertford.CallDone, 30).WithStartedAt(1), now, now)
	lost := 0
	for range 200 {
		now += 20 * time.Millisecond
		p.Tick(now, 1_000_000)
		for _, a := range p.TakeActions(now) {
			switch v := a.(type) {
			case PollCall:
				p.HandlePollReply(now, v, unknown, now, now)
			case Event:
				if v.Kind == EventRunLost {
					lost++
				}
			}
		}
	}
	if lost != 1 {
		t.Fatalf("%d runs were lost, want one", lost)
	}
	if p.suspected(deadlyTask) {
		t.Error("the task is suspected")
	}
}

// TestUnansweredStartBesideOthersIsNoCrash guards against a task that is given up after one
// crash: a target crashes under another task just before it would have started this one.
func TestUnansweredStartBesideOthersIsNoCrash(t *testing.T) {
	now := time.Minute
	p := NewPool(testPool, 1, 1_000_000, now)
	p.SetTargets(now, []filbertford.TargetRecord{recordOf("t00", 1)})
	answerLists(p, now, "t00", 1, 10)
	step := filbertford.NewStep(1, filbertford.NewResources(1000, 1, 0), 100*time.Millisecond)
	offer := func(job filbertford.JobKey) filbertford.StartRunRequest {
		p.Offer(now, "c", NewBatch(testPool, job, 0, 0, step, []Item{NewItem(0, 0)}).
			WithWork("", "ordering", 3).WithTimes(time.Second, time.Hour).WithFence(1).WithStored(true, false))
		return startCalls(p.TakeActions(now))[0]
	}
	p.HandleStartReply(now, offer("00000000000000aa"), filbertford.NewCallReply(filbertford.CallDone, 11).WithStartedAt(1), now, now)
	p.HandleStartReply(now, offer(deadlyJob), filbertford.NewCallReply(filbertford.CallUnknown, 0).WithDetail("EOF"), now, now)
	now += 50 * time.Millisecond
	answerLists(p, now, "t00", 2, 5) // another instance of the target
	if got := p.crashesOf(filbertford.NewTaskKey("00000000000000aa", 0, 0, 0)); got != 1 {
		t.Errorf("%d targets crashed under the task that ran, want 1", got)
	}
	if got := p.crashesOf(deadlyTask); got != 0 || !p.suspected(deadlyTask) {
		t.Errorf("%d targets crashed under the task whose start was not answered, suspected %v; want 0 and true", got, p.suspected(deadlyTask))
	}
}
