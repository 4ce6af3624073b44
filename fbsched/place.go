package fbsched

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/filbertford/filbertford"
)

// capacityView is the last reported capacity of a pool less the tasks offered to it
// since, in thousandths of a core.
type capacityView struct {
	free       []int
	factors    []float64 // of the targets in free, nil if unknown
	total      int
	backlog    time.Duration
	offered    float64 // thousandths of a core times nanoseconds
	objective  bool    // jobs are admitted by their objective
	rate       int
	fastest    float64       // factor of the fastest target, 0 if unknown
	delay      time.Duration // that the owner adds to each run
	waiting    []float64     // by priority, with the tasks offered, in the unit of offered
	reportedAt time.Duration
}

// SetCapacities sets the capacity of a pool by service. It ignores reports of an
// owner other than the current one.
func (c *Coordinator) SetCapacities(pool filbertford.PoolID, fence uint64, capacities []Capacity) {
	v := c.pools[pool]
	if v == nil || v.fence != fence {
		return
	}
	v.capacities = make(map[string]*capacityView, len(capacities))
	for _, capacity := range capacities {
		v.releases = v.releases && capacity.total == 0
		view := &capacityView{
			free: slices.Clone(capacity.free), total: capacity.total, backlog: capacity.backlog,
			objective: c.admitsByObjective(), rate: capacity.rate, fastest: capacity.fastest, delay: capacity.delay, reportedAt: c.tickedAt,
		}
		if len(capacity.factors) == len(capacity.free) {
			view.factors = capacity.factors
		}
		for _, w := range capacity.waiting {
			view.addWaiting(w.priority, float64(w.backlog)*float64(capacity.rate))
		}
		view.offered = 0
		v.capacities[capacity.service] = view
	}
	if c.balances() {
		v.reported, v.draw = true, c.random.Float64()
	}
}

// placeStep offers the tasks of a step that have no pool.
func (c *Coordinator) placeStep(now time.Duration, j *job, number int) {
	var items []Item
	for index, t := range j.steps[number].tasks {
		if !t.done && t.pool == "" && t.search == nil {
			items = append(items, NewItem(index, t.failed.count).WithFailedRun(t.failed.last).withCrashCount(t.crashes))
		}
	}
	if len(items) == 0 {
		return
	}
	others, returned := separateReturned(&j.steps[number], items)
	if len(others) > 0 {
		c.placeItems(now, j, number, others, c.split(now, j, number, len(others)))
	}
	if len(returned) > 0 {
		c.placeItems(now, j, number, returned, c.splitReturned(now, j, number, len(returned)))
	}
}

// placeItems offers tasks of a step to the pools of the parts.
func (c *Coordinator) placeItems(now time.Duration, j *job, number int, items []Item, parts []part) {
	for _, part := range parts {
		batch := items[:part.tasks]
		items = items[part.tasks:]
		moved := false
		for _, i := range batch {
			t := &j.steps[number].tasks[i.index]
			t.pool, moved = part.pool, moved || t.recalled
		}
		if moved {
			c.countMove(now, j, number, part.pool, batch)
		}
		b := c.batch(now, j, number, part.pool, batch)
		if a, ok := c.earlierAttempt(now, j); ok {
			j.mayHaveRun = true
			b = b.WithResume(c.ownerSilence(now, a, c.pools[part.pool]))
		}
		c.offer(c.pools[part.pool], b, j)
		c.trackOffer(now, j, b.WithFence(c.pools[part.pool].fence))
		c.emit(Event{
			Kind: EventTasksPlaced, Pool: part.pool, Task: filbertford.NewTaskKey(j.workload.Key(), 0, number, batch[0].index),
			Fence: c.pools[part.pool].fence, Age: now - j.submittedAt,
			Reason: fmt.Sprintf("%d tasks to %s, due in %v", len(batch), c.pools[part.pool].owner, (j.due - now).Round(time.Millisecond)),
		})
	}
}

// part is the number of tasks assigned to a pool.
type part struct {
	pool  filbertford.PoolID
	tasks int
}

// split divides n tasks of a step among the pools: all to one that can start them
// immediately, preferably the home pool; otherwise by free capacity, and the rest to
// the pools with the shortest backlog.
func (c *Coordinator) split(now time.Duration, j *job, number, n int) []part {
	step, service := j.workload.Steps()[number], j.route.Service()
	cpu := max(1, step.Demand().CPU())
	maxFactor := c.maxFactor(now, j, step)
	required := requirementOf(service, step)
	var candidates []candidate
	var parts []part
	for _, id := range c.poolIDs() {
		v := c.pools[id]
		if n == 0 || !v.accepts() || !c.mayUse(now, j, id) {
			continue
		}
		switch c.fitnessOf(now, id, required, j.stored) {
		case fitNone:
			continue
		case fitProbe:
			parts = append(parts, part{pool: id, tasks: 1})
			n--
			continue
		}
		capacity := v.capacities[service]
		if capacity == nil {
			capacity = &capacityView{backlog: time.Minute}
		}
		k := candidate{pool: id, capacity: capacity, fits: capacity.fits(step, maxFactor)}
		if id == c.home {
			k.bias = homeBias
		}
		candidates = append(candidates, k)
	}
	if n == 0 || len(candidates) == 0 {
		return parts
	}
	slices.SortStableFunc(candidates, func(a, b candidate) int {
		return cmp.Or(
			cmp.Compare(min(b.fits, n), min(a.fits, n)),
			cmp.Compare(b.bias, a.bias),
			cmp.Compare(b.fits, a.fits),
		)
	})
	for _, k := range candidates {
		fits := min(n, k.fits)
		if fits == 0 {
			continue
		}
		k.capacity.reserve(cpu, fits, maxFactor)
		parts = append(parts, part{pool: k.pool, tasks: fits})
		if n -= fits; n == 0 {
			return parts
		}
	}
	return c.queueRest(parts, candidates, step, j.route.Priority(), n)
}

