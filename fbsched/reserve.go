package fbsched

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/filbertford/filbertford"
	"github.com/filbertford/filbertford/fbqueue"
)

const (
	// backfillShare is the part of a service's usable targets that may be reserved for
	// large tasks, at least one: 1 in backfillShare.
	backfillShare = 10
	// scanPeriod is the time between two scans of the queue for large tasks. Reservations
	// are made for the ends of runs, which last ten times as long and more.
	scanPeriod = 20 * time.Millisecond
	// maxBackfillTries bounds the tasks for which a pass looks for room on reserved targets
	// without finding any, so that a pass over a long queue stays short.
	maxBackfillTries = 64
)

// backfill reserves targets for waiting tasks that fit nowhere, and starts other tasks there
// only if that doesn't delay them. A nil backfill does nothing.
type backfill struct {
	plan  filbertford.ReservationPlan
	limit int // number of targets that may be reserved
	// ordinary is the room that the next end of a run makes on half of the targets, by
	// service. Tasks that need no more get no reservation: one of the next ends is enough.
	ordinary map[string]filbertford.Resources
	nextScan time.Duration // when the queue is scanned for large tasks
	// blocked are the first tasks that were visited in this pass and fit nowhere.
	blocked []*task
	runs    []filbertford.RunOutlook // buffer of outlook
	targets []filbertford.TargetOutlook
	tries   int // number of tasks in this pass that fit on reserved targets only and didn't start
}

func newBackfill(on bool) *backfill {
	if !on {
		return nil
	}
	return &backfill{plan: fbqueue.NewPlan(), ordinary: make(map[string]filbertford.Resources)}
}

// activeReservation is a reservation that applies to the tasks that are visited in a pass.
type activeReservation struct {
	reservation filbertford.Reservation
	task        *task
	priorities  bool // tasks of a higher priority than the task's don't wait for it
	spare       filbertford.Resources
}

// permits reports whether the task may be started on the target, which is expected to run it
// until end, without delaying the task that the target is reserved for.
func (a *activeReservation) permits(t *task, end time.Duration) bool {
	return a == nil || a.task == t || a.priorities && t.batch.priority < a.task.batch.priority || end <= a.reservation.At() || t.batch.step.Demand().Fits(a.spare)
}

// occupy records that a task was started on the target.
func (a *activeReservation) occupy(r *run) {
	if a != nil && r.startedAt+r.expected > a.reservation.At() {
		a.spare = a.spare.Sub(r.demand)
	}
}

// beginPass ends the reservations whose reason has gone, before waiting tasks are visited. The
// others apply from the start, also to more urgent tasks of the same priority, so that a task
// starts when its target is free: they hold few targets for a short time. Those of tasks that couldn't meet their
// objective any more apply only to tasks that are visited later.
func (b *backfill) beginPass(p *Pool, now time.Duration, capacities map[string]*serviceCapacity, inTime func(*task) bool) {
	if b == nil {
		return
	}
	b.blocked, b.tries, b.limit = b.blocked[:0], 0, 0
	for _, c := range capacities {
		b.limit += len(c.targets)
	}
	b.limit = max(1, b.limit/backfillShare)
	for _, r := range b.plan.All() {
		t := p.tasks[r.Task()]
		if t == nil || t.run != nil || !t.reserved {
			b.end(p, now, r, "the task has left the queue")
			continue
		}
		capacity := capacities[t.batch.service]
		c := capacity.of(r.Target())
		switch {
		case now > r.Until():
			b.end(p, now, r, "the target is not free in time")
			if inTime(t) {
				b.blocked = append(b.blocked, t)
			}
		case p.suspected(t.key) || !p.startable(now, t):
			b.end(p, now, r, "the task must not start")
		case c == nil || c.closed || !p.suits(t, c) || !t.batch.step.Demand().Fits(c.target.rec.Capacity()):
			b.end(p, now, r, "the target is not usable")
		case t.reservedInTime:
			b.apply(p, now, t, r, c)
		}
	}
	b.reserveForBlocked(p, now, capacities) // may choose the same target if it is still the best
	for _, c := range capacities {
		c.updateMaxFree()
	}
	if now >= b.nextScan {
		b.nextScan = now + scanPeriod
		b.updateOrdinary(p, now, capacities)
		b.scan(p, now, capacities, inTime)
	}
}

// scan reserves targets for the first waiting tasks that fit nowhere and can meet their
// objective. Without it, a task would get a reservation only when all tasks before it
// have been started and it is nearly too late.
func (b *backfill) scan(p *Pool, now time.Duration, capacities map[string]*serviceCapacity, inTime func(*task) bool) {
	p.queue.order.Visit(now, p.queue.tasks, inTime, func(t *task) bool {
		if capacity := capacities[t.batch.service]; capacity != nil && inTime(t) && !t.reserved && !b.mayFit(t, capacity) {
			b.wait(p, now, t, capacity)
		}
		return len(b.plan.All())-b.late(p)+len(b.blocked) < b.limit
	})
	b.reserveForBlocked(p, now, capacities)
}

