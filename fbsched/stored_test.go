package fbsched

import (
	"testing"
	"time"

	"github.com/filbertford/filbertford"
)

// TestAbandonAllKeepsStoredJobs checks that a coordinator that was suspended keeps its
// stored jobs: their callers have been told that they will run, and only the shard owner
// can tell whether another daemon has taken them over.
func TestAbandonAllKeepsStoredJobs(t *testing.T) {
	now := time.Minute
	c := NewCoordinator(testPool)
	c.SetOwner(now, testPool, "a", 1)
	route := filbertford.NewRoute("host", "/jobs/", "ordering").WithPolicy(0, 3)
	step := filbertford.NewStep(2, filbertford.NewResources(1000, 1, 0), 100*time.Millisecond)
	c.StartStored(now, route, filbertford.NewWorkload("00000000000000aa", "", step), func(int, int) Progress { return Progress{} }, false)
	c.Submit(now, 1, route, filbertford.NewWorkload("00000000000000bb", "", step).WithBestEffort(true), time.Second)
	c.TakeActions()
	c.AbandonAll(now, "the daemon was suspended")
	answered := false
	for _, a := range c.TakeActions() {
		switch v := a.(type) {
		case Answer:
			answered = v.Answer.Kind() == filbertford.AnswerUnknown
		case SendWithdrawal:
			if v.Withdrawal.Job() == "00000000000000aa" {
				t.Error("the tasks of the stored job are withdrawn")
			}
		}
	}
	if !answered {
		t.Error("the best-effort job is not answered as unknown")
	}
	if n := c.Jobs(); n != 1 {
		t.Errorf("the coordinator has %d jobs, want the stored one", n)
	}
}

// TestCancelledStoredJobIsWithdrawnFromLostOwner checks that a stored job is withdrawn from an
// owner that isn't heard when the job is cancelled.
func TestCancelledStoredJobIsWithdrawnFromLostOwner(t *testing.T) {
	c := NewCoordinator("p")
	now := time.Minute
	c.SetOwner(now, "p", "a", 1)
	route := filbertford.NewRoute("h", "/p/", "ordering").WithPolicy(0, 3)
	w := filbertford.NewWorkload("00000000000000aa", "", filbertford.NewStep(1, filbertford.NewResources(1000, 1, 0), 100*time.Millisecond))
	c.StartStored(now, route, w, func(int, int) Progress { return Progress{} }, false)
	c.SetOwner(now, "p", "", 0)
	c.TakeActions()
	c.CancelStored(w.Key())
	var to filbertford.NodeID
	for _, a := range c.TakeActions() {
		if v, ok := a.(SendWithdrawal); ok {
			to = v.To
		}
	}
	if to != "a" {
		t.Errorf("withdrawn from %q, want a", to)
	}
}
