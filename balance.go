package filbertford

import "time"

// PoolLoad is what a coordinator knows of a pool's targets of one service, from the
// last report of the pool's owner.
type PoolLoad struct {
	pool      PoolID
	home      bool
	free      []int
	total     int
	backlog   time.Duration
	pending   int
	draw      float64
	roundTrip time.Duration
}

// NewPoolLoad returns the load of a pool: the free CPU of each usable target and the
// total CPU of all usable targets, both in thousandths of a core, and the time that
// they need for the queued tasks.
func NewPoolLoad(pool PoolID, free []int, total int, backlog time.Duration) PoolLoad {
	return PoolLoad{pool: pool, free: free, total: total, backlog: backlog}
}

// WithHome returns a copy of l that states whether the pool is in the coordinator's
// data centre.
func (l PoolLoad) WithHome(home bool) PoolLoad {
	l.home = home
	return l
}

// WithPending returns a copy of l for a pool that is to get, or has been offered, tasks
// of the coordinator with so many thousandths of a core that aren't known to have
// started.
func (l PoolLoad) WithPending(cpu int) PoolLoad {
	l.pending = cpu
	return l
}

// WithDraw returns a copy of l with a random number from 0 up to 1, drawn once for each
// report. It rounds the number of moved jobs up or down.
func (l PoolLoad) WithDraw(draw float64) PoolLoad {
	l.draw = draw
	return l
}

// WithRoundTrip returns a copy of l with the shortest time in which the pool has answered
// the coordinator, 0 if unknown.
func (l PoolLoad) WithRoundTrip(d time.Duration) PoolLoad {
	l.roundTrip = d
	return l
}

// Pool returns the pool.
func (l PoolLoad) Pool() PoolID { return l.pool }

// Home reports whether the pool is in the coordinator's data centre.
func (l PoolLoad) Home() bool { return l.home }

// Free returns the free CPU of each usable target, in thousandths of a core. The caller
// must not change it.
func (l PoolLoad) Free() []int { return l.free }

// Total returns the total CPU of all usable targets, in thousandths of a core.
func (l PoolLoad) Total() int { return l.total }

// Backlog returns the time that the usable targets need for the queued tasks of all
// coordinators.
func (l PoolLoad) Backlog() time.Duration { return l.backlog }

// Pending returns the CPU of the coordinator's own tasks that the pool is to get or was
// offered and that aren't known to have started, in thousandths of a core.
func (l PoolLoad) Pending() int { return l.pending }

// Draw returns the random number of the report.
func (l PoolLoad) Draw() float64 { return l.draw }

// RoundTrip returns the shortest time in which the pool has answered the coordinator, 0 if
// unknown.
func (l PoolLoad) RoundTrip() time.Duration { return l.roundTrip }

// WaitingJob is a job's tasks that wait in the queue of a pool.
type WaitingJob struct {
	job         JobKey
	pool        PoolID
	tasks       int
	cpu         int
	estimate    time.Duration
	priority    int
	latestStart time.Duration
	movable     bool
}

// NewWaitingJob returns the tasks of a job in a pool, each of which needs the CPU, in
// thousandths of a core, for the estimated run time.
func NewWaitingJob(job JobKey, pool PoolID, tasks, cpu int, estimate time.Duration) WaitingJob {
	return WaitingJob{job: job, pool: pool, tasks: tasks, cpu: cpu, estimate: estimate}
}

// WithUrgency returns a copy of w with the priority of its route, 0 being the highest,
// and the time until its tasks must start to meet the objective, negative if they can't.
func (w WaitingJob) WithUrgency(priority int, latestStart time.Duration) WaitingJob {
	w.priority, w.latestStart = priority, latestStart
	return w
}

// WithMovable returns a copy of w that states whether its tasks may be recalled now.
func (w WaitingJob) WithMovable(movable bool) WaitingJob {
	w.movable = movable
	return w
}

// Job returns the key of the job.
func (w WaitingJob) Job() JobKey { return w.job }

// Pool returns the pool in which the tasks wait.
func (w WaitingJob) Pool() PoolID { return w.pool }

// Tasks returns the number of tasks.
func (w WaitingJob) Tasks() int { return w.tasks }

// CPU returns the CPU that each of the tasks needs, in thousandths of a core.
func (w WaitingJob) CPU() int { return w.cpu }

// Estimate returns the estimated run time of each of the tasks.
func (w WaitingJob) Estimate() time.Duration { return w.estimate }

// Priority returns the priority of the route, 0 being the highest.
func (w WaitingJob) Priority() int { return w.priority }

// LatestStart returns the time until the tasks must start to meet the objective of the
// job.
func (w WaitingJob) LatestStart() time.Duration { return w.latestStart }

// Movable reports whether the tasks may be recalled now.
func (w WaitingJob) Movable() bool { return w.movable }

// Move is the decision to recall the tasks of a job that wait in a pool, and to offer
// some of them to another one.
type Move struct {
	job   JobKey
	from  PoolID
	to    PoolID
	tasks int
}

// NewMove returns the move of at most the given number of tasks.
func NewMove(job JobKey, from, to PoolID, tasks int) Move {
	return Move{job: job, from: from, to: to, tasks: tasks}
}

// Job returns the key of the job.
func (m Move) Job() JobKey { return m.job }

// From returns the pool in which the tasks wait.
func (m Move) From() PoolID { return m.from }

// To returns the pool that is to start them.
func (m Move) To() PoolID { return m.to }

// Tasks returns the largest number of tasks that are to be offered to the other pool.
func (m Move) Tasks() int { return m.tasks }

// Balancer decides which of a coordinator's waiting tasks move to other pools. It is
// used by one goroutine.
type Balancer interface {
	// Moves returns the moves to carry out now, at most one for each job. The pools
	// and jobs are those of one service; jobs that aren't movable count only for the
	// coordinator's share of the waiting work.
	Moves(pools []PoolLoad, waiting []WaitingJob) []Move
}
