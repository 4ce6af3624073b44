package fbsched

import (
	"testing"
	"time"
)

// TestRemovedTargetThatDoesNotReplyIsDropped checks that a target that has crashed and whose
// record has been removed is not polled for ever.
func TestRemovedTargetThatDoesNotReplyIsDropped(t *testing.T) {
	sim := newSimulation(2, 2)
	sim.announceOwner(sim.addOwner("a", 1))
	sim.advance(100 * time.Millisecond)
	sim.submit(1, "00000000000000aa", 4)
	sim.advance(20 * time.Millisecond)
	sim.targets["t00"].crash()
	sim.advance(7 * time.Second)
	delete(sim.targets, "t00")
	pool := sim.owners[0].pool
	pool.SetTargets(sim.now, sim.records())
	sim.advance(3 * time.Second)
	calls := sim.calls
	sim.advance(10 * time.Second)
	if pool.targets["t00"] != nil {
		t.Errorf("the target is still in the pool; %d calls in 10 s", sim.calls-calls)
	}
}
