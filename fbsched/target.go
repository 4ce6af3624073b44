package fbsched

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/filbertford/filbertford"
)

// target is what a pool knows of one life of a target.
type target struct {
	rec         filbertford.TargetRecord
	removed     bool // the record went away
	listed      bool // the lists were read with the pool's fence
	listedAt    time.Duration
	clock       targetClock
	leaseExpiry int64 // the latest end of a lease that was sent
	seen        uint64
	acked       uint64
	unconfirmed map[uint64]Confirm          // ends of stored jobs that are not recorded
	unclaimed   map[uint64]unclaimedOutcome // ends of stored jobs that nobody claims
	polling     bool
	pollSent    time.Duration
	polledAt    time.Duration // when the last look ended
	lastReply   time.Duration
	misses      int
	runs        map[filbertford.TaskKey]*run
	used        filbertford.Resources
	health      health
	fullUntil   time.Duration // no start before this time, for want of room
}

// unclaimedOutcome is the end of a run that an earlier owner began.
type unclaimedOutcome struct {
	task   filbertford.TaskKey
	expiry time.Duration // when the target may forget it
}

// runState tells how far a run is.
type runState string

const (
	runStarting  runState = "starting" // no answer to the start yet
	runWorking   runState = "working"  // started, or listed as running
	runUncertain runState = "doubtful" // the start was not answered in time
)

// run is a run of a task on a target. A run without a task is an orphan, or is
// being stopped.
type run struct {
	target       *target
	key          filbertford.TaskKey
	number       uint64
	task         *task
	state        runState
	demand       filbertford.Resources
	startedAt    time.Duration
	confirmedAt  time.Duration // when the target answered the start
	expected     time.Duration
	leaseExpiry  int64 // the end of the start's own lease on the target's clock
	listed       bool
	percent      int
	progressedAt time.Duration // when the percent last rose
	stopSentAt   time.Duration
	// stopConfirmedAt is when the target confirmed a stop: a look sent later that does
	// not list the run proves that it never runs.
	stopConfirmedAt time.Duration
	stopWanted      bool // a stop is wanted
}

func (t *target) id() filbertford.TargetID { return t.rec.Instance().ID() }

// adoptable reports whether another task record may take the run over.
func (r *run) adoptable() bool { return r.task == nil && !r.stopWanted }

// SetDeparted names targets that have left the pool without announcing it, and may
// still run tasks of an earlier owner.
func (p *Pool) SetDeparted(ids []filbertford.TargetID) {
	for _, id := range ids {
		p.departed[id] = true
	}
}

// SetTargets replaces the records of the pool's targets.
func (p *Pool) SetTargets(now time.Duration, records []filbertford.TargetRecord) {
	present := make(map[filbertford.TargetID]bool, len(records))
	for _, rec := range records {
		id := rec.Instance().ID()
		present[id] = true
		p.setTarget(now, rec)
	}
	for _, t := range p.order {
		if !present[t.id()] && !t.removed {
			t.removed = true
			p.emitEvent(Event{Kind: EventTargetRemoved, Target: t.id(), Age: now - t.lastReply})
		}
	}
	p.capacityChanged, p.dispatchDue = true, true
}

func (p *Pool) setTarget(now time.Duration, rec filbertford.TargetRecord) {
	id := rec.Instance().ID()
	t := p.targets[id]
	if t != nil && rec.Instance().StartedAt() != 0 && t.rec.Instance().StartedAt() != rec.Instance().StartedAt() {
		if rec.Instance().StartedAt() < t.rec.Instance().StartedAt() {
			return // an older life's record, read late
		}
		p.targetRestarted(now, t)
		p.removeTarget(t)
		t = nil
	}
	if t != nil {
		if rec.Draining() && !t.rec.Draining() {
			p.emitEvent(Event{Kind: EventTargetDraining, Target: id})
		}
		t.rec, t.removed = rec, false
		return
	}
	t = &target{
		rec: rec, runs: make(map[filbertford.TaskKey]*run), unconfirmed: make(map[uint64]Confirm),
		unclaimed: make(map[uint64]unclaimedOutcome),
		lastReply: now,
	}
	p.targets[id] = t
	p.order = append(p.order, t)
	slices.SortFunc(p.order, func(a, b *target) int { return cmp.Compare(a.id(), b.id()) })
	p.emitEvent(Event{Kind: EventTargetAdded, Target: id, Reason: rec.MachineKind()})
	p.poll(now, t)
}

