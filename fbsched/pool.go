package fbsched

import (
	"maps"
	"slices"
	"time"

	"github.com/filbertford/filbertford"
)

// Times of a pool.
const (
	// leaseTerm is the lease that a call gives a target's runs. It covers two
	// looks, and is short enough that the runs of a target that went silent are
	// over before a caller of the platform sends its job again.
	leaseTerm = 800 * time.Millisecond
	// orphanTerm is how long a task's run can outlast the silence between its
	// coordinator and an owner that can't be reached: the owner notes the silence
	// within a second and stops the run, whose lease runs out if it can't.
	orphanTerm = 2 * time.Second
	// settleTerm is the longest that tasks of stored jobs wait for a new owner to
	// list all targets: longer than cuts and silences usually last.
	settleTerm = 10 * time.Second
	// lookWait is the longest that a target holds back the answer to a look.
	lookWait = 200 * time.Millisecond
	// adoptionTerm is how long a run that nobody claims goes on after its
	// target was first listed: two heartbeats of a coordinator.
	adoptionTerm = 300 * time.Millisecond
	// memoryTerm is how long the end of a task is kept for a coordinator that
	// offers it again, foreignTerm how long one that an earlier owner began.
	memoryTerm  = 5 * time.Second
	foreignTerm = time.Minute
	// foreignHold is how long a target keeps the end of a stored job's run that
	// nobody claims: longer than cuts and outages of the store usually last.
	// heldCheck is the time between two looks meanwhile, since the target holds
	// back no answer.
	foreignHold = 20 * time.Second
	heldCheck   = 50 * time.Millisecond
	// parkTerm is how long the tasks of a stored job go on without a coordinator.
	parkTerm = 8 * time.Second
	// repeatPeriod is the time between two reports of an end that is not
	// confirmed.
	repeatPeriod = time.Second
	// retryPause is the time between two looks at a target that does not answer.
	retryPause = 100 * time.Millisecond
	// wallStep is how far, in milliseconds, run numbers move ahead after a target
	// has called one stale, to pass the clock of an earlier owner.
	wallStep = 10_000
)

// Pool runs tasks on the targets that one daemon owns. It is not safe for
// concurrent use.
type Pool struct {
	id       filbertford.PoolID
	fence    uint64
	wall     int64
	targets  map[filbertford.TargetID]*target
	order    []*target
	tasks    map[filbertford.TaskKey]*task
	live     map[filbertford.TaskKey]*run
	runs     map[filbertford.TaskKey]uint64
	finished map[filbertford.TaskKey]finish
	foreign  map[filbertford.TaskKey]int   // failed runs that earlier owners began
	ghosts   map[filbertford.TargetID]bool // left the pool before they were listed
	keepers  map[filbertford.JobKey]keeper // of stored jobs
	queue    queue
	speeds   *speeds
	began    time.Duration
	settled  bool
	due      bool // tasks may have become startable
	changed  bool
	out      []Action
}

// task is a task that a coordinator has offered and that has not ended.
type task struct {
	key         filbertford.TaskKey
	coordinator filbertford.NodeID
	batch       *Batch
	failures    int
	avoid       []filbertford.TargetID
	due         time.Duration
	latestStart time.Duration // due less the estimate
	end         time.Duration
	queued      time.Duration
	resume      bool
	notBefore   time.Duration        // when a run of an earlier owner is surely over
	startedOn   filbertford.TargetID // by an earlier owner, empty if not known
	search      bool                 // wanted only if it is here
	choosy      bool                 // a target has room, but a faster one is worth the wait
	parked      time.Duration        // since when its coordinator is gone, 0 if it is there
	run         *run
	started     bool // a run was begun or adopted
}

// finish is the verdict on a task that has ended.
type finish struct {
	verdict     Verdict
	failures    int
	at          time.Duration
	kept        time.Duration // how long it is remembered
	coordinator filbertford.NodeID
	repeat      time.Duration // when it is reported again if not confirmed, 0 for never
}

