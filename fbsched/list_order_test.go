package fbsched

import (
	"testing"
	"time"

	"github.com/filbertford/filbertford"
)

// TestListsOfOneMillisecond delivers two lists that a target wrote in one millisecond, before and
// after a run started, in the other order.
func TestListsOfOneMillisecond(t *testing.T) {
	sim := newSimulation(1, 4)
	p, now := NewPool(testPool, 1, 1_000_000, sim.now), sim.now
	p.SetTargets(now, sim.records())
	p.TakeActions(now)
	tgt := p.targets["t00"]
	answer := func(number uint64, clock int64, runs ...filbertford.RunStatus) {
		req := filbertford.NewPollRequest(tgt.rec.Instance(), "", 1, 0, 0, 0)
		p.HandlePollReply(now, PollCall{Request: req, Number: number}, filbertford.NewCallReply(filbertford.CallDone, clock).WithRuns(runs, nil), now, now)
	}
	answer(tgt.pollNumber, 1000)
	step := filbertford.NewStep(1, filbertford.NewResources(1000, 1, 0), time.Second)
	p.Offer(now, "c", NewBatch(testPool, "job", 0, 0, step, []Item{NewItem(0, 0)}).WithWork("spec", "ordering", 3).WithTimes(5*time.Second, 5*time.Second).WithFence(1))
	starts := 0
	var start filbertford.StartRunRequest
	count := func() {
		for _, a := range p.TakeActions(now) {
			if c, ok := a.(StartCall); ok {
				starts, start = starts+1, c.Request
			}
		}
	}
	count()
	if starts != 1 {
		t.Fatalf("%d starts, want 1", starts)
	}
	now += time.Millisecond
	p.HandleStartReply(now, start, filbertford.NewCallReply(filbertford.CallDone, 1002), now, now)
	tgt.pollNumber += 2 // two polls were sent
	answer(tgt.pollNumber-1, 1002, filbertford.NewRunStatus(start.Task(), start.Run(), 0))
	answer(tgt.pollNumber, 1002)
	if count(); starts != 1 {
		t.Errorf("the task was started again while its run works")
	}
}

// TestListOlderThanItsClock delivers lists that a target read before a run began, with a reading of
// its clock from after the lists that show the run.
func TestListOlderThanItsClock(t *testing.T) {
	now := time.Minute
	p, first := poolWithRun(t, now)
	older := PollCall{Request: pollOf(p, "t00"), Number: p.targets["t00"].pollNumber + 1}
	sent := now
	now += 5 * time.Millisecond
	p.HandleStartReply(now, first, filbertford.NewCallReply(filbertford.CallDone, 1002), sent, now)
	answerLists(p, now, "t00", 1, 1003, filbertford.NewRunStatus(first.Task(), first.Run(), 0))
	lists := filbertford.NewCallReply(filbertford.CallDone, 1005).WithStartedAt(1)
	now += time.Millisecond
	p.HandlePollReply(now, older, lists, sent, now)
	if again := startCalls(p.TakeActions(now)); len(again) > 0 {
		t.Fatalf("the task was started again on %s beside its run", again[0].Instance().ID())
	}
	answerLists(p, now, "t00", 1, 1010)
	if n := len(startCalls(p.TakeActions(now))); n != 1 {
		t.Errorf("%d starts after a poll that was sent later doesn't list the run, want 1", n)
	}
}
