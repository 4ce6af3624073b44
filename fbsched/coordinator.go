package fbsched

import (
	"maps"
	"slices"
	"time"

	"github.com/filbertford/filbertford"
)

// Limits of a coordinator.
const (
	// defaultTimeout applies if neither the caller nor the route states a timeout.
	defaultTimeout = 5 * time.Second
	// answerMargin is the part of a caller's timeout that is reserved for sending
	// the answer.
	answerMargin = 20 * time.Millisecond
	// lateFactor is the multiple of its objective after which the platform no
	// longer counts a job's result as useful.
	lateFactor = 3
	// returnTimeout is how long the pools have to return the tasks of an abandoned
	// job.
	returnTimeout = 100 * time.Millisecond
	// maxRetryAfter is the longest delay that a rejected caller is asked to wait
	// before it retries.
	maxRetryAfter = 5 * time.Second
	// isolationTimeout is how long jobs wait while no pool has an owner. A takeover
	// or the start of a daemon takes less, so after this time the daemon counts as
	// cut off from the others.
	isolationTimeout = 700 * time.Millisecond
	// maxReturns is how often a task is offered again after a pool returned it.
	maxReturns = 8
	// homeBias ranks the home pool before pools that can start as many of the tasks.
	homeBias = 1
)

// Coordinator runs jobs by offering their tasks to pools. It keeps jobs in
// memory only. It is not safe for concurrent use.
type Coordinator struct {
	home      filbertford.PoolID
	jobs      map[filbertford.JobKey]*job
	byRequest map[uint64]*job
	pools     map[filbertford.PoolID]*poolView
	// allUnownedSince is when the last owner of any pool was lost or, before there was
	// one, when the coordinator first checked.
	allUnownedSince time.Duration
	anyOwned        bool // some pool has an owner
	scheduling      filbertford.Scheduling
	admitter        filbertford.Admitter // set by the first job
	tickedAt        time.Duration
	queueSequence   float64 // see queueByWait
	lastOfferNumber uint64
	attempts        map[filbertford.JobKey]attempt
	endedJobs       map[filbertford.JobKey]time.Duration // until when their withdrawals are repeated
	unfit           map[poolRequirement]unfitPool        // pools that could not hold tasks
	nextUnfitCheck  time.Duration                        // see forgetUnfit
	releasedJobs    []filbertford.JobKey                 // with tasks that pools have released
	releasedAt      time.Duration                        // when the last of them was returned
	balancing
	actions []Action
}

// poolView is a coordinator's view of a pool.
type poolView struct {
	owner        filbertford.NodeID
	fence        uint64
	lastFence    uint64             // of the owner or, if there is none, of the previous one
	lostAt       time.Duration      // when the previous owner was lost
	heldOwner    filbertford.NodeID // an earlier owner that still claims the pool, see SetOwner
	heldFence    uint64
	capacities   map[string]*capacityView
	lackingFence uint64        // of the last owner that didn't know the targets, see SetOwnerTargets
	lackingSince time.Duration // when it was first heard to lack them
	evacuated    bool          // this daemon knows of the evacuation
	releases     bool          // the owner has returned a task because of one, and reported no capacity since
	reported     bool          // a report of capacities has arrived since the last call of Rebalance
	reportedAt   time.Duration // when the last one arrived
	draw         float64       // random number, drawn for each report
	roundTrip    time.Duration // shortest time from an offer to the report of a start, 0 if unknown
}

// job is a job in progress. It misses its objective after due, and its callers stop
// waiting at the deadline.
type job struct {
	workload       filbertford.Workload
	route          filbertford.Route
	requestIDs     []uint64
	submittedAt    time.Duration
	due            time.Duration
	usefulUntil    time.Duration // when a job with a waiting task is abandoned
	deadline       time.Duration
	steps          []stepState
	chain          time.Duration // estimated run time of the longest chain of tasks
	mayHaveRun     bool          // a run of a task may have started
	stored         bool
	recalledAt     time.Duration // when its tasks were recalled, 0 if they weren't or one has started
	returnDeadline time.Duration // when an abandoned job stops waiting for its tasks, 0 if not abandoned
	reason         string
	startReported  bool  // JobStarted was emitted
	move           *move // nil unless tasks were recalled
	offered        map[poolOwner]bool
}

