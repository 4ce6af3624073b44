package fbsched

import (
	"slices"
	"time"

	"github.com/filbertford/filbertford"
)

// Timeouts and intervals of a pool.
const (
	// leaseDuration is the lease that a call grants to a target's runs. It covers two
	// polls, and is short enough that the runs of a target that stopped answering
	// are over before a caller of the platform sends its job again.
	leaseDuration = 800 * time.Millisecond
	// maxLease is the longest lease that a target grants, as the platform specifies.
	maxLease = time.Second
	// earlierRunTimeout is how long a run can continue after its coordinator has lost
	// contact with the owner that started it: the owner detects the loss within a
	// second and stops the run; if it can't, the run's lease expires.
	earlierRunTimeout = 2 * time.Second
	// surveyTimeout is the longest that a new owner waits for the lists of targets that
	// can be reached before it starts any task.
	surveyTimeout = time.Second
	// listTimeout is the longest that tasks of stored jobs wait for a new owner to
	// list all targets: longer than network partitions and unresponsive targets
	// usually last.
	listTimeout = 10 * time.Second
	// maxListedEnds is the number of ended runs that a target lists at a time, as the
	// platform specifies. It lists the others once these are acknowledged.
	maxListedEnds = 500
	// maxPollWait is the longest that a target holds a poll before it replies.
	maxPollWait = 200 * time.Millisecond
	// ackDelay is how long an idle target keeps the outcomes of its ended runs after the
	// last poll. The poll that follows the next start discards them too, so that a busy
	// target needs no poll of its own for it.
	ackDelay = 500 * time.Millisecond
	// adoptionTimeout is how long a run without a task continues after its target was
	// first listed: three heartbeats of a coordinator in a small fleet.
	adoptionTimeout = 300 * time.Millisecond
	// outcomeRetention is how long the outcome of a task is kept for a coordinator
	// that offers it again. storedOutcomeRetention applies to tasks of stored jobs and
	// to tasks that an earlier owner started.
	outcomeRetention       = 5 * time.Second
	storedOutcomeRetention = time.Minute
	// unclaimedRetention is how long a target keeps the outcome of a stored job's run
	// that no coordinator claims: longer than network partitions and outages of the
	// store usually last. unclaimedPollInterval is the time between two polls of such
	// a target, which replies to each poll immediately.
	unclaimedRetention    = 20 * time.Second
	unclaimedPollInterval = 50 * time.Millisecond
	// coordinatorTimeout is how long the tasks of a stored job continue without a
	// coordinator.
	coordinatorTimeout = 8 * time.Second
	// reofferTimeout is how long the tasks of a best-effort job are kept after their
	// coordinator has connected again without offering them. It offers all of its tasks
	// as soon as it is connected; the rest is for the delay of a busy daemon. None of them
	// starts meanwhile.
	reofferTimeout = 800 * time.Millisecond
	// reportInterval is the time between two reports of an outcome that is not
	// confirmed.
	reportInterval = time.Second
	// maxMisses is the number of calls in a row that a target has not answered in time
	// from which it counts as unreachable. A single call may have been lost.
	maxMisses = 2
	// retryInterval is the time between two polls of a target that does not answer,
	// and between two requests to stop a run.
	retryInterval = 100 * time.Millisecond
	// staleRunSkip is how far the run numbers of a task move ahead after a target has
	// rejected one as stale, to pass those from the clock of an earlier owner. They
	// increase by two per millisecond.
	staleRunSkip = 10_000
)

