package fbsched

import (
	"testing"
	"time"

	"github.com/filbertford/filbertford"
)

// TestTaskWaitsForSecondRun checks a task of which a run of an earlier owner is found beside its
// own one. When its own run fails, the task isn't started again before the found one has ended.
func TestTaskWaitsForSecondRun(t *testing.T) {
	now := time.Minute
	p, first := poolWithRun(t, now)
	answerLists(p, now, "t01", 1, 1010, filbertford.NewRunStatus(first.Task(), 7, 10))
	p.HandleStartReply(now, first, filbertford.NewCallReply(filbertford.CallFull, 1000), now, now)
	now += 2 * fullBackoff
	p.Tick(now, 1_000_000)
	if again := startCalls(p.TakeActions(now)); len(again) > 0 {
		t.Fatalf("the task was started on %s beside the run on t01", again[0].Instance().ID())
	}
	now += 20 * time.Millisecond
	ended := filbertford.NewEndedRun(1, first.Task(), 7, filbertford.RunStopped)
	answerPoll(p, now, pollOf(p, "t01"), filbertford.NewCallReply(filbertford.CallDone, 1100).WithStartedAt(1).
		WithRuns(nil, []filbertford.EndedRun{ended}))
	if n := len(startCalls(p.TakeActions(now))); n != 1 {
		t.Errorf("%d starts after the found run has ended, want 1", n)
	}
}

// TestHigherRunOnSameTargetIsAdopted checks a target that lists a higher run of a task than the
// pool has started there: the pool's own run can't start any more, and the task has the other one.
func TestHigherRunOnSameTargetIsAdopted(t *testing.T) {
	now := time.Minute
	p, first := poolWithRun(t, now)
	higher := filbertford.NewRunStatus(first.Task(), first.Run()+1000, 10)
	answerLists(p, now, "t00", 1, 1010, higher)
	task := p.tasks[first.Task()]
	if task == nil || task.run == nil || task.run.number != higher.Run() || p.activeRuns[first.Task()] != task.run {
		t.Fatal("the task doesn't have the run that the target lists")
	}
	ended := filbertford.NewEndedRun(1, first.Task(), higher.Run(), filbertford.RunDone)
	answerPoll(p, now, pollOf(p, "t00"), filbertford.NewCallReply(filbertford.CallDone, 1100).WithStartedAt(1).
		WithRuns(nil, []filbertford.EndedRun{ended}))
	if p.tasks[first.Task()] != nil || len(p.activeRuns) > 0 {
		t.Error("the task hasn't ended with its run")
	}
	if used := p.targets["t00"].used; used != (filbertford.Resources{}) {
		t.Errorf("target has %v in use without a run", used)
	}
}

// poolWithRun returns a pool with the targets t00 and t01 and a task that it has just started
// on t00.
func poolWithRun(t *testing.T, now time.Duration) (*Pool, filbertford.StartRunRequest) {
	t.Helper()
	p := NewPool(testPool, 2, 1_000_000, now)
	p.SetTargets(now, []filbertford.TargetRecord{recordOf("t00", 1), recordOf("t01", 1)})
	answerLists(p, now, "t00", 1, 1000)
	answerLists(p, now, "t01", 1, 1000)
	p.targets["t01"].fullUntil = now + time.Millisecond
	p.TakeActions(now)
	step := filbertford.NewStep(1, filbertford.NewResources(1000, 1, 0), time.Second)
	p.Offer(now, "c", NewBatch(testPool, "00000000000000aa", 0, 0, step, []Item{NewItem(0, 0)}).
		WithWork("", "ordering", 3).WithTimes(time.Minute, time.Minute).WithFence(2))
	started := startCalls(p.TakeActions(now))
	if len(started) != 1 || started[0].Instance().ID() != "t00" {
		t.Fatalf("starts are %v, want one on t00", started)
	}
	return p, started[0]
}

// TestLeaseOfSecondRunIsNotExtended: the stop of a run of an earlier owner may be lost while polls arrive.
func TestLeaseOfSecondRunIsNotExtended(t *testing.T) {
	now := time.Minute
	p, first := poolWithRun(t, now)
	second := filbertford.NewRunStatus(first.Task(), 7, 10)
	answerLists(p, now, "t01", 1, 1010, second)
	for range 20 {
		for _, a := range p.TakeActions(now) {
			if c, ok := a.(PollCall); ok && c.Request.Instance().ID() == "t01" && c.Request.Lease() != 0 {
				t.Fatalf("a poll extends the lease of the second run to %d", c.Request.Lease())
			}
		}
		now += 50 * time.Millisecond
		answerLists(p, now, "t01", 1, 1010+(now-time.Minute).Milliseconds(), second)
	}
}
