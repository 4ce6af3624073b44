package fbcore

import (
	"cmp"
	"slices"
	"time"

	"github.com/filbertford/filbertford"
)

// taskState tells how far a task is.
type taskState string

// The states of a task.
const (
	taskWaiting taskState = "waiting"
	taskRunning taskState = "running"
	taskDone    taskState = "done"
)

// job is a submission that is not over.
type job struct {
	sub      *submission
	spec     filbertford.Job
	rules    filbertford.Rules
	seq      uint64
	arrived  time.Time
	deadline time.Time

	states  []taskState
	mayRun  []bool // tasks whose start may have reached a target
	results []filbertford.Result
	pending []int // tasks that wait, last one first
	running map[filbertford.StartID]*start
	left    int
	tries   map[int]int // starts of a task that surely did not happen

	rank        float64
	rankPos     int
	deadlinePos int
}

// newJob returns a job whose tasks all wait.
func (c *Core) newJob(now time.Time, s *submission, spec filbertford.Job, r filbertford.Rules) *job {
	n := len(spec.Tasks())
	c.lastJob++
	j := &job{
		sub:         s,
		spec:        spec,
		rules:       r,
		seq:         c.lastJob,
		arrived:     now,
		deadline:    now.Add(spec.Timeout()),
		states:      make([]taskState, n),
		mayRun:      make([]bool, n),
		results:     make([]filbertford.Result, n),
		pending:     make([]int, n),
		running:     make(map[filbertford.StartID]*start),
		left:        n,
		rankPos:     notQueued,
		deadlinePos: notQueued,
	}
	for i := range n {
		j.states[i] = taskWaiting
		j.pending[i] = n - 1 - i
	}
	j.sortPending()
	return j
}

// sortPending lets the tasks of the largest declared size go first, since the
// job is over when its longest task is.
func (j *job) sortPending() {
	tasks := j.spec.Tasks()
	slices.SortStableFunc(j.pending, func(a, b int) int {
		return cmp.Compare(tasks[a].Size(), tasks[b].Size())
	})
}

// need describes the job's next task to the policy.
func (j *job) need(now time.Time) filbertford.WaitingTask {
	var size time.Duration
	var tries int
	if n := len(j.pending); n > 0 {
		task := j.pending[n-1]
		size, tries = j.spec.Tasks()[task].Size(), j.tries[task]
	}
	return filbertford.NewWaitingTask(j.spec.Service(), size, j.left, len(j.states), now.Sub(j.arrived)).WithFailedStarts(tries)
}

// accept takes a job into the queue.
func (c *Core) accept(now time.Time, s *submission, spec filbertford.Job, r filbertford.Rules) {
	j := c.newJob(now, s, spec, r)
	s.job = j
	c.active++
	c.stats.Accepted++
	c.waitingTasks += j.left
	c.teamBusy[spec.Team()] += j.left
	c.deadlines.put(j)
	c.enqueue(now, j)
}

// enqueue puts a job that has waiting tasks into the queue.
func (c *Core) enqueue(now time.Time, j *job) {
	if len(j.pending) == 0 {
		c.waiting.take(j)
		return
	}
	j.rank = c.policy.Rank(j.need(now))
	c.waiting.put(j)
}

// maxJobsPassed is the number of jobs that one pass over the queue looks at in
// vain.
const maxJobsPassed = 16

// dispatch starts waiting tasks while the policy finds targets for them. A job
// whose next task the policy keeps waiting is passed over.
func (c *Core) dispatch(now time.Time) {
	if c.waiting.Len() == 0 {
		return
	}
	passed := c.passed[:0]
	ahead := 0 // waiting tasks of the jobs passed over
	for len(passed) < maxJobsPassed {
		j := c.waiting.first()
		if j == nil {
			break
		}
		if c.startNext(now, j, ahead) || c.spill(now, j) {
			c.enqueue(now, j)
			continue
		}
		c.waiting.take(j)
		passed = append(passed, j)
		ahead += len(j.pending)
	}
	for _, j := range passed {
		c.waiting.put(j)
	}
	clear(passed)
	c.passed = passed
}