// Pool runs tasks on the targets that one daemon owns. It is not safe for
// concurrent use.
type Pool struct {
	id                filbertford.PoolID
	fence             uint64
	wallOffset        int64
	targets           map[filbertford.TargetID]*target
	sortedTargets     []*target
	tasks             map[filbertford.TaskKey]*task
	activeRuns        map[filbertford.TaskKey]*run
	secondRuns        map[filbertford.TaskKey]int // number of runs beside the active one
	runNumbers        map[filbertford.TaskKey]uint64
	outcomes          map[filbertford.TaskKey]taskOutcome
	inheritedFailures map[filbertford.TaskKey]inheritedFailures
	losses            map[filbertford.TaskKey]*taskLosses
	silentTargets     map[filbertford.TargetID][]filbertford.TaskKey // tasks with a loss that the target's reply would refute
	endedTargets      map[filbertford.TargetID]endedTarget
	departed          map[filbertford.TargetID]filbertford.TargetRecord // left the pool before they were listed
	unlistedAddresses map[string]bool                                   // see noteUnlisted
	shardOwners       map[filbertford.JobKey]shardOwner                 // of stored jobs
	queue             queue
	backfill          *backfill
	startedJobs       map[filbertford.JobKey]time.Duration // when a task of the job was last started
	kindFactors       *kindFactors
	runTimeRatios     median // of run times and those expected for the machine kind
	delay             ownerDelay
	roundTrips        *roundTrips
	createdAt         time.Duration
	allListed         bool
	surveyed          bool          // see checkSurveyed
	surveyFrom        time.Duration // calls that were sent before don't count for the survey
	dispatchDue       bool          // a queued task may be able to start
	nextLossCheck     time.Duration // see tickLosses
	unmet             map[requirement]unmetRequirement
	nextUnmetCheck    time.Duration // see tickUnmet
	startsHeldUntil   time.Duration
	suspendedUntil    time.Duration // see HandleSuspension
	capacityChanged   bool
	// heardAt is when the coordinators of other daemons were last heard, earliestHeard a lower
	// bound of these times, messagesQueuedUntil the time from which messages aren't older than the
	// last suspension.
	heardAt             map[filbertford.NodeID]time.Duration
	earliestHeard       time.Duration
	messagesQueuedUntil time.Duration
	awaitedOffers       map[filbertford.NodeID]bool // see AwaitOffers
	scheduling          filbertford.Scheduling
	poolEvacuation
	actions []Action
}

// task is a task that a coordinator has offered and that has not ended. It misses its
// objective after due, and expires in the queue at the deadline.
type task struct {
	key                      filbertford.TaskKey
	coordinator              filbertford.NodeID
	batch                    *Batch
	failures                 failureCounter
	avoid                    []filbertford.TargetID
	due                      time.Duration
	latestStart              time.Duration // due less the estimate
	deadline                 time.Duration
	queuedAt                 time.Duration
	resume                   bool
	notBefore                time.Duration        // when any run of an earlier owner has ended
	startedOn                filbertford.TargetID // by an earlier owner, empty if unknown
	search                   bool                 // run only if already in the pool
	waitsForFaster           bool                 // a target has capacity, but the task waits for a faster one
	coordinatorUnreachableAt time.Duration        // 0 if the coordinator is reachable
	reofferBy                time.Duration        // when it is dropped unless it is offered again, 0 for never
	run                      *run
	started                  bool // a run was started or adopted
	reserved                 bool // a target is reserved for it, see backfill
	reservedInTime           bool // it could meet its objective when the target was reserved
	jobStarted               bool // a task of the job had been started when this one was queued
}

// taskOutcome is the outcome of a task that has ended.
type taskOutcome struct {
	status      Status
	failed      failedRuns
	crashes     int
	endedAt     time.Duration
	retention   time.Duration // how long the outcome is kept
	coordinator filbertford.NodeID
	nextReport  time.Duration // when it is reported again if not confirmed, 0 for never
}

// NewPool returns the pool of a new owner, whose fencing token is higher than that of
// any previous owner. wallOffset is the time of day in Unix milliseconds less the time
// since boot. Run numbers are derived from it, so that they increase across owners.
func NewPool(id filbertford.PoolID, fence uint64, wallOffset int64, now time.Duration) *Pool {
	return &Pool{
		id: id, fence: fence, wallOffset: wallOffset, createdAt: now, surveyFrom: now,
		targets:           make(map[filbertford.TargetID]*target),
		tasks:             make(map[filbertford.TaskKey]*task),
		activeRuns:        make(map[filbertford.TaskKey]*run),
		secondRuns:        make(map[filbertford.TaskKey]int),
		runNumbers:        make(map[filbertford.TaskKey]uint64),
		outcomes:          make(map[filbertford.TaskKey]taskOutcome),
		inheritedFailures: make(map[filbertford.TaskKey]inheritedFailures),
		losses:            make(map[filbertford.TaskKey]*taskLosses),
		silentTargets:     make(map[filbertford.TargetID][]filbertford.TaskKey),
		endedTargets:      make(map[filbertford.TargetID]endedTarget),
		departed:          make(map[filbertford.TargetID]filbertford.TargetRecord),
		unlistedAddresses: make(map[string]bool),
		shardOwners:       make(map[filbertford.JobKey]shardOwner),
		queue:             newQueue(filbertford.OrderByDeadline),
		unmet:             make(map[requirement]unmetRequirement),
		startedJobs:       make(map[filbertford.JobKey]time.Duration),
		kindFactors:       newKindFactors(),
		roundTrips:        newRoundTrips(),
		heardAt:           make(map[filbertford.NodeID]time.Duration),
		capacityChanged:   true,
	}
}

