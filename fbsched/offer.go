package fbsched

import (
	"time"

	"github.com/filbertford/filbertford"
)

// Offer accepts the tasks of a batch from a coordinator. It drops a batch of an
// earlier shard owner, which may arrive late: the pool has already reported its tasks
// to a newer one. A batch without tasks says that the coordinator has offered all of its own, see SendOffersComplete.
func (p *Pool) Offer(now time.Duration, from filbertford.NodeID, b Batch) {
	if len(b.items) == 0 {
		p.offersComplete(now, from)
		return
	}
	if b.stored {
		if b.shardFence < p.shardOwners[b.job].fence {
			return
		}
		p.shardOwners[b.job] = shardOwner{fence: b.shardFence, at: now}
	}
	if p.rejectsDemand(&b) {
		for _, item := range b.items {
			r := NewReport(p.id, p.fence, b.key(item.index), StatusReturned, item.failed.count).WithFailedRun(item.failed.last)
			p.emit(SendReport{To: from, Report: r.WithOfferNumber(b.offerNumber)})
		}
		return
	}
	for _, item := range b.items {
		p.offerTask(now, from, &b, item)
	}
	p.dispatchDue = true
}

// rejectsDemand reports whether none of the pool's targets could hold a task of the batch
// even if nothing else ran there, so that the tasks would wait in vain. Tasks that may be
// running and those of stored jobs, which wait for other targets to come, are accepted.
func (p *Pool) rejectsDemand(b *Batch) bool {
	if b.resume || b.stored || !p.allListed {
		return false
	}
	known := false
	for _, t := range p.sortedTargets {
		if t.rec.Service() != b.service || t.removed {
			continue
		}
		known = true
		if b.step.Demand().Fits(t.rec.Capacity()) && t.rec.HasLabel(b.step.Label()) {
			return false
		}
	}
	return known
}

func (p *Pool) offerTask(now time.Duration, from filbertford.NodeID, b *Batch, item Item) {
	key := b.key(item.index)
	if outcome, ok := p.outcomes[key]; ok && (b.resume || b.stored) {
		outcome.coordinator = from
		p.outcomes[key] = outcome
		p.report(from, key, outcome.status, outcome.failed.merge(item.failed))
		return
	}
	if t, ok := p.tasks[key]; ok {
		p.reassign(now, t, from, b, item)
		return
	}
	t := &task{
		key: key, coordinator: from, batch: b, failures: newFailureCounter(item.failed),
		deadline: now + b.timeout, queuedAt: now, search: b.search,
	}
	if b.resume {
		t.resumeFrom(now, b, item)
	}
	t.setDue(now + b.due)
	inherited := p.inheritedFailures[key].numbers
	for _, number := range inherited {
		t.failures.add(number, true)
	}
	p.inheritCrashes(now, key, item)
	p.tasks[key] = t
	if p.checkStartedOn(now, t); p.tasks[key] != t {
		return
	}
	r, running := p.activeRuns[key]
	running = running && r.adoptable()
	if !running && t.attemptsUsed() {
		p.finishTask(now, t, StatusFailed)
		return
	}
	if len(inherited) > 0 {
		p.reportFailures(t)
	}
	if running {
		p.adopt(now, t, r)
		p.renewLease(now, r.target)
		return
	}
	if t.search {
		p.finishSearch(now, t)
		return
	}
	if p.unfit(now, t) && p.releasable(now, t) {
		p.release(now, t, StatusUnfit)
		return
	}
	p.enqueue(t)
}

// reassign assigns a task that is already in the pool to the coordinator that offers
// it now.
func (p *Pool) reassign(now time.Duration, t *task, from filbertford.NodeID, b *Batch, item Item) {
	if t.coordinator != from && t.coordinatorUnreachableAt == 0 {
		p.report(t.coordinator, t.key, StatusReassigned, t.failures.failed)
	}
	t.coordinator, t.batch, t.coordinatorUnreachableAt, t.reofferBy = from, b, 0, 0
	switch {
	case t.run == nil && b.resume:
		t.resumeFrom(now, b, item)
		p.inheritCrashes(now, t.key, item)
		if p.checkStartedOn(now, t); p.tasks[t.key] != t {
			return
		}
	case t.run != nil && !t.run.stopWanted:
		t.run.unlimit()
	}
	t.setDue(now + b.due)
	t.deadline = now + b.timeout
	p.queue.sort()
	if t.search && b.search {
		return // the search continues
	}
	if t.search {
		t.search = false
		p.enqueue(t)
	}
	if b.stored {
		var target filbertford.TargetID
		if t.run != nil {
			target = t.run.target.id()
		}
		p.reportStart(t, target)
	}
}

// resumeFrom records that another owner may have started the task.
func (t *task) resumeFrom(now time.Duration, b *Batch, item Item) {
	t.resume, t.notBefore, t.startedOn = true, now+earlierRunTimeout-b.ownerSilence, item.target
}

func (t *task) setDue(due time.Duration) {
	t.due, t.latestStart = due, due-t.batch.step.Estimate()
}

// adopt assigns a run that an earlier owner or coordinator started to a task. A search
// for the task has found it.
func (p *Pool) adopt(now time.Duration, t *task, r *run) {
	t.run, r.task, t.started, t.search = r, t, true, false
	r.unlimit()
	t.limitRun()
	if r.demand == (filbertford.Resources{}) {
		r.demand = t.batch.step.Demand()
		r.target.used = r.target.used.Add(r.demand)
	}
	if p.suspected(t.key) && len(r.target.runs) == 1 {
		r.isolate()
	}
	p.jobsStarted(now, []filbertford.JobKey{t.key.Job()})
	p.reportStart(t, r.target.id())
	p.emitEvent(Event{Kind: EventRunAdopted, Task: t.key, Target: r.target.id(), Run: r.number, Age: now - r.startedAt})
}
