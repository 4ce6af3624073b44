package fbcore

import "github.com/filbertford/filbertford"

// pool holds the eligible targets of a service as candidates for the policy, in an
// order that changes only with the list of targets. A change of one target updates
// its candidate alone, so that a start need not visit all targets.
type pool struct {
	service    string
	candidates []filbertford.Candidate
	indexes    map[filbertford.TargetID]int
	slots      int
}

// poolOf returns the pool of a service and creates it on first use.
func (c *Core) poolOf(service string) *pool {
	p := c.pools[service]
	if p == nil {
		p = &pool{service: service}
		c.pools[service] = p
		c.rebuildPool(p)
	}
	return p
}

// rebuildPool rebuilds a pool from the list of targets.
func (c *Core) rebuildPool(p *pool) {
	p.candidates = p.candidates[:0]
	p.indexes = make(map[filbertford.TargetID]int, len(c.targetIDs))
	p.slots = 0
	for _, id := range c.targetIDs {
		t := c.targets[id]
		if !t.eligible(p.service) {
			continue
		}
		p.indexes[id] = len(p.candidates)
		p.candidates = append(p.candidates, t.candidate())
		p.slots += t.vm.Slots()
	}
}

// rebuildPools rebuilds all pools after a change of the list of targets or of a
// target's eligibility.
func (c *Core) rebuildPools() {
	for _, p := range c.pools {
		c.rebuildPool(p)
	}
}

// updatePools updates the target's candidate in all pools that hold it.
func (c *Core) updatePools(t *target) {
	id := filbertford.TargetID(t.vm.ID())
	for _, p := range c.pools {
		if i, ok := p.indexes[id]; ok {
			p.candidates[i] = t.candidate()
		}
	}
}
