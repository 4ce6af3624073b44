package fbsched

import (
	"testing"
	"time"
)

// TestEndOnRestartedTargetIsNotAcknowledgedUnseen checks a target that starts again while the pool
// knows ends of the earlier instance: a run that is done on the new one isn't repeated.
func TestEndOnRestartedTargetIsNotAcknowledgedUnseen(t *testing.T) {
	for name, idle := range map[string]time.Duration{"target was busy": 50 * time.Millisecond, "target was idle": 3 * time.Second} {
		t.Run(name, func(t *testing.T) { checkEndsAfterRestart(t, idle) })
	}
}

// checkEndsAfterRestart restarts a target that has been idle for the given time.
func checkEndsAfterRestart(t *testing.T, idle time.Duration) {
	t.Helper()
	sim := newSimulation(1, 4)
	target := sim.targets["t00"]
	target.restart("t00", 1000)
	o := sim.addOwner("a", 1)
	sim.advance(30 * time.Millisecond)
	sim.announceOwner(o)
	sim.submit(1, "00000000000000aa", 4)
	sim.advance(110*time.Millisecond + idle)
	target.crash()
	sim.advance(600 * time.Millisecond)
	target.restart("t00", 2000)
	sim.advance(100 * time.Millisecond)
	o.pool.SetTargets(sim.now, sim.records())
	sim.submit(2, "00000000000000bb", 4)
	starts := sim.starts
	sim.advance(2 * time.Second)
	if got := sim.starts - starts; got != 4 {
		t.Errorf("the second job's tasks were started %d times, want 4", got)
	}
}
