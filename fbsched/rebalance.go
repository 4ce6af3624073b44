package fbsched

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/filbertford/filbertford"
)

// Limits of moves between pools.
const (
	// maxMoves is how often a task is moved. Each move is based on a report that is older
	// than the move.
	maxMoves = 2
	// recallTimeout is how long the coordinator waits for the tasks of a recall before it
	// may recall them again: the recall or the reports may have been lost with a stream.
	recallTimeout = time.Second
)

// balancing is a coordinator's state of moves between pools. Nothing is recorded without a
// balancer.
type balancing struct {
	balancer filbertford.Balancer
	random   *rand.Rand
	waiting  map[waitingKey]*waitingTasks
}

// waitingKey identifies the tasks of a job in a pool.
type waitingKey struct {
	job  filbertford.JobKey
	pool filbertford.PoolID
}

// waitingTasks are the tasks of a job that were offered to an owner of a pool and aren't
// known to have started. Their runs need cpu thousandths of a core and take the estimated
// time, each the largest of any of the tasks.
type waitingTasks struct {
	job       *job
	fence     uint64
	offeredAt time.Duration // when the last of them was offered
	tasks     int
	cpu       int
	estimate  time.Duration
	moves     int // of the task that was moved most often
}

// move is a recall of the tasks of a job, of which some go to another pool and the others
// back.
type move struct {
	from, to filbertford.PoolID
	tasks    int // that the other pool may still get
	pending  int // that neither were returned nor are known to have started
	sentAt   time.Duration
}

// SetBalancer sets the balancer that decides on moves between pools, if the scheduling
// settings allow them, and a source of random numbers. It must be called before the
// coordinator is used.
func (c *Coordinator) SetBalancer(b filbertford.Balancer, random *rand.Rand) {
	c.balancing = balancing{balancer: b, random: random, waiting: make(map[waitingKey]*waitingTasks)}
}

// balances reports whether the coordinator moves waiting tasks.
func (c *Coordinator) balances() bool { return c.balancer != nil && c.scheduling.Rebalance() }

// trackOffer records the tasks of a batch as waiting, unless they may have been started: a pool
// doesn't return these.
func (c *Coordinator) trackOffer(now time.Duration, j *job, b Batch) {
	if !c.balances() {
		return
	}
	if b.resume {
		for _, i := range b.items {
			c.untrackResumed(j, &j.steps[b.stepNumber].tasks[i.index])
		}
		return
	}
	key := waitingKey{b.job, b.pool}
	w := c.waiting[key]
	if w == nil || w.job != j || w.fence != b.fence {
		w = &waitingTasks{job: j, fence: b.fence}
		c.waiting[key] = w
	}
	w.offeredAt = now
	w.cpu, w.estimate = max(w.cpu, b.step.Demand().CPU()), max(w.estimate, b.step.Estimate())
	for _, i := range b.items {
		t := &j.steps[b.stepNumber].tasks[i.index]
		t.waitsSince, t.recalled = now, false
		w.tasks++
		w.moves = max(w.moves, t.moves)
	}
}

// untrack records that a task has left the queue of its pool, or may have.
func (c *Coordinator) untrack(j *job, t *taskState) {
	if t.waitsSince == 0 {
		return
	}
	t.waitsSince = 0
	key := waitingKey{j.workload.Key(), t.pool}
	if w := c.waiting[key]; w != nil && w.job == j {
		if w.tasks--; w.tasks <= 0 {
			delete(c.waiting, key)
		}
	}
}

// untrackResumed records that a task is offered again as one that may have been started.
func (c *Coordinator) untrackResumed(j *job, t *taskState) {
	c.untrack(j, t)
	t.recalled = false
}

// untrackJob forgets the waiting tasks of a job that has ended.
func (c *Coordinator) untrackJob(key filbertford.JobKey) {
	if len(c.waiting) == 0 {
		return
	}
	for pool := range c.pools {
		delete(c.waiting, waitingKey{key, pool})
	}
}

