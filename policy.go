package filbertford

import "time"

// WaitingTask describes a task that waits for a target.
type WaitingTask struct {
	service       string
	size          time.Duration
	unfinished    int
	tasks         int
	waited        time.Duration
	queuePosition int
	failedStarts  int
}

// NewWaitingTask returns the need of a task of a job that has tasks tasks of which
// left, this one included, have not finished. Size is the declared run time
// and waited the time since the job was accepted.
func NewWaitingTask(service string, size time.Duration, unfinished, tasks int, waited time.Duration) WaitingTask {
	return WaitingTask{service: service, size: size, unfinished: unfinished, tasks: tasks, waited: waited}
}

// WithQueuePosition returns a copy of n with the number of waiting tasks, this one
// included, that go before or with the job's last one: those of the jobs of
// lesser rank and of the job itself.
func (t WaitingTask) WithQueuePosition(position int) WaitingTask {
	t.queuePosition = position
	return t
}

// WithFailedStarts returns a copy of n with the number of starts of the task that are
// proven not to have happened.
func (t WaitingTask) WithFailedStarts(starts int) WaitingTask {
	t.failedStarts = starts
	return t
}

// Service returns the service that runs the task.
func (t WaitingTask) Service() string { return t.service }

// Size returns the declared run time, zero if none was declared.
func (t WaitingTask) Size() time.Duration { return t.size }

// Unfinished returns how many tasks of the job have not finished.
func (t WaitingTask) Unfinished() int { return t.unfinished }

// Tasks returns how many tasks the job has.
func (t WaitingTask) Tasks() int { return t.tasks }

// Waited returns the time since the job was accepted.
func (t WaitingTask) Waited() time.Duration { return t.waited }

// QueuePosition returns how many waiting tasks go before or with the job's last one,
// zero if that is not known.
func (t WaitingTask) QueuePosition() int { return t.queuePosition }

// FailedStarts returns how many starts of the task are proven not to have happened.
func (t WaitingTask) FailedStarts() int { return t.failedStarts }

// Candidate is a target as a daemon believes it to be.
type Candidate struct {
	id        TargetID
	slots     int
	ownTasks  int
	free      int
	lastReply time.Time
}

// NewCandidate returns a live target with the given slots, of which this
// daemon uses mine and believes free to be free.
func NewCandidate(id TargetID, slots, ownTasks, free int) Candidate {
	return Candidate{id: id, slots: slots, ownTasks: ownTasks, free: free}
}

// WithLastReply returns a copy of c with the time of the target's last reply, from
// which the number of free slots derives.
func (c Candidate) WithLastReply(t time.Time) Candidate {
	c.lastReply = t
	return c
}

// ID returns the target's name.
func (c Candidate) ID() TargetID { return c.id }

// Slots returns how many tasks the target runs at once.
func (c Candidate) Slots() int { return c.slots }

// OwnTasks returns how many slots this daemon's tasks use.
func (c Candidate) OwnTasks() int { return c.ownTasks }

// Free returns how many slots are believed to be free: what the target told
// last, less the daemon's starts since then. It may be negative.
func (c Candidate) Free() int { return c.free }

// LastReply returns the time of the target's last reply, zero if there was none.
func (c Candidate) LastReply() time.Time { return c.lastReply }

// Observation is what a daemon saw of one start.
type Observation struct {
	target  TargetID
	service string
	job     string
	size    time.Duration
	outcome StartOutcome
	runTime time.Duration
	elapsed time.Duration
}

// NewObservation returns what was seen of a start at a target: its outcome,
// the time the task ran there (zero if not known) and the time the whole start
// took. Size is the declared run time, job the submission ID.
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

// Elapsed returns the time from the start to its end as the daemon saw it.
func (o Observation) Elapsed() time.Duration { return o.elapsed }

// Load is what waits and runs at a daemon when a job arrives.
type Load struct {
	waiting   int
	running   int
	slots     int
	teamTasks int
}

// NewLoad returns the load of a daemon with waiting tasks not yet started,
// running tasks, slots slots at live targets that serve the job's service, and
// teamBusy tasks of the job's team among the waiting and running ones.
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

// AdmissionDecision is a policy's decision on a job at the door. The zero Verdict admits.
type AdmissionDecision struct {
	code       Code
	retryAfter time.Duration
}

// NewRejection returns the verdict that refuses a job with a code of
// ClassNotRun and tells when to come back, zero for never.
func NewRejection(code Code, retryAfter time.Duration) AdmissionDecision {
	return AdmissionDecision{code: code, retryAfter: retryAfter}
}

// Admitted reports whether the job is accepted.
func (d AdmissionDecision) Admitted() bool { return d.code == "" }

// Code returns the code of the refusal.
func (d AdmissionDecision) Code() Code { return d.code }

// RetryAfter returns when the caller may come back.
func (d AdmissionDecision) RetryAfter() time.Duration { return d.retryAfter }

// Policy decides what a daemon accepts, in which order jobs go and where their
// tasks start. A Policy is used by one goroutine and takes the time from its
// arguments.
type Policy interface {
	// Admit decides on a job that has just arrived.
	Admit(now time.Time, j Job, r Rules, l Load) AdmissionDecision
	// Rank orders waiting jobs: the job with the least rank goes first.
	Rank(n WaitingTask) float64
	// Place picks one of the candidates: all live targets that serve the task's
	// service, also those without a free slot, best in the same order each time.
	// The policy knows by itself which of them to pass over. It returns the
	// index, or false if the task should wait; the daemon may then offer the
	// next job, and asks again after the next end of a start or a few
	// milliseconds.
	Place(now time.Time, n WaitingTask, candidates []Candidate) (int, bool)
	// Observe learns from the end of a start.
	Observe(now time.Time, o Observation)
}