// poolOwner is an owner of a pool, to which tasks of a job were offered.
type poolOwner struct {
	pool filbertford.PoolID
	node filbertford.NodeID
}

// stepState is the progress of a step, with the number of tasks that are not done.
type stepState struct {
	remaining int
	tasks     []taskState
}

// taskState is the location and progress of a task.
type taskState struct {
	pool       filbertford.PoolID   // empty while the task waits for a pool
	fence      uint64               // of the owner that the task was last offered to
	resumed    bool                 // another owner may have started it when it was last offered
	offer      uint64               // number of the last offer
	target     filbertford.TargetID // that the task was last started on, empty if that run has ended
	done       bool
	failed     failedRuns
	crashes    crashCount
	returns    int
	waitsSince time.Duration // when it was offered to its pool, 0 once it may have been started
	recalled   bool          // its pool was asked to return it, to move it
	moves      int           // how often it was offered to another pool after a recall
	// releasedBy are the pools that have returned a task of a stored job.
	releasedBy []filbertford.PoolID
	search     *search // set while pools are asked for a task of an earlier coordinator
}

// search is a search for a task in all pools.
type search struct {
	startedAt time.Duration
	absent    map[filbertford.PoolID]uint64 // fencing tokens of the owners that reported it absent
	offers    map[filbertford.PoolID]uint64 // numbers of the last offers
}

// NewCoordinator returns a coordinator that prefers the home pool.
func NewCoordinator(home filbertford.PoolID) *Coordinator {
	return &Coordinator{
		home:      home,
		jobs:      make(map[filbertford.JobKey]*job),
		byRequest: make(map[uint64]*job),
		pools:     make(map[filbertford.PoolID]*poolView),
		unfit:     make(map[poolRequirement]unfitPool),
		attempts:  make(map[filbertford.JobKey]attempt),
		endedJobs: make(map[filbertford.JobKey]time.Duration),
	}
}

// SetScheduling sets the settings that apply under contention. It must be called before
// the coordinator is used.
func (c *Coordinator) SetScheduling(s filbertford.Scheduling) { c.scheduling = s }

// TakeActions returns the actions since the last call.
func (c *Coordinator) TakeActions() []Action {
	c.placeReleased()
	actions := c.actions
	c.actions = nil
	return actions
}

// Jobs returns the number of jobs in progress.
func (c *Coordinator) Jobs() int { return len(c.jobs) }

// AddPool adds a pool that may not have an owner yet, so that searches for tasks
// include it.
func (c *Coordinator) AddPool(pool filbertford.PoolID) {
	if c.pools[pool] == nil {
		c.pools[pool] = &poolView{}
	}
}

// SetOwner sets the owner of a pool; an empty owner means that the pool has none. A
// new owner is offered the tasks of best-effort jobs in the pool again.
//
// An owner whose token is lower than that of the last one is an earlier owner, of which the
// coordinator has read an old message, or which hasn't learned of its successor. It gets no
// tasks until all runs of the last one must have ended.
func (c *Coordinator) SetOwner(now time.Duration, pool filbertford.PoolID, owner filbertford.NodeID, fence uint64) {
	v := c.pools[pool]
	if v == nil {
		v = &poolView{}
		c.pools[pool] = v
	}
	v.heldOwner, v.heldFence = "", 0
	if owner != "" && fence < v.lastFence && (v.owner != "" || now-v.lostAt < earlierRunTimeout) {
		v.heldOwner, v.heldFence = owner, fence
		owner, fence = "", 0
	}
	if v.owner == owner && v.fence == fence {
		return
	}
	if v.owner != "" {
		v.lostAt = now
	}
	v.owner, v.fence, v.capacities, v.releases = owner, fence, nil, false
	if owner != "" {
		v.lastFence = fence
	}
	c.updateOwnership(now)
	if owner == "" {
		return
	}
	c.Resume(now, pool)
	c.placeWaiting(now)
}

