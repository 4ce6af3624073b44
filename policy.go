package filbertford

import "time"

// Need describes a task that waits for a target.
type Need struct {
	service string
	size    time.Duration
	left    int
	tasks   int
	waited  time.Duration
	queue   int
	tries   int
}

// NewNeed returns the need of a task of a job that has tasks tasks of which
// left, this one included, have not finished. Size is the declared run time
// and waited the time since the job was accepted.
func NewNeed(service string, size time.Duration, left, tasks int, waited time.Duration) Need {
	return Need{service: service, size: size, left: left, tasks: tasks, waited: waited}
}

// WithQueue returns a copy of n with the number of waiting tasks, this one
// included, that go before or with the job's last one: those of the jobs of
// lesser rank and of the job itself.
func (n Need) WithQueue(tasks int) Need {
	n.queue = tasks
	return n
}

// WithTries returns a copy of n with the number of starts of the task that are
// proven not to have happened.
func (n Need) WithTries(tries int) Need {
	n.tries = tries
	return n
}

// Service returns the service that runs the task.
func (n Need) Service() string { return n.service }

// Size returns the declared run time, zero if none was declared.
func (n Need) Size() time.Duration { return n.size }

// Left returns how many tasks of the job have not finished.
func (n Need) Left() int { return n.left }

// Tasks returns how many tasks the job has.
func (n Need) Tasks() int { return n.tasks }

// Waited returns the time since the job was accepted.
func (n Need) Waited() time.Duration { return n.waited }

// Queue returns how many waiting tasks go before or with the job's last one,
// zero if that is not known.
func (n Need) Queue() int { return n.queue }

// Tries returns how many starts of the task are proven not to have happened.
func (n Need) Tries() int { return n.tries }

// Candidate is a target as a daemon believes it to be.
type Candidate struct {
	id    TargetID
	slots int
	mine  int
	free  int
	heard time.Time
}

// NewCandidate returns a live target with the given slots, of which this
// daemon uses mine and believes free to be free.
func NewCandidate(id TargetID, slots, mine, free int) Candidate {
	return Candidate{id: id, slots: slots, mine: mine, free: free}
}

// WithHeard returns a copy of c with the time of the target's last reply, from
// which the number of free slots derives.
func (c Candidate) WithHeard(t time.Time) Candidate {
	c.heard = t
	return c
}

// ID returns the target's name.
func (c Candidate) ID() TargetID { return c.id }

// Slots returns how many tasks the target runs at once.
func (c Candidate) Slots() int { return c.slots }

// Mine returns how many slots this daemon's tasks use.
func (c Candidate) Mine() int { return c.mine }

// Free returns how many slots are believed to be free: what the target told
// last, less the daemon's starts since then. It may be negative.
func (c Candidate) Free() int { return c.free }

// Heard returns the time of the target's last reply, zero if there was none.
func (c Candidate) Heard() time.Time { return c.heard }

// Observation is what a daemon saw of one start.
type Observation struct {
	target  TargetID
	service string
	job     string
	size    time.Duration
	outcome Outcome
	ran     time.Duration
	took    time.Duration
}

// NewObservation returns what was seen of a start at a target: its outcome,
// the time the task ran there (zero if not known) and the time the whole start
// took. Size is the declared run time, job the submission ID.
func NewObservation(target TargetID, service, job string, size time.Duration, o Outcome, ran, took time.Duration) Observation {
	return Observation{target: target, service: service, job: job, size: size, outcome: o, ran: ran, took: took}
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
func (o Observation) Outcome() Outcome { return o.outcome }

// Ran returns how long the task ran, zero if that is not known.
func (o Observation) Ran() time.Duration { return o.ran }

// Took returns the time from the start to its end as the daemon saw it.
func (o Observation) Took() time.Duration { return o.took }

// Load is what waits and runs at a daemon when a job arrives.
type Load struct {
	waiting  int
	running  int
	slots    int
	teamBusy int
}

// NewLoad returns the load of a daemon with waiting tasks not yet started,
// running tasks, slots slots at live targets that serve the job's service, and
// teamBusy tasks of the job's team among the waiting and running ones.
func NewLoad(waiting, running, slots, teamBusy int) Load {
	return Load{waiting: waiting, running: running, slots: slots, teamBusy: teamBusy}
}

// Waiting returns the number of tasks that have not started.
func (l Load) Waiting() int { return l.waiting }

// Running returns the number of tasks that run.
func (l Load) Running() int { return l.running }

// Slots returns the number of slots at live targets for the job's service.
func (l Load) Slots() int { return l.slots }

// TeamBusy returns the number of the team's tasks that wait or run.
func (l Load) TeamBusy() int { return l.teamBusy }

// Verdict is a policy's decision on a job at the door. The zero Verdict admits.
type Verdict struct {
	code       Code
	retryAfter time.Duration
}

// NewRejection returns the verdict that refuses a job with a code of
// ClassNotRun and tells when to come back, zero for never.
func NewRejection(code Code, retryAfter time.Duration) Verdict {
	return Verdict{code: code, retryAfter: retryAfter}
}

// Admitted reports whether the job is accepted.
func (v Verdict) Admitted() bool { return v.code == "" }

// Code returns the code of the refusal.
func (v Verdict) Code() Code { return v.code }

// RetryAfter returns when the caller may come back.
func (v Verdict) RetryAfter() time.Duration { return v.retryAfter }

// Policy decides what a daemon accepts, in which order jobs go and where their
// tasks start. A Policy is used by one goroutine and takes the time from its
// arguments.
type Policy interface {
	// Admit decides on a job that has just arrived.
	Admit(now time.Time, j Job, r Rules, l Load) Verdict
	// Rank orders waiting jobs: the job with the least rank goes first.
	Rank(n Need) float64
	// Place picks one of the candidates: all live targets that serve the task's
	// service, also those without a free slot, best in the same order each time.
	// The policy knows by itself which of them to pass over. It returns the
	// index, or false if the task should wait; the daemon may then offer the
	// next job, and asks again after the next end of a start or a few
	// milliseconds.
	Place(now time.Time, n Need, candidates []Candidate) (int, bool)
	// Observe learns from the end of a start.
	Observe(now time.Time, o Observation)
}
