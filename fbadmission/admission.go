package fbadmission

import (
	"time"

	"github.com/filbertford/filbertford"
)

// New returns the rule with the name.
func New(rule filbertford.AdmissionRule) filbertford.Admitter {
	if rule == filbertford.AdmitByObjective {
		return objective{}
	}
	return backlog{}
}

// backlog accepts a job unless the shortest queue makes its answer useless.
type backlog struct{}

// Admit implements filbertford.Admitter.
func (backlog) Admit(j filbertford.ArrivingJob, l filbertford.FleetLoad) filbertford.JobAdmission {
	if l.Shortest()+j.Chain() > j.Useful() {
		return filbertford.RejectJob(filbertford.AdmissionWait)
	}
	return filbertford.AcceptJob(filbertford.AdmissionUnknown)
}

// rampShare is the share of the time that a job may wait over which jobs are rejected with
// increasing probability. The coordinators don't know what the others have accepted
// since the last report. If all of them accepted every job up to the same wait, and none
// beyond it, the queues would vary by the work that arrives during the age of a report.
const rampShare = 0.8

// estimateMargin allows for the variance of callers' estimates, as in a pool.
const estimateMargin = 1.25

// minSlackShare is the share of the time left on the fastest targets that a job may wait
// though the margin for its estimate leaves less. Without it a job with a long run would be
// rejected while hardly any work waits.
const minSlackShare = 0.125

// objective accepts jobs that are expected to end within their objective, and late ones
// while hardly any work waits.
type objective struct{}

// Admit implements filbertford.Admitter.
func (objective) Admit(j filbertford.ArrivingJob, l filbertford.FleetLoad) filbertford.JobAdmission {
	if !l.Known() {
		return filbertford.AcceptJob(filbertford.AdmissionUnknown)
	}
	limit, shortest := min(j.Objective(), j.Useful()), scale(j.Chain(), l.Fastest())
	if shortest <= limit && shortest+l.Delay() > limit {
		return filbertford.RejectJob(filbertford.AdmissionDelay)
	}
	if l.Free() {
		return filbertford.AcceptJob(filbertford.AdmissionFree)
	}
	if shortest > j.Useful() {
		return filbertford.RejectJob(filbertford.AdmissionSlow)
	}
	if shortest <= limit {
		limit -= l.Delay()
		slack := max(limit-scale(j.Chain(), l.Factor()*estimateMargin), scale(limit-shortest, minSlackShare))
		if l.Wait() <= scale(slack, 1-rampShare*j.Spread()) {
			return filbertford.AcceptJob(filbertford.AdmissionInTime)
		}
		return filbertford.RejectJob(filbertford.AdmissionWait)
	}
	// A late job occupies targets that work of any priority could use in time. Under a
	// sustained overload work of some priority always waits as long as its objective
	// allows. The same threshold as for a job on a fleet as fast as estimated keeps late
	// jobs out then.
	room := scale(j.Objective()-j.Chain(), 1-rampShare)
	if l.Total() <= room && l.Total()+scale(j.Chain(), l.Factor()) <= j.Useful() {
		return filbertford.AcceptJob(filbertford.AdmissionLate)
	}
	return filbertford.RejectJob(filbertford.AdmissionWait)
}

func scale(d time.Duration, factor float64) time.Duration {
	return time.Duration(float64(d) * factor)
}
