package fbsched

import (
	"testing"
	"time"
)

// TestRunThatEndedBehindCutIsNotRepeated checks a task whose run was done while its target was
// cut off, and whose lease counted as expired before the end was listed.
func TestRunThatEndedBehindCutIsNotRepeated(t *testing.T) {
	sim := newSimulation(1, 2)
	sim.crashUnder(isDeadlyTask)
	sim.announceOwner(sim.addOwner("a", 1))
	sim.advance(100 * time.Millisecond)
	cut := false
	sim.linkDown = func(*fakeOwner, string) (bool, bool) { return cut, cut }
	sim.startStored("00000000000000aa", 1, false)
	sim.advance(50 * time.Millisecond)
	cut = true
	sim.advance(2 * time.Second)
	cut = false
	sim.advance(2 * time.Second)
	if sim.countEvents(EventTargetLeasesExpired) == 0 {
		t.Fatal("the lease has not expired")
	}
	if sim.starts != 1 || sim.coordinator.Jobs() > 0 {
		t.Errorf("%d starts, %d jobs left; want one start and no job", sim.starts, sim.coordinator.Jobs())
	}
}