// NewPool returns the pool of a new owner, whose fencing token is above that of
// any owner before. Wall is the time of day in Unix milliseconds less the time
// since boot: run numbers are drawn from it, so that they rise across owners.
func NewPool(id filbertford.PoolID, fence uint64, wall int64, now time.Duration) *Pool {
	return &Pool{
		id: id, fence: fence, wall: wall, began: now,
		targets:  make(map[filbertford.TargetID]*target),
		tasks:    make(map[filbertford.TaskKey]*task),
		live:     make(map[filbertford.TaskKey]*run),
		runs:     make(map[filbertford.TaskKey]uint64),
		finished: make(map[filbertford.TaskKey]finish),
		foreign:  make(map[filbertford.TaskKey]int),
		ghosts:   make(map[filbertford.TargetID]bool),
		keepers:  make(map[filbertford.JobKey]keeper),
		speeds:   newSpeeds(),
		changed:  true,
	}
}

// ID returns the pool's name.
func (p *Pool) ID() filbertford.PoolID { return p.id }

// Fence returns the fencing token of the pool's owner.
func (p *Pool) Fence() uint64 { return p.fence }

// TakeActions starts the tasks that can start, and returns what is to be done
// since the last call.
func (p *Pool) TakeActions(now time.Duration) []Action {
	if p.due {
		p.dispatch(now)
	}
	out := p.out
	p.out = nil
	return out
}

// TakeChanged reports whether the room has changed since the last call.
func (p *Pool) TakeChanged() bool {
	c := p.changed
	p.changed = false
	return c
}

// Queued returns the number of tasks that wait for a target.
func (p *Pool) Queued() int { return p.queue.len() }

// Running returns the number of runs on the pool's targets.
func (p *Pool) Running() int { return len(p.live) }

// keeper is the newest keeper of a stored job that the pool has heard from.
type keeper struct {
	fence uint64
	at    time.Duration
}

// Offer takes the tasks of a batch over from a coordinator. A batch of an earlier
// keeper, which may come late, is dropped: a newer one was told what is here.
func (p *Pool) Offer(now time.Duration, from filbertford.NodeID, b Batch) {
	if b.durable {
		if b.keeper < p.keepers[b.job].fence {
			return
		}
		p.keepers[b.job] = keeper{fence: b.keeper, at: now}
	}
	for _, item := range b.items {
		p.offerTask(now, from, &b, item)
	}
	p.due = true
}

func (p *Pool) offerTask(now time.Duration, from filbertford.NodeID, b *Batch, item Item) {
	key := b.key(item.index)
	if f, ok := p.finished[key]; ok && (b.resume || b.durable) {
		f.coordinator = from
		p.finished[key] = f
		p.report(from, key, f.verdict, max(f.failures, item.failures))
		return
	}
	if t, ok := p.tasks[key]; ok {
		p.reassign(now, t, from, b)
		return
	}
	t := &task{
		key: key, coordinator: from, batch: b, failures: item.failures,
		end: now + b.end, queued: now, resume: b.resume,
		notBefore: now + orphanTerm - b.orphaned, startedOn: item.target, search: b.search,
	}
	t.setDue(now + b.due)
	t.failures = max(t.failures, p.foreign[key])
	p.tasks[key] = t
	if r, ok := p.live[key]; ok && r.adoptable() {
		p.adopt(now, t, r)
		return
	}
	if t.search {
		p.endSearch(now, t)
		return
	}
	p.enqueue(t)
}

