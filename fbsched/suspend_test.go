package fbsched

import (
	"testing"
	"time"

	"github.com/filbertford/filbertford"
)

// TestSuspendedOwnerStartsNothingBeforeSurvey checks that an owner that was suspended starts no
// task before its targets have answered calls that it sent afterwards: a successor may have
// started the task, and has shown its token only to the targets that it could reach.
func TestSuspendedOwnerStartsNothingBeforeSurvey(t *testing.T) {
	now := time.Minute
	p := NewPool(testPool, 1, 1_000_000, now)
	p.SetTargets(now, []filbertford.TargetRecord{recordOf("t00", 1), recordOf("t01", 1)})
	p.TakeActions(now)
	answerLists(p, now, "t00", 1, 1000)
	answerLists(p, now, "t01", 1, 1000)
	now += 500 * time.Millisecond
	p.HandleSuspension(now, 0)
	step := filbertford.NewStep(1, filbertford.NewResources(1000, 1, 0), time.Second)
	p.Offer(now, "c", NewBatch(testPool, "00000000000000aa", 0, 0, step, []Item{NewItem(0, 0)}).
		WithWork("", "ordering", 3).WithTimes(time.Minute, time.Minute).WithFence(1))
	p.Tick(now, 1_000_000)
	actions := p.TakeActions(now)
	if started := startCalls(actions); len(started) > 0 {
		t.Fatalf("the task was started on %s right after the suspension", started[0].Instance().ID())
	}
	polls := make(map[filbertford.TargetID]PollCall)
	for _, a := range actions {
		if c, ok := a.(PollCall); ok {
			polls[c.Request.Instance().ID()] = c
		}
	}
	if len(polls) != 2 {
		t.Fatalf("%d targets are polled after the suspension, want 2", len(polls))
	}
	sent := now
	now += 5 * time.Millisecond
	p.HandlePollReply(now, polls["t00"], filbertford.NewCallReply(filbertford.CallDone, 1505).WithStartedAt(1), sent, now)
	if started := startCalls(p.TakeActions(now)); len(started) > 0 {
		t.Fatalf("the task was started on %s before t01 had answered", started[0].Instance().ID())
	}
	p.HandlePollReply(now, polls["t01"], filbertford.NewCallReply(filbertford.CallDone, 1505).WithStartedAt(1), sent, now)
	if n := len(startCalls(p.TakeActions(now))); n != 1 {
		t.Errorf("%d starts after the survey, want 1", n)
	}
}
