package fbsched

import (
	"maps"
	"slices"
	"time"

	"github.com/filbertford/filbertford"
)

// endedJobRetention is how long withdrawals of a stored job that has ended are repeated: longer than
// a pool keeps the tasks of a coordinator that it doesn't hear.
const endedJobRetention = coordinatorTimeout + 2*time.Second

// recordEnded records a stored job that has ended while its tasks may run. Withdrawals are lost with
// their stream.
func (c *Coordinator) recordEnded(job filbertford.JobKey) {
	maps.DeleteFunc(c.endedJobs, func(_ filbertford.JobKey, until time.Duration) bool { return c.tickedAt >= until })
	c.endedJobs[job] = c.tickedAt + endedJobRetention
}

// withdrawEnded repeats the withdrawals of the stored jobs that have ended lately to the owner of a pool.
func (c *Coordinator) withdrawEnded(now time.Duration, pool filbertford.PoolID) {
	v := c.pools[pool]
	if v == nil || v.owner == "" {
		return
	}
	for _, job := range slices.Sorted(maps.Keys(c.endedJobs)) {
		if now < c.endedJobs[job] {
			c.emit(SendWithdrawal{To: v.owner, Withdrawal: NewWithdrawal(pool, job)})
		}
	}
}

// HandleEnded handles that a stored job has ended whose outcome a pool reports, because it has missed
// the withdrawal or a confirmation. The pool's targets discard no end after that of the job until then.
func (c *Coordinator) HandleEnded(pool filbertford.PoolID, job filbertford.JobKey) {
	if v := c.pools[pool]; v != nil && v.owner != "" && c.jobs[job] == nil {
		c.emit(SendWithdrawal{To: v.owner, Withdrawal: NewWithdrawal(pool, job)})
	}
}