// Resume offers the tasks of best-effort jobs in a pool to its owner again, because
// batches to the owner or reports from it may have been lost.
func (c *Coordinator) Resume(now time.Duration, pool filbertford.PoolID) {
	c.resume(now, pool, false)
	if v := c.pools[pool]; v != nil && v.owner != "" {
		c.emit(SendOffersComplete{To: v.owner, Pool: pool, Fence: v.fence})
	}
}

// ResumeStored does the same as Resume for stored jobs, and withdraws those that have ended
// lately again. The daemon must be the owner of their shard.
func (c *Coordinator) ResumeStored(now time.Duration, pool filbertford.PoolID) {
	c.resume(now, pool, true)
	c.withdrawEnded(now, pool)
}

func (c *Coordinator) resume(now time.Duration, pool filbertford.PoolID, stored bool) {
	v := c.pools[pool]
	if v == nil || v.owner == "" {
		return
	}
	for _, key := range slices.Sorted(maps.Keys(c.jobs)) {
		j := c.jobs[key]
		if j.returnDeadline != 0 || j.stored != stored {
			continue
		}
		for number := range j.steps {
			c.resumeStep(now, v, j, number, pool)
		}
		if stored {
			c.confirmDone(j, pool) // the previous owner may have missed the confirmations
		}
	}
}

func (c *Coordinator) resumeStep(now time.Duration, v *poolView, j *job, number int, pool filbertford.PoolID) {
	var items []Item
	for index, t := range j.steps[number].tasks {
		if t.pool == pool && !t.done {
			items = append(items, NewItem(index, t.failed.count).WithFailedRun(t.failed.last).withCrashCount(t.crashes).WithTarget(t.target))
			c.untrackResumed(j, &j.steps[number].tasks[index])
		}
	}
	if len(items) > 0 {
		// A report that the pool sent before it receives this batch does not
		// prove that no task runs.
		j.mayHaveRun, j.recalledAt = true, 0
		c.offer(v, c.batch(now, j, number, pool, items).WithResume(now-v.lostAt), j)
	}
	c.searchPool(now, j, number, pool)
}

// HandleReport handles a pool's report on a task.
func (c *Coordinator) HandleReport(now time.Duration, r Report) {
	key := r.Task()
	j := c.jobs[key.Job()]
	if j == nil && (r.Status() == StatusDone || r.Status() == StatusFailed) {
		c.emit(UnknownOutcome{Pool: r.Pool(), Job: key.Job()})
	}
	if j == nil || key.Step() >= len(j.steps) || key.Index() >= len(j.steps[key.Step()].tasks) {
		return
	}
	step := &j.steps[key.Step()]
	t := &step.tasks[key.Index()]
	if r.Status().releases() && t.search != nil {
		return // the pool has been offered the task again since
	}
	if t.search != nil && !c.resolveSearch(now, j, t, r) {
		return
	}
	if t.done && j.stored && r.Status() == StatusDone {
		c.confirm(r.Pool(), key, t.progress())
	}
	if t.done || t.pool != r.Pool() || t.fence != r.Fence() && r.Status() != StatusDone {
		return
	}
	t.failed, t.crashes = t.failed.merge(r.failed), t.crashes.merge(r.crashes)
	j.mayHaveRun = j.mayHaveRun || r.Started()
	if r.answersOffer() && r.OfferNumber() != t.offer {
		return // the pool has been offered the task again since
	}
	c.reported(now, j, t, r)
	if j.recalledAt != 0 && c.handleRecalled(now, j, t, r.Status()) {
		return
	}
	if j.returnDeadline != 0 {
		if r.Status() != StatusStarted && r.Status() != StatusRetried {
			t.pool = ""
			c.finishAbandoned(now, j)
		}
		return
	}
	switch r.Status() {
	case StatusStarted:
		if r.Target() != "" {
			t.target = r.Target()
		}
		c.taskFits(j, key.Step(), r.Pool())
		if j.stored && !j.startReported && r.Target() != "" {
			j.startReported = true
			c.emit(JobStarted{Job: key.Job()})
		}
	case StatusRetried:
		if r.Target() != "" && r.Target() == t.target {
			t.target = "" // if it has crashed, it counts in crashes
		}
		if j.stored && r.hasProgress() {
			c.emit(RecordOutcome{Task: key, Progress: t.progress()})
		}
	case StatusDone:
		if j.stored {
			c.emit(RecordOutcome{Task: key, Progress: t.progress().WithDone()})
			return
		}
		t.done = true
		step.remaining--
		c.advance(now, j)
	case StatusFailed:
		if j.stored {
			c.emit(RecordOutcome{Task: key, Progress: t.progress().WithFailed()})
			return
		}
		c.finish(now, j, filbertford.AnswerFailed, t.failureReason(j))
	case StatusReassigned:
		if j.stored {
			return // the shard has another owner
		}
		t.pool = ""
		c.finish(now, j, filbertford.AnswerUnknown, "another daemon runs the job")
	case StatusAbsent:
		// A repeated answer to a search that has ended.
	case StatusExpired:
		t.pool, t.target = "", ""
		if j.stored {
			c.advance(now, j)
			return
		}
		c.abandon(now, j, "no target for a task in time")
	case StatusReleased:
		c.taskReleased(now, j, t)
	case StatusUnfit:
		c.taskUnfit(now, j, key.Step(), t)
	case StatusReturned:
		if t.resumed {
			return // it answers an earlier offer: a pool keeps a task that may have been started
		}
		t.pool, t.target = "", ""
		if t.recalled {
			c.advanceReturned(now, j)
			return
		}
		if t.returns++; t.returns > maxReturns && !j.stored {
			c.abandon(now, j, "no pool keeps a task")
			return
		}
		c.advance(now, j)
	}
}

