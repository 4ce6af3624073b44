package fbsched

import (
	"cmp"
	"fmt"
	"time"

	"github.com/filbertford/filbertford"
)

// Submit starts a job for the request with the given number, or adds the request to
// the job if it is in progress. timeout is how long the caller waits, 0 if unknown.
func (c *Coordinator) Submit(now time.Duration, requestID uint64, r filbertford.Route, w filbertford.Workload, timeout time.Duration) {
	if j, ok := c.jobs[w.Key()]; ok {
		j.requestIDs = append(j.requestIDs, requestID)
		c.byRequest[requestID] = j
		return
	}
	if timeout <= 0 {
		timeout = cmp.Or(r.Timeout(), defaultTimeout)
	}
	estimate := criticalPath(w.Steps())
	j := &job{
		workload: w, route: r, requestIDs: []uint64{requestID}, submittedAt: now,
		due: now + r.Objective(estimate), deadline: now + timeout - answerMargin,
		usefulUntil: now + min(lateFactor*r.Objective(estimate), timeout-answerMargin),
		steps:       make([]stepState, len(w.Steps())),
		chain:       estimate,
	}
	for i, s := range w.Steps() {
		j.steps[i] = stepState{remaining: s.Count(), tasks: make([]taskState, s.Count())}
	}
	c.jobs[w.Key()], c.byRequest[requestID] = j, j
	if c.isolated(now) {
		c.finish(now, j, filbertford.AnswerNotRun, fmt.Sprintf("no pool can be reached for %v", now-c.allUnownedSince))
		return
	}
	if c.allEvacuated(r.Service()) {
		c.finish(now, j, filbertford.AnswerNotRun, allEvacuatedReason)
		return
	}
	if c.noTargets(now) {
		c.finish(now, j, filbertford.AnswerNotRun, noTargetsReason)
		return
	}
	if a, _ := c.earlierAttempt(now, j); c.mustWait(now, j) && a.until >= j.usefulUntil {
		c.finish(now, j, filbertford.AnswerNotRun, "runs of an earlier attempt may not end in time")
		return
	}
	if c.admit(now, j) {
		c.advance(now, j)
	}
}

// criticalPath returns the estimated duration of the longest chain of dependent
// steps.
func criticalPath(steps []filbertford.Step) time.Duration {
	ends := make([]time.Duration, len(steps))
	var longest time.Duration
	for i, s := range steps {
		var start time.Duration
		for _, a := range s.After() {
			start = max(start, ends[a])
		}
		ends[i] = start + s.Estimate()
		longest = max(longest, ends[i])
	}
	return longest
}
