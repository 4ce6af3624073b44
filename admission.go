package filbertford

import "time"

// AdmissionReason is why a job was accepted or rejected.
type AdmissionReason string

// The reasons. The values are tags of the admissions metric.
const (
	// AdmissionFree means that free targets can run all tasks in time.
	AdmissionFree AdmissionReason = "free"
	// AdmissionInTime means that the job is expected to meet its objective after a wait.
	AdmissionInTime AdmissionReason = "in-time"
	// AdmissionLate means that the job will miss its objective, but is expected to end
	// while its answer is useful, without delaying others.
	AdmissionLate AdmissionReason = "late"
	// AdmissionUnknown means that the load isn't known, or that the rule doesn't depend
	// on the objective.
	AdmissionUnknown AdmissionReason = "unknown"
	// AdmissionWait means that the job was rejected because of the work that waits.
	AdmissionWait AdmissionReason = "wait"
	// AdmissionSlow means that the job was rejected because no target is fast enough for
	// a useful answer.
	AdmissionSlow AdmissionReason = "slow"
	// AdmissionDelay means that the job was rejected because the owners of the pools are
	// short of processor time and would handle its end too late.
	AdmissionDelay AdmissionReason = "delay"
	// AdmissionWithdrawn means that the job was accepted, but taken back before any of its
	// tasks had started, because it couldn't end in time any more.
	AdmissionWithdrawn AdmissionReason = "withdrawn"
)

// ArrivingJob describes a job to an Admitter.
type ArrivingJob struct {
	priority  int
	chain     time.Duration
	objective time.Duration
	useful    time.Duration
	spread    float64
}

// NewArrivingJob returns the description of a job of the priority, 0 being the
// highest. Its longest chain of tasks is estimated to run for chain. It is to end within
// the objective, and its answer is useless after the time useful.
func NewArrivingJob(priority int, chain, objective, useful time.Duration) ArrivingJob {
	return ArrivingJob{priority: priority, chain: chain, objective: objective, useful: useful}
}

// WithSpread returns a copy of j with a number from 0 up to 1 that is evenly distributed
// over jobs, so that a rule can accept a share of them.
func (j ArrivingJob) WithSpread(s float64) ArrivingJob {
	j.spread = s
	return j
}

// Priority returns the priority, 0 being the highest.
func (j ArrivingJob) Priority() int { return j.priority }

// Chain returns the estimated run time of the longest chain of tasks.
func (j ArrivingJob) Chain() time.Duration { return j.chain }

// Objective returns the time within which the job is to end.
func (j ArrivingJob) Objective() time.Duration { return j.objective }

// Useful returns the time after which the job's answer is useless.
func (j ArrivingJob) Useful() time.Duration { return j.useful }

// Spread returns a number from 0 up to 1 that is evenly distributed over jobs.
func (j ArrivingJob) Spread() float64 { return j.spread }

// FleetLoad is the load of all pools as a coordinator knows it when a job arrives. The
// zero FleetLoad means that no pool has reported.
type FleetLoad struct {
	known    bool
	shortest time.Duration
	free     bool
	factor   float64
	fastest  float64
	delay    time.Duration
	wait     time.Duration
	total    time.Duration
	age      time.Duration
}

// NewFleetLoad returns the load of a fleet whose shortest queue takes the given time. It
// states whether free targets can run all tasks of the job that are ready in time.
func NewFleetLoad(shortest time.Duration, free bool) FleetLoad {
	return FleetLoad{known: true, shortest: shortest, free: free, factor: 1, fastest: 1}
}

// WithFactors returns a copy of l with the mean factor by which runs take longer than
// estimated, and that of the fastest targets.
func (l FleetLoad) WithFactors(mean, fastest float64) FleetLoad {
	l.factor, l.fastest = mean, fastest
	return l
}

// WithWaits returns a copy of l with the time that the job is expected to wait, the time
// that the waiting work of all priorities takes, and the age of the oldest report.
func (l FleetLoad) WithWaits(wait, total, age time.Duration) FleetLoad {
	l.wait, l.total, l.age = wait, total, age
	return l
}

// WithDelay returns a copy of l with the time that owners of pools add to each run.
func (l FleetLoad) WithDelay(d time.Duration) FleetLoad {
	l.delay = d
	return l
}

// Delay returns the time that owners of pools add to each run.
func (l FleetLoad) Delay() time.Duration { return l.delay }

// Known reports whether any pool has reported its load.
func (l FleetLoad) Known() bool { return l.known }

// Shortest returns the time that the shortest queue takes.
func (l FleetLoad) Shortest() time.Duration { return l.shortest }

// Free reports whether free targets can run all ready tasks of the job in time.
func (l FleetLoad) Free() bool { return l.free }

// Factor returns the mean factor by which runs take longer than estimated.
func (l FleetLoad) Factor() float64 { return l.factor }

// Fastest returns the factor of the fastest targets.
func (l FleetLoad) Fastest() float64 { return l.fastest }

// Wait returns the time that the job is expected to wait.
func (l FleetLoad) Wait() time.Duration { return l.wait }

// Total returns the time that the waiting work of all priorities takes.
func (l FleetLoad) Total() time.Duration { return l.total }

// Age returns the age of the oldest report.
func (l FleetLoad) Age() time.Duration { return l.age }

// JobAdmission is the decision whether a job is accepted.
type JobAdmission struct {
	accepted bool
	reason   AdmissionReason
}

// AcceptJob returns the decision to accept a job.
func AcceptJob(r AdmissionReason) JobAdmission { return JobAdmission{accepted: true, reason: r} }

// RejectJob returns the decision to reject a job.
func RejectJob(r AdmissionReason) JobAdmission { return JobAdmission{reason: r} }

// Accepted reports whether the job is accepted.
func (a JobAdmission) Accepted() bool { return a.accepted }

// Reason returns the reason of the decision.
func (a JobAdmission) Reason() AdmissionReason { return a.reason }

// Admitter decides which jobs a coordinator accepts. It is used by one goroutine.
type Admitter interface {
	// Admit decides about a job that has just arrived.
	Admit(j ArrivingJob, l FleetLoad) JobAdmission
}
