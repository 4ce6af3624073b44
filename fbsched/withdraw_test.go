package fbsched

import (
	"testing"
	"time"

	"github.com/filbertford/filbertford"
)

// TestAbandonedJobIsWithdrawnFromLostOwner checks that a job whose pool has no owner any more
// is withdrawn from the last one, which may run its tasks and still hear the coordinator.
func TestAbandonedJobIsWithdrawnFromLostOwner(t *testing.T) {
	c := NewCoordinator("p")
	now := time.Minute
	c.SetOwner(now, "p", "a", 1)
	step := filbertford.NewStep(1, filbertford.NewResources(1000, 1, 0), 100*time.Millisecond)
	route := filbertford.NewRoute("h", "/p/", "ordering").WithPolicy(0, 3).WithObjective(1.6, 60*time.Millisecond, 0)
	c.Submit(now, 1, route, filbertford.NewWorkload("00000000000000aa", "", step).WithBestEffort(true), 2*time.Second)
	c.SetOwner(now, "p", "", 0)
	c.TakeActions()
	now += 2 * time.Second
	c.Tick(now)
	answered, withdrawnFrom := false, filbertford.NodeID("")
	for _, a := range c.TakeActions() {
		switch v := a.(type) {
		case Answer:
			answered = true
		case SendWithdrawal:
			withdrawnFrom = v.To
		}
	}
	now += returnTimeout
	c.Tick(now)
	for _, a := range c.TakeActions() {
		if _, ok := a.(Answer); ok {
			answered = true
		}
	}
	if !answered || withdrawnFrom != "a" {
		t.Errorf("answered: %t, withdrawn from %q, want true and \"a\"", answered, withdrawnFrom)
	}
}