// startNext starts the next task of a job that has the given number of waiting
// tasks ahead of its own, and reports whether it did.
func (c *Core) startNext(now time.Time, j *job, ahead int) bool {
	candidates := c.poolOf(j.spec.Service()).candidates
	if len(candidates) == 0 {
		return false
	}
	n := j.need(now).WithQueuePosition(ahead + len(j.pending))
	i, ok := c.policy.Place(now, n, candidates)
	if !ok {
		return false
	}
	c.start(now, j, c.targets[candidates[i].ID()])
	return true
}

// start sends the job's next task to the target.
func (c *Core) start(now time.Time, j *job, t *target) {
	task := j.pending[len(j.pending)-1]
	j.pending = j.pending[:len(j.pending)-1]
	c.check(j.states[task] == taskWaiting && !j.mayRun[task], InvariantStartOnce)
	c.check(t.mine < t.vm.Slots(), InvariantSlots)
	c.check(!c.drained, InvariantStopped)
	c.check(now.Before(j.deadline), InvariantDeadline)

	s := &start{id: c.nextStart(), job: j, task: task, target: t, at: now, lease: j.rules.Lease()}
	if len(t.starts) == 0 {
		t.leased, t.asked = now, now
	}
	j.states[task] = taskRunning
	j.mayRun[task] = true
	j.running[s.id] = s
	t.starts[s.id] = s
	t.mine++
	c.refresh(t)
	c.starts[s.id] = s
	c.waitingTasks--
	args := j.spec.Tasks()[task].Args()
	order := filbertford.NewStartRequest(s.id, c.cfg.Incarnation, j.spec.Service(), args, s.lease)
	if t.remote {
		c.emit(c.remoteStart(now, s, order))
		return
	}
	c.emit(StartTask{Target: t.vm, Start: order, Timeout: j.deadline.Sub(now) + s.lease})
}

// startEnded takes the end of a start. The end of a start that is not known any
// more is ignored: its job is over and its slot was given back.
func (c *Core) startEnded(now time.Time, id filbertford.StartID, r filbertford.StartResult) {
	s := c.starts[id]
	if s == nil {
		return
	}
	c.freeSlot(now, s, r)
	c.observe(now, s, r)
	j := s.job
	delete(j.running, id)
	if j.sub.job == nil {
		return // the job was over before its task
	}
	c.taskEnded(now, j, s, r)
}

// freeSlot gives the slot of a start back and learns what the target told.
func (c *Core) freeSlot(now time.Time, s *start, r filbertford.StartResult) {
	t := s.target
	delete(c.starts, s.id)
	delete(t.starts, s.id)
	t.mine--
	if free, ok := r.FreeSlots(); ok {
		t.learn(now, free)
	}
	switch r.Outcome() {
	case filbertford.OutcomeDone, filbertford.OutcomeTaskFailed:
		if s.at.After(t.leased) {
			t.leased = s.at
		}
	case filbertford.OutcomeLeaving:
		t.leaving = true
		c.rebuildPools()
	}
	c.refresh(t)
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
		size, r.Outcome(), r.RunTime(), now.Sub(s.at),
	))
}

// taskEnded moves a job on after one of its starts has ended.
func (c *Core) taskEnded(now time.Time, j *job, s *start, r filbertford.StartResult) {
	switch o := r.Outcome(); {
	case o == filbertford.OutcomeDone:
		c.taskDone(now, j, s, r)
	case o.NotStarted():
		c.waitAgain(now, j, s)
	case o == filbertford.OutcomeTaskFailed:
		c.finish(j, filbertford.NewRefusal(filbertford.CodeTaskFailed, r.Detail()))
	default:
		c.finish(j, filbertford.NewRefusal(filbertford.CodeOutcomeUnknown, r.Detail()))
	}
}

