package fbsched

import (
	"maps"
	"slices"
	"time"

	"github.com/filbertford/filbertford"
	"github.com/filbertford/filbertford/fbplacement"
)

// fullBackoff is how long a target gets no tasks after it has rejected one as full,
// although the pool counted enough free capacity.
const fullBackoff = 50 * time.Millisecond

// dispatch starts queued tasks, most urgent first.
func (p *Pool) dispatch(now time.Duration) {
	p.dispatchDue = false
	if p.evacuated {
		p.releaseWaiting(now)
		return
	}
	if p.queue.len() == 0 || !p.surveyed || p.evacuationsUnknown || now < max(p.startsHeldUntil, p.suspendedUntil) {
		return
	}
	capacities := p.capacityByService(now)
	p.visitQueue(now, capacities, func(t *task, capacity *serviceCapacity) bool {
		if !p.suspected(t.key) && !p.backfill.mayFit(t, capacity) {
			p.backfill.wait(p, now, t, capacity)
			return false
		}
		return p.startTask(now, t, capacity, capacities)
	})
}

// startTask starts a task if a target of its service has capacity for it, and reports
// whether it did.
func (p *Pool) startTask(now time.Duration, t *task, capacity *serviceCapacity, capacities map[string]*serviceCapacity) bool {
	if !p.startable(now, t) {
		return false
	}
	var chosen *targetCapacity
	alone := p.suspected(t.key)
	if alone {
		chosen = p.chooseEmptyTarget(now, t, capacity)
	} else {
		chosen = p.chooseFreeTarget(now, t, capacity, capacities)
	}
	if chosen == nil || t.waitsForFaster {
		return false
	}
	best := chosen.target
	lease := p.nextLease(now, best) // not 0, since the target is usable
	step := t.batch.step
	r := &run{
		target: best, key: t.key, number: p.nextRunNumber(now, t), task: t, state: runStarting,
		demand: step.Demand(), startedAt: now, progressedAt: now,
		expected:    scaled(step.Estimate(), chosen.factor),
		leaseExpiry: lease, onLiveTarget: best.heardLately(now),
	}
	best.leaseExpiry, best.leaseSentAt = max(best.leaseExpiry, r.leaseExpiry), now
	best.runs[t.key], p.activeRuns[t.key] = r, r
	if alone {
		r.isolate()
		best.reservedFor = nil
	}
	best.used = best.used.Add(r.demand)
	t.run, t.started, p.capacityChanged = r, true, true
	p.emitEvent(Event{
		Kind: EventRunStarted, Task: t.key, Target: best.id(), Started: best.rec.Instance().StartedAt(), Run: r.number,
		Fence: p.fence, Age: now - t.queuedAt, ListsAge: now - best.listsAt, Large: 2*r.demand.CPU() > best.rec.Capacity().CPU(),
	})
	p.emit(StartCall{
		Request: filbertford.NewStartRunRequest(best.rec.Instance(), best.rec.Address(), t.key, r.number, t.batch.spec, r.leaseExpiry, p.fence),
		Timeout: p.roundTrips.callTimeout(),
	})
	p.reportStart(t, best.id())
	p.poll(now, best)
	chosen.closed = alone || p.rampShare(now, best) < 1 || !best.health.accepts(now, len(best.runs))
	p.backfill.started(p, now, t, chosen)
	capacity.reserve(chosen, r.demand)
	return true
}

// startable reports whether the task may be started if a target has capacity for it.
func (p *Pool) startable(now time.Duration, t *task) bool {
	return t.coordinatorUnreachableAt == 0 && t.reofferBy == 0 && p.activeRuns[t.key] == nil && p.secondRuns[t.key] == 0 && !p.heldBack(t.key) && !p.coordinatorSilent(now, t) && p.earlierRunsEnded(now, t)
}

// earlierRunsEnded reports whether no run that an earlier owner started can still be
// executing the task. Before notBefore, all targets must be listed, because the report
// of the last start may not have reached the coordinator. So must the target in the last
// report that did reach it, even if the target has no record. While starts are held for the
// records, or if they could not be read, there may be targets that the pool doesn't know.
//
// A task of a stored job waits for the lists beyond notBefore, until listTimeout: a
// target that is not listed yet may hold the outcome of a run that ended long ago.
func (p *Pool) earlierRunsEnded(now time.Duration, t *task) bool {
	if !t.resume || now >= t.notBefore && (!t.batch.stored || now-p.createdAt >= listTimeout) {
		return true
	}
	if !p.allListed || p.startsHeldUntil != 0 {
		return false
	}
	if t.startedOn == "" {
		return true
	}
	target := p.targets[t.startedOn]
	return target != nil && target.listed || target == nil && now >= t.notBefore
}

