package fbsched

import (
	"strings"
	"testing"
	"time"
)

// TestReturnedJobWaitsForRunOfEarlierOwner guards against a job that comes again after its pool's owner
// was lost, and is started while the new owner can't reach the target that still runs the first attempt.
func TestReturnedJobWaitsForRunOfEarlierOwner(t *testing.T) {
	sim := newSimulation(2, 1)
	sim.taskDuration = 3 * time.Second
	first := sim.addOwner("n1", 1)
	sim.advance(50 * time.Millisecond)
	sim.announceOwner(first)
	sim.submit(1, "00000000000000aa", 1)
	sim.advance(100 * time.Millisecond)
	used := ""
	for id, target := range sim.targets {
		if target.running() > 0 {
			used = string(id)
		}
	}
	if used == "" {
		t.Fatal("no target runs the task")
	}
	first.stopped = true
	sim.linkDown = func(o *fakeOwner, address string) (request, reply bool) {
		cut := o.node == "n2" && strings.HasPrefix(address, used)
		return cut, cut
	}
	sim.announceOwner(nil)
	sim.coordinator.CancelRequest(sim.now, 1)
	sim.submit(2, "00000000000000aa", 1)
	sim.announceOwner(sim.addOwner("n2", 2))
	sim.advance(3 * time.Second)
	if len(sim.violations) > 0 || sim.starts != 2 {
		t.Errorf("%d starts, want 2; broken rules: %v", sim.starts, sim.violations)
	}
}
