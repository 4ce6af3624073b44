package fbsched

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/filbertford/filbertford"
)

// roomView is a pool's room less what was offered since it was told.
type roomView struct {
	free    []int
	total   int
	backlog time.Duration
	offered float64 // thousandths of a core times nanoseconds
}

// SetRooms takes in what a pool could start at once. Reports of an owner other
// than the present one are ignored.
func (c *Coordinator) SetRooms(pool filbertford.PoolID, fence uint64, rooms []Room) {
	v := c.pools[pool]
	if v == nil || v.fence != fence {
		return
	}
	v.rooms = make(map[string]*roomView, len(rooms))
	for _, r := range rooms {
		v.rooms[r.service] = &roomView{free: slices.Clone(r.free), total: r.total, backlog: r.backlog}
	}
}

// placeStep offers the tasks of a step that are in no pool.
func (c *Coordinator) placeStep(now time.Duration, j *job, number int) {
	var items []Item
	for index, t := range j.steps[number].tasks {
		if !t.done && t.pool == "" && t.search == nil {
			items = append(items, NewItem(index, t.failures))
		}
	}
	if len(items) == 0 {
		return
	}
	for _, part := range c.split(j, number, len(items)) {
		batch := items[:part.tasks]
		items = items[part.tasks:]
		for _, i := range batch {
			j.steps[number].tasks[i.index].pool = part.pool
		}
		c.send(c.pools[part.pool], c.batch(now, j, number, part.pool, batch), j)
		c.do(Note{
			Kind: NotePlaced, Pool: part.pool, Task: filbertford.NewTaskKey(j.workload.Key(), 0, number, batch[0].index), Age: now - j.began,
			Reason: fmt.Sprintf("%d tasks to %s, due in %v", len(batch), c.pools[part.pool].owner, (j.due - now).Round(time.Millisecond)),
		})
	}
}

// part is a number of tasks for a pool.
type part struct {
	pool  filbertford.PoolID
	tasks int
}

// split divides n tasks of a step among the pools: all to one that has room for
// them at once, the home pool first; else by room, and what is left to the pool
// whose queue drains first.
func (c *Coordinator) split(j *job, number, n int) []part {
	step, service := j.workload.Steps()[number], j.route.Service()
	cpu := max(1, step.Demand().CPU())
	var candidates []candidate
	for _, id := range c.poolIDs() {
		v := c.pools[id]
		if v.owner == "" {
			continue
		}
		room := v.rooms[service]
		if room == nil {
			room = &roomView{backlog: time.Minute}
		}
		k := candidate{pool: id, room: room, fits: room.fits(cpu)}
		if id == c.home {
			k.bias = nearBias
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
		take := min(n, k.fits)
		if take == 0 {
			continue
		}
		k.room.take(cpu, take)
		parts = append(parts, part{pool: k.pool, tasks: take})
		if n -= take; n == 0 {
			return parts
		}
	}
	return c.queueRest(parts, candidates, step, n)
}

// queueRest gives each of the n tasks that no pool has room for to the pool
// whose queue drains first.
func (c *Coordinator) queueRest(parts []part, candidates []candidate, step filbertford.Step, n int) []part {
	work := float64(step.Estimate()) * float64(step.Demand().CPU())
	for range n {
		best := slices.MinFunc(candidates, func(a, b candidate) int { return cmp.Compare(a.room.drain(), b.room.drain()) })
		best.room.offered += work
		i := slices.IndexFunc(parts, func(p part) bool { return p.pool == best.pool })
		if i < 0 {
			parts = append(parts, part{pool: best.pool})
			i = len(parts) - 1
		}
		parts[i].tasks++
	}
	return parts
}

// candidate is a pool that may get tasks.
type candidate struct {
	pool filbertford.PoolID
	room *roomView
	fits int
	bias int
}

// fits returns how many tasks of the demand can start at once.
func (r *roomView) fits(cpu int) int {
	if r.backlog > 0 {
		return 0
	}
	n := 0
	for _, free := range r.free {
		n += free / cpu
	}
	return n
}

// take marks the room of n tasks as used, on the targets that they fill best.
func (r *roomView) take(cpu, n int) {
	for ; n > 0; n-- {
		best := -1
		for i, free := range r.free {
			if free >= cpu && (best < 0 || free < r.free[best]) {
				best = i
			}
		}
		if best < 0 {
			return
		}
		r.free[best] -= cpu
	}
}

// drain returns how long the queue takes to drain, with what was offered.
func (r *roomView) drain() time.Duration {
	if r.total == 0 {
		return time.Hour
	}
	return r.backlog + time.Duration(r.offered/float64(r.total))
}

func (c *Coordinator) batch(now time.Duration, j *job, number int, pool filbertford.PoolID, items []Item) Batch {
	due, end := j.due-now, j.limit-now-j.workload.Steps()[number].Estimate()
	if j.durable {
		end = storedEnd
	}
	return NewBatch(pool, j.workload.Key(), 0, number, j.workload.Steps()[number], items).
		WithDurable(j.durable, false).
		WithWork(j.workload.Spec(), j.route.Service(), j.route.Attempts()).
		WithPriority(j.route.Priority()).
		WithTimes(due, end)
}

// send offers a batch to the pool's present owner.
func (c *Coordinator) send(v *poolView, b Batch, j *job) {
	for _, i := range b.items {
		j.steps[b.number].tasks[i.index].fence = v.fence
	}
	c.do(SendBatch{To: v.owner, Batch: b.WithFence(v.fence)})
}

// shortestDrain returns how long the shortest queue for a service takes to
// drain, 0 if none is known.
func (c *Coordinator) shortestDrain(service string) time.Duration {
	shortest, known := time.Duration(0), false
	for _, v := range c.pools {
		room := v.rooms[service]
		if room == nil || v.owner == "" || room.total == 0 {
			continue // its owner may not have read the targets yet
		}
		if !known || room.drain() < shortest {
			shortest, known = room.drain(), true
		}
	}
	return shortest
}