// apply makes a reservation apply to the tasks that are visited from now on.
func (b *backfill) apply(p *Pool, now time.Duration, t *task, r filbertford.Reservation, c *targetCapacity) {
	b.runs = b.runs[:0]
	byPriority := p.scheduling.Order() == filbertford.OrderByPriority
	c.reservation = &activeReservation{reservation: r, task: t, priorities: byPriority, spare: r.Spare(b.outlook(p, now, c))}
}

func (b *backfill) end(p *Pool, now time.Duration, r filbertford.Reservation, reason string) {
	b.plan.Release(r.Task())
	if t := p.tasks[r.Task()]; t != nil {
		t.reserved = false
	}
	p.emitEvent(Event{Kind: EventReservationEnded, Task: r.Task(), Target: r.Target(), Reason: reason, Age: now - r.Made()})
}

// started ends the reservation for a task that was started.
func (b *backfill) started(p *Pool, now time.Duration, t *task, c *targetCapacity) {
	if b == nil {
		return
	}
	if r, ok := b.plan.ForTask(t.key); ok && t.reserved {
		b.plan.Release(t.key)
		t.reserved = false
		reason := "on another target"
		if r.Target() == c.target.id() {
			reason = "on the reserved target"
			c.reservation = nil
		}
		p.emitEvent(Event{Kind: EventReservationUsed, Task: t.key, Target: c.target.id(), Reason: reason, Age: now - r.Made()})
	}
	if c.reservation != nil {
		p.emitEvent(Event{Kind: EventRunBackfilled, Task: t.key, Target: c.target.id(), Run: t.run.number, Age: now - t.queuedAt})
	}
	c.reservation.occupy(t.run)
}

// wait records that a task fits nowhere. Its reservation applies to the tasks that are visited
// after it.
func (b *backfill) wait(p *Pool, now time.Duration, t *task, capacity *serviceCapacity) {
	switch {
	case b == nil:
	case t.reserved:
		r, _ := b.plan.ForTask(t.key)
		if c := capacity.of(r.Target()); c != nil && c.reservation == nil {
			b.apply(p, now, t, r, c)
			capacity.updateMaxFree()
		}
	case len(b.blocked) < b.limit && b.needsReservation(t) && !p.suspected(t.key) && p.startable(now, t):
		b.blocked = append(b.blocked, t)
	}
}

// late returns the number of reservations for tasks that couldn't meet their objective any
// more when they got it.
func (b *backfill) late(p *Pool) int {
	n := 0
	for _, r := range b.plan.All() {
		if t := p.tasks[r.Task()]; t == nil || !t.reservedInTime {
			n++
		}
	}
	return n
}

// endLate ends the last reservation for a task that couldn't meet its objective any more, in
// favour of one that can, and reports whether there was one.
func (b *backfill) endLate(p *Pool, now time.Duration, favoured *task, capacities map[string]*serviceCapacity) bool {
	if now+scaled(favoured.batch.step.Estimate(), capacities[favoured.batch.service].minFactor) > favoured.due {
		return false
	}
	for _, r := range slices.Backward(b.plan.All()) {
		t := p.tasks[r.Task()]
		if t != nil && t.reservedInTime {
			continue
		}
		if t != nil {
			if c := capacities[t.batch.service].of(r.Target()); c != nil {
				c.reservation = nil
			}
		}
		b.end(p, now, r, "a task that can meet its objective needs it")
		return true
	}
	return false
}

// updateOrdinary determines ordinary.
func (b *backfill) updateOrdinary(p *Pool, now time.Duration, capacities map[string]*serviceCapacity) {
	clear(b.ordinary)
	b.runs = b.runs[:0]
	for service, capacity := range capacities {
		rooms := make([]filbertford.Resources, 0, len(capacity.targets))
		for i := range capacity.targets {
			if c := &capacity.targets[i]; !c.closed {
				rooms = append(rooms, b.outlook(p, now, c).AfterNextEnd())
			}
		}
		if len(rooms) > 0 {
			slices.SortFunc(rooms, func(a, b filbertford.Resources) int { return cmp.Compare(a.CPU(), b.CPU()) })
			b.ordinary[service] = rooms[len(rooms)/2]
		}
	}
}

// needsReservation reports whether the task would have to wait for several runs to end on one
// target, or for certain targets.
func (b *backfill) needsReservation(t *task) bool {
	step := t.batch.step
	return step.Label() != "" || len(t.avoid) > 0 || step.MaxPerTarget() > 0 || !step.Demand().Fits(b.ordinary[t.batch.service])
}

// beforeStart reserves targets for the tasks that were visited before and fit nowhere, now
// that another one is about to be started. It reports whether it has reserved any.
func (b *backfill) beforeStart(p *Pool, now time.Duration, capacities map[string]*serviceCapacity) bool {
	return b != nil && b.reserveForBlocked(p, now, capacities)
}

