package fbsched

import (
	"testing"
	"time"

	"github.com/filbertford/filbertford"
)

// TestEndedTargetIsNotAddedAgain checks that a target at whose address another one replies
// stays out of the pool while its record still exists.
func TestEndedTargetIsNotAddedAgain(t *testing.T) {
	sim := newSimulation(2, 2)
	sim.announceOwner(sim.addOwner("a", 1))
	sim.advance(100 * time.Millisecond)
	stale := sim.records()
	sim.targets["t00"].restart("t00-1", testWallOffset+sim.now.Milliseconds())
	records := append(stale, sim.targets["t00"].rec)
	sim.submit(1, "00000000000000aa", 4)
	sim.advance(time.Second)
	added := sim.countEvents(EventTargetAdded)
	for range 20 {
		sim.owners[0].pool.SetTargets(sim.now, records)
		sim.advance(100 * time.Millisecond)
	}
	if n := sim.countEvents(EventTargetAdded) - added; n != 1 {
		t.Errorf("%d targets were added, want the new one", n)
	}
	var listed []filbertford.TargetID
	for _, target := range sim.owners[0].pool.sortedTargets {
		listed = append(listed, target.id())
	}
	if len(listed) != 2 {
		t.Errorf("targets %v, want two", listed)
	}
}
