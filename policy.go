package filbertford

import "time"

// WaitingTask describes a task that waits for a target to a Policy.
type WaitingTask struct {
	service       string
	size          time.Duration
	unfinished    int
	tasks         int
	waited        time.Duration
	queuePosition int
	failedStarts  int
}

// NewWaitingTask returns the description of a task whose job has tasks tasks, of
// which unfinished, this one included, have not finished. Size is the declared
// run time and waited the time since the job was accepted.
func NewWaitingTask(service string, size time.Duration, unfinished, tasks int, waited time.Duration) WaitingTask {
	return WaitingTask{service: service, size: size, unfinished: unfinished, tasks: tasks, waited: waited}
}

// WithQueuePosition returns a copy of t with the position in the queue of the
// last waiting task of the job: the number of waiting tasks of the job itself,
// this one included, and of the jobs of lesser rank.
func (t WaitingTask) WithQueuePosition(position int) WaitingTask {
	t.queuePosition = position
	return t
}

// WithFailedStarts returns a copy of t with the number of attempts to start the
// task that are known not to have started it.
func (t WaitingTask) WithFailedStarts(starts int) WaitingTask {
	t.failedStarts = starts
	return t
}

// Service returns the service that runs the task.
func (t WaitingTask) Service() string { return t.service }

// Size returns the declared run time, zero if none was declared.
func (t WaitingTask) Size() time.Duration { return t.size }

// Unfinished returns the number of tasks of the job that have not finished.
func (t WaitingTask) Unfinished() int { return t.unfinished }

// Tasks returns the number of tasks of the job.
func (t WaitingTask) Tasks() int { return t.tasks }

// Waited returns the time since the job was accepted.
func (t WaitingTask) Waited() time.Duration { return t.waited }

// QueuePosition returns the position in the queue of the job's last waiting task,
// from 1, or zero if it is not known.
func (t WaitingTask) QueuePosition() int { return t.queuePosition }

// FailedStarts returns the number of attempts to start the task that are known
// not to have started it.
func (t WaitingTask) FailedStarts() int { return t.failedStarts }

// Candidate is a target to which a Policy may send a task, with the daemon's
// estimate of the target's free slots.
type Candidate struct {
	id        TargetID
	slots     int
	ownTasks  int
	free      int
	lastReply time.Time
}

// NewCandidate returns a live target with the given slots. This daemon's tasks
// use ownTasks of them, and the daemon estimates that free are free.
func NewCandidate(id TargetID, slots, ownTasks, free int) Candidate {
	return Candidate{id: id, slots: slots, ownTasks: ownTasks, free: free}
}

// WithLastReply returns a copy of c with the time of the target's last reply, on
// which the estimate of free slots is based.
func (c Candidate) WithLastReply(t time.Time) Candidate {
	c.lastReply = t
	return c
}

// ID returns the target's ID.
func (c Candidate) ID() TargetID { return c.id }

// Slots returns how many tasks the target runs at a time.
func (c Candidate) Slots() int { return c.slots }

// OwnTasks returns the number of slots that this daemon's tasks use.
func (c Candidate) OwnTasks() int { return c.ownTasks }

// Free returns the estimated number of free slots: the number in the target's
// last reply, less the daemon's starts since then. It may be negative.
func (c Candidate) Free() int { return c.free }

// LastReply returns the time of the target's last reply, zero if there was none.
func (c Candidate) LastReply() time.Time { return c.lastReply }

// Observation is what a daemon observed of one start of a task.
type Observation struct {
	target  TargetID
	service string
	job     string
	size    time.Duration
	outcome StartOutcome
	runTime time.Duration
	elapsed time.Duration
}

// NewObservation returns an observation of a start at a target: its outcome, the
// time that the task ran there (zero if not known) and the time from the start
// to its end as the daemon measured it. Size is the declared run time, job the
// submission ID.
func NewObservation(target TargetID, service, job string, size time.Duration, o StartOutcome, runTime, elapsed time.Duration) Observation {
	return Observation{target: target, service: service, job: job, size: size, outcome: o, runTime: runTime, elapsed: elapsed}
}

// Target returns the target of the start.
func (o Observation) Target() TargetID { return o.target }

// Service returns the service of the task.
func (o Observation) Service() string { return o.service }

// Job returns the submission that the task belongs to.
func (o Observation) Job() string { return o.job }

// Size returns the declared run time.
func (o Observation) Size() time.Duration { return o.size }

// Outcome returns how the start ended.
func (o Observation) Outcome() StartOutcome { return o.outcome }

// RunTime returns how long the task ran, zero if that is not known.
func (o Observation) RunTime() time.Duration { return o.runTime }

// Elapsed returns the time from the start to its end as the daemon measured it.
func (o Observation) Elapsed() time.Duration { return o.elapsed }

// Load is the load of a daemon when a job arrives.
type Load struct {
	waiting   int
	running   int
	slots     int
	teamTasks int
}

// NewLoad returns the load of a daemon: the number of waiting tasks, of running
// tasks, of slots at live targets that serve the job's service, and of tasks of
// the job's team that wait or run.
func NewLoad(waiting, running, slots, teamTasks int) Load {
	return Load{waiting: waiting, running: running, slots: slots, teamTasks: teamTasks}
}

// Waiting returns the number of tasks that have not started.
func (l Load) Waiting() int { return l.waiting }

// Running returns the number of tasks that run.
func (l Load) Running() int { return l.running }

// Slots returns the number of slots at live targets for the job's service.
func (l Load) Slots() int { return l.slots }

// TeamTasks returns the number of the team's tasks that wait or run.
func (l Load) TeamTasks() int { return l.teamTasks }

// AdmissionDecision is a policy's decision whether to accept a job. The zero
// AdmissionDecision accepts it.
type AdmissionDecision struct {
	code       Code
	retryAfter time.Duration
}

// NewRejection returns the decision to reject a job with a code of ClassNotRun.
// The caller may retry after retryAfter; zero means that a retry won't help.
func NewRejection(code Code, retryAfter time.Duration) AdmissionDecision {
	return AdmissionDecision{code: code, retryAfter: retryAfter}
}

// Admitted reports whether the job is accepted.
func (d AdmissionDecision) Admitted() bool { return d.code == "" }

// Code returns the code of a rejection, empty if the job is accepted.
func (d AdmissionDecision) Code() Code { return d.code }

// RetryAfter returns the time after which the caller may retry, zero if a retry
// won't help.
func (d AdmissionDecision) RetryAfter() time.Duration { return d.retryAfter }

// Policy decides which jobs a daemon accepts, in which order their tasks start,
// and at which targets. A Policy is used by one goroutine and takes the time from
// its arguments.
type Policy interface {
	// Admit decides whether to accept a job that has just arrived.
	Admit(now time.Time, j Job, r Rules, l Load) AdmissionDecision
	// Rank orders waiting jobs: the job with the least rank goes first.
	Rank(t WaitingTask) float64
	// Place picks one of the candidates and returns its index, or false if the
	// task should wait. The candidates are all live targets that serve the task's
	// service, including those without a free slot, preferably in the same order
	// in each call; the policy skips those that it does not want to use. If the
	// task should wait, the daemon may call Place for the next job, and calls it
	// again for this one after the next end of a start or a few milliseconds.
	Place(now time.Time, t WaitingTask, candidates []Candidate) (int, bool)
	// Observe updates the policy with the outcome of a start.
	Observe(now time.Time, o Observation)
}