// Rebalance recalls tasks from pools with a backlog if other pools can start them
// immediately. It is to be called after reports have arrived; Tick calls it too. Without a
// new report, or such pools, it looks at no task.
func (c *Coordinator) Rebalance(now time.Duration) {
	if !c.balances() {
		return
	}
	reported := false
	for _, v := range c.pools {
		if v.reported {
			v.reported, v.reportedAt, reported = false, now, true
		}
	}
	if !reported || len(c.waiting) == 0 {
		return
	}
	for _, service := range c.unevenServices() {
		pools, waiting := c.loads(now, service)
		for _, m := range c.balancer.Moves(pools, waiting) {
			c.recallWaiting(now, m)
		}
	}
}

// unevenServices returns the services for which one pool has a backlog and another one free
// capacity, in ascending order.
func (c *Coordinator) unevenServices() []string {
	var free, backlogged []string
	for _, v := range c.pools {
		if !v.accepts() {
			continue
		}
		for service, capacity := range v.capacities {
			switch {
			case capacity.backlog > 0 && capacity.total > 0:
				backlogged = append(backlogged, service)
			case capacity.backlog == 0 && len(capacity.free) > 0:
				free = append(free, service)
			}
		}
	}
	slices.Sort(free)
	return slices.DeleteFunc(slices.Compact(free), func(service string) bool { return !slices.Contains(backlogged, service) })
}

// loads returns what the balancer needs to know of a service.
func (c *Coordinator) loads(now time.Duration, service string) ([]filbertford.PoolLoad, []filbertford.WaitingJob) {
	pending := make(map[filbertford.PoolID]int)
	var waiting []filbertford.WaitingJob
	for key, w := range c.waiting {
		if w.job.route.Service() != service {
			continue
		}
		pending[key.pool] += w.tasks * w.cpu
		if m := w.job.move; m != nil && m.from == key.pool {
			pending[m.to] += min(m.tasks, m.pending) * w.cpu
		}
		waiting = append(waiting, filbertford.NewWaitingJob(key.job, key.pool, w.tasks, w.cpu, w.estimate).
			WithUrgency(w.job.route.Priority(), w.job.due-now-w.estimate).
			WithMovable(c.movable(key.pool, w)))
	}
	var pools []filbertford.PoolLoad
	for _, id := range c.poolIDs() {
		v := c.pools[id]
		capacity := v.capacities[service]
		if !v.accepts() || capacity == nil {
			continue
		}
		pools = append(pools, filbertford.NewPoolLoad(id, capacity.free, capacity.total, capacity.backlog).
			WithHome(id == c.home).WithPending(pending[id]).WithDraw(v.draw).WithRoundTrip(v.roundTrip))
	}
	return pools, waiting
}

// movable reports whether the tasks may be recalled: the pool's current owner was offered
// them, and has since reported its capacity. A report that arrives a round trip after the offer
// was sent after the offer had arrived, and after the start of what could start.
func (c *Coordinator) movable(pool filbertford.PoolID, w *waitingTasks) bool {
	v, j := c.pools[pool], w.job
	return v.accepts() && v.fence == w.fence && j.returnDeadline == 0 && j.move == nil && j.recalledAt == 0 && w.moves < maxMoves &&
		v.reportedAt > w.offeredAt && v.reportedAt-w.offeredAt >= v.roundTrip
}

// recallWaiting asks the owner of a pool to return the waiting tasks of a job, to move
// them.
func (c *Coordinator) recallWaiting(now time.Duration, m filbertford.Move) {
	key := waitingKey{m.Job(), m.From()}
	w, v := c.waiting[key], c.pools[m.From()]
	if w == nil || w.job.move != nil {
		return
	}
	w.job.move = &move{from: m.From(), to: m.To(), tasks: m.Tasks(), pending: w.tasks, sentAt: now}
	for number := range w.job.steps {
		for index := range w.job.steps[number].tasks {
			if t := &w.job.steps[number].tasks[index]; t.waitsSince != 0 && t.pool == m.From() {
				t.recalled = true
			}
		}
	}
	c.emit(SendRecall{To: v.owner, Recall: NewRecall(m.From(), m.Job(), v.fence)})
	backlog := time.Duration(0)
	if capacity := v.capacities[w.job.route.Service()]; capacity != nil {
		backlog = capacity.backlog.Round(time.Millisecond)
	}
	c.emit(Event{
		Kind: EventTasksRecalled, Pool: m.From(), Task: filbertford.NewTaskKey(m.Job(), 0, 0, 0), Fence: v.fence, Age: now - w.offeredAt,
		Reason: fmt.Sprintf("%d tasks wait, backlog %v, report of %v ago; %d of them for %s", w.tasks, backlog, now-v.reportedAt, m.Tasks(), m.To()),
	})
}