// SetScheduling sets the settings that apply under contention. It must be called before
// the pool is used.
func (p *Pool) SetScheduling(s filbertford.Scheduling) {
	p.scheduling, p.queue, p.backfill = s, newQueue(s.Order()), newBackfill(s.Backfill())
}

// ID returns the pool's name.
func (p *Pool) ID() filbertford.PoolID { return p.id }

// Fence returns the fencing token of the pool's owner.
func (p *Pool) Fence() uint64 { return p.fence }

// TakeActions starts the tasks that can start, and returns the actions since the last
// call.
func (p *Pool) TakeActions(now time.Duration) []Action {
	if p.dispatchDue {
		p.dispatch(now)
	}
	actions := p.actions
	p.actions = nil
	return actions
}

// TakeCapacityChanged reports whether the capacity may have changed since the last
// call.
func (p *Pool) TakeCapacityChanged() bool {
	changed := p.capacityChanged
	p.capacityChanged = false
	return changed
}

// HoldStarts holds tasks back until ReleaseStarts is called, but not beyond the given time.
func (p *Pool) HoldStarts(until time.Duration) { p.startsHeldUntil = until }

// ReleaseStarts ends a hold.
func (p *Pool) ReleaseStarts() {
	if p.startsHeldUntil != 0 {
		p.startsHeldUntil, p.dispatchDue = 0, true
	}
}

// Queued returns the number of tasks that wait for a target.
func (p *Pool) Queued() int { return p.queue.len() }

// Running returns the number of runs on the pool's targets.
func (p *Pool) Running() int { return len(p.activeRuns) }

// shardOwner is the newest shard owner that has offered tasks of a stored job.
type shardOwner struct {
	fence uint64
	at    time.Duration
}

func (p *Pool) enqueue(t *task) {
	_, t.jobStarted = p.startedJobs[t.key.Job()]
	p.queue.add(t)
	p.dispatchDue, p.capacityChanged = true, true
}

func (p *Pool) dequeue(t *task) {
	p.queue.removeFunc(func(q *task) bool { return q == t })
	p.capacityChanged = true
}

// Withdraw returns the job's tasks to the coordinator. It drops queued tasks and stops
// runs. A stored job whose end another daemon has stored isn't returned: its coordinator would
// place it elsewhere if it hasn't learned of the end yet.
func (p *Pool) Withdraw(now time.Duration, from filbertford.NodeID, job filbertford.JobKey) {
	for _, t := range p.tasksOf(from, job) {
		if t.coordinator == from || t.coordinatorUnreachableAt != 0 {
			p.returnTask(t, StatusReturned)
		}
	}
	p.dropTasks(now, func(t *task) bool { return t.key.Job() == job && t.mayBeWithdrawnBy(from) }, "withdrawn")
	p.releaseOutcomes(now, job)
	p.dispatchDue = true
}

// mayBeWithdrawnBy reports whether the coordinator may withdraw the task. A stored job is withdrawn
// only after its end was stored, by whichever daemon owns its shard then.
func (t *task) mayBeWithdrawnBy(coordinator filbertford.NodeID) bool {
	return t.coordinator == coordinator || t.coordinatorUnreachableAt != 0 || t.batch.stored
}

// tasksOf returns the tasks of a job that the coordinator may withdraw, ordered by
// step and index.
func (p *Pool) tasksOf(from filbertford.NodeID, job filbertford.JobKey) []*task {
	var out []*task
	for key, t := range p.tasks {
		if key.Job() == job && t.mayBeWithdrawnBy(from) {
			out = append(out, t)
		}
	}
	slices.SortFunc(out, func(a, b *task) int { return a.key.Compare(b.key) })
	return out
}

func (p *Pool) dropTasks(now time.Duration, match func(*task) bool, reason string) {
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
	p.capacityChanged = true
}

// Tick handles what depends on time: it polls targets, expires leases and tasks,
// starts queued tasks and removes old outcomes. wallOffset is as in NewPool.
func (p *Pool) Tick(now time.Duration, wallOffset int64) {
	p.wallOffset = max(p.wallOffset, wallOffset)
	p.updateEarliestHeard(now)
	for _, t := range slices.Clone(p.sortedTargets) { // tickTarget may remove targets
		p.tickTarget(now, t)
	}
	p.checkAllListed(now)
	p.checkSurveyed(now)
	p.tickStored(now)
	p.tickLosses(now)
	p.tickUnmet(now)
	p.forgetStartedJobs(now)
	p.tickRamp(now)
	p.dispatch(now)
	p.expire(now)
	p.removeOldOutcomes(now)
}

