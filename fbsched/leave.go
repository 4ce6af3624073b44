package fbsched

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/filbertford/filbertford"
)

// returnMargin is how long before its answer becomes useless a job that has not started is
// recalled: the time in which pools usually return its tasks.
const returnMargin = returnTimeout / 2

// startReportTime is the time after which a job whose start has not been reported counts as
// waiting: an offer and a report, and two ticks of a daemon.
const startReportTime = 40 * time.Millisecond

// leaveQueues recalls the tasks of jobs none of which has started and that can't meet
// their objective any more, while a job that can is waiting, or whose answer will soon be
// useless.
func (c *Coordinator) leaveQueues(now time.Duration) {
	if !c.admitsByObjective() {
		return
	}
	fastest := make(map[string]float64) // by service
	contended := make(map[string]bool)  // services for which a job waits that can meet its objective
	var hopeless, useless []*job
	for _, j := range c.jobs {
		if j.stored || j.mayHaveRun || j.recalledAt != 0 || j.move != nil || j.returnDeadline != 0 {
			continue
		}
		service := j.route.Service()
		factor, ok := fastest[service]
		if !ok {
			factor = c.fastestFactor(now, service)
			fastest[service] = factor
		}
		margin := min(returnMargin, (j.usefulUntil-j.submittedAt)/4) // callers may state any timeout
		switch {
		case now+margin >= j.usefulUntil:
			useless = append(useless, j)
		case now+time.Duration(float64(j.chain)*factor) > min(j.due, j.usefulUntil):
			hopeless = append(hopeless, j)
		case now-j.submittedAt >= startReportTime:
			contended[service] = true
		}
	}
	for _, j := range sortByKey(useless) {
		c.recall(now, j, "no target for a task in time")
	}
	for _, j := range sortByKey(hopeless) {
		if contended[j.route.Service()] {
			c.recall(now, j, "the objective can't be met any more, and other jobs wait")
		}
	}
}

// sortByKey sorts jobs by key, so that the actions don't depend on the order of map
// iteration.
func sortByKey(jobs []*job) []*job {
	slices.SortFunc(jobs, func(a, b *job) int { return cmp.Compare(a.workload.Key(), b.workload.Key()) })
	return jobs
}

// recall asks the pools for the tasks of a job that has not started. The job is answered
// when all of them have been returned. If one has been started meanwhile, the job goes on.
func (c *Coordinator) recall(now time.Duration, j *job, reason string) {
	j.recalledAt, j.reason = now, reason
	pools := make(map[filbertford.PoolID]bool)
	for _, s := range j.steps {
		for _, t := range s.tasks {
			if t.pool != "" && !t.done {
				pools[t.pool] = true
			}
		}
	}
	for _, pool := range slices.Sorted(maps.Keys(pools)) {
		if v := c.pools[pool]; v.owner != "" {
			c.emit(SendRecall{To: v.owner, Recall: NewRecall(pool, j.workload.Key(), v.fence)})
		}
	}
	c.finishRecalled(now, j)
}

// finishRecalled answers a recalled job when no pool has any of its tasks.
func (c *Coordinator) finishRecalled(now time.Duration, j *job) {
	if j.hasAssignedTask() {
		return
	}
	load, rate := c.fleetLoad(now, j)
	c.emit(c.admissionEvent(EventJobRejected, j, filbertford.AdmissionWithdrawn, j.reason+": "+c.admissionInputs(now, j, load, rate), load.Age()))
	c.finish(now, j, filbertford.AnswerNotRun, j.reason)
}

// handleRecalled handles a report on a task of a recalled job. It reports whether that is
// all there is to do about the report.
func (c *Coordinator) handleRecalled(now time.Duration, j *job, t *taskState, status Status) bool {
	if j.mayHaveRun {
		j.recalledAt = 0
		c.advance(now, j) // offers the tasks that have been returned again
		return false
	}
	if status != StatusReturned && status != StatusExpired {
		return false
	}
	t.pool, t.target = "", ""
	c.finishRecalled(now, j)
	return true
}

// hasAssignedTask reports whether any pool has a task of the job.
func (j *job) hasAssignedTask() bool {
	return slices.ContainsFunc(j.steps, func(s stepState) bool {
		return slices.ContainsFunc(s.tasks, func(t taskState) bool { return t.pool != "" && !t.done })
	})
}