// reported updates the move of a job after a report on a task.
func (c *Coordinator) reported(now time.Duration, j *job, t *taskState, r Report) {
	if !c.balances() {
		return
	}
	if v := c.pools[r.Pool()]; t.waitsSince != 0 && r.Status() == StatusStarted && (v.roundTrip == 0 || now-t.waitsSince < v.roundTrip) {
		v.roundTrip = now - t.waitsSince
	}
	c.untrack(j, t)
	if !t.recalled || r.Status() == StatusReturned && t.resumed {
		return
	}
	t.recalled = r.Status() == StatusReturned
	if j.move != nil && j.move.from == r.Pool() {
		j.move.pending--
	}
	kind := EventTaskReturned
	switch r.Status() {
	case StatusReturned:
	case StatusStarted:
		kind = EventRecallTooLate
	default:
		return
	}
	c.emit(Event{Kind: kind, Pool: r.Pool(), Task: r.Task(), Fence: r.Fence(), Age: now - j.submittedAt})
}

// awaitsReturns reports whether other tasks of the recall are still to be returned. The
// pool returns them together, so that they can be offered in one batch.
func (j *job) awaitsReturns() bool { return j.move != nil && j.move.pending > 0 }

// advanceReturned offers the returned tasks of a job, unless others are still to be
// returned: those that are late are offered by the next Tick.
func (c *Coordinator) advanceReturned(now time.Duration, j *job) {
	if j.awaitsReturns() {
		return
	}
	c.advance(now, j)
	j.move = nil
}

// separateReturned separates the items that a recall has returned from the others.
func separateReturned(s *stepState, items []Item) (others, returned []Item) {
	if !slices.ContainsFunc(items, func(i Item) bool { return s.tasks[i.index].recalled }) {
		return items, nil
	}
	for _, i := range items {
		if s.tasks[i.index].recalled {
			returned = append(returned, i)
		} else {
			others = append(others, i)
		}
	}
	return others, returned
}

// splitReturned divides n returned tasks of a step among the pools: those of the move to the
// pool that is free, if it still is, and the rest back to where they waited.
func (c *Coordinator) splitReturned(now time.Duration, j *job, number, n int) []part {
	m := j.move
	if m == nil {
		return c.split(now, j, number, n)
	}
	var parts []part
	step := j.workload.Steps()[number]
	cpu, maxFactor := max(1, step.Demand().CPU()), c.maxFactor(now, j, step)
	if v := c.pools[m.to]; v.accepts() && v.capacities[j.route.Service()] != nil {
		capacity := v.capacities[j.route.Service()]
		if fits := min(n, m.tasks, capacity.fits(step, maxFactor)); fits > 0 {
			capacity.reserve(cpu, fits, maxFactor)
			parts = append(parts, part{pool: m.to, tasks: fits})
			m.tasks -= fits
			n -= fits
		}
	}
	switch {
	case n == 0:
		return parts
	case !c.pools[m.from].accepts():
		return append(parts, c.split(now, j, number, n)...)
	}
	return append(parts, part{pool: m.from, tasks: n})
}

// countMove records that returned tasks of a step are offered to another pool.
func (c *Coordinator) countMove(now time.Duration, j *job, number int, pool filbertford.PoolID, items []Item) {
	if j.move == nil || j.move.from == pool {
		return
	}
	for _, i := range items {
		j.steps[number].tasks[i.index].moves++
	}
	c.emit(Event{
		Kind: EventTasksMoved, Pool: pool, Task: filbertford.NewTaskKey(j.workload.Key(), 0, number, items[0].index),
		Fence: c.pools[pool].fence, Age: now - j.submittedAt, Reason: fmt.Sprintf("%d tasks from %s", len(items), j.move.from),
	})
}

// endMoves ends the moves whose tasks have all been placed, and those whose recall or
// reports may have been lost.
func (c *Coordinator) endMoves(now time.Duration) {
	if !c.balances() {
		return
	}
	for _, j := range c.jobs {
		if m := j.move; m != nil && (m.pending <= 0 || now-m.sentAt > recallTimeout) {
			j.move = nil
		}
	}
}
