package fbsched

import (
	"testing"
	"time"
)

// TestRunOnRestartedTargetIsKept checks a run on a target that started again under its ID,
// whose record arrives after the start of the run.
func TestRunOnRestartedTargetIsKept(t *testing.T) {
	sim := newSimulation(2, 1)
	sim.taskDuration = 500 * time.Millisecond
	o := sim.addOwner("a", 1)
	sim.advance(30 * time.Millisecond)
	sim.announceOwner(o)
	sim.targets["t00"].restart("t00", 2)
	sim.submit(1, "00000000000000aa", 1)
	sim.advance(50 * time.Millisecond)
	o.pool.SetTargets(sim.now, sim.records())
	sim.advance(time.Second)
	if len(sim.violations) > 0 {
		t.Error(sim.violations)
	}
}
