package fbsched

import (
	"fmt"
	"testing"
	"time"
)

// TestLostWithdrawalIsRepeated: the withdrawal of a job is lost with its stream.
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

// TestReconnectDoesNotProlongRuns: the withdrawal of a job is lost with its stream, and the
// stream comes back just before its coordinator counts as lost.
func TestReconnectDoesNotProlongRuns(t *testing.T) {
	for _, cut := range []time.Duration{100 * time.Millisecond, 400 * time.Millisecond, 700 * time.Millisecond} {
		for _, stopsLost := range []bool{false, true} {
			t.Run(fmt.Sprintf("%v, stops lost: %v", cut, stopsLost), func(t *testing.T) {
				sim := newSimulation(1, 1)
				sim.taskDuration = 6 * time.Second
				o := sim.addOwner("a", 1)
				sim.advance(30 * time.Millisecond)
				sim.announceOwner(o)
				sim.submit(1, "00000000000000aa", 1)
				sim.advance(500 * time.Millisecond)
				if stopsLost {
					sim.targets["t00"].stopTime = time.Minute
				}
				sim.streamDown = true
				sim.streams++
				sim.coordinator.CancelRequest(sim.now, 1)
				sim.advance(cut)
				sim.streamDown = false
				sim.streams++
				sim.reconnect("c")
				sim.coordinator.Resume(sim.now, testPool)
				sim.advance(resendDelay - cut)
				if n := len(sim.targets["t00"].runs); n != 0 {
					t.Errorf("%d runs %v after the caller has gone, want 0", n, resendDelay)
				}
			})
		}
	}
}
