package fbsched

import (
	"testing"
	"time"
)

// TestInheritedRunCountsBeforeItIsAdopted submits a job to a new owner that has listed a run
// of its predecessor, but not been offered its task. The target doesn't guard its capacity.
func TestInheritedRunCountsBeforeItIsAdopted(t *testing.T) {
	sim := newSimulation(1, 1)
	sim.taskDuration = time.Second
	sim.unguarded = true
	a := sim.addOwner("a", 1)
	sim.advance(30 * time.Millisecond)
	sim.announceOwner(a)
	sim.submit(1, "00000000000000bb", 1)
	sim.advance(100 * time.Millisecond)
	a.stopped = true
	sim.submit(2, "00000000000000aa", 1)
	b := sim.addOwner("b", 2)
	sim.advance(100 * time.Millisecond)
	sim.announceOwner(b)
	sim.advance(3 * time.Second)
	if len(sim.violations) > 0 {
		t.Error(sim.violations)
	}
}
