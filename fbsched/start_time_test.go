package fbsched

import (
	"testing"
	"time"

	"github.com/filbertford/filbertford"
)

// TestTargetIsAskedAgainForItsStartTime checks an idle target with a new record that answers the
// poll without a start time: it isn't left unused.
func TestTargetIsAskedAgainForItsStartTime(t *testing.T) {
	now := time.Minute
	p := NewPool(testPool, 1, 1_000_000, now)
	p.SetTargets(now, []filbertford.TargetRecord{recordOf("t00", 1000)})
	answerLists(p, now, "t00", 1000, 500_000)
	now += 100 * time.Millisecond
	p.SetTargets(now, []filbertford.TargetRecord{recordOf("t00", 2000)})
	p.TakeActions(now)
	answerPoll(p, now, pollOf(p, "t00"), filbertford.NewCallReply(filbertford.CallBusy, 10))
	now += 40 * time.Millisecond
	p.Tick(now, 1_000_000)
	asked := false
	for _, a := range p.TakeActions(now) {
		if _, ok := a.(PollCall); ok {
			asked = true
		}
	}
	if !asked {
		t.Fatal("the target isn't polled again")
	}
	answerLists(p, now, "t00", 2000, 60)
	if !p.usable(now, p.targets["t00"], "ordering") {
		t.Error("the target isn't usable after it has shown its start time")
	}
}

// TestLateReplyOfUnseenInstanceFreesNoRun checks a target that has started twice while a reply was
// under way, the second time after its time of day was set back.
func TestLateReplyOfUnseenInstanceFreesNoRun(t *testing.T) {
	const first, between, current = 1_000, 3_000, 2_000
	now := time.Minute
	p := NewPool(testPool, 1, 1_000_000, now)
	p.SetTargets(now, []filbertford.TargetRecord{recordOf("t00", first), recordOf("t01", 1)})
	answerLists(p, now, "t00", first, 500_000)
	answerLists(p, now, "t01", 1, 500_000)
	now += 20 * time.Millisecond
	slow, sent := pollOf(p, "t00"), now
	now += 600 * time.Millisecond
	answerLists(p, now, "t00", current, 100)
	p.SetTargets(now, []filbertford.TargetRecord{recordOf("t00", current), recordOf("t01", 1)})
	p.targets["t01"].fullUntil = now + 30*time.Millisecond // so that t00 gets the task
	p.TakeActions(now)
	step := filbertford.NewStep(1, filbertford.NewResources(1000, 1, 0), time.Second)
	p.Offer(now, "c", NewBatch(testPool, "00000000000000aa", 0, 0, step, []Item{NewItem(0, 0)}).
		WithWork("", "ordering", 3).WithTimes(time.Second, time.Minute).WithFence(1))
	started := startCalls(p.TakeActions(now))
	if len(started) != 1 || started[0].Instance().ID() != "t00" {
		t.Fatalf("starts are %v, want one on t00", started)
	}
	now += 50 * time.Millisecond
	answerLists(p, now, "t00", current, 150, filbertford.NewRunStatus(started[0].Task(), started[0].Run(), 10))
	p.HandlePollReply(now, PollCall{Number: 1, Request: slow}, filbertford.NewCallReply(filbertford.CallDone, 30).WithStartedAt(between), sent, now)
	now += 20 * time.Millisecond
	p.Tick(now, 1_000_000)
	if again := startCalls(p.TakeActions(now)); len(again) > 0 {
		t.Errorf("the task was started again on %s", again[0].Instance().ID())
	}
}

// TestPoolSettlesWithoutTargetAtReplacedAddress checks a new owner one of whose targets was replaced by
// one of another pool: tasks that no target can hold must not wait for ever.
func TestPoolSettlesWithoutTargetAtReplacedAddress(t *testing.T) {
	now := time.Minute
	p := NewPool(testPool, 2, 1_000_000, now)
	p.SetTargets(now, []filbertford.TargetRecord{recordOf("t00", 1), recordOf("t01", 1)})
	answerLists(p, now, "t01", 1, 500_000)
	answerPoll(p, now, pollOf(p, "t00"), filbertford.NewCallReply(filbertford.CallRestarted, 0))
	now += listTimeout
	p.SetTargets(now, []filbertford.TargetRecord{recordOf("t01", 1)})
	if p.Tick(now, 1_000_000); !p.allListed {
		t.Error("the pool isn't settled")
	}
}
