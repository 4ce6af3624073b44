package fbpolicy

import (
	"time"

	"github.com/filbertford/filbertford"
)

// Parameters of the admission.
const (
	// minRetryAfter is the shortest time after which a rejected caller is asked
	// to retry.
	minRetryAfter = 50 * time.Millisecond
	// maxWaitShare is the largest share of a job's slack that the expected wait of
	// all waiting tasks, those of the job included, may take. The rest is reserve:
	// jobs with less remaining work go first, so that big jobs wait several times
	// as long as expected.
	maxWaitShare = 0.25
	// burstWindow is how long a team may use its whole burst without a pause.
	burstWindow = 10 * time.Second
)

// Admit decides whether a job that has just arrived is accepted. It rejects jobs
// that can never run, jobs of teams over their quota, and jobs that don't fit
// into the queue or are expected to miss their deadline.
func (a *Adaptive) Admit(now time.Time, j filbertford.Job, r filbertford.Rules, l filbertford.Load) filbertford.AdmissionDecision {
	s := a.service(j.Service())
	s.messageWeight = min(max(r.MessageWeight(), 0), 1)
	if d := checkSize(j, r); !d.Admitted() {
		return d
	}
	if d := a.checkQuota(now, s, j, r, l); !d.Admitted() {
		return d
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

// expectedWait returns how long the daemon takes to start n waiting tasks. It
// follows from Little's law with the number of tasks that run now or the daemon's
// share of the slots, whichever is larger.
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

// teamQuota tracks how much of its burst a team has used, in task seconds above
// the quota.
type teamQuota struct {
	burstUsed float64
	tasks     int
	updated   time.Time
}

// checkQuota rejects jobs of teams that would exceed their quota by more than
// the burst, or have exceeded it for too long: a team may use its whole burst for
// burstWindow and a part of it for longer, and regains the burst while it is
// below its quota.
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
	q.tasks = l.TeamTasks()
	tasks := l.TeamTasks() + len(j.Tasks())
	switch {
	case tasks <= r.Quota():
	case tasks > r.Quota()+r.Burst():
		return filbertford.NewRejection(filbertford.CodeOverQuota, retryAfter(s.quotaWait(tasks-r.Quota()-r.Burst(), l)))
	case q.burstUsed >= float64(r.Burst())*burstWindow.Seconds():
		return filbertford.NewRejection(filbertford.CodeOverQuota, retryAfter(s.quotaWait(tasks-r.Quota(), l)))
	}
	q.tasks = tasks
	return filbertford.AdmissionDecision{}
}

// update adds the use of the burst since the last update, during which the team
// had q.tasks tasks.
func (q *teamQuota) update(now time.Time, r filbertford.Rules) {
	elapsed := now.Sub(q.updated).Seconds()
	q.updated = now
	q.burstUsed = max(q.burstUsed+elapsed*float64(q.tasks-r.Quota()), 0)
	q.burstUsed = min(q.burstUsed, float64(r.Burst())*burstWindow.Seconds())
}

// quotaWait returns how long a team's tasks are expected to take until n of them
// have finished.
func (s *serviceStats) quotaWait(n int, l filbertford.Load) time.Duration {
	return time.Duration(float64(n) / float64(max(l.TeamTasks(), 1)) * float64(s.meanRunTime))
}

// checkSize rejects jobs that can never run because they have more tasks than
// their rules allow.
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