// Tick abandons jobs that can't be completed in time and offers waiting tasks.
func (c *Coordinator) Tick(now time.Duration) {
	c.tickedAt = now
	for _, id := range c.poolIDs() {
		if v := c.pools[id]; v.heldOwner != "" {
			c.SetOwner(now, id, v.heldOwner, v.heldFence)
			if v.owner != "" {
				c.emit(OwnerAccepted{Pool: id})
			}
		}
	}
	for _, key := range slices.Sorted(maps.Keys(c.jobs)) {
		j := c.jobs[key]
		switch {
		case j.returnDeadline != 0 && now >= j.returnDeadline:
			c.finish(now, j, filbertford.AnswerUnknown, j.reason)
		case j.returnDeadline != 0, j.stored:
		case now >= j.deadline:
			c.abandon(now, j, "out of time")
		case now >= j.usefulUntil && c.hasWaitingTask(j), c.isolated(now) && c.hasWaitingTask(j):
			c.abandon(now, j, "no pool for a task in time")
		case !j.mayHaveRun && c.noTargets(now) && c.hasWaitingTask(j):
			c.abandon(now, j, noTargetsReason)
		default:
			c.abandonIfEvacuated(now, j)
		}
	}
	c.leaveQueues(now)
	c.forgetUnfit(now)
	c.placeWaiting(now)
	c.endMoves(now)
	c.Rebalance(now)
}

// poolIDs returns the IDs of the known pools in ascending order.
func (c *Coordinator) poolIDs() []filbertford.PoolID { return slices.Sorted(maps.Keys(c.pools)) }

// placeWaiting offers the tasks that have no pool.
func (c *Coordinator) placeWaiting(now time.Duration) {
	c.endSearches(now)
	for _, key := range slices.Sorted(maps.Keys(c.jobs)) {
		if j, ok := c.jobs[key]; ok {
			c.advance(now, j)
		}
	}
}

// advance offers the tasks whose steps are ready, and finishes a job whose steps are
// all done.
func (c *Coordinator) advance(now time.Duration, j *job) {
	if j.returnDeadline != 0 || j.recalledAt != 0 || c.mustWait(now, j) {
		return
	}
	remaining := 0
	for number := range j.steps {
		remaining += j.steps[number].remaining
		if j.steps[number].remaining > 0 && j.ready(number) {
			c.placeStep(now, j, number)
		}
	}
	if remaining == 0 {
		c.finish(now, j, filbertford.AnswerCompleted, "")
	}
}

// ready reports whether the steps that the given step depends on are done.
func (j *job) ready(number int) bool {
	for _, a := range j.workload.Steps()[number].After() {
		if j.steps[a].remaining > 0 {
			return false
		}
	}
	return true
}

func (c *Coordinator) emit(a Action) { c.actions = append(c.actions, a) }
