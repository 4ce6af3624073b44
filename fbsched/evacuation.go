package fbsched

import (
	"slices"
	"time"

	"github.com/filbertford/filbertford"
)

// poolEvacuation is what a pool knows of evacuations.
type poolEvacuation struct {
	evacuated          bool
	evacuationsUnknown bool // see HoldUntilEvacuationsKnown
	othersEvacuated    bool
	rampFrom           time.Duration // see RampFrom, 0 if the load isn't increased gradually
	nextRampReport     time.Duration
}

// HoldUntilEvacuationsKnown starts no tasks until SetEvacuated is called, since the pool's
// data centre may be evacuated.
func (p *Pool) HoldUntilEvacuationsKnown() { p.evacuationsUnknown = true }

// SetEvacuated sets whether the pool's data centre is evacuated. An evacuated pool starts
// nothing, reports no capacity and returns the tasks that wait; runs continue.
func (p *Pool) SetEvacuated(now time.Duration, evacuated bool) {
	if p.evacuated == evacuated && !p.evacuationsUnknown {
		return
	}
	if p.evacuated {
		p.RampFrom(now)
	}
	p.evacuated, p.evacuationsUnknown = evacuated, false
	p.capacityChanged, p.dispatchDue = true, true
}

// Evacuated reports whether the pool's data centre is evacuated.
func (p *Pool) Evacuated() bool { return p.evacuated }

// releaseWaiting returns the waiting tasks of which no run can be executing. The others
// follow when that is certain.
func (p *Pool) releaseWaiting(now time.Duration) {
	p.releaseWhere(now, StatusReleased, func(*task) bool { return true })
}

// releaseWhere returns the waiting tasks that match and of which no run can be executing, with the status.
func (p *Pool) releaseWhere(now time.Duration, status Status, match func(*task) bool) {
	released := false
	for _, t := range slices.Clone(p.queue.tasks) {
		if match(t) && p.releasable(now, t) {
			p.release(now, t, status)
			released = true
		}
	}
	if released {
		p.queue.removeFunc(func(t *task) bool { return p.tasks[t.key] != t })
		p.capacityChanged = true
	}
}

// releasable reports whether a waiting task can be returned. A task whose coordinator can't
// be reached waits for it. A task that is held back stays until it is known whether its
// targets have crashed, because the next pool would not learn of their loss.
func (p *Pool) releasable(now time.Duration, t *task) bool {
	if t.coordinatorUnreachableAt != 0 || t.reofferBy != 0 || p.activeRuns[t.key] != nil || p.secondRuns[t.key] > 0 || p.heldBack(t.key) {
		return false
	}
	if t.batch.offerNumber == 0 && t.batch.resume {
		return false // a coordinator of an earlier version ignores the report
	}
	return p.earlierRunsEnded(now, t)
}

// release returns a waiting task to its coordinator with the status.
func (p *Pool) release(now time.Duration, t *task, status Status) {
	delete(p.tasks, t.key)
	p.emitEvent(Event{Kind: EventTaskReleased, Task: t.key, Fence: p.fence, Reason: string(status), Age: now - t.queuedAt})
	if t.batch.offerNumber == 0 {
		p.returnTask(t, StatusReturned)
		return
	}
	r := NewReport(p.id, p.fence, t.key, status, t.failures.failed.count).WithFailedRun(t.failures.failed.last).withCrashCount(p.crashCountOf(t.key)).
		WithStarted(t.started || t.resume).WithOfferNumber(t.batch.offerNumber)
	p.emit(SendReport{To: t.coordinator, Report: r})
}

// SetEvacuated sets whether a pool's data centre is evacuated. Tasks are not offered to an
// evacuated pool.
func (c *Coordinator) SetEvacuated(now time.Duration, pool filbertford.PoolID, evacuated bool) {
	c.AddPool(pool)
	v := c.pools[pool]
	if v.evacuated == evacuated {
		return
	}
	v.evacuated = evacuated
	if !evacuated {
		v.releases = false // its next report shows whether the owner knows of the end
		c.placeWaiting(now)
	}
}

// accepts reports whether tasks may be offered to the pool: it has an owner and is not
// known to be evacuated.
func (v *poolView) accepts() bool {
	return v.owner != "" && !v.evacuated && !v.releases && !v.lacksTargets()
}

// allEvacuated reports whether a pool is known to be evacuated and no other one has targets of
// the service. A pool whose targets are not known counts as one that has.
func (c *Coordinator) allEvacuated(service string) bool {
	evacuated := false
	for _, v := range c.pools {
		if v.evacuated || v.releases {
			evacuated = true
			continue
		}
		if len(v.capacities) == 0 || v.capacities[service] != nil {
			return false
		}
	}
	return evacuated
}

// taskReleased handles that a pool has returned a task because it is evacuated.
func (c *Coordinator) taskReleased(now time.Duration, j *job, t *taskState) {
	c.pools[t.pool].releases = true
	c.takeBack(now, j, t)
}

// takeBack takes a task from the pool that has released it. The task is offered to another pool with
// the next actions, together with others that are returned at the same time.
func (c *Coordinator) takeBack(now time.Duration, j *job, t *taskState) {
	pool := t.pool
	if j.stored && !slices.Contains(t.releasedBy, pool) {
		t.releasedBy = append(t.releasedBy, pool)
	}
	t.pool, t.target, t.resumed = "", "", false
	c.releasedAt = now
	if key := j.workload.Key(); !slices.Contains(c.releasedJobs, key) {
		c.releasedJobs = append(c.releasedJobs, key)
	}
}

// placeReleased offers the tasks of the jobs that pools have released.
func (c *Coordinator) placeReleased() {
	for _, key := range c.releasedJobs {
		if j := c.jobs[key]; j != nil {
			c.abandonIfEvacuated(c.releasedAt, j)
			c.advance(c.releasedAt, j)
		}
	}
	c.releasedJobs = nil
}

// allEvacuatedReason is the reason in the answer to a job that no pool may start.
const allEvacuatedReason = "all data centres with targets of the service are evacuated"

// abandonIfEvacuated abandons a best-effort job that has a task for which no pool is left,
// unless a run of it may have started: the runs of an evacuated data centre continue.
func (c *Coordinator) abandonIfEvacuated(now time.Duration, j *job) {
	if !j.stored && !j.mayHaveRun && j.returnDeadline == 0 && c.allEvacuated(j.route.Service()) && c.hasWaitingTask(j) {
		c.abandon(now, j, allEvacuatedReason)
	}
}

// confirmReleased confirms recorded progress to the pools that have returned the task: their
// targets keep the outcomes of its runs until then.
func (c *Coordinator) confirmReleased(t *taskState, key filbertford.TaskKey, p Progress) {
	for _, pool := range t.releasedBy {
		if pool != t.pool {
			c.confirm(pool, key, p)
		}
	}
	if p.done {
		t.releasedBy = nil
	}
}

// nextOfferNumber returns the number of the next offer. It is derived from the time since
// boot, so that it is higher than those of an earlier process of the daemon.
func (c *Coordinator) nextOfferNumber(now time.Duration) uint64 {
	c.lastOfferNumber = max(c.lastOfferNumber+1, uint64(now.Microseconds()))
	return c.lastOfferNumber
}
