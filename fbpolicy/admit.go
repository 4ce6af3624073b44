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
	// waitShare is the share of the time that a job has to spare which all that
	// waits, the job included, may be expected to take. Jobs with little work
	// left overtake, so that big ones wait several times as long.
	waitShare = 0.25
	// burstWindow is how long a team may use its whole burst.
	burstWindow = 10 * time.Second
)

// Admit decides on a job that has just arrived: refused are jobs that can never
// run, teams over their quota, and jobs that don't fit into the queue or are
// expected to miss their deadline.
func (a *Adaptive) Admit(now time.Time, j filbertford.Job, r filbertford.Rules, l filbertford.Load) filbertford.Verdict {
	s := a.service(j.Service())
	s.weight = min(max(r.MessageWeight(), 0), 1)
	if v := checkSize(j, r); !v.Admitted() {
		return v
	}
	if v := a.checkQuota(now, s, j, r, l); !v.Admitted() {
		return v
	}
	tasks := len(j.Tasks())
	if over := l.Waiting() + tasks - r.MaxQueue(); r.MaxQueue() > 0 && over > 0 {
		return filbertford.NewRejection(filbertford.CodeOverloaded, retryAfter(a.drain(s, over, l)))
	}
	timeout := j.Timeout()
	if timeout == 0 {
		timeout = r.Timeout()
	}
	if timeout == 0 || l.Waiting() == 0 {
		return filbertford.Verdict{}
	}
	spare := max(timeout-s.longest(j), timeout/2)
	late := a.drain(s, l.Waiting()+tasks, l) - time.Duration(waitShare*float64(spare))
	if late > 0 {
		return filbertford.NewRejection(filbertford.CodeDeadlineNow, retryAfter(late))
	}
	return filbertford.Verdict{}
}

// drain returns how long the daemon takes to start n waiting tasks while it
// runs as many at once as now, or as its share of the slots allows (Little's
// law).
func (a *Adaptive) drain(s *service, n int, l filbertford.Load) time.Duration {
	atOnce := max(l.Running(), l.Slots()/max(a.daemons, 1), 1)
	return time.Duration(float64(n) / float64(atOnce) * float64(s.run))
}

// longest returns the expected run time of the job's longest task.
func (s *service) longest(j filbertford.Job) time.Duration {
	var most time.Duration
	for _, t := range j.Tasks() {
		most = max(most, s.expect(t.Size()))
	}
	return most
}

func retryAfter(d time.Duration) time.Duration { return max(d, minRetryAfter) }

// quota tells how much of its burst a team has left.
type quota struct {
	spent float64
	busy  int
	last  time.Time
}

// checkQuota refuses jobs of teams that are over their quota by more than the
// burst, or were over it for too long: a team may use its whole burst for
// burstWindow, a part of it for longer, and earns it back below its quota.
func (a *Adaptive) checkQuota(now time.Time, s *service, j filbertford.Job, r filbertford.Rules, l filbertford.Load) filbertford.Verdict {
	if r.Quota() <= 0 {
		return filbertford.Verdict{}
	}
	q, ok := a.quotas[j.Team()]
	if !ok {
		q = &quota{last: now}
		a.quotas[j.Team()] = q
	}
	q.pass(now, r)
	q.busy = l.TeamBusy()
	after := l.TeamBusy() + len(j.Tasks())
	switch {
	case after <= r.Quota():
	case after > r.Quota()+r.Burst():
		return filbertford.NewRejection(filbertford.CodeOverQuota, retryAfter(s.quotaWait(after-r.Quota()-r.Burst(), l)))
	case q.spent >= float64(r.Burst())*burstWindow.Seconds():
		return filbertford.NewRejection(filbertford.CodeOverQuota, retryAfter(s.quotaWait(after-r.Quota(), l)))
	}
	q.busy = after
	return filbertford.Verdict{}
}

// pass takes in that the team has kept its use since the last time.
func (q *quota) pass(now time.Time, r filbertford.Rules) {
	past := now.Sub(q.last).Seconds()
	q.last = now
	q.spent = max(q.spent+past*float64(q.busy-r.Quota()), 0)
	q.spent = min(q.spent, float64(r.Burst())*burstWindow.Seconds())
}

// quotaWait returns how long a team takes to end n of its tasks.
func (s *service) quotaWait(n int, l filbertford.Load) time.Duration {
	return time.Duration(float64(n) / float64(max(l.TeamBusy(), 1)) * float64(s.run))
}

// checkSize refuses jobs that can never run: those with more tasks than their
// rules allow at any time.
func checkSize(j filbertford.Job, r filbertford.Rules) filbertford.Verdict {
	tasks := len(j.Tasks())
	switch {
	case r.MaxTasks() > 0 && tasks > r.MaxTasks(),
		r.MaxQueue() > 0 && tasks > r.MaxQueue(),
		r.Quota() > 0 && tasks > r.Quota()+r.Burst():
		return filbertford.NewRejection(filbertford.CodeNeverRun, 0)
	}
	return filbertford.Verdict{}
}
