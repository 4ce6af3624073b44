package fbsched

import (
	"testing"
	"time"

	"github.com/filbertford/filbertford"
)

// TestBusyReplyOfOtherTargetFreesNoRun guards against two runs of a task: another target replies at the
// address in a late record that it is busy, with a start time and a clock of its own.
func TestBusyReplyOfOtherTargetFreesNoRun(t *testing.T) {
	for name, startedAt := range map[string]int64{"with a start time": 7, "without a start time": 0} {
		t.Run(name, func(t *testing.T) {
			now := time.Minute
			p, first := poolWithRun(t, now)
			answerLists(p, now, "t00", 1, 1010, filbertford.NewRunStatus(first.Task(), first.Run(), 0))
			p.SetTargets(now, []filbertford.TargetRecord{recordOf("t00", 1).WithAddress("t02:80"), recordOf("t01", 1)})
			p.targets["t01"].fullUntil = now + time.Millisecond
			step := filbertford.NewStep(1, filbertford.NewResources(1000, 1, 0), time.Second)
			p.Offer(now, "c", NewBatch(testPool, "00000000000000bb", 0, 0, step, []Item{NewItem(0, 0)}).
				WithWork("", "ordering", 3).WithTimes(time.Minute, time.Minute).WithFence(2))
			started := startCalls(p.TakeActions(now))
			if len(started) != 1 || started[0].Address() != "t02:80" {
				t.Fatalf("starts are %v, want one at the address in the late record", started)
			}
			p.HandleStartReply(now, started[0], filbertford.NewCallReply(filbertford.CallBusy, 9_000_000).WithStartedAt(startedAt), now, now)
			again := false
			for range 5 {
				now += 20 * time.Millisecond
				p.Tick(now, 1_000_000)
				for _, a := range p.TakeActions(now) {
					switch c := a.(type) {
					case StartCall:
						if c.Request.Task() == first.Task() {
							t.Fatalf("the task was started again on %s beside its run", c.Request.Instance().ID())
						}
						again = again || c.Request.Task() == started[0].Task()
					case PollCall:
						if c.Request.Instance().ID() == "t00" {
							p.HandlePollReply(now, c, filbertford.NewCallReply(filbertford.CallUnknown, 0), now, now)
						}
					}
				}
			}
			if reading := p.targets["t00"].clock.reading; reading != 1010 {
				t.Errorf("the target's clock reads %d, want 1010 as in its own last reply", reading)
			}
			if !again {
				t.Error("the task that was rejected wasn't started elsewhere")
			}
		})
	}
}
