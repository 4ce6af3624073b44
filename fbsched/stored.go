package fbsched

import (
	"fmt"
	"maps"
	"time"

	"github.com/filbertford/filbertford"
)

// Times of stored jobs.
const (
	// storedTimeout is the queue timeout for tasks of stored jobs: in effect they
	// never expire.
	storedTimeout = 24 * time.Hour
	// searchTimeout is how long a search waits for pools that do not answer, such as
	// those without an owner.
	searchTimeout = 20 * time.Second
)

// Progress is the recorded progress of a task of a stored job.
type Progress struct {
	done       bool
	failed     bool // for good
	failedRuns failedRuns
	crashes    crashCount
}

// NewProgress returns the progress of a task that is done or not, with the number of
// its failed runs.
func NewProgress(done bool, failures int) Progress {
	return Progress{done: done, failedRuns: failedRuns{count: failures}}
}

// WithFailedRun returns a copy of p whose failed runs are those with numbers up to the given one.
func (p Progress) WithFailedRun(number uint64) Progress {
	p.failedRuns.last = number
	return p
}

// WithFailuresOf returns a copy of p with the failed runs of p or, if they were counted later, of o.
func (p Progress) WithFailuresOf(o Progress) Progress {
	p.failedRuns = p.failedRuns.merge(o.failedRuns)
	return p
}

// WithDone returns a copy of p for a task that is done.
func (p Progress) WithDone() Progress {
	p.done = true
	return p
}

// WithFailed returns a copy of p for a task that has failed for good.
func (p Progress) WithFailed() Progress {
	p.failed = true
	return p
}

// Failed reports whether the task has failed for good.
func (p Progress) Failed() bool { return p.failed }

// Done reports whether the task is done.
func (p Progress) Done() bool { return p.done }

// Failures returns how many runs have failed.
func (p Progress) Failures() int { return p.failedRuns.count }

// FailedRun returns the highest run number up to which failed runs are counted, 0 if unknown.
func (p Progress) FailedRun() uint64 { return p.failedRuns.last }

// StartStored starts a stored job, or resumes one that an earlier coordinator
// started. A resumed job first asks all pools for its tasks.
func (c *Coordinator) StartStored(now time.Duration, r filbertford.Route, w filbertford.Workload, progress func(step, index int) Progress, resumed bool) {
	if c.jobs[w.Key()] != nil {
		return
	}
	estimate := criticalPath(w.Steps())
	j := &job{
		workload: w, route: r, submittedAt: now, due: now + r.Objective(estimate), stored: true,
		steps: make([]stepState, len(w.Steps())),
	}
	for number, s := range w.Steps() {
		state := stepState{remaining: s.Count(), tasks: make([]taskState, s.Count())}
		for index := range state.tasks {
			p := progress(number, index)
			state.tasks[index].done, state.tasks[index].failed, state.tasks[index].crashes = p.done, p.failedRuns, p.crashes
			if p.done {
				state.remaining--
			} else if resumed {
				state.tasks[index].search = &search{startedAt: now, absent: make(map[filbertford.PoolID]uint64), offers: make(map[filbertford.PoolID]uint64)}
			}
		}
		j.steps[number] = state
	}
	c.jobs[w.Key()] = j
	for _, pool := range c.poolIDs() {
		for number := range j.steps {
			c.searchPool(now, j, number, pool)
		}
		if resumed {
			c.confirmDone(j, pool)
		}
	}
	c.advance(now, j)
}

// confirmDone confirms to a pool the tasks that are recorded as done, because an
// earlier coordinator may not have done so.
func (c *Coordinator) confirmDone(j *job, pool filbertford.PoolID) {
	for number, s := range j.steps {
		for index, t := range s.tasks {
			if t.done {
				c.confirm(pool, filbertford.NewTaskKey(j.workload.Key(), 0, number, index), t.progress())
			}
		}
	}
}

// DropStored removes a stored job whose shard has another owner. The pools keep its
// tasks.
func (c *Coordinator) DropStored(job filbertford.JobKey) {
	if j := c.jobs[job]; j != nil && j.stored {
		delete(c.jobs, job)
		c.untrackJob(job)
	}
}

// CancelStored removes a stored job that has ended and withdraws its tasks from all
// pools, also from owners that it was offered to and that aren't heard any more.
func (c *Coordinator) CancelStored(job filbertford.JobKey) {
	owners := make(map[poolOwner]bool)
	if j := c.jobs[job]; j != nil {
		maps.Copy(owners, j.offered)
		c.recordEnded(job)
	}
	delete(c.jobs, job)
	c.untrackJob(job)
	for id, v := range c.pools {
		if v.owner != "" {
			owners[poolOwner{id, v.owner}] = true
		}
	}
	c.withdrawFrom(owners, job)
}

