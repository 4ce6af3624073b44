package fbsched

import (
	"testing"
	"time"

	"github.com/filbertford/filbertford"
)

// TestListsOfTheSameMillisecond checks two lists that a target has written in the same
// millisecond, one before and one after a run began. Their order is unknown, whichever was
// asked for first: the run isn't taken for ended.
func TestListsOfTheSameMillisecond(t *testing.T) {
	for name, listedFirst := range map[string]bool{"list with the run first": true, "list without the run first": false} {
		t.Run(name, func(t *testing.T) {
			now := time.Minute
			p, first := poolWithRun(t, now)
			sent := now
			now += 5 * time.Millisecond
			p.HandleStartReply(now, first, filbertford.NewCallReply(filbertford.CallDone, 1020), sent, now)
			with := PollCall{Request: pollOf(p, "t00"), Number: p.targets["t00"].pollNumber + 1}
			without := with
			without.Number++
			lists := filbertford.NewCallReply(filbertford.CallDone, 1020).WithStartedAt(1)
			run := filbertford.NewRunStatus(first.Task(), first.Run(), 0)
			now += 5 * time.Millisecond
			if listedFirst {
				p.HandlePollReply(now, with, lists.WithRuns([]filbertford.RunStatus{run}, nil), sent, now)
				p.HandlePollReply(now, without, lists, sent, now)
			} else {
				p.HandlePollReply(now, without, lists, sent, now)
				p.HandlePollReply(now, with, lists.WithRuns([]filbertford.RunStatus{run}, nil), sent, now)
			}
			p.Tick(now, 1_000_000)
			if again := startCalls(p.TakeActions(now)); len(again) > 0 {
				t.Fatalf("the task was started again on %s", again[0].Instance().ID())
			}
			if r := p.activeRuns[first.Task()]; r == nil || r.number != first.Run() {
				t.Error("the pool has lost the run")
			}
		})
	}
}
