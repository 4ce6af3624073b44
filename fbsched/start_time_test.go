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
