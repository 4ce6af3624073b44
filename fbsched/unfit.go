package fbsched

import (
	"maps"
	"slices"
	"time"

	"github.com/filbertford/filbertford"
)

// Times of tasks of stored jobs that no target of their pool can hold.
const (
	// unfitTimeout is how long a pool keeps tasks after none of its targets can hold them: a target that
	// starts again is back sooner.
	unfitTimeout = time.Second
	// unfitCheckPeriod is the time between two checks for such tasks.
	unfitCheckPeriod = 250 * time.Millisecond
	// unfitRetention is how long a pool knows that no target can hold tasks of which it has none.
	unfitRetention = time.Minute
	// probeInterval is the time until a coordinator offers one task again to a pool that could hold none.
	probeInterval = 2 * time.Second
)

// requirement is what tasks need of a target. Tasks with the same requirement can be held by the same
// targets.
type requirement struct {
	service, label string
	demand         filbertford.Resources
}

func requirementOf(service string, s filbertford.Step) requirement {
	return requirement{service: service, label: s.Label(), demand: s.Demand()}
}

// unmetRequirement is a requirement that no target of a pool meets.
type unmetRequirement struct {
	since  time.Duration
	usedAt time.Duration // when a task with the requirement last waited
}

// meets reports whether the target could hold a task even if nothing else ran there.
func (t *target) meets(r requirement) bool {
	return t.rec.Service() == r.service && !t.removed && !t.rec.Draining() && r.demand.Fits(t.rec.Capacity()) && t.rec.HasLabel(r.label)
}

// met reports whether a target of the pool meets the requirement.
func (p *Pool) met(r requirement) bool {
	return slices.ContainsFunc(p.sortedTargets, func(t *target) bool { return t.meets(r) })
}

// tickUnmet returns the waiting tasks of stored jobs that no target has been able to hold for unfitTimeout.
func (p *Pool) tickUnmet(now time.Duration) {
	if now < p.nextUnmetCheck || !p.allListed || p.evacuated {
		return
	}
	p.nextUnmetCheck = now + unfitCheckPeriod
	maps.DeleteFunc(p.unmet, func(r requirement, u unmetRequirement) bool { return now-u.usedAt > unfitRetention || p.met(r) })
	p.updateUnmet(now)
	if len(p.unmet) > 0 {
		p.releaseWhere(now, StatusUnfit, func(t *task) bool { return p.unfit(now, t) })
	}
}

// updateUnmet records the requirements of waiting tasks that no target meets.
func (p *Pool) updateUnmet(now time.Duration) {
	var last *Batch
	met := make(map[requirement]bool)
	for _, t := range p.queue.tasks {
		if !t.batch.stored || t.batch == last {
			continue
		}
		last = t.batch
		r := requirementOf(t.batch.service, t.batch.step)
		if u, known := p.unmet[r]; known {
			u.usedAt = now
			p.unmet[r] = u
		} else if !met[r] {
			if met[r] = p.met(r); !met[r] {
				p.unmet[r] = unmetRequirement{since: now, usedAt: now}
			}
		}
	}
}

// unfit reports whether no target has been able to hold the task for unfitTimeout, so that it is to go to
// another pool. Tasks of best-effort jobs expire instead.
func (p *Pool) unfit(now time.Duration, t *task) bool {
	if len(p.unmet) == 0 || !t.batch.stored || t.batch.offerNumber == 0 {
		return false
	}
	u, ok := p.unmet[requirementOf(t.batch.service, t.batch.step)]
	return ok && now-u.since >= unfitTimeout
}

// poolRequirement is a requirement and a pool.
type poolRequirement struct {
	pool filbertford.PoolID
	requirement
}

// unfitPool is a pool that has returned tasks because no target can hold them. From until, it is offered
// one of them: if that isn't returned within probeInterval, the pool can hold them again.
type unfitPool struct {
	until  time.Duration
	probed bool
}

// fitness is whether tasks may be offered to a pool.
type fitness string

const (
	fitAll   fitness = "all"
	fitProbe fitness = "one" // to learn whether the pool can hold it
	fitNone  fitness = "none"
)

// fitnessOf returns whether tasks may be offered to the pool, and counts a probe as sent. Those of best-effort
// jobs are no probes, since the pool's answer to them doesn't end one.
func (c *Coordinator) fitnessOf(now time.Duration, pool filbertford.PoolID, r requirement, stored bool) fitness {
	key := poolRequirement{pool, r}
	u, ok := c.unfit[key]
	switch {
	case !ok:
		return fitAll
	case now < u.until:
		return fitNone
	case !stored:
		return fitAll
	case u.probed:
		delete(c.unfit, key)
		return fitAll
	}
	c.unfit[key] = unfitPool{until: now + probeInterval, probed: true}
	return fitProbe
}

// taskUnfit handles that a pool has returned a task of a stored job because no target can hold it.
func (c *Coordinator) taskUnfit(now time.Duration, j *job, number int, t *taskState) {
	key := poolRequirement{t.pool, requirementOf(j.route.Service(), j.workload.Steps()[number])}
	c.unfit[key] = unfitPool{until: now + probeInterval}
	c.takeBack(now, j, t)
}

// forgetUnfit forgets the pools that have been offered no such tasks for unfitRetention.
func (c *Coordinator) forgetUnfit(now time.Duration) {
	if now < c.nextUnfitCheck {
		return
	}
	c.nextUnfitCheck = now + probeInterval
	maps.DeleteFunc(c.unfit, func(_ poolRequirement, u unfitPool) bool { return now-u.until > unfitRetention })
}

// taskFits handles that a pool has started a task.
func (c *Coordinator) taskFits(j *job, number int, pool filbertford.PoolID) {
	if len(c.unfit) > 0 {
		delete(c.unfit, poolRequirement{pool, requirementOf(j.route.Service(), j.workload.Steps()[number])})
	}
}
