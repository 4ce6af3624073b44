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
	free    []int
	total   int
	backlog time.Duration
	offered float64 // thousandths of a core times nanoseconds
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
		v.capacities[capacity.service] = &capacityView{free: slices.Clone(capacity.free), total: capacity.total, backlog: capacity.backlog}
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
			items = append(items, NewItem(index, t.failures).WithCrashes(t.crashes))
		}
	}
	if len(items) == 0 {
		return
	}
	others, returned := separateReturned(&j.steps[number], items)
	if len(others) > 0 {
		c.placeItems(now, j, number, others, c.split(j, number, len(others)))
	}
	if len(returned) > 0 {
		c.placeItems(now, j, number, returned, c.splitReturned(j, number, len(returned)))
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
func (c *Coordinator) split(j *job, number, n int) []part {
	step, service := j.workload.Steps()[number], j.route.Service()
	cpu := max(1, step.Demand().CPU())
	var candidates []candidate
	for _, id := range c.poolIDs() {
		v := c.pools[id]
		if v.owner == "" {
			continue
		}
		capacity := v.capacities[service]
		if capacity == nil {
			capacity = &capacityView{backlog: time.Minute}
		}
		k := candidate{pool: id, capacity: capacity, fits: capacity.fits(cpu)}
		if id == c.home {
			k.bias = homeBias
		}
		candidates = append(candidates, k)
	}
	if len(candidates) == 0 {
		return nil
	}
	slices.SortStableFunc(candidates, func(a, b candidate) int {
		return cmp.Or(
			cmp.Compare(min(b.fits, n), min(a.fits, n)),
			cmp.Compare(b.bias, a.bias),
			cmp.Compare(b.fits, a.fits),
		)
	})
	var parts []part
	for _, k := range candidates {
		fits := min(n, k.fits)
		if fits == 0 {
			continue
		}
		k.capacity.reserve(cpu, fits)
		parts = append(parts, part{pool: k.pool, tasks: fits})
		if n -= fits; n == 0 {
			return parts
		}
	}
	return c.queueRest(parts, candidates, step, n)
}

// queueRest assigns each of the n tasks that no pool has capacity for to the pool
// with the shortest backlog.
func (c *Coordinator) queueRest(parts []part, candidates []candidate, step filbertford.Step, n int) []part {
	work := float64(step.Estimate()) * float64(step.Demand().CPU())
	for range n {
		best := slices.MinFunc(candidates, func(a, b candidate) int {
			return cmp.Compare(a.capacity.estimatedBacklog(), b.capacity.estimatedBacklog())
		})
		best.capacity.offered += work
		i := slices.IndexFunc(parts, func(p part) bool { return p.pool == best.pool })
		if i < 0 {
			parts = append(parts, part{pool: best.pool})
			i = len(parts) - 1
		}
		parts[i].tasks++
	}
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

// fits returns how many tasks that need cpu thousandths of a core can start
// immediately.
func (c *capacityView) fits(cpu int) int {
	if c.backlog > 0 {
		return 0
	}
	n := 0
	for _, free := range c.free {
		n += free / cpu
	}
	return n
}

// reserve subtracts the CPU of n tasks from the free capacity, each on the target
// with the least sufficient capacity.
func (c *capacityView) reserve(cpu, n int) {
	for ; n > 0; n-- {
		best := -1
		for i, free := range c.free {
			if free >= cpu && (best < 0 || free < c.free[best]) {
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
		WithTimes(due, end)
}

// offer sends a batch to the pool's current owner.
func (c *Coordinator) offer(v *poolView, b Batch, j *job) {
	if j.offered == nil {
		j.offered = make(map[poolOwner]bool)
	}
	j.offered[poolOwner{b.pool, v.owner}] = true
	for _, i := range b.items {
		t := &j.steps[b.stepNumber].tasks[i.index]
		t.fence, t.resumed = v.fence, b.resume
	}
	c.emit(SendBatch{To: v.owner, Batch: b.WithFence(v.fence)})
}

// shortestBacklog returns the shortest estimated backlog of any pool for the
// service, 0 if none is known.
func (c *Coordinator) shortestBacklog(service string) time.Duration {
	shortest, known := time.Duration(0), false
	for _, v := range c.pools {
		capacity := v.capacities[service]
		if capacity == nil || v.owner == "" || capacity.total == 0 {
			continue // its owner may not have listed the targets yet
		}
		if !known || capacity.estimatedBacklog() < shortest {
			shortest, known = capacity.estimatedBacklog(), true
		}
	}
	return shortest
}