func (p *Pool) removeTarget(t *target) {
	if !t.listed {
		p.departed[t.id()] = true
	}
	delete(p.targets, t.id())
	p.order = slices.DeleteFunc(p.order, func(o *target) bool { return o == t })
	p.capacityChanged = true
}

// targetRestarted ends all runs of a life that is over.
func (p *Pool) targetRestarted(now time.Duration, t *target) {
	for _, r := range sortedRuns(t.runs) {
		p.discardRun(now, r, "target restarted")
	}
}

// tickTarget does what time demands of one target.
func (p *Pool) tickTarget(now time.Duration, t *target) {
	if t.removed && len(t.runs) == 0 && !t.polling {
		p.removeTarget(t)
		return
	}
	p.expireLeases(now, t)
	p.stopUnclaimedRuns(now, t)
	for _, r := range sortedRuns(t.runs) {
		if r.stopWanted && r.stopConfirmedAt == 0 && now-r.stopSentAt > retryInterval {
			p.sendStop(now, r)
		}
		p.checkProgress(now, r)
	}
	t.health.decay(now)
	maps.DeleteFunc(t.unclaimed, func(_ uint64, e unclaimedOutcome) bool { return now >= e.expiry })
	if !t.polling && (t.misses == 0 || now-t.polledAt > retryInterval) {
		p.poll(now, t)
	}
}

// expireLeases ends the runs of a target that has not answered for as long as
// its leases can last.
func (p *Pool) expireLeases(now time.Duration, t *target) {
	if t.misses == 0 || len(t.runs) == 0 || !t.clock.known || t.clock.earliest(now) <= t.leaseExpiry {
		return
	}
	p.emitEvent(Event{Kind: EventTargetLeasesExpired, Target: t.id(), Age: now - t.lastReply})
	for _, r := range sortedRuns(t.runs) {
		p.discardRun(now, r, "lease ran out")
	}
}

func (p *Pool) stopUnclaimedRuns(now time.Duration, t *target) {
	if !t.listed || now-t.listedAt < adoptionTimeout {
		return
	}
	for _, r := range sortedRuns(t.runs) {
		if r.task == nil && !r.stopWanted {
			p.stopRun(now, r, "nobody claims it")
		}
	}
}

// poll asks a target for its lists if there is a reason to. The lease of one
// that does not answer is not prolonged, so that its runs come to an end.
func (p *Pool) poll(now time.Duration, t *target) {
	if t.polling || t.listed && len(t.runs) == 0 && t.lastAckable() == t.acked && t.misses == 0 {
		return
	}
	if now-t.polledAt < t.pollBackoff() {
		return
	}
	var lease int64
	var wait time.Duration
	if t.clock.known && len(t.runs) > 0 && t.misses == 0 {
		lease = t.clock.estimate(now) + leaseDuration.Milliseconds()
		t.leaseExpiry = max(t.leaseExpiry, lease)
	}
	if t.listed && t.misses == 0 && len(t.runs) > 0 {
		wait = t.pollWait(now)
	}
	t.polling, t.pollSent = true, now
	p.emit(PollCall{Order: filbertford.NewPollRequest(t.rec.Instance(), t.rec.Address(), p.fence, t.lastAckable(), lease, wait)})
}

// pollBackoff returns the time between two looks while the target answers at once
// with the ends that it has to keep.
func (t *target) pollBackoff() time.Duration {
	switch {
	case len(t.unconfirmed) > 0:
		return minPollInterval
	case len(t.unclaimed) > 0:
		return unclaimedPollInterval
	}
	return 0
}

// pollWait returns how long the target may hold back its answer if no run
// ends.
func (t *target) pollWait(now time.Duration) time.Duration {
	wait := maxPollWait
	for _, r := range t.runs {
		wait = min(wait, r.nextProgressCheck(now))
	}
	return max(wait, minPollInterval)
}

// HandlePollReply takes in the answer to a look that was sent and received at the
// given times.
func (p *Pool) HandlePollReply(now time.Duration, o filbertford.PollRequest, r filbertford.CallReply, sent, received time.Duration) {
	t := p.targetOf(o.Instance())
	if t == nil {
		return
	}
	t.polling, t.polledAt = false, now
	if !p.handleReply(now, t, r, sent, received) {
		return
	}
	if r.Outcome() == filbertford.CallDone {
		t.acked = max(t.acked, o.Acked())
		p.applyLists(now, t, r, sent)
	}
	p.poll(now, t)
	p.checkAllListed(now)
	p.dispatchDue = true
}

