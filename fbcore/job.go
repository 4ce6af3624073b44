package fbcore

import (
	"cmp"
	"slices"
	"time"

	"github.com/filbertford/filbertford"
)

// taskState is the state of a task.
type taskState string

// The states of a task.
const (
	taskWaiting taskState = "waiting"
	taskRunning taskState = "running"
	taskDone    taskState = "done"
)

// job is a submission that has not ended.
type job struct {
	sub       *submission
	spec      filbertford.Job
	rules     filbertford.Rules
	seq       uint64
	arrivedAt time.Time
	deadline  time.Time

	states         []taskState
	mayHaveStarted []bool // tasks whose start may have reached a target
	results        []filbertford.Result
	pending        []int // waiting tasks in reverse order: the next one is last
	running        map[filbertford.StartID]*start
	unfinished     int
	failedStarts   map[int]int // starts of a task that are proven not to have happened

	rank        float64
	rankPos     int
	deadlinePos int
}

// newJob returns a job with all its tasks waiting.
func (c *Core) newJob(now time.Time, s *submission, spec filbertford.Job, r filbertford.Rules) *job {
	n := len(spec.Tasks())
	c.jobSeq++
	j := &job{
		sub:            s,
		spec:           spec,
		rules:          r,
		seq:            c.jobSeq,
		arrivedAt:      now,
		deadline:       now.Add(spec.Timeout()),
		states:         make([]taskState, n),
		mayHaveStarted: make([]bool, n),
		results:        make([]filbertford.Result, n),
		pending:        make([]int, n),
		running:        make(map[filbertford.StartID]*start),
		unfinished:     n,
		rankPos:        notQueued,
		deadlinePos:    notQueued,
	}
	for i := range n {
		j.states[i] = taskWaiting
		j.pending[i] = n - 1 - i
	}
	j.sortPending()
	return j
}

// sortPending orders the tasks so that the one with the largest declared run time
// is started first, since the job ends no earlier than its longest task.
func (j *job) sortPending() {
	tasks := j.spec.Tasks()
	slices.SortStableFunc(j.pending, func(a, b int) int {
		return cmp.Compare(tasks[a].Size(), tasks[b].Size())
	})
}

// waitingTask returns the job's next task as the policy sees it.
func (j *job) waitingTask(now time.Time) filbertford.WaitingTask {
	var size time.Duration
	var failedStarts int
	if n := len(j.pending); n > 0 {
		task := j.pending[n-1]
		size, failedStarts = j.spec.Tasks()[task].Size(), j.failedStarts[task]
	}
	return filbertford.NewWaitingTask(j.spec.Service(), size, j.unfinished, len(j.states), now.Sub(j.arrivedAt)).WithFailedStarts(failedStarts)
}

// accept adds a job to the queue.
func (c *Core) accept(now time.Time, s *submission, spec filbertford.Job, r filbertford.Rules) {
	j := c.newJob(now, s, spec, r)
	s.job = j
	c.activeJobs++
	c.jobBytes += spec.MemoryBytes()
	c.stats.Accepted++
	c.waitingTasks += j.unfinished
	c.teamTasks[spec.Team()] += j.unfinished
	c.deadlines.put(j)
	c.enqueue(now, j)
}

// enqueue adds a job with waiting tasks to the queue, or updates its rank there,
// and removes a job without any.
func (c *Core) enqueue(now time.Time, j *job) {
	if len(j.pending) == 0 {
		c.waiting.remove(j)
		return
	}
	j.rank = c.policy.Rank(j.waitingTask(now))
	c.waiting.put(j)
}

// maxJobsSkipped is the number of jobs without a target after which one pass over
// the queue ends.
const maxJobsSkipped = 16

// dispatch starts waiting tasks while the policy finds targets for them. It skips
// a job if the policy finds no target for its next task.
func (c *Core) dispatch(now time.Time) {
	if c.waiting.Len() == 0 {
		return
	}
	skipped := c.skipped[:0]
	ahead := 0 // waiting tasks of the skipped jobs
	for len(skipped) < maxJobsSkipped {
		j := c.waiting.peek()
		if j == nil {
			break
		}
		if c.startNextTask(now, j, ahead) || c.spill(now, j) {
			c.enqueue(now, j)
			continue
		}
		c.waiting.remove(j)
		skipped = append(skipped, j)
		ahead += len(j.pending)
	}
	for _, j := range skipped {
		c.waiting.put(j)
	}
	clear(skipped)
	c.skipped = skipped
}