// reassign gives a task that is here to the coordinator that offers it now.
func (p *Pool) reassign(now time.Duration, t *task, from filbertford.NodeID, b *Batch) {
	if t.coordinator != from && t.parked == 0 {
		p.report(t.coordinator, t.key, VerdictTaken, t.failures)
	}
	t.coordinator, t.batch, t.parked = from, b, 0
	t.setDue(now + b.due)
	t.end = now + b.end
	p.queue.sort()
	if t.search && b.search {
		return // it is still looked for here
	}
	if t.search {
		t.search = false
		p.enqueue(t)
	}
	if b.durable {
		var on filbertford.TargetID
		if t.run != nil {
			on = t.run.target.id()
		}
		p.reportStart(t, on)
	}
}

func (t *task) setDue(due time.Duration) {
	t.due, t.latestStart = due, due-t.batch.step.Estimate()
}

// adopt lets a task go on in a run that an earlier owner or coordinator began.
func (p *Pool) adopt(now time.Duration, t *task, r *run) {
	t.run, r.task, t.started = r, t, true
	if r.demand == (filbertford.Demand{}) {
		r.demand = t.batch.step.Demand()
		r.target.used = r.target.used.Plus(r.demand)
	}
	p.reportStart(t, r.target.id())
	p.note(Note{Kind: NoteAdopted, Task: t.key, Target: r.target.id(), Run: r.number, Age: now - r.began})
}

func (p *Pool) enqueue(t *task) {
	p.queue.add(t)
	p.due, p.changed = true, true
}

func (p *Pool) dequeue(t *task) {
	p.queue.removeFunc(func(q *task) bool { return q == t })
	p.changed = true
}

// Withdraw takes the job's tasks of a coordinator back: what waits is dropped,
// what runs is stopped.
func (p *Pool) Withdraw(now time.Duration, from filbertford.NodeID, job filbertford.JobKey) {
	for _, t := range p.tasksOf(from, job) {
		p.returnTask(t, VerdictReturned)
	}
	p.drop(now, func(t *task) bool { return t.key.Job() == job && t.isOf(from) }, "withdrawn")
	p.releaseEnds(now, job)
	p.due = true
}

// isOf reports whether the coordinator may withdraw the task.
func (t *task) isOf(coordinator filbertford.NodeID) bool {
	return t.coordinator == coordinator || t.parked != 0
}

// tasksOf returns a coordinator's tasks of a job, by step and index.
func (p *Pool) tasksOf(from filbertford.NodeID, job filbertford.JobKey) []*task {
	var out []*task
	for key, t := range p.tasks {
		if key.Job() == job && t.isOf(from) {
			out = append(out, t)
		}
	}
	slices.SortFunc(out, func(a, b *task) int { return a.key.Compare(b.key) })
	return out
}

// CoordinatorGone drops all tasks of a coordinator that can't be reached. Those
// of stored jobs go on for a while, but none is started.
func (p *Pool) CoordinatorGone(now time.Duration, node filbertford.NodeID) {
	for _, t := range p.tasks {
		if t.coordinator == node && t.batch.durable && t.parked == 0 {
			t.parked = now
		}
	}
	p.drop(now, func(t *task) bool { return t.coordinator == node && t.parked == 0 }, "coordinator gone")
	p.due = true
}

func (p *Pool) drop(now time.Duration, match func(*task) bool, reason string) {
	var stopped []*run
	for key, t := range p.tasks {
		if !match(t) {
			continue
		}
		delete(p.tasks, key)
		if t.run != nil {
			t.run.task = nil
			stopped = append(stopped, t.run)
		}
	}
	slices.SortFunc(stopped, compareRuns)
	for _, r := range stopped {
		p.stopRun(now, r, reason)
	}
	p.queue.removeFunc(func(t *task) bool { return p.tasks[t.key] != t })
	p.changed = true
}

// Tick does what time demands: looks, leases, expiry. Wall is as for NewPool.
func (p *Pool) Tick(now time.Duration, wall int64) {
	p.wall = max(p.wall, wall)
	for _, t := range slices.Clone(p.order) { // some may leave the pool
		p.tendTarget(now, t)
	}
	p.settle(now)
	p.tendStored(now)
	p.dispatch(now)
	p.expire(now)
	p.forget(now)
}