// HandleRecorded handles the recorded progress of a task of a stored job.
func (c *Coordinator) HandleRecorded(now time.Duration, key filbertford.TaskKey, p Progress) {
	j := c.jobs[key.Job()]
	if j == nil || !j.stored {
		return
	}
	t := &j.steps[key.Step()].tasks[key.Index()]
	c.confirm(t.pool, key, p)
	c.confirmReleased(t, key, p)
	switch {
	case p.done && !t.done:
		t.done = true
		j.steps[key.Step()].remaining--
		c.advance(now, j)
	case p.failed:
		c.finish(now, j, filbertford.AnswerFailed, t.failureReason(j))
	}
}

// progress returns the progress of a task as the coordinator knows it.
func (t *taskState) progress() Progress {
	p := NewProgress(t.done, t.failed.count).WithFailedRun(t.failed.last)
	p.crashes = t.crashes
	return p
}

// failureReason returns why the task has failed for good.
func (t *taskState) failureReason(j *job) string {
	if n := t.crashes.crashes(); t.failed.count < j.route.Attempts() && n > 0 {
		return fmt.Sprintf("%d targets have crashed under a task", n)
	}
	return "a task has failed as often as allowed"
}

func (c *Coordinator) confirm(pool filbertford.PoolID, key filbertford.TaskKey, p Progress) {
	if v := c.pools[pool]; v != nil && v.owner != "" {
		c.emit(SendConfirm{To: v.owner, Confirm: NewConfirm(pool, key, p.done, p.failedRuns.count).WithFailedRun(p.failedRuns.last).WithCrashes(p.crashes.counted)})
	}
}

// searchPool asks a pool for the tasks of a step that are being searched for.
func (c *Coordinator) searchPool(now time.Duration, j *job, number int, pool filbertford.PoolID) {
	v := c.pools[pool]
	if v == nil || v.owner == "" {
		return
	}
	var items []Item
	since := v.lostAt // earlier owners may have started the tasks until then, or until the search began
	for index, t := range j.steps[number].tasks {
		if t.search != nil && !t.done {
			since = max(since, t.search.startedAt)
			items = append(items, NewItem(index, t.failed.count).WithFailedRun(t.failed.last).withCrashCount(t.crashes))
		}
	}
	if len(items) == 0 {
		return
	}
	b := c.batch(now, j, number, pool, items).WithStored(true, true).WithResume(now - since)
	for _, i := range items {
		j.steps[number].tasks[i.index].search.offers[pool] = b.offerNumber
	}
	c.emit(SendBatch{To: v.owner, Batch: b.WithFence(v.fence)})
}

// resolveSearch handles a report on a task that is being searched for. It reports
// whether the pool has the task, which ends the search. Reports of crashes and of another
// coordinator's offer don't show that: the pool may be searching for the task too, and
// report it as absent later.
func (c *Coordinator) resolveSearch(now time.Duration, j *job, t *taskState, r Report) bool {
	v := c.pools[r.Pool()]
	if v == nil || v.fence != r.Fence() {
		return false
	}
	t.failed, t.crashes = t.failed.merge(r.failed), t.crashes.merge(r.crashes)
	switch r.Status() {
	case StatusStarted, StatusDone, StatusFailed:
		t.pool, t.fence, t.offer, t.search = r.Pool(), r.Fence(), t.search.offers[r.Pool()], nil
		return true
	case StatusRetried:
		if r.hasProgress() {
			c.emit(RecordOutcome{Task: r.Task(), Progress: t.progress()})
		}
	case StatusAbsent, StatusReturned:
		if r.answersOffer() && r.OfferNumber() != t.search.offers[r.Pool()] {
			return false // it answers an earlier search
		}
		t.search.absent[r.Pool()] = r.Fence()
		if c.absentFromAll(now, t.search) {
			t.search = nil
			c.advance(now, j)
		}
	}
	return false
}

// absentFromAll reports whether every pool has reported the task absent or has not
// answered within searchTimeout.
func (c *Coordinator) absentFromAll(now time.Duration, s *search) bool {
	for id := range c.pools {
		if _, ok := s.absent[id]; !ok && now-s.startedAt < searchTimeout {
			return false
		}
	}
	return true
}

// endSearches ends searches that have waited for searchTimeout for the remaining pools,
// which may have no owner.
func (c *Coordinator) endSearches(now time.Duration) {
	for _, j := range c.jobs {
		if !j.stored {
			continue
		}
		for number := range j.steps {
			for index := range j.steps[number].tasks {
				t := &j.steps[number].tasks[index]
				if t.search != nil && c.absentFromAll(now, t.search) {
					t.search = nil
				}
			}
		}
	}
}