// startNextTask starts the next task of a job, if the policy finds a target for
// it, and reports whether it did. The parameter ahead is the number of waiting tasks
// of other jobs that go first.
func (c *Core) startNextTask(now time.Time, j *job, ahead int) bool {
	candidates := c.poolOf(j.spec.Service()).candidates
	if len(candidates) == 0 {
		return false
	}
	task := j.waitingTask(now).WithQueuePosition(ahead + len(j.pending))
	i, ok := c.policy.Place(now, task, candidates)
	if !ok {
		return false
	}
	c.startTask(now, j, c.targets[candidates[i].ID()])
	return true
}

// startTask sends the job's next task to the target.
func (c *Core) startTask(now time.Time, j *job, t *target) {
	task := j.pending[len(j.pending)-1]
	j.pending = j.pending[:len(j.pending)-1]
	c.assert(j.states[task] == taskWaiting && !j.mayHaveStarted[task], InvariantStartOnce)
	c.assert(t.ownTasks < t.vm.Slots(), InvariantSlots)
	c.assert(!c.drained, InvariantStopped)
	c.assert(now.Before(j.deadline), InvariantDeadline)

	s := &start{id: c.newStartID(), job: j, task: task, target: t, startedAt: now, lease: j.rules.Lease()}
	if len(t.starts) == 0 {
		t.leaseRequestedAt, t.renewalRequestedAt = now, now
	}
	j.states[task] = taskRunning
	j.mayHaveStarted[task] = true
	j.running[s.id] = s
	t.starts[s.id] = s
	t.ownTasks++
	c.updatePools(t)
	c.starts[s.id] = s
	c.waitingTasks--
	args := j.spec.Tasks()[task].Args()
	req := filbertford.NewStartRequest(s.id, c.cfg.Incarnation, j.spec.Service(), args, s.lease)
	if t.remote {
		c.emit(c.remoteStart(now, s, req))
		return
	}
	c.emit(StartTask{Target: t.vm, Request: req, Timeout: j.deadline.Sub(now) + s.lease})
}

// startEnded handles the result of a start. It ignores a start that has ended
// already, whose slot has been released.
func (c *Core) startEnded(now time.Time, id filbertford.StartID, r filbertford.StartResult) {
	s := c.starts[id]
	if s == nil {
		return
	}
	c.releaseSlot(now, s, r)
	c.observe(now, s, r)
	j := s.job
	delete(j.running, id)
	if j.sub.job == nil {
		return // the job ended before its task
	}
	c.taskEnded(now, j, s, r)
}

// releaseSlot releases the slot of a start and updates the target's state from the
// result.
func (c *Core) releaseSlot(now time.Time, s *start, r filbertford.StartResult) {
	t := s.target
	delete(c.starts, s.id)
	delete(t.starts, s.id)
	t.ownTasks--
	if free, ok := r.FreeSlots(); ok {
		t.recordFreeSlots(now, free)
	}
	switch r.Outcome() {
	case filbertford.OutcomeDone, filbertford.OutcomeTaskFailed:
		if s.startedAt.After(t.leaseRequestedAt) {
			t.leaseRequestedAt = s.startedAt
		}
	case filbertford.OutcomeLeaving:
		t.leaving = true
		c.rebuildPools()
	}
	c.updatePools(t)
}

func (c *Core) observe(now time.Time, s *start, r filbertford.StartResult) {
	switch {
	case r.Outcome().NotStarted():
		c.stats.NotStarted++
	case r.Outcome() == filbertford.OutcomeUnknown:
		c.stats.Unknown++
	}
	if s.target.remote {
		return
	}
	size := s.job.spec.Tasks()[s.task].Size()
	c.policy.Observe(now, filbertford.NewObservation(
		filbertford.TargetID(s.target.vm.ID()), s.job.spec.Service(), s.job.sub.key.text,
		size, r.Outcome(), r.RunTime(), now.Sub(s.startedAt),
	))
}

// taskEnded updates a job after one of its starts has ended.
func (c *Core) taskEnded(now time.Time, j *job, s *start, r filbertford.StartResult) {
	switch o := r.Outcome(); {
	case o == filbertford.OutcomeDone:
		c.taskDone(now, j, s, r)
	case o.NotStarted():
		c.requeueTask(now, j, s)
	case o == filbertford.OutcomeTaskFailed:
		c.finish(j, filbertford.NewRefusal(filbertford.CodeTaskFailed, r.Detail()))
	default:
		c.finish(j, filbertford.NewRefusal(filbertford.CodeOutcomeUnknown, r.Detail()))
	}
}

