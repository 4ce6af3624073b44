package fbsched

import (
	"math"
	"time"

	"github.com/filbertford/filbertford"
	"github.com/filbertford/filbertford/fbplacement"
)

// targetCapacity is the free capacity of a target that accepts another task.
type targetCapacity struct {
	target *target
	factor float64 // by which a run takes longer than estimated
	free   filbertford.Resources
	closed bool // accepts no more tasks
	// reservation is the reservation for a large task, nil if none applies.
	reservation *activeReservation
}

// serviceCapacity is the free capacity of a pool's targets for one service.
type serviceCapacity struct {
	targets   []targetCapacity      // also those that are reserved, which are closed
	maxFree   filbertford.Resources // maximum of each free resource over targets that are not closed
	openFree  filbertford.Resources // as maxFree, over targets to which no reservation applies
	minFactor float64               // minimum over all usable targets, including full ones
	totalCPU  int                   // of all usable targets, in thousandths of a core
	freeCPU   int                   // of targets that are not closed
	placement filbertford.Placement
}

// maxCapacity is the most of each resource that counts of a target. The sums over a pool's targets
// can't overflow, whatever the records say.
const maxCapacity = 1 << 40

// scarceShare is the share of the CPU of a service's usable targets below which free
// capacity counts as scarce. Above it, fast targets are free for tasks that need them,
// and a task on a slower one would only end later.
const scarceShare = 0.25

// putsSlowAside reports whether targets get few tasks after runs that took far too long.
func (p *Pool) putsSlowAside() bool { return p.scheduling.Placement() == filbertford.PlaceInTime }

// placementOf returns how targets are chosen for the tasks of a service.
func (p *Pool) placementOf(c *serviceCapacity) filbertford.Placement {
	if p.scheduling.Placement() == filbertford.PlaceInTime && float64(c.freeCPU) < scarceShare*float64(c.totalCPU) {
		return fbplacement.SlowestInTime{}
	}
	return fbplacement.Fastest{}
}

// capacityByService returns the free capacity of the pool's targets by service.
func (p *Pool) capacityByService(now time.Duration) map[string]*serviceCapacity {
	out := make(map[string]*serviceCapacity, 1)
	for _, t := range p.sortedTargets {
		service := t.rec.Service()
		if !p.usable(now, t, service) {
			continue
		}
		capacity := out[service]
		if capacity == nil {
			capacity = &serviceCapacity{minFactor: math.Inf(1)}
			out[service] = capacity
		}
		factor := p.factorOf(t) * p.coldFactorOf(now, t)
		capacity.minFactor = min(capacity.minFactor, factor)
		capacity.totalCPU += t.rec.Capacity().CPU()
		free := p.free(now, t)
		if !t.health.accepts(now, len(t.runs)) || t.hasUnknownDemand() || t.aloneRuns > 0 {
			continue
		}
		closed := p.reserved(t)
		if !closed {
			capacity.maxFree = capacity.maxFree.Max(free)
			capacity.freeCPU += max(0, free.CPU())
		}
		capacity.targets = append(capacity.targets, targetCapacity{target: t, factor: factor, free: free, closed: closed})
	}
	for _, capacity := range out {
		capacity.placement = p.placementOf(capacity)
	}
	return out
}

// hasUnknownDemand reports whether the target has a run of an earlier owner whose task nobody
// has offered yet, so that its free capacity is unknown.
func (t *target) hasUnknownDemand() bool {
	if t.limitedRuns == 0 {
		return false // the lease of a run that nobody has claimed is limited
	}
	for _, r := range t.runs {
		if r.task == nil && r.demand == (filbertford.Resources{}) {
			return true
		}
	}
	return false
}

// reserve subtracts a task's demand from the free capacity of a target.
func (c *serviceCapacity) reserve(t *targetCapacity, d filbertford.Resources) {
	t.free = t.free.Sub(d)
	c.updateMaxFree()
}

// updateMaxFree updates maxFree after the free capacity of a target has changed.
func (c *serviceCapacity) updateMaxFree() {
	c.maxFree, c.openFree = filbertford.Resources{}, filbertford.Resources{}
	for i := range c.targets {
		if c.targets[i].closed {
			continue
		}
		c.maxFree = c.maxFree.Max(c.targets[i].free)
		if c.targets[i].reservation == nil {
			c.openFree = c.openFree.Max(c.targets[i].free)
		}
	}
}