func (c *Core) taskDone(now time.Time, j *job, s *start, r filbertford.StartResult) {
	c.check(j.states[s.task] == taskRunning, InvariantStartOnce)
	j.states[s.task] = taskDone
	j.results[s.task] = filbertford.NewResult(r.Output(), filbertford.TargetID(s.target.vm.ID()))
	j.left--
	c.teamDone(j.spec.Team(), 1)
	if j.left == 0 {
		c.finish(j, filbertford.NewComplete(j.results))
		return
	}
	c.enqueue(now, j)
}

// waitAgain lets a task whose start surely did not happen wait for another
// target.
func (c *Core) waitAgain(now time.Time, j *job, s *start) {
	j.states[s.task] = taskWaiting
	j.mayRun[s.task] = false
	j.pending = append(j.pending, s.task)
	if j.tries == nil {
		j.tries = make(map[int]int)
	}
	j.tries[s.task]++
	c.waitingTasks++
	c.enqueue(now, j)
}

// finish ends a job with its answer, stops what still runs and replies to
// everybody who waits.
func (c *Core) finish(j *job, a filbertford.Answer) {
	s := j.sub
	c.check(s.job == j, InvariantOneAnswer)
	c.checkAnswer(j, a)
	s.job = nil
	s.answer = a
	c.active--
	c.waitingTasks -= len(j.pending)
	c.teamDone(j.spec.Team(), j.left)
	c.waiting.take(j)
	c.deadlines.take(j)
	for _, st := range sortedStarts(j.running) {
		c.stopLater(st)
	}
	for _, ref := range s.waiters {
		c.reply(ref, a)
	}
	s.waiters = nil
	c.table.keep(s, c.cfg.MaxAnswerBytes)
}

// checkAnswer asserts that the answer of a job is true of it.
func (c *Core) checkAnswer(j *job, a filbertford.Answer) {
	if a.Code() == filbertford.CodeComplete {
		whole := j.left == 0 && !slices.ContainsFunc(j.states, func(s taskState) bool { return s != taskDone })
		c.check(whole, InvariantWhole)
	}
	if a.Code().Class() == filbertford.ClassNotRun {
		c.check(!slices.Contains(j.mayRun, true), InvariantNotRun)
	}
}

// stopLater enters a start whose job is over into its target's next stop
// message.
func (c *Core) stopLater(s *start) {
	t := s.target
	if len(t.stops) == 0 {
		c.stopsDue = append(c.stopsDue, t)
	}
	t.stops = append(t.stops, s.id)
}

// expire fails the jobs whose deadline has passed.
func (c *Core) expire(now time.Time) {
	for {
		j := c.deadlines.first()
		if j == nil || now.Before(j.deadline) {
			return
		}
		code := filbertford.CodeDeadline
		if !slices.Contains(j.mayRun, true) {
			code = filbertford.CodeDeadlineInfeasible
		}
		c.finish(j, filbertford.NewRefusal(code, ""))
	}
}

func (c *Core) teamDone(team string, tasks int) {
	c.teamBusy[team] -= tasks
	if c.teamBusy[team] <= 0 {
		delete(c.teamBusy, team)
	}
}

func (c *Core) reply(ref Ref, a filbertford.Answer) {
	delete(c.waiters, ref)
	c.emit(Reply{Ref: ref, Answer: a})
}

// sortedStarts returns starts in the order in which they were made, so that what
// a core does depends on its events alone.
func sortedStarts(m map[filbertford.StartID]*start) []*start {
	out := make([]*start, 0, len(m))
	for _, s := range m {
		out = append(out, s)
	}
	slices.SortFunc(out, func(a, b *start) int {
		return cmp.Or(a.at.Compare(b.at), cmp.Compare(a.id, b.id))
	})
	return out
}
