package fbsched

import (
	"math"
	"time"

	"github.com/filbertford/filbertford"
)

// targetCapacity is a target that can take another task, with its room.
type targetCapacity struct {
	target *target
	factor float64 // by which a run takes longer than estimated
	free   filbertford.Resources
	closed bool // it takes no more
}

// serviceCapacity holds the openings for a service at one moment.
type serviceCapacity struct {
	targets   []targetCapacity
	maxFree   filbertford.Resources // no opening has more of anything
	minFactor float64               // the least factor of any usable target, full ones too
}

// capacityByService returns the openings of the pool by service.
func (p *Pool) capacityByService(now time.Duration) map[string]*serviceCapacity {
	out := make(map[string]*serviceCapacity, 1)
	for _, t := range p.order {
		service := t.rec.Service()
		if !p.usable(now, t, service) {
			continue
		}
		capacity := out[service]
		if capacity == nil {
			capacity = &serviceCapacity{minFactor: math.Inf(1)}
			out[service] = capacity
		}
		factor := p.factorOf(t)
		capacity.minFactor = min(capacity.minFactor, factor)
		free := t.rec.Capacity().Sub(t.used)
		if !t.health.accepts(now, len(t.runs)) {
			continue
		}
		capacity.maxFree = capacity.maxFree.Max(free)
		capacity.targets = append(capacity.targets, targetCapacity{target: t, factor: factor, free: free})
	}
	return out
}

// reserve lowers the room of an opening by what a task demands.
func (c *serviceCapacity) reserve(t *targetCapacity, d filbertford.Resources) {
	t.free = t.free.Sub(d)
	c.maxFree = filbertford.Resources{}
	for i := range c.targets {
		if !c.targets[i].closed {
			c.maxFree = c.maxFree.Max(c.targets[i].free)
		}
	}
}
