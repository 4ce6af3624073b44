package fbcore

import "github.com/filbertford/filbertford"

// pool holds the targets of a service that have a slot believed to be free. It
// is kept up to date target by target, so that a start need not look at all.
type pool struct {
	service    string
	candidates []filbertford.Candidate
	places     map[filbertford.TargetID]int
	slots      int // at all eligible targets, free or not
}

// poolOf returns the pool of a service, made on first use.
func (c *Core) poolOf(service string) *pool {
	p := c.pools[service]
	if p == nil {
		p = &pool{service: service}
		c.pools[service] = p
		c.rebuild(p)
	}
	return p
}

// rebuild fills a pool anew.
func (c *Core) rebuild(p *pool) {
	p.candidates = p.candidates[:0]
	p.places = make(map[filbertford.TargetID]int, len(c.targetIDs))
	p.slots = 0
	for _, id := range c.targetIDs {
		t := c.targets[id]
		if t.eligible(p.service) {
			p.slots += t.vm.Slots()
			p.update(t)
		}
	}
}

// rebuildPools fills all pools anew after a change of the targets themselves.
func (c *Core) rebuildPools() {
	for _, p := range c.pools {
		c.rebuild(p)
	}
}

// refresh brings a target's free slots up to date in all pools.
func (c *Core) refresh(t *target) {
	free := max(0, t.free())
	if free == t.pooledFree && t.mine == t.pooledMine {
		return
	}
	t.pooledFree, t.pooledMine = free, t.mine
	for _, p := range c.pools {
		if t.eligible(p.service) {
			p.update(t)
		}
	}
}

// update enters, changes or removes a target.
func (p *pool) update(t *target) {
	id := filbertford.TargetID(t.vm.ID())
	i, in := p.places[id]
	free := t.free()
	switch {
	case free > 0 && in:
		p.candidates[i] = filbertford.NewCandidate(id, t.vm.Slots(), t.mine, free)
	case free > 0:
		p.places[id] = len(p.candidates)
		p.candidates = append(p.candidates, filbertford.NewCandidate(id, t.vm.Slots(), t.mine, free))
	case in:
		p.remove(id, i)
	}
}

// remove moves the last candidate to the place of the one removed.
func (p *pool) remove(id filbertford.TargetID, i int) {
	last := len(p.candidates) - 1
	moved := p.candidates[last]
	p.candidates[i] = moved
	p.places[moved.ID()] = i
	p.candidates = p.candidates[:last]
	delete(p.places, id)
}
