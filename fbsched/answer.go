package fbsched

import (
	"maps"
	"slices"
	"time"

	"github.com/filbertford/filbertford"
)

// noteOwned takes in whether any pool has an owner.
func (c *Coordinator) noteOwned(now time.Duration) {
	owned := false
	for _, v := range c.pools {
		owned = owned || v.owner != ""
	}
	if c.owned && !owned {
		c.vacant = now
	}
	c.owned = owned
}

// isolated reports whether no pool has had an owner for a while.
func (c *Coordinator) isolated(now time.Duration) bool {
	if c.vacant == 0 {
		c.vacant = now
	}
	return !c.owned && now-c.vacant > isolationTerm
}

// Leave cancels the job of a request whose caller has gone.
func (c *Coordinator) Leave(now time.Duration, request uint64) {
	j := c.byReq[request]
	if j == nil {
		return
	}
	delete(c.byReq, request)
	j.requests = slices.DeleteFunc(j.requests, func(r uint64) bool { return r == request })
	if len(j.requests) == 0 {
		c.finish(now, j, filbertford.AnswerUnknown, "caller left")
	}
}

// AbandonAll gives up all jobs, such as after a suspension in which pools have
// stopped their tasks.
func (c *Coordinator) AbandonAll(now time.Duration, reason string) {
	for _, key := range slices.Sorted(maps.Keys(c.jobs)) {
		c.finish(now, c.jobs[key], filbertford.AnswerUnknown, reason)
	}
}

// waits reports whether any task waits for a pool, or is in one without an
// owner.
func (c *Coordinator) waits(j *job) bool {
	for number, s := range j.steps {
		for _, t := range s.tasks {
			if !t.done && j.ready(number) && (t.pool == "" || c.pools[t.pool].owner == "") {
				return true
			}
		}
	}
	return false
}

// giveUp takes the tasks of a job back. When the pools have returned them it is
// known whether any has run.
func (c *Coordinator) giveUp(now time.Duration, j *job, reason string) {
	j.givingUp, j.reason = now+returnTerm, reason
	c.withdraw(j)
	c.concludeGivenUp(now, j)
}

// concludeGivenUp answers a job that is given up once no pool has any task of
// it.
func (c *Coordinator) concludeGivenUp(now time.Duration, j *job) {
	for _, s := range j.steps {
		for _, t := range s.tasks {
			if t.pool != "" && !t.done {
				return
			}
		}
	}
	if j.started {
		c.finish(now, j, filbertford.AnswerUnknown, j.reason)
		return
	}
	c.finish(now, j, filbertford.AnswerNotRun, j.reason)
}

// finish answers all requests of a job and takes its tasks back.
func (c *Coordinator) finish(now time.Duration, j *job, kind filbertford.AnswerKind, reason string) {
	key := j.workload.Key()
	if c.jobs[key] != j {
		return
	}
	delete(c.jobs, key)
	if j.durable {
		c.do(JobEnded{Job: key, Kind: kind})
		c.withdraw(j)
		return
	}
	answer := filbertford.NewWorkloadAnswer(kind, reason)
	if kind == filbertford.AnswerNotRun {
		answer = answer.WithRetryAfter(min(c.shortestDrain(j.route.Service()), longestRetry))
	}
	for _, r := range j.requests {
		delete(c.byReq, r)
		c.do(Answer{Request: r, Answer: answer})
	}
	c.do(Note{Kind: NoteAnswered, Task: filbertford.NewTaskKey(key, 0, 0, 0), Reason: string(kind) + " " + reason, Age: now - j.began})
	c.withdraw(j)
}

// withdraw takes the tasks of a job back from the pools that have some.
func (c *Coordinator) withdraw(j *job) {
	pools := make(map[filbertford.PoolID]bool)
	for _, s := range j.steps {
		for _, t := range s.tasks {
			if t.pool != "" && !t.done {
				pools[t.pool] = true
			}
		}
	}
	for _, id := range slices.Sorted(maps.Keys(pools)) {
		if v := c.pools[id]; v != nil && v.owner != "" {
			c.do(SendWithdrawal{To: v.owner, Withdrawal: NewWithdrawal(id, j.workload.Key())})
		}
	}
}
