package fbpolicy

import (
	"time"

	"github.com/filbertford/filbertford"
)

// Parameters of the door.
const (
	// minRetryAfter is the shortest time after which a refused caller is asked
	// to come back.
	minRetryAfter = 50 * time.Millisecond
	// maxWaitShare is the share of the time that a job has to spare which all that
	// waits, the job included, may be expected to take. Jobs with little work
	// left overtake, so that big ones wait several times as long.
	maxWaitShare = 0.25
	// burstWindow is how long a team may use its whole burst.
	burstWindow = 10 * time.Second
)

// Admit decides on a job that has just arrived: refused are jobs that can never
// run, teams over their quota, and jobs that don't fit into the queue or are
// expected to miss their deadline.
func (a *Adaptive) Admit(now time.Time, j filbertford.Job, r filbertford.Rules, l filbertford.Load) filbertford.AdmissionDecision {
	s := a.service(j.Service())
	s.messageWeight = min(max(r.MessageWeight(), 0), 1)
	if v := checkSize(j, r); !v.Admitted() {
		return v
	}
	if v := a.checkQuota(now, s, j, r, l); !v.Admitted() {
		return v
	}
	tasks := len(j.Tasks())
	if excess := l.Waiting() + tasks - r.MaxQueue(); r.MaxQueue() > 0 && excess > 0 {
		return filbertford.NewRejection(filbertford.CodeOverloaded, retryAfter(a.expectedWait(s, excess, l)))
	}
	timeout := j.Timeout()
	if timeout == 0 {
		timeout = r.Timeout()
	}
	if timeout == 0 || l.Waiting() == 0 {
		return filbertford.AdmissionDecision{}
	}
	slack := max(timeout-s.longestRunTime(j), timeout/2)
	delay := a.expectedWait(s, l.Waiting()+tasks, l) - time.Duration(maxWaitShare*float64(slack))
	if delay > 0 {
		return filbertford.NewRejection(filbertford.CodeDeadlineInfeasible, retryAfter(delay))
	}
	return filbertford.AdmissionDecision{}
}

// expectedWait returns how long the daemon takes to start n waiting tasks while it
// runs as many at once as now, or as its share of the slots allows (Little's
// law).
func (a *Adaptive) expectedWait(s *serviceStats, n int, l filbertford.Load) time.Duration {
	concurrency := max(l.Running(), l.Slots()/max(a.daemonCount, 1), 1)
	return time.Duration(float64(n) / float64(concurrency) * float64(s.meanRunTime))
}

// longestRunTime returns the expected run time of the job's longest task.
func (s *serviceStats) longestRunTime(j filbertford.Job) time.Duration {
	var longest time.Duration
	for _, t := range j.Tasks() {
		longest = max(longest, s.expectedRunTime(t.Size()))
	}
	return longest
}

func retryAfter(d time.Duration) time.Duration { return max(d, minRetryAfter) }

// teamQuota tells how much of its burst a team has left.
type teamQuota struct {
	burstUsed float64
	busy      int
	updated   time.Time
}

// checkQuota refuses jobs of teams that are over their quota by more than the
// burst, or were over it for too long: a team may use its whole burst for
// burstWindow, a part of it for longer, and earns it back below its quota.
func (a *Adaptive) checkQuota(now time.Time, s *serviceStats, j filbertford.Job, r filbertford.Rules, l filbertford.Load) filbertford.AdmissionDecision {
	if r.Quota() <= 0 {
		return filbertford.AdmissionDecision{}
	}
	q, ok := a.quotas[j.Team()]
	if !ok {
		q = &teamQuota{updated: now}
		a.quotas[j.Team()] = q
	}
	q.update(now, r)
	q.busy = l.TeamTasks()
	after := l.TeamTasks() + len(j.Tasks())
	switch {
	case after <= r.Quota():
	case after > r.Quota()+r.Burst():
		return filbertford.NewRejection(filbertford.CodeOverQuota, retryAfter(s.quotaWait(after-r.Quota()-r.Burst(), l)))
	case q.burstUsed >= float64(r.Burst())*burstWindow.Seconds():
		return filbertford.NewRejection(filbertford.CodeOverQuota, retryAfter(s.quotaWait(after-r.Quota(), l)))
	}
	q.busy = after
	return filbertford.AdmissionDecision{}
}

// update takes in that the team has kept its use since the last time.
func (q *teamQuota) update(now time.Time, r filbertford.Rules) {
	elapsed := now.Sub(q.updated).Seconds()
	q.updated = now
	q.burstUsed = max(q.burstUsed+elapsed*float64(q.busy-r.Quota()), 0)
	q.burstUsed = min(q.burstUsed, float64(r.Burst())*burstWindow.Seconds())
}

// quotaWait returns how long a team takes to end n of its tasks.
func (s *serviceStats) quotaWait(n int, l filbertford.Load) time.Duration {
	return time.Duration(float64(n) / float64(max(l.TeamTasks(), 1)) * float64(s.meanRunTime))
}

// checkSize refuses jobs that can never run: those with more tasks than their
// rules allow at any time.
func checkSize(j filbertford.Job, r filbertford.Rules) filbertford.AdmissionDecision {
	tasks := len(j.Tasks())
	switch {
	case r.MaxTasks() > 0 && tasks > r.MaxTasks(),
		r.MaxQueue() > 0 && tasks > r.MaxQueue(),
		r.Quota() > 0 && tasks > r.Quota()+r.Burst():
		return filbertford.NewRejection(filbertford.CodeCannotRun, 0)
	}
	return filbertford.AdmissionDecision{}
}
