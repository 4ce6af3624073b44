package fbsched

import (
	"testing"
	"time"

	"github.com/filbertford/filbertford"
)

// TestEarlierInstanceWithLaterStartTimeFreesNoRun checks a target whose time of day was set back
// before it started again: a run that the new instance lists isn't started elsewhere.
func TestEarlierInstanceWithLaterStartTimeFreesNoRun(t *testing.T) {
	const earlier, current = 2_000, 1_000
	for _, late := range []string{"its record is applied again", "its reply is late"} {
		t.Run(late, func(t *testing.T) {
			now := time.Minute
			p := NewPool(testPool, 1, 1_000_000, now)
			records := []filbertford.TargetRecord{recordOf("t00", earlier), recordOf("t01", 1)}
			p.SetTargets(now, records)
			answerLists(p, now, "t00", earlier, 500_000)
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
			now += 10 * time.Millisecond
			p.HandleStartReply(now, started[0], filbertford.NewCallReply(filbertford.CallDone, 105), now, now)
			now += 40 * time.Millisecond
			answerLists(p, now, "t00", current, 150, filbertford.NewRunStatus(started[0].Task(), started[0].Run(), 10))
			answerLists(p, now, "t01", 1, 500_650)
			now += 20 * time.Millisecond
			if late == "its reply is late" {
				p.HandlePollReply(now, PollCall{Number: 1, Request: slow}, filbertford.NewCallReply(filbertford.CallDone, 500_030).WithStartedAt(earlier), sent, now)
			} else {
				p.SetTargets(now, records)
			}
			p.Tick(now, 1_000_000)
			if again := startCalls(p.TakeActions(now)); len(again) > 0 {
				t.Fatalf("the task was started again on %s", again[0].Instance().ID())
			}
			if r := p.activeRuns[started[0].Task()]; r == nil || !r.listed {
				t.Error("the run on the new instance has been given up")
			}
		})
	}
}
