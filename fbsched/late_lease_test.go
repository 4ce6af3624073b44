package fbsched

import (
	"testing"
	"time"
)

// TestLateCallToEarlierInstanceExtendsLease checks a target that has started again under its
// ID and then doesn't reply: a call sent to the earlier instance may extend the lease there.
func TestLateCallToEarlierInstanceExtendsLease(t *testing.T) {
	sim := newSimulation(2, 1)
	sim.taskDuration = time.Minute
	sim.announceOwner(sim.addOwner("a", 1))
	sim.advance(100 * time.Millisecond)
	sim.targets["t00"].restart("t00", testWallOffset+sim.now.Milliseconds())
	sim.updateRecords()
	sim.advance(3 * time.Second)
	sim.crashUnder(isDeadlyTask)
	sim.startStored("00000000000000aa", 2, false)
	sim.advance(300 * time.Millisecond)
	lost := false
	sim.linkDown = func(_ *fakeOwner, address string) (bool, bool) {
		return lost && address == "t00:80", lost && address == "t00:80"
	}
	lost = true
	starts := sim.starts
	sim.advance(lateCallTimeout - 4*time.Second)
	if sim.countEvents(EventTargetLeasesExpired) > 0 || sim.starts > starts {
		t.Errorf("a run on t00 is taken for ended while late calls may extend its lease")
	}
	sim.advance(7 * time.Second)
	if sim.countEvents(EventTargetLeasesExpired) == 0 {
		t.Error("the run on t00 is never taken for ended")
	}
}