// checkAllListed sets allListed when every target has been listed: from then on, a
// task without a known run is not running. A target that can't be reached may still
// execute runs of an earlier owner, even if its record has been removed, unless another
// target replies at its address. So may that one.
func (p *Pool) checkAllListed(now time.Duration) {
	if p.allListed || len(p.sortedTargets) == 0 || p.unlistedMayRun(now) {
		return
	}
	for _, t := range p.sortedTargets {
		if !t.listed {
			return
		}
	}
	p.allListed, p.capacityChanged = true, true
	p.emitEvent(Event{Kind: EventPoolSettled, Age: now - p.createdAt})
}

// checkSurveyed sets surveyed when every target has been listed or can't be reached, and
// at the latest after surveyTimeout. Before, the pool starts no task, not even one that its
// coordinator has offered to no other owner: when all daemons start at once, several may own
// the pool for a moment, and another owner may have started the task at a target that this
// one has not listed. A suspension begins the survey again.
func (p *Pool) checkSurveyed(now time.Duration) {
	if p.surveyed || len(p.sortedTargets) == 0 {
		return
	}
	for _, t := range p.sortedTargets {
		if (!t.listed || t.listsSent < p.surveyFrom) && t.misses < maxMisses && now-p.surveyFrom < surveyTimeout {
			return
		}
	}
	p.surveyed, p.dispatchDue = true, true
}

// HandleSuspension handles that the owner was suspended until now. Another daemon may own the
// pool by now and may have started its tasks. A target rejects this owner's token only if the
// other one has reached it, so that all targets are asked before any task starts, and none
// starts for the given time, in which other daemons report a newer owner.
func (p *Pool) HandleSuspension(now, wait time.Duration) {
	p.surveyed, p.surveyFrom, p.suspendedUntil = false, now, now+wait
	p.messagesQueuedUntil = now + queuedMessageTime
	for _, t := range p.sortedTargets {
		t.polling = false // a reply to the last poll may be older than the suspension
		p.poll(now, t)
	}
}

// expire drops the tasks that could not start in time.
func (p *Pool) expire(now time.Duration) {
	expired := false
	for _, t := range p.queue.tasks {
		if now < t.deadline {
			continue
		}
		expired = true
		delete(p.tasks, t.key)
		p.emitEvent(Event{Kind: EventTaskExpired, Task: t.key, Age: now - t.queuedAt})
		p.returnTask(t, StatusExpired)
	}
	if expired {
		p.queue.removeFunc(func(t *task) bool { return p.tasks[t.key] != t })
		p.capacityChanged = true
	}
}

// requeueTask queues a task for another run.
func (p *Pool) requeueTask(now time.Duration, t *task, reason string) {
	event := Event{Kind: EventTaskRequeued, Task: t.key, Reason: reason, Age: now - t.queuedAt}
	r := t.run
	if r != nil {
		event.Target, event.Run, event.ListsAge = r.target.id(), r.number, now-r.target.listsAt
	}
	p.emitEvent(event)
	t.run, t.resume, t.startedOn = nil, false, ""
	if t.attemptsUsed() {
		p.finishTask(now, t, StatusFailed)
		return
	}
	if p.giveUp(now, t) {
		return
	}
	p.enqueue(t)
	if r != nil && !r.lossKept {
		p.reportRunEnded(t, r.target.id())
	}
}

func (p *Pool) report(to filbertford.NodeID, key filbertford.TaskKey, status Status, failed failedRuns) {
	p.emit(SendReport{To: to, Report: NewReport(p.id, p.fence, key, status, failed.count).WithFailedRun(failed.last).withCrashCount(p.crashCountOf(key)).WithStarted(true)})
}

// reportStart reports to the coordinator which target runs a task. A later owner of the
// pool receives the target from the coordinator and may have to read its lists before it
// starts the task again.
func (p *Pool) reportStart(t *task, target filbertford.TargetID) {
	p.emit(SendReport{To: t.coordinator, Report: NewReport(p.id, p.fence, t.key, StatusStarted, t.failures.failed.count).WithFailedRun(t.failures.failed.last).withCrashCount(p.crashCountOf(t.key)).WithStarted(true).WithTarget(target)})
}

// returnTask reports to the coordinator that the pool will not run a task any more.
func (p *Pool) returnTask(t *task, status Status) {
	r := NewReport(p.id, p.fence, t.key, status, t.failures.failed.count).WithFailedRun(t.failures.failed.last).withCrashCount(p.crashCountOf(t.key)).
		WithStarted(t.started || t.resume).WithOfferNumber(t.batch.offerNumber)
	p.emit(SendReport{To: t.coordinator, Report: r})
}

func (p *Pool) emit(a Action) { p.actions = append(p.actions, a) }

func (p *Pool) emitEvent(e Event) {
	e.Pool = p.id
	p.emit(e)
}
