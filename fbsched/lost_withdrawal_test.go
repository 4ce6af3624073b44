package fbsched

import (
	"testing"
	"time"
)

// TestLostWithdrawalIsRepeated loses the withdrawal of a job with the stream to the owner. When
// the job would be sent again, the run must be over.
func TestLostWithdrawalIsRepeated(t *testing.T) {
	sim := newSimulation(1, 1)
	sim.taskDuration = 3 * time.Second
	o := sim.addOwner("a", 1)
	sim.advance(30 * time.Millisecond)
	sim.announceOwner(o)
	sim.submit(1, "00000000000000aa", 1)
	sim.advance(100 * time.Millisecond)
	sim.streamDown = true
	sim.streams++
	sim.coordinator.CancelRequest(sim.now, 1)
	sim.advance(100 * time.Millisecond)
	sim.streamDown = false
	sim.streams++
	sim.reconnect("c")
	sim.coordinator.Resume(sim.now, testPool)
	sim.advance(1200 * time.Millisecond)
	if n := len(sim.targets["t00"].runs); n != 0 {
		t.Errorf("%d runs 1.3 s after the caller has gone, want 0", n)
	}
}
