package fbsched

import (
	"fmt"
	"testing"
	"time"

	"github.com/filbertford/filbertford"
)

// TestTruncatedListOfEndedRuns checks a target that lists only the first of its ended runs. A run
// that is in neither list may have ended as done, so that its task isn't started again.
func TestTruncatedListOfEndedRuns(t *testing.T) {
	now := time.Minute
	p, first := poolWithRun(t, now)
	p.HandleStartReply(now, first, filbertford.NewCallReply(filbertford.CallDone, 1005), now, now)
	answerLists(p, now, "t00", 1, 1010, filbertford.NewRunStatus(first.Task(), first.Run(), 10))
	var ended []filbertford.EndedRun
	for i := range maxListedEnds {
		key := filbertford.NewTaskKey(filbertford.JobKey(fmt.Sprintf("%016x", i+1)), 0, 0, 0)
		ended = append(ended, filbertford.NewEndedRun(uint64(i+1), key, 7, filbertford.RunDone))
	}
	now += 20 * time.Millisecond
	lists := filbertford.NewCallReply(filbertford.CallDone, 1030).WithStartedAt(1)
	answerPoll(p, now, pollOf(p, "t00"), lists.WithRuns(nil, ended))
	p.Tick(now, 1_000_000)
	if again := startCalls(p.TakeActions(now)); len(again) > 0 {
		t.Fatalf("the task was started again on %s", again[0].Instance().ID())
	}
	now += 20 * time.Millisecond
	last := filbertford.NewEndedRun(maxListedEnds+1, first.Task(), first.Run(), filbertford.RunDone)
	lists = filbertford.NewCallReply(filbertford.CallDone, 1050).WithStartedAt(1)
	answerPoll(p, now, pollOf(p, "t00"), lists.WithRuns(nil, []filbertford.EndedRun{last}))
	if p.tasks[first.Task()] != nil {
		t.Error("the task hasn't ended with its run")
	}
}

// TestTargetWithTruncatedListIsNotListed checks that a new owner doesn't take a target as listed
// before it has seen all of its ended runs.
func TestTargetWithTruncatedListIsNotListed(t *testing.T) {
	now := time.Minute
	p := NewPool(testPool, 2, 1_000_000, now)
	p.SetTargets(now, []filbertford.TargetRecord{recordOf("t00", 1)})
	var ended []filbertford.EndedRun
	for i := range maxListedEnds {
		key := filbertford.NewTaskKey(filbertford.JobKey(fmt.Sprintf("%016x", i+1)), 0, 0, 0)
		ended = append(ended, filbertford.NewEndedRun(uint64(i+1), key, 6, filbertford.RunDone))
	}
	lists := filbertford.NewCallReply(filbertford.CallDone, 1000).WithStartedAt(1)
	answerPoll(p, now, pollOf(p, "t00"), lists.WithRuns(nil, ended))
	if p.targets["t00"].listed || p.allListed {
		t.Error("the target counts as listed")
	}
	var acked uint64
	for _, a := range p.TakeActions(now) {
		if c, ok := a.(PollCall); ok {
			acked = max(acked, c.Request.Acked())
		}
	}
	if acked != maxListedEnds {
		t.Errorf("the next poll acknowledges ends up to %d, want %d", acked, maxListedEnds)
	}
}
