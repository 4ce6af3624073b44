package fbsched

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/filbertford/filbertford"
)

// updateOwnership records whether any pool has an owner, and when the last one was
// lost.
func (c *Coordinator) updateOwnership(now time.Duration) {
	anyOwned := false
	for _, v := range c.pools {
		anyOwned = anyOwned || v.owner != ""
	}
	if c.anyOwned && !anyOwned {
		c.allUnownedSince = now
	}
	c.anyOwned = anyOwned
}

// isolated reports whether no pool has had an owner for longer than
// isolationTimeout.
func (c *Coordinator) isolated(now time.Duration) bool {
	if c.allUnownedSince == 0 {
		c.allUnownedSince = now
	}
	return !c.anyOwned && now-c.allUnownedSince > isolationTimeout
}

// CancelRequest removes a request whose caller has disconnected, and cancels its
// job if no other request waits for it.
func (c *Coordinator) CancelRequest(now time.Duration, requestID uint64) {
	j := c.byRequest[requestID]
	if j == nil {
		return
	}
	delete(c.byRequest, requestID)
	j.requestIDs = slices.DeleteFunc(j.requestIDs, func(r uint64) bool { return r == requestID })
	if len(j.requestIDs) == 0 {
		c.finish(now, j, filbertford.AnswerUnknown, "caller disconnected")
	}
}

// AbandonAll answers all best-effort jobs as having an unknown outcome, for instance
// after a suspension during which pools have stopped their tasks. It keeps the stored
// jobs: their owner continues them, unless it has lost their shard.
func (c *Coordinator) AbandonAll(now time.Duration, reason string) {
	for _, key := range slices.Sorted(maps.Keys(c.jobs)) {
		if j := c.jobs[key]; !j.stored {
			c.finish(now, j, filbertford.AnswerUnknown, reason)
		}
	}
}

// hasWaitingTask reports whether any task that is ready to run has no pool, or is in
// a pool without an owner.
func (c *Coordinator) hasWaitingTask(j *job) bool {
	for number, s := range j.steps {
		for _, t := range s.tasks {
			if !t.done && j.ready(number) && (t.pool == "" || c.pools[t.pool].owner == "") {
				return true
			}
		}
	}
	return false
}

// abandon withdraws the tasks of a job. The job is answered when the pools have
// returned them, because only then is it known whether any of them has run.
func (c *Coordinator) abandon(now time.Duration, j *job, reason string) {
	j.returnDeadline, j.reason = now+returnTimeout, reason
	c.withdraw(j)
	c.finishAbandoned(now, j)
}

// finishAbandoned answers an abandoned job once no pool has any of its tasks.
func (c *Coordinator) finishAbandoned(now time.Duration, j *job) {
	if j.hasAssignedTask() {
		return
	}
	if j.mayHaveRun {
		c.finish(now, j, filbertford.AnswerUnknown, j.reason)
		return
	}
	c.finish(now, j, filbertford.AnswerNotRun, j.reason)
}

// finish answers all requests of a job and withdraws its remaining tasks. The callers of
// a stored job learn of its end from the shard owner.
func (c *Coordinator) finish(now time.Duration, j *job, kind filbertford.AnswerKind, reason string) {
	key := j.workload.Key()
	if c.jobs[key] != j {
		return
	}
	delete(c.jobs, key)
	c.untrackJob(key)
	if j.stored {
		if j.hasUndoneTask() {
			c.recordEnded(key)
		}
		c.withdraw(j)
		return
	}
	if kind == filbertford.AnswerUnknown {
		c.announceAttempt(now, j)
	}
	answer := filbertford.NewWorkloadAnswer(kind, reason)
	if kind == filbertford.AnswerNotRun {
		answer = answer.WithRetryAfter(c.retryAfter(j))
	}
	for _, r := range j.requestIDs {
		delete(c.byRequest, r)
		c.emit(Answer{RequestID: r, Answer: answer})
	}
	c.emit(Event{Kind: EventJobAnswered, Task: filbertford.NewTaskKey(key, 0, 0, 0), Reason: string(kind) + " " + reason, Age: now - j.submittedAt})
	c.withdraw(j)
}

// withdraw withdraws the remaining tasks of a job from all owners that they were offered to:
// an owner that the coordinator doesn't hear any more may still hear the coordinator, and one
// that has given a task back may have been offered it again in the meantime.
func (c *Coordinator) withdraw(j *job) {
	if !j.hasUndoneTask() {
		return
	}
	c.withdrawFrom(j.offered, j.workload.Key())
}

func (c *Coordinator) withdrawFrom(owners map[poolOwner]bool, job filbertford.JobKey) {
	sorted := slices.SortedFunc(maps.Keys(owners), func(a, b poolOwner) int {
		return cmp.Or(cmp.Compare(a.pool, b.pool), cmp.Compare(a.node, b.node))
	})
	for _, o := range sorted {
		c.emit(SendWithdrawal{To: o.node, Withdrawal: NewWithdrawal(o.pool, job)})
	}
}

func (j *job) hasUndoneTask() bool {
	return slices.ContainsFunc(j.steps, func(s stepState) bool { return s.remaining > 0 })
}