func (c *Core) taskDone(now time.Time, j *job, s *start, r filbertford.StartResult) {
	c.assert(j.states[s.task] == taskRunning, InvariantStartOnce)
	j.states[s.task] = taskDone
	j.results[s.task] = filbertford.NewResult(r.Output(), filbertford.TargetID(s.target.vm.ID()))
	j.unfinished--
	c.subtractTeamTasks(j.spec.Team(), 1)
	if j.unfinished == 0 {
		c.finish(j, filbertford.NewComplete(j.results))
		return
	}
	c.enqueue(now, j)
}

// requeueTask puts a task back into the queue whose start is proven not to have
// happened.
func (c *Core) requeueTask(now time.Time, j *job, s *start) {
	j.states[s.task] = taskWaiting
	j.mayHaveStarted[s.task] = false
	j.pending = append(j.pending, s.task)
	if j.failedStarts == nil {
		j.failedStarts = make(map[int]int)
	}
	j.failedStarts[s.task]++
	c.waitingTasks++
	c.enqueue(now, j)
}

// finish ends a job with its answer, stops its running tasks and replies to all
// deliveries that wait.
func (c *Core) finish(j *job, a filbertford.Answer) {
	s := j.sub
	c.assert(s.job == j, InvariantOneAnswer)
	c.assertAnswer(j, a)
	s.job = nil
	s.answer = a
	c.activeJobs--
	c.jobBytes -= j.spec.MemoryBytes()
	c.waitingTasks -= len(j.pending)
	c.subtractTeamTasks(j.spec.Team(), j.unfinished)
	c.waiting.remove(j)
	c.deadlines.remove(j)
	for _, st := range sortedStarts(j.running) {
		c.queueStop(st)
	}
	for _, ref := range s.waiters {
		c.reply(ref, a)
	}
	s.waiters = nil
	c.table.trackResults(s, c.cfg.MaxAnswerBytes)
}

// assertAnswer asserts that the answer agrees with the states of the job's tasks.
func (c *Core) assertAnswer(j *job, a filbertford.Answer) {
	if a.Code() == filbertford.CodeComplete {
		complete := j.unfinished == 0 && !slices.ContainsFunc(j.states, func(s taskState) bool { return s != taskDone })
		c.assert(complete, InvariantComplete)
	}
	if a.Code().Class() == filbertford.ClassNotRun {
		c.assert(!slices.Contains(j.mayHaveStarted, true), InvariantNotRun)
	}
}

// queueStop adds a start whose job has ended to the next stop message to its
// target.
func (c *Core) queueStop(s *start) {
	t := s.target
	if len(t.pendingStops) == 0 {
		c.targetsWithStops = append(c.targetsWithStops, t)
	}
	t.pendingStops = append(t.pendingStops, s.id)
}

// expireJobs ends the jobs whose deadline has passed.
func (c *Core) expireJobs(now time.Time) {
	for {
		j := c.deadlines.peek()
		if j == nil || now.Before(j.deadline) {
			return
		}
		code := filbertford.CodeDeadline
		if !slices.Contains(j.mayHaveStarted, true) {
			code = filbertford.CodeDeadlineInfeasible
		}
		c.finish(j, filbertford.NewRefusal(code, ""))
	}
}

func (c *Core) subtractTeamTasks(team string, tasks int) {
	c.teamTasks[team] -= tasks
	if c.teamTasks[team] <= 0 {
		delete(c.teamTasks, team)
	}
}

func (c *Core) reply(ref Ref, a filbertford.Answer) {
	delete(c.waiters, ref)
	c.emit(Reply{Ref: ref, Answer: a})
}

// sortedStarts returns starts ordered by start time and ID, so that a core's
// actions depend on its events alone and not on the order of map iteration.
func sortedStarts(m map[filbertford.StartID]*start) []*start {
	out := make([]*start, 0, len(m))
	for _, s := range m {
		out = append(out, s)
	}
	slices.SortFunc(out, func(a, b *start) int {
		return cmp.Or(a.startedAt.Compare(b.startedAt), cmp.Compare(a.id, b.id))
	})
	return out
}