// chooseTarget returns the best target for the task by the placement rule, nil if no
// target can run the task.
func (p *Pool) chooseTarget(now time.Duration, t *task, capacity *serviceCapacity) *targetCapacity {
	step := t.batch.step
	var best *targetCapacity
	var bestTarget filbertford.FreeTarget
	for i := range capacity.targets {
		c := &capacity.targets[i]
		if c.closed || !step.Demand().Fits(c.free) || !p.suits(t, c) || !c.reservation.permits(t, now+scaled(step.Estimate(), c.factor)) {
			continue
		}
		factor := c.factor
		if step.Rack() != "" && !c.target.rec.HasLabel(step.Rack()) {
			factor *= offRackFactor
		}
		left := p.backfill.gap(p, c.free.CPU()-step.Demand().CPU())
		candidate := filbertford.NewFreeTarget(scaled(step.Estimate(), factor), left)
		if best == nil || capacity.placement.Better(t.due-now, candidate, bestTarget) {
			best, bestTarget = c, candidate
		}
	}
	return best
}

// suits reports whether the task may be started on the target if it has capacity.
func (p *Pool) suits(t *task, c *targetCapacity) bool {
	step := t.batch.step
	return c.target.rec.HasLabel(step.Label()) && (!slices.Contains(t.avoid, c.target.id()) || p.triedAllTargets(t)) &&
		!c.target.atTaskLimit(t, step.MaxPerTarget())
}

// shouldWaitForFaster reports whether the task would miss its objective on the chosen
// target, but can still meet it on a target with the lowest factor, which may have
// capacity soon.
func shouldWaitForFaster(now time.Duration, t *task, chosen *targetCapacity, minFactor float64) bool {
	estimate := float64(t.batch.step.Estimate())
	left := float64(t.due - now)
	return estimate*chosen.factor > left && estimate*minFactor*fbplacement.Margin <= left && chosen.target.health.slowdown <= slowFactor
}

// offRackFactor is how many times longer a task takes outside its preferred rack, as
// the platform specifies.
const offRackFactor = 1.5

// triedAllTargets reports whether the task has failed on all targets of the pool that could hold
// it, so that it may return to one of them.
func (p *Pool) triedAllTargets(t *task) bool {
	r := requirementOf(t.batch.service, t.batch.step)
	return !slices.ContainsFunc(p.sortedTargets, func(other *target) bool {
		return other.meets(r) && !slices.Contains(t.avoid, other.id())
	})
}

// usable reports whether tasks of the service may be started on the target.
func (p *Pool) usable(now time.Duration, t *target, service string) bool {
	return !p.evacuated && t.rec.Service() == service && t.listed && t.verified() && t.misses < maxMisses && t.clock.known && !t.rec.Draining() &&
		!t.removed && now >= max(t.fullUntil, t.unreadUntil) && p.grantsLease(now, t)
}

// atTaskLimit reports whether the target runs as many tasks of the task's step as
// allowed. A limit of 0 allows any number.
func (t *target) atTaskLimit(of *task, limit int) bool {
	if limit <= 0 {
		return false
	}
	n := 0
	for key := range t.runs {
		if key.Job() == of.key.Job() && key.Step() == of.key.Step() && key.Occurrence() == of.key.Occurrence() {
			n++
		}
	}
	return n >= limit
}

// HandleStartReply handles the reply to a start request that was sent and received at
// the given times. It is called with CallUnknown when there is no reply within the
// timeout, and again if the reply arrives late.
func (p *Pool) HandleStartReply(now time.Duration, req filbertford.StartRunRequest, reply filbertford.CallReply, sent, received time.Duration) {
	t := p.targetOf(now, req.Instance(), req.Address(), reply, sent)
	if t == nil {
		return
	}
	replied := p.handleReply(now, t, req.Address(), reply, sent, received)
	if replied {
		p.roundTrips.observe(received - sent)
	}
	r := t.runs[req.Task()]
	if r == nil || r.number != req.Run() {
		return
	}
	if !replied {
		if reply.Outcome() == filbertford.CallRestarted {
			p.startRejected(now, t, r, reply)
		}
		if reply.Outcome() == filbertford.CallUnknown && r.state == runStarting {
			r.state = runUncertain
			p.emitEvent(Event{Kind: EventStartUnanswered, Task: r.key, Target: t.id(), Run: r.number, Reason: reply.Detail(), Age: now - r.startedAt})
			t.polling = false // the target may hold the last poll, whose lists are needed now
		}
		p.poll(now, t)
		return
	}
	if reply.Outcome() == filbertford.CallDone {
		r.confirmedAt, r.startClock = received, reply.Clock()
		r.shownAt = max(r.shownAt, received)
		if r.state == runStarting || r.state == runUncertain && !r.stopWanted {
			r.state, r.progressedAt = runWorking, now
		}
		p.poll(now, t)
		return
	}
	p.startRejected(now, t, r, reply)
	p.dispatchDue = true
}

