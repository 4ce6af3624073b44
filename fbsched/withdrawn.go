package fbsched

import (
	"maps"
	"slices"
	"time"

	"github.com/filbertford/filbertford"
)

// attemptTimeout is how long after a job was withdrawn runs of that attempt may last, wherever the
// withdrawal was lost: callers that have lost a job and wait before they send it again wait for as long.
const attemptTimeout = 1300 * time.Millisecond

// attempt is an earlier attempt at a job whose runs may not have ended yet. Callers whose connection
// breaks may send the job again at once, to another daemon. The pools start no task beside a run
// of it, so that each task must return to its pool.
type attempt struct {
	pools map[filbertford.PoolID]bool // that had tasks of the job
	until time.Duration
	// heard is whether another coordinator has announced it, so that it isn't known which owners it was offered to.
	heard bool
}

// HandleWithdrawal handles the withdrawal of a job's tasks from a pool by another coordinator.
func (c *Coordinator) HandleWithdrawal(now time.Duration, w Withdrawal) {
	c.recordAttempt(now, w.Job(), w.Pool())
	a := c.attempts[w.Job()]
	a.heard = true
	c.attempts[w.Job()] = a
}

func (c *Coordinator) recordAttempt(now time.Duration, job filbertford.JobKey, pools ...filbertford.PoolID) {
	maps.DeleteFunc(c.attempts, func(_ filbertford.JobKey, a attempt) bool { return now >= a.until })
	a, ok := c.attempts[job]
	if !ok {
		a.pools = make(map[filbertford.PoolID]bool)
	}
	for _, pool := range pools {
		a.pools[pool] = true
	}
	a.until = now + attemptTimeout
	c.attempts[job] = a
}

// announceAttempt records an attempt at a job that ends while tasks of it may run, and lets the
// other daemons that the caller may send the job to know.
func (c *Coordinator) announceAttempt(now time.Duration, j *job) {
	if len(j.offered) == 0 || !j.hasUndoneTask() || !j.mayHaveRun && !j.hasAssignedTask() {
		return
	}
	pools := make(map[filbertford.PoolID]bool)
	for o := range j.offered { // a pool that has returned a task may still be stopping a run of it
		pools[o.pool] = true
	}
	key := j.workload.Key()
	c.recordAttempt(now, key, slices.Collect(maps.Keys(pools))...)
	for _, pool := range slices.Sorted(maps.Keys(pools)) {
		c.emit(AnnounceWithdrawal{Withdrawal: NewWithdrawal(pool, key)})
	}
}

// earlierAttempt returns the earlier attempt at a job whose runs may not have ended yet.
func (c *Coordinator) earlierAttempt(now time.Duration, j *job) (attempt, bool) {
	a, ok := c.attempts[j.workload.Key()]
	return a, ok && now < a.until && !j.stored
}

// mustWait reports whether the tasks of a job wait for the runs of an earlier attempt: if these were
// in several pools, it isn't known which task was in which.
func (c *Coordinator) mustWait(now time.Duration, j *job) bool {
	a, ok := c.earlierAttempt(now, j)
	return ok && len(a.pools) > 1
}

// mayUse reports whether tasks of the job may be offered to the pool.
func (c *Coordinator) mayUse(now time.Duration, j *job, pool filbertford.PoolID) bool {
	a, ok := c.earlierAttempt(now, j)
	return !ok || a.pools[pool]
}

// ownerSilence returns how long ago contact was lost with the last owner that may have started runs of
// the attempt, apart from the pool's present owner, which knows its own runs.
func (c *Coordinator) ownerSilence(now time.Duration, a attempt, v *poolView) time.Duration {
	silence := earlierRunTimeout - (a.until - now)
	if !a.heard {
		silence = max(silence, now-v.lostAt)
	}
	return silence
}