// settle notes when every target has been listed: from then on a task that is
// not known to run does not run. A target that can't be reached may still obey
// an earlier owner, even if its record is gone.
func (p *Pool) settle(now time.Duration) {
	if p.settled || len(p.order) == 0 || len(p.ghosts) > 0 {
		return
	}
	for _, t := range p.order {
		if !t.listed {
			return
		}
	}
	p.settled, p.changed = true, true
	p.note(Note{Kind: NoteSettled, Age: now - p.began})
}

// expire gives up the tasks that could not start in time.
func (p *Pool) expire(now time.Duration) {
	expired := false
	for _, t := range p.queue.tasks {
		if now < t.end {
			continue
		}
		expired = true
		delete(p.tasks, t.key)
		p.note(Note{Kind: NoteExpired, Task: t.key, Age: now - t.queued})
		p.returnTask(t, VerdictExpired)
	}
	if expired {
		p.queue.removeFunc(func(t *task) bool { return p.tasks[t.key] != t })
		p.changed = true
	}
}

func (p *Pool) forget(now time.Duration) {
	maps.DeleteFunc(p.keepers, func(_ filbertford.JobKey, k keeper) bool { return now-k.at > foreignTerm })
	for key, f := range p.finished {
		if now-f.at > f.kept {
			delete(p.finished, key)
			delete(p.foreign, key)
			if p.tasks[key] == nil && p.live[key] == nil {
				delete(p.runs, key)
			}
		}
	}
}

// finishTask ends a task with a verdict.
func (p *Pool) finishTask(now time.Duration, t *task, v Verdict) {
	delete(p.tasks, t.key)
	f := finish{verdict: v, failures: t.failures, at: now, kept: memoryTerm, coordinator: t.coordinator}
	if t.batch.durable {
		f.kept, f.repeat = foreignTerm, now+repeatPeriod
	}
	p.finished[t.key] = f
	p.report(t.coordinator, t.key, v, t.failures)
}

// requeueTask lets a task wait for another run.
func (p *Pool) requeueTask(now time.Duration, t *task, reason string) {
	t.run, t.resume, t.startedOn = nil, false, ""
	p.note(Note{Kind: NoteRequeue, Task: t.key, Reason: reason, Age: now - t.queued})
	p.enqueue(t)
}

func (p *Pool) report(to filbertford.NodeID, key filbertford.TaskKey, v Verdict, failures int) {
	p.do(SendReport{To: to, Report: NewReport(p.id, p.fence, key, v, failures).WithStarted(true)})
}

// reportStart tells the coordinator where a task runs, so that a later owner
// knows where to look for the run.
func (p *Pool) reportStart(t *task, on filbertford.TargetID) {
	p.do(SendReport{To: t.coordinator, Report: NewReport(p.id, p.fence, t.key, VerdictStarted, t.failures).WithStarted(true).WithTarget(on)})
}

// returnTask tells the coordinator that the pool will not run a task any more.
func (p *Pool) returnTask(t *task, v Verdict) {
	p.do(SendReport{To: t.coordinator, Report: NewReport(p.id, p.fence, t.key, v, t.failures).WithStarted(t.started || t.resume)})
}

func (p *Pool) do(a Action) { p.out = append(p.out, a) }

func (p *Pool) note(n Note) {
	n.Pool = p.id
	p.do(n)
}

// nextRun returns a number for the next run of a task. Odd numbers are those of
// stored jobs, so that an owner that finds a run knows it for one.
func (p *Pool) nextRun(now time.Duration, t *task) uint64 {
	n := max(p.runs[t.key]+1, 2*uint64(p.wall+now.Milliseconds()))
	if isStoredRun(n) != t.batch.durable {
		n++
	}
	p.runs[t.key] = n
	return n
}

func isStoredRun(number uint64) bool { return number%2 == 1 }
