package fbsched

import (
	"testing"
	"time"

	"github.com/filbertford/filbertford"
)

// TestRecordOfUnreadInstanceFreesNoRun checks a target that started twice within the delay of its
// record: the record of the instance between, whose time of day was later, gives no run up.
func TestRecordOfUnreadInstanceFreesNoRun(t *testing.T) {
	const first, between, current = 1_000, 3_000, 2_000
	now := time.Minute
	p := NewPool(testPool, 1, 1_000_000, now)
	p.SetTargets(now, []filbertford.TargetRecord{recordOf("t00", first), recordOf("t01", 1)})
	answerLists(p, now, "t00", first, 500_000)
	answerLists(p, now, "t01", 1, 500_000)
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
	run := filbertford.NewRunStatus(started[0].Task(), started[0].Run(), 10)
	answerLists(p, now, "t00", current, 150, run)
	answerLists(p, now, "t01", 1, 500_650)
	for range 3 {
		now += 20 * time.Millisecond
		p.SetTargets(now, []filbertford.TargetRecord{recordOf("t00", between), recordOf("t01", 1)})
		p.Tick(now, 1_000_000)
		if again := startCalls(p.TakeActions(now)); len(again) > 0 {
			t.Fatalf("the task was started again on %s", again[0].Instance().ID())
		}
		now += 5 * time.Millisecond
		answerLists(p, now, "t00", current, now.Milliseconds()-60_450, run)
	}
	if r := p.activeRuns[started[0].Task()]; r == nil || !r.listed {
		t.Error("the run on the current instance has been given up")
	}
}