// queueRest assigns each of the n tasks that no pool has capacity for to the pool
// with the shortest backlog.
func (c *Coordinator) queueRest(parts []part, candidates []candidate, step filbertford.Step, priority, n int) []part {
	work := float64(step.Estimate()) * float64(step.Demand().CPU())
	if c.admitsByObjective() {
		return c.queueByWait(parts, candidates, work, priority, n)
	}
	for range n {
		best := slices.MinFunc(candidates, func(a, b candidate) int {
			return cmp.Compare(a.capacity.estimatedBacklog(), b.capacity.estimatedBacklog())
		})
		best.capacity.addWaiting(priority, work)
		parts = addPart(parts, best.pool, 1)
	}
	return parts
}

// addPart assigns n more tasks to the pool.
func addPart(parts []part, pool filbertford.PoolID, n int) []part {
	i := slices.IndexFunc(parts, func(p part) bool { return p.pool == pool })
	if i < 0 {
		return append(parts, part{pool: pool, tasks: n})
	}
	parts[i].tasks += n
	return parts
}

// candidate is a pool that may get tasks. fits is the number of tasks that it can start
// immediately.
type candidate struct {
	pool     filbertford.PoolID
	capacity *capacityView
	fits     int
	bias     int
}

// fits returns how many tasks of the step can start immediately on targets whose factor is
// at most maxFactor.
//
// If jobs are admitted by their objective, free targets count although tasks wait, because
// those tasks can't use them. Reports don't tell which labels and accelerators are free, so
// that this doesn't hold for steps that require them.
func (c *capacityView) fits(step filbertford.Step, maxFactor float64) int {
	cpu := max(1, step.Demand().CPU())
	if c.backlog > 0 && (!c.objective || step.Label() != "" || step.Demand().GPU() > 0) {
		return 0
	}
	n := 0
	for i, free := range c.free {
		if !c.fastEnough(i, maxFactor) {
			continue
		}
		if limit := step.MaxPerTarget(); c.objective && limit > 0 {
			n += min(free/cpu, limit)
		} else {
			n += free / cpu
		}
	}
	return n
}

// fastEnough reports whether the factor of the target with the index is at most maxFactor.
func (c *capacityView) fastEnough(i int, maxFactor float64) bool {
	return c.factors == nil || c.factors[i] <= maxFactor
}

// reserve subtracts the CPU of n tasks from the free capacity, each on the target
// with the least sufficient capacity whose factor is at most maxFactor.
func (c *capacityView) reserve(cpu, n int, maxFactor float64) {
	for ; n > 0; n-- {
		best := -1
		for i, free := range c.free {
			if free >= cpu && c.fastEnough(i, maxFactor) && (best < 0 || free < c.free[best]) {
				best = i
			}
		}
		if best < 0 {
			return
		}
		c.free[best] -= cpu
	}
}

// estimatedBacklog returns the backlog including the tasks offered since it was
// reported.
func (c *capacityView) estimatedBacklog() time.Duration {
	if c.total == 0 {
		return time.Hour
	}
	return c.backlog + time.Duration(c.offered/float64(c.total))
}

func (c *Coordinator) batch(now time.Duration, j *job, number int, pool filbertford.PoolID, items []Item) Batch {
	due, end := j.due-now, j.usefulUntil-now-j.workload.Steps()[number].Estimate()
	if j.stored {
		end = storedTimeout
	}
	return NewBatch(pool, j.workload.Key(), 0, number, j.workload.Steps()[number], items).
		WithStored(j.stored, false).
		WithWork(j.workload.Spec(), j.route.Service(), j.route.Attempts()).
		WithPriority(j.route.Priority()).
		WithTimes(due, end).
		WithOfferNumber(c.nextOfferNumber(now))
}

// offer sends a batch to the pool's current owner.
func (c *Coordinator) offer(v *poolView, b Batch, j *job) {
	if j.offered == nil {
		j.offered = make(map[poolOwner]bool)
	}
	j.offered[poolOwner{b.pool, v.owner}] = true
	for _, i := range b.items {
		t := &j.steps[b.stepNumber].tasks[i.index]
		t.fence, t.resumed, t.offer = v.fence, b.resume, b.offerNumber
	}
	c.emit(SendBatch{To: v.owner, Batch: b.WithFence(v.fence)})
}

// shortestBacklog returns the shortest estimated backlog of any pool for the
// service, 0 if none is known.
func (c *Coordinator) shortestBacklog(service string) time.Duration {
	shortest, known := time.Duration(0), false
	for _, v := range c.pools {
		capacity := v.capacities[service]
		if capacity == nil || !v.accepts() || capacity.total == 0 {
			continue // its owner may not have listed the targets yet
		}
		if !known || capacity.estimatedBacklog() < shortest {
			shortest, known = capacity.estimatedBacklog(), true
		}
	}
	return shortest
}