// handleReply takes in what every answer tells, and reports whether there was one
// from this life of the target.
func (p *Pool) handleReply(now time.Duration, t *target, r filbertford.CallReply, sent, received time.Duration) bool {
	switch r.Outcome() {
	case filbertford.CallUnknown:
		if t.misses++; t.misses == 1 {
			p.emitEvent(Event{Kind: EventTargetUnreachable, Target: t.id(), Reason: r.Detail(), Age: now - t.lastReply})
			p.capacityChanged = true
		}
		return false
	case filbertford.CallFenced:
		p.emitEvent(Event{Kind: EventPoolFenced, Target: t.id(), Age: now - p.created})
		p.emit(PoolLost{Pool: p.id})
		return false
	case filbertford.CallRestarted:
		p.targetRestarted(now, t)
		p.removeTarget(t)
		p.emitEvent(Event{Kind: EventTargetRemoved, Target: t.id(), Reason: "another life answered"})
		return false
	}
	if t.misses > 0 {
		p.emitEvent(Event{Kind: EventTargetReachable, Target: t.id(), Age: now - t.lastReply})
		t.misses, p.capacityChanged = 0, true
	}
	t.clock.update(r.Clock(), sent, received)
	t.lastReply = received
	return true
}

func (p *Pool) targetOf(b filbertford.TargetInstance) *target {
	t := p.targets[b.ID()]
	if t == nil || t.rec.Instance() != b {
		return nil
	}
	return t
}

// startTimeout is the time that a target has to answer a start or a stop: many
// times the way there and back, and short against a task.
const startTimeout = 80 * time.Millisecond

// pollMargin is the time that a target has to answer a look after its wait.
const pollMargin = 250 * time.Millisecond

// StartTimeout returns the time that a target has to answer a start or a stop.
func StartTimeout() time.Duration { return startTimeout }

// PollTimeout returns the time that a target has to answer a look.
func PollTimeout(o filbertford.PollRequest) time.Duration { return o.Wait() + pollMargin }

// discardRun ends a run that surely is not and will not be at work.
func (p *Pool) discardRun(now time.Duration, r *run, reason string) {
	p.releaseRun(r)
	if r.task != nil {
		p.requeueTask(now, r.task, reason)
	}
}

// releaseRun gives back the room of a run that is over.
func (p *Pool) releaseRun(r *run) {
	t := r.target
	delete(t.runs, r.key)
	t.used = t.used.Sub(r.demand)
	if p.activeRuns[r.key] == r {
		delete(p.activeRuns, r.key)
	}
	t.fullUntil, p.capacityChanged = 0, true
}

// stopRun asks for the end of a run. Its room is free when the target lists the
// end.
func (p *Pool) stopRun(now time.Duration, r *run, reason string) {
	if r.stopWanted {
		return
	}
	r.stopWanted = true
	p.emitEvent(Event{Kind: EventRunStopped, Task: r.key, Target: r.target.id(), Run: r.number, Reason: reason, Age: now - r.startedAt})
	p.sendStop(now, r)
}

func (p *Pool) sendStop(now time.Duration, r *run) {
	t := r.target
	r.stopSentAt = now
	p.emit(StopCall{Order: filbertford.NewStopRunRequest(t.rec.Instance(), t.rec.Address(), r.key, r.number, p.fence)})
}

// HandleStopReply takes in the answer to a stop.
func (p *Pool) HandleStopReply(now time.Duration, o filbertford.StopRunRequest, reply filbertford.CallReply, sent, received time.Duration) {
	t := p.targetOf(o.Instance())
	if t == nil || !p.handleReply(now, t, reply, sent, received) {
		return
	}
	if r := t.runs[o.Task()]; r != nil && r.number == o.Run() && reply.Outcome() == filbertford.CallDone {
		r.stopConfirmedAt = received
	}
	p.poll(now, t)
}

func sortedRuns(runs map[filbertford.TaskKey]*run) []*run {
	if len(runs) == 0 {
		return nil
	}
	out := make([]*run, 0, len(runs))
	for _, r := range runs {
		out = append(out, r)
	}
	slices.SortFunc(out, compareRuns)
	return out
}

func compareRuns(a, b *run) int {
	if c := cmp.Compare(a.number, b.number); c != 0 {
		return c
	}
	return a.key.Compare(b.key)
}
