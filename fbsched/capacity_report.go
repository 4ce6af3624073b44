package fbsched

import "time"

// Capacity is the capacity of a pool's targets for one service.
type Capacity struct {
	service string
	free    []int
	total   int
	backlog time.Duration
	rate    int
	waiting []WaitingWork
	fastest float64
	delay   time.Duration
	factors []float64
}

// WaitingWork is the time that a pool's usable targets need, at their rate, for the
// queued tasks of a priority.
type WaitingWork struct {
	priority int
	backlog  time.Duration
}

// NewWaitingWork returns the backlog of a priority.
func NewWaitingWork(priority int, backlog time.Duration) WaitingWork {
	return WaitingWork{priority: priority, backlog: backlog}
}

// Priority returns the priority of the tasks, 0 being the highest.
func (w WaitingWork) Priority() int { return w.priority }

// Backlog returns the time that the usable targets need for the tasks.
func (w WaitingWork) Backlog() time.Duration { return w.backlog }

// NewCapacity returns a capacity: the free CPU of each usable target and the total
// CPU of all usable targets, both in thousandths of a core, and the time that they
// need for the queued tasks.
func NewCapacity(service string, free []int, total int, backlog time.Duration) Capacity {
	return Capacity{service: service, free: free, total: total, backlog: backlog}
}

// Service returns the service.
func (c Capacity) Service() string { return c.service }

// Free returns the free CPU of each usable target, in thousandths of a core.
func (c Capacity) Free() []int { return c.free }

// Total returns the total CPU of all usable targets, in thousandths of a core.
func (c Capacity) Total() int { return c.total }

// Backlog returns the time that the usable targets need for the queued tasks.
func (c Capacity) Backlog() time.Duration { return c.backlog }

// WithRate returns a copy of c with the rate of its usable targets, in thousandths of
// a core, and the queued tasks by priority. A target's part of the rate is its CPU
// divided by the factor by which runs there take longer than estimated.
func (c Capacity) WithRate(rate int, waiting ...WaitingWork) Capacity {
	c.rate, c.waiting = rate, waiting
	return c
}

// Rate returns the rate of the usable targets in thousandths of a core, 0 if the pool's
// owner doesn't report it.
func (c Capacity) Rate() int { return c.rate }

// Waiting returns the queued tasks by priority, in ascending order. It is empty if the
// rate is 0.
func (c Capacity) Waiting() []WaitingWork { return c.waiting }

// WithFactors returns a copy of c with the factor by which runs on the fastest usable
// target take longer than estimated, and the factors of the targets in Free, in their
// order.
func (c Capacity) WithFactors(fastest float64, free []float64) Capacity {
	c.fastest, c.factors = fastest, free
	return c
}

// Fastest returns the factor of the fastest usable target, 0 if the pool's owner doesn't
// report it.
func (c Capacity) Fastest() float64 { return c.fastest }

// Factors returns the factors of the targets in Free, in their order. It is empty if the
// pool's owner doesn't report them.
func (c Capacity) Factors() []float64 { return c.factors }

// WithDelay returns a copy of c with the time that the pool's owner adds to each run.
func (c Capacity) WithDelay(d time.Duration) Capacity {
	c.delay = d
	return c
}

// Delay returns the time that passes beside a run until its end is handled.
func (c Capacity) Delay() time.Duration { return c.delay }
