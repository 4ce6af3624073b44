package fbsched

import (
	"math"
	"testing"
	"time"

	"github.com/filbertford/filbertford"
)

// TestHugeCapacityDoesNotOverflowSums guards against the capacity of a pool that overflows, since
// the records of a few targets state a huge one: free targets would count as scarce, and the pool
// as one without capacity.
func TestHugeCapacityDoesNotOverflowSums(t *testing.T) {
	const fromOthers = 4000 // thousandths of a core of the targets with a true capacity
	tests := map[string]filbertford.Resources{
		"maximum":  filbertford.NewResources(math.MaxInt, math.MaxInt, math.MaxInt),
		"half":     filbertford.NewResources(math.MaxInt/2+1, 1, 0),
		"minimum":  filbertford.NewResources(math.MinInt, 1, 0),
		"negative": filbertford.NewResources(-5, 1, 0),
	}
	for name, capacity := range tests {
		t.Run(name, func(t *testing.T) {
			sim := newSimulation(2, 2)
			for _, id := range []filbertford.TargetID{"t90", "t91", "t92"} {
				sim.addTarget(id, 0).setCapacity(capacity)
			}
			o := sim.addOwner("a", 1)
			sim.announceOwner(o)
			sim.advance(100 * time.Millisecond)
			for _, c := range o.pool.Capacities(sim.now) {
				if c.Total() < fromOthers || c.Rate() < 0 || c.Backlog() < 0 {
					t.Errorf("the pool reports a total of %d, a rate of %d and a backlog of %v, want at least %d", c.Total(), c.Rate(), c.Backlog(), fromOthers)
				}
			}
			for _, c := range o.pool.capacityByService(sim.now) {
				if c.totalCPU < fromOthers || c.freeCPU < fromOthers || c.freeCPU > c.totalCPU {
					t.Errorf("the sums are %d and, of free targets, %d, want at least %d", c.totalCPU, c.freeCPU, fromOthers)
				}
			}
		})
	}
}