// startRejected handles the rejection of a start: the run has not started and never
// will.
func (p *Pool) startRejected(now time.Duration, t *target, r *run, reply filbertford.CallReply) {
	switch reply.Outcome() {
	case filbertford.CallStale:
		p.runNumbers[r.key] += staleRunSkip
	case filbertford.CallFull:
		t.fullUntil = now + fullBackoff
	case filbertford.CallBusy:
		if t.health.recordFailure(now, 1) {
			p.emitEvent(Event{Kind: EventTargetQuarantined, Target: t.id(), Task: r.key, Age: t.health.lastQuarantine, Reason: reply.Detail()})
		}
	case filbertford.CallInvalid:
		p.releaseRun(r)
		if r.task != nil {
			p.emitEvent(Event{Kind: EventRunEnded, Task: r.key, Target: t.id(), Run: r.number, Reason: "start rejected as malformed"})
			p.finishTask(now, r.task, StatusFailed)
		}
		return
	}
	full := t.fullUntil
	p.discardRun(now, r, "start rejected: "+string(reply.Outcome()))
	t.fullUntil = full
}

// Capacities returns the capacity of the pool by service, ordered by service name.
func (p *Pool) Capacities(now time.Duration) []Capacity {
	byService := make(map[string]*Capacity)
	rates := make(map[string]float64)
	var services []string
	for _, t := range p.sortedTargets {
		name := t.rec.Service()
		capacity := byService[name]
		if capacity == nil {
			capacity = &Capacity{service: name}
			byService[name] = capacity
			services = append(services, name)
		}
		if !p.usable(now, t, name) || !t.health.accepts(now, 0) {
			continue
		}
		cpu := p.rampedCPU(now, t)
		capacity.total += cpu
		factor := p.factorOf(t)
		rates[name] += float64(cpu) / factor
		if capacity.fastest == 0 || factor < capacity.fastest {
			capacity.fastest = factor
		}
		if free := cpu - t.used.CPU(); free > 0 && t.health.accepts(now, len(t.runs)) && t.aloneRuns == 0 && !p.reserved(t) {
			capacity.free, capacity.factors = append(capacity.free, free), append(capacity.factors, factor)
		}
	}
	slices.Sort(services)
	out := make([]Capacity, 0, len(services))
	for _, name := range services {
		capacity := byService[name]
		capacity.backlog = p.backlog(name, capacity.total)
		rate := int(rates[name])
		out = append(out, capacity.WithRate(rate, p.waitingWork(name, rate)...).WithDelay(p.delay.estimate(now)))
	}
	return out
}

// backlog returns the time that usable targets with the given total CPU need for the
// queued tasks of the service.
func (p *Pool) backlog(service string, total int) time.Duration {
	if total == 0 {
		return time.Minute
	}
	var work float64
	for _, t := range p.queue.tasks {
		if t.batch.service == service && !t.waitsForFaster && !p.suspected(t.key) {
			work += float64(t.batch.step.Estimate()) * float64(t.batch.step.Demand().CPU())
		}
	}
	return time.Duration(work / float64(total))
}

// waitingWork returns the queued tasks of the service by priority.
func (p *Pool) waitingWork(service string, rate int) []WaitingWork {
	if rate == 0 {
		return nil
	}
	work := make(map[int]float64)
	for _, t := range p.queue.tasks {
		if t.batch.service == service {
			work[t.batch.priority] += float64(t.batch.step.Estimate()) * float64(t.batch.step.Demand().CPU())
		}
	}
	out := make([]WaitingWork, 0, len(work))
	for _, priority := range slices.Sorted(maps.Keys(work)) {
		out = append(out, NewWaitingWork(priority, time.Duration(work[priority]/float64(rate))))
	}
	return out
}

// nextRunNumber returns the number of the next run of a task. Runs of stored jobs have
// odd numbers, so that an owner can distinguish them from runs of best-effort jobs that it
// finds on a target. The number is above those of the failed runs, which are counted up to a number.
func (p *Pool) nextRunNumber(now time.Duration, t *task) uint64 {
	n := max(p.runNumbers[t.key]+1, t.failures.failed.last+1, 2*uint64(p.wallOffset+now.Milliseconds()))
	if isStoredRun(n) != t.batch.stored {
		n++
	}
	p.runNumbers[t.key] = n
	return n
}

func isStoredRun(number uint64) bool { return number%2 == 1 }