// reserveForBlocked reserves targets for the blocked tasks, and reports whether it has
// reserved any.
func (b *backfill) reserveForBlocked(p *Pool, now time.Duration, capacities map[string]*serviceCapacity) bool {
	reserved := false
	for _, t := range b.blocked {
		if len(b.plan.All()) >= b.limit && !b.endLate(p, now, t, capacities) {
			break
		}
		step, capacity := t.batch.step, capacities[t.batch.service]
		b.targets, b.runs = b.targets[:0], b.runs[:0]
		for i := range capacity.targets {
			if c := &capacity.targets[i]; !c.closed && p.suits(t, c) && step.Demand().Fits(c.target.rec.Capacity()) {
				b.targets = append(b.targets, b.outlook(p, now, c))
			}
		}
		r, ok := b.plan.Reserve(now, filbertford.NewLargeTask(t.key, step.Demand(), step.Estimate(), t.due), b.targets)
		if !ok {
			continue
		}
		p.emitEvent(Event{
			Kind: EventTargetReserved, Task: t.key, Target: r.Target(), Age: now - t.queuedAt,
			Reason: fmt.Sprintf("%d thousandths of a core, free in %v", step.Demand().CPU(), (r.At() - now).Round(time.Millisecond)),
		})
		t.reserved, t.reservedInTime, reserved = true, now+scaled(step.Estimate(), capacity.minFactor) <= t.due, true
		b.wait(p, now, t, capacity)
	}
	b.blocked = b.blocked[:0]
	return reserved
}

// mayFit reports whether it is worth looking for a target for the task.
func (b *backfill) mayFit(t *task, capacity *serviceCapacity) bool {
	demand := t.batch.step.Demand()
	return demand.Fits(capacity.maxFree) && (b == nil || b.tries < maxBackfillTries || t.reserved || demand.Fits(capacity.openFree))
}

// unusableGap is added to the size of a gap that no waiting task could use.
const unusableGap = 1 << 40

// gap returns the CPU that is left on a target, as a cost: the smallest gap that a waiting task
// could use is preferred, then the smallest other one.
func (b *backfill) gap(p *Pool, left int) int {
	if b == nil || left == 0 || left >= p.queue.minCPU {
		return left
	}
	return left + unusableGap
}

// chooseFreeTarget returns the target on which the task is to be started, or nil if none has
// capacity or if the task waits for a faster one.
func (p *Pool) chooseFreeTarget(now time.Duration, t *task, capacity *serviceCapacity, capacities map[string]*serviceCapacity) *targetCapacity {
	chosen := p.chooseTarget(now, t, capacity)
	t.waitsForFaster = chosen != nil && shouldWaitForFaster(now, t, chosen, capacity.minFactor)
	if chosen != nil && !t.waitsForFaster && p.backfill.beforeStart(p, now, capacities) {
		chosen = p.chooseTarget(now, t, capacity)
		t.waitsForFaster = chosen != nil && shouldWaitForFaster(now, t, chosen, capacity.minFactor)
	}
	if chosen == nil {
		p.backfill.missed(t, capacity)
		p.backfill.wait(p, now, t, capacity)
	}
	return chosen
}

// missed counts a task that fits on reserved targets only and can't start there.
func (b *backfill) missed(t *task, capacity *serviceCapacity) {
	if b != nil && !t.batch.step.Demand().Fits(capacity.openFree) {
		b.tries++
	}
}

func scaled(d time.Duration, factor float64) time.Duration {
	return time.Duration(float64(d) * factor)
}

// outlook returns the expected ends of the runs on a target, which it appends to runs.
func (b *backfill) outlook(p *Pool, now time.Duration, c *targetCapacity) filbertford.TargetOutlook {
	first := len(b.runs)
	for _, r := range c.target.runs {
		b.runs = append(b.runs, filbertford.NewRunOutlook(r.demand, r.expected, p.expectedEnd(now, r, c.factor)))
	}
	return filbertford.NewTargetOutlook(c.target.id(), c.free, c.factor, b.runs[first:len(b.runs):len(b.runs)]...)
}

// expectedEnd returns when a run is expected to end. One that is overdue is expected to take
// as long again as it is late: an estimate that was wrong says nothing about the rest.
func (p *Pool) expectedEnd(now time.Duration, r *run, factor float64) time.Duration {
	end := r.startedAt + r.expected
	if r.expected == 0 { // an earlier owner started it
		if r.task == nil {
			return now + leaseDuration
		}
		left := float64(r.task.batch.step.Estimate()) * factor * float64(100-r.percent) / 100
		end = r.progressedAt + time.Duration(left)
	}
	if end < now {
		return now + (now - end)
	}
	return end
}

// of returns the capacity of a target, nil if the target accepts no tasks.
func (c *serviceCapacity) of(id filbertford.TargetID) *targetCapacity {
	if c == nil {
		return nil
	}
	i, ok := slices.BinarySearchFunc(c.targets, id, func(t targetCapacity, id filbertford.TargetID) int {
		switch other := t.target.id(); {
		case other < id:
			return -1
		case other > id:
			return 1
		}
		return 0
	})
	if !ok {
		return nil
	}
	return &c.targets[i]
}
