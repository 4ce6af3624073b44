package fbpolicy

import (
	"time"

	"github.com/filbertford/filbertford"
)

// minRetryAfter is the shortest time after which a refused caller is asked to
// come back.
const minRetryAfter = 50 * time.Millisecond

// checkSize refuses jobs that can never run: those with more tasks than their
// rules allow, now or at any time.
func checkSize(j filbertford.Job, r filbertford.Rules) filbertford.Verdict {
	tasks := len(j.Tasks())
	if r.MaxTasks() > 0 && tasks > r.MaxTasks() {
		return filbertford.NewRejection(filbertford.CodeNeverRun, 0)
	}
	if r.MaxQueue() > 0 && tasks > r.MaxQueue() {
		return filbertford.NewRejection(filbertford.CodeNeverRun, 0)
	}
	if r.Quota() > 0 && tasks > r.Quota()+r.Burst() {
		return filbertford.NewRejection(filbertford.CodeNeverRun, 0)
	}
	return filbertford.Verdict{}
}
