package fbsched

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/filbertford/filbertford"
)

// target is a pool's view of one instance of a target. lastSequence is the highest
// sequence number of the target's ended runs, acked the one up to which the target has
// discarded them. misses counts calls without a reply since the last reply.
type target struct {
	rec             filbertford.TargetRecord
	read            filbertford.TargetRecord // the last record as the store has it
	rejected        filbertford.TargetRecord // the last record at whose address another target replied
	address         string                   // at which the target has replied, empty if it has not
	startedAt       int64                    // in Unix milliseconds, by the record or the replies; 0 if unknown
	verifiedAt      time.Duration            // when the last call was sent whose reply has shown startedAt, 0 if none has
	askedFor        int64                    // start time in a record because of which the target was asked for its own
	askedAt         time.Duration
	earlier         []int64       // start times of the earlier instances that the pool knows
	restarted       bool          // it has started again since the pool knows it
	unreadUntil     time.Duration // when it gets tasks although its record hasn't been read, 0 if that has
	removed         bool          // the record has been removed
	listed          bool          // its lists were read with the pool's fencing token
	listedAt        time.Duration
	clock           targetClock
	leaseExpiry     int64         // the latest that was sent, on the target's clock
	leaseSentAt     time.Duration // when a lease was last sent
	leasesUntil     time.Duration // when leases that were sent to an earlier instance have expired
	lastSequence    uint64
	acked           uint64
	unconfirmed     map[uint64]Confirm          // outcomes of stored jobs' runs that are not recorded, by sequence
	unclaimed       map[uint64]unclaimedOutcome // outcomes of stored jobs' runs without a task, by sequence
	polling         bool                        // the poll with the number pollNumber is not answered yet
	pollNumber      uint64                      // of the last poll that was sent
	pollSent        time.Duration
	pollWait        time.Duration // how long the target may hold it
	pollUnleased    bool          // it extends no lease
	polledAt        time.Duration // when the last poll ended
	listClock       int64         // the target's clock when it wrote the lists that were last applied
	listsAt         time.Duration // when they were applied
	listsSent       time.Duration // when the last answered poll was sent
	lastReply       time.Duration
	listedSinceMiss bool // a poll has been answered since the last call without a reply
	misses          int
	runs            map[filbertford.TaskKey]*run
	limitedRuns     int // number of runs whose lease is limited
	aloneRuns       int // number of runs that other tasks are kept from
	reservedFor     *task
	used            filbertford.Resources
	health          health
	coldUntil       time.Duration // by its record
	fullUntil       time.Duration // no tasks are started before, because the target was full
}

// unclaimedOutcome is the outcome of a run whose task no coordinator has offered to
// this owner.
type unclaimedOutcome struct {
	task      filbertford.TaskKey
	failedRun uint64        // number of the run, 0 if it is done
	expiry    time.Duration // when the target may discard it
}

// runState is the state of a run.
type runState string

const (
	runStarting  runState = "starting" // the start has not been answered yet
	runWorking   runState = "working"  // started, or listed as running
	runUncertain runState = "doubtful" // the start was not answered in time
)

// run is a run of a task on a target. A run without a task is unclaimed, since no
// coordinator has offered its task, or is being stopped.
type run struct {
	target       *target
	key          filbertford.TaskKey
	number       uint64
	task         *task
	state        runState
	demand       filbertford.Resources
	startedAt    time.Duration
	confirmedAt  time.Duration // when the target answered the start
	startClock   int64         // reading of the target's clock then, 0 if unknown
	shownAt      time.Duration // when the last reply that shows the run was received
	expected     time.Duration
	leaseExpiry  int64 // of the lease sent with the start, on the target's clock
	listed       bool
	percent      int
	progressedAt time.Duration // when percent last increased
	stopSentAt   time.Duration
	// stopConfirmedAt is when the target confirmed a stop. If the reply to a poll sent
	// later does not list the run, the run will never start.
	stopConfirmedAt time.Duration
	stopWanted      bool          // the run is to be stopped
	second          bool          // it was found while another run had the task
	alone           bool          // no other task is started on the target meanwhile
	onLiveTarget    bool          // the target had answered shortly before the start
	lossKept        bool          // its loss with the target counts if the target has crashed
	leaseLimit      time.Duration // when the run must have ended, 0 if it has a task
}

func (t *target) id() filbertford.TargetID { return t.rec.Instance().ID() }

// adoptable reports whether the run may be assigned to a task.
func (r *run) adoptable() bool { return r.task == nil && !r.stopWanted }

// SetDeparted adds targets whose records were removed although they were not draining,
// and that may still run tasks of an earlier owner.
func (p *Pool) SetDeparted(records []filbertford.TargetRecord) {
	for _, rec := range records {
		p.departed[rec.Instance().ID()] = rec
	}
}

// unlistedMayRun reports whether a target that the pool doesn't know by a record may execute runs of an
// earlier owner. One that left the pool before it was listed may: no target that started later has been
// listed at its address. So may one that replied at an address and has not been listed. After
// listTimeout no task waits for them any more.
func (p *Pool) unlistedMayRun(now time.Duration) bool {
	if now-p.createdAt >= listTimeout {
		return false
	}
	if len(p.unlistedAddresses) > 0 {
		return true
	}
	for _, rec := range p.departed {
		startedAt := rec.Instance().StartedAt()
		replaced := startedAt != 0 && slices.ContainsFunc(p.sortedTargets, func(t *target) bool {
			return t.listed && !t.removed && t.rec.Address() == rec.Address() && t.startedAt > startedAt
		})
		if !replaced {
			return true
		}
	}
	return false
}

// noteUnlisted records that another target than the called one replied at the address. An earlier owner
// may have used it, whatever the records say: one that the store has carried out late names the
// address of an earlier instance.
func (p *Pool) noteUnlisted(now time.Duration, called *target, address string) {
	switch {
	case now-p.createdAt >= listTimeout:
	case called.listed && called.address == address: // the one that replied has started since
	case slices.ContainsFunc(p.sortedTargets, func(t *target) bool { return t.listed && t.address == address }):
	default:
		p.unlistedAddresses[address] = true
		if now-p.createdAt < earlierRunTimeout {
			p.allListed = false
		}
	}
}

// SetTargets replaces the records of the pool's targets.
func (p *Pool) SetTargets(now time.Duration, records []filbertford.TargetRecord) {
	if len(p.sortedTargets) == 0 && !p.surveyed {
		p.surveyFrom = max(p.surveyFrom, now) // the survey begins with the first targets
	}
	present := make(map[filbertford.TargetID]bool, len(records))
	for _, rec := range records {
		id := rec.Instance().ID()
		present[id] = true
		p.setTarget(now, rec)
	}
	for _, t := range p.sortedTargets {
		if !present[t.id()] && !t.removed {
			t.removed = true
			p.emitEvent(Event{Kind: EventTargetRemoved, Target: t.id(), Age: now - t.lastReply})
		}
	}
	p.capacityChanged, p.dispatchDue = true, true
}

func (p *Pool) setTarget(now time.Duration, rec filbertford.TargetRecord) {
	rec = rec.WithCapacity(rec.Capacity().Clamp(maxCapacity))
	id := rec.Instance().ID()
	t := p.targets[id]
	if t != nil {
		t.read = rec
		if rec.Instance() == t.rejected.Instance() && rec.Address() == t.rejected.Address() {
			rec = rec.WithAddress(t.rec.Address())
		}
		switch startedAt := rec.Instance().StartedAt(); {
		case startedAt == 0:
			rec = rec.WithStartedAt(t.rec.Instance().StartedAt())
		case t.startedAt == 0:
			t.startedAt = startedAt
		case startedAt == t.startedAt:
			t.unreadUntil = 0
		case slices.Contains(t.earlier, startedAt):
			return // a late record of an earlier instance, or the store has no newer one yet
		case t.verifiedAt == 0 && startedAt > t.startedAt:
			p.poll(now, p.replaceInstance(now, t, rec, "record"))
			return
		default:
			p.askStartTime(now, t, startedAt)
			t.rec, t.removed = t.rec.WithAddress(rec.Address()), false
			return
		}
		if rec.Draining() && !t.rec.Draining() {
			p.emitEvent(Event{Kind: EventTargetDraining, Target: id})
		}
		t.setColdFor(now, rec.ColdFor())
		t.rec, t.removed = rec, false
		return
	}
	if ended, ok := p.endedTargets[id]; ok && ended.startedAt != 0 && rec.Instance().StartedAt() == ended.startedAt {
		return // its record is removed later
	}
	t = newTarget(now, rec)
	if now-p.createdAt < earlierRunTimeout {
		p.allListed = false // an earlier owner may have used it
	}
	p.targets[id] = t
	p.sortedTargets = append(p.sortedTargets, t)
	slices.SortFunc(p.sortedTargets, func(a, b *target) int { return cmp.Compare(a.id(), b.id()) })
	p.emitEvent(Event{Kind: EventTargetAdded, Target: id, Started: rec.Instance().StartedAt(), Reason: rec.MachineKind()})
	p.poll(now, t)
}

func newTarget(now time.Duration, rec filbertford.TargetRecord) *target {
	return &target{
		rec: rec, read: rec, startedAt: rec.Instance().StartedAt(), lastReply: now, coldUntil: now + rec.ColdFor(),
		runs:        make(map[filbertford.TaskKey]*run),
		unconfirmed: make(map[uint64]Confirm),
		unclaimed:   make(map[uint64]unclaimedOutcome),
	}
}

func (p *Pool) removeTarget(t *target) {
	if !t.listed {
		p.departed[t.id()] = t.rec.WithStartedAt(t.startedAt)
	}
	delete(p.targets, t.id())
	p.sortedTargets = slices.DeleteFunc(p.sortedTargets, func(o *target) bool { return o == t })
	p.capacityChanged = true
}

// targetReplaced removes a target at whose address another one replies. The target has
// ended and carries out no more calls.
func (p *Pool) targetReplaced(now time.Duration, t *target) {
	runs := sortedRuns(t.runs)
	for _, r := range runs {
		p.runLost(now, r, len(runs)-1, lossCrashed, "target restarted")
		p.discardRun(now, r, "target restarted")
	}
	p.removeTarget(t)
	p.targetEnded(now, t)
	delete(p.departed, t.id()) // the one that replied is waited for instead, see noteUnlisted
	p.emitEvent(Event{Kind: EventTargetRemoved, Target: t.id(), Started: t.startedAt, Reason: "another target replied at its address"})
}

// tickTarget handles what depends on time for one target. It removes a target whose
// record has been removed and that has no runs, unless it may still reply to a poll.
func (p *Pool) tickTarget(now time.Duration, t *target) {
	if t.removed && len(t.runs) == 0 && (!t.polling || t.misses >= maxMisses) {
		p.removeTarget(t)
		if !t.rec.Draining() {
			p.confirmLosses(now, t, lossRemoved)
		}
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
	maps.DeleteFunc(t.unclaimed, func(_ uint64, u unclaimedOutcome) bool { return now >= u.expiry })
	p.replaceLatePoll(now, t)
	if !t.polling && (t.misses <= 1 || now-t.polledAt > retryInterval) {
		p.poll(now, t)
	}
}

// expireLeases discards the runs of a target that has not answered for so long that
// all leases sent to it have expired. If this instance of the target has never answered,
// its clock is unknown, and the runs may be started until lateCallTimeout.
func (p *Pool) expireLeases(now time.Duration, t *target) {
	if t.misses == 0 || len(t.runs) == 0 || now < t.leasesUntil {
		return
	}
	if t.clock.known && t.clock.earliest(now) <= t.leaseExpiry || !t.clock.known && now-t.lastReply < lateCallTimeout+maxLease {
		return
	}
	runs := sortedRuns(t.runs)
	expired := slices.DeleteFunc(slices.Clone(runs), func(r *run) bool { return now < p.unlistedUntil(t, r) })
	if len(expired) == 0 {
		return
	}
	p.emitEvent(Event{
		Kind: EventTargetLeasesExpired, Target: t.id(), Started: t.rec.Instance().StartedAt(), Fence: p.fence,
		Reason: fmt.Sprintf("leases end at %d by its clock, now at least %d", t.leaseExpiry, t.clock.earliest(now)), Age: now - t.lastReply,
	})
	for _, r := range expired {
		p.runLost(now, r, len(runs)-1, lossSilent, "lease expired")
		p.discardRun(now, r, "lease expired")
	}
}

// unlistedUntil returns how long a run that the target has not listed may last, if an instance that
// started unnoticed has carried the start out. By its clock, the lease may be far ahead; it then
// grants maxLease.
func (p *Pool) unlistedUntil(t *target, r *run) time.Duration {
	if r.listed {
		return 0
	}
	return t.leaseSentAt + maxElapsed(maxLease) + p.roundTrips.callTimeout()
}

// discardRun removes a run that is certainly not executing and never will be, and
// queues its task again.
func (p *Pool) discardRun(now time.Duration, r *run, reason string) {
	p.releaseRun(r)
	if r.task != nil {
		p.requeueTask(now, r.task, reason)
	}
}

// releaseRun removes a run that has ended and frees its capacity.
func (p *Pool) releaseRun(r *run) {
	t := r.target
	r.unlimit()
	if r.alone {
		t.aloneRuns--
	}
	delete(t.runs, r.key)
	t.used = t.used.Sub(r.demand)
	if p.activeRuns[r.key] == r {
		delete(p.activeRuns, r.key)
	}
	if r.second {
		if p.secondRuns[r.key]--; p.secondRuns[r.key] == 0 {
			delete(p.secondRuns, r.key)
		}
	}
	t.fullUntil, p.capacityChanged = 0, true
	if waiting := p.tasks[r.key]; waiting != nil && waiting.run == nil && waiting.startedOn == t.id() && t.listed {
		p.clearStartedOn(waiting)
	}
}

// stopRun asks the target to stop a run. Its capacity is freed when the target lists
// the run as ended.
func (p *Pool) stopRun(now time.Duration, r *run, reason string) {
	if r.stopWanted {
		return
	}
	r.stopWanted = true
	r.endBy(now + leaseDuration + stopTimeout)
	p.emitEvent(Event{Kind: EventRunStopped, Task: r.key, Target: r.target.id(), Run: r.number, Reason: reason, Age: now - r.startedAt})
	p.sendStop(now, r)
}

func (p *Pool) sendStop(now time.Duration, r *run) {
	t := r.target
	r.stopSentAt = now
	p.emit(StopCall{
		Request: filbertford.NewStopRunRequest(t.rec.Instance(), t.rec.Address(), r.key, r.number, p.fence),
		Timeout: p.roundTrips.callTimeout(),
	})
}

// HandleStopReply handles the reply to a stop request that was sent and received at
// the given times. Like a reply to a start, it may be called again with a late reply.
func (p *Pool) HandleStopReply(now time.Duration, req filbertford.StopRunRequest, reply filbertford.CallReply, sent, received time.Duration) {
	t := p.targetOf(now, req.Instance(), req.Address(), reply, sent)
	if t == nil || !p.handleReply(now, t, req.Address(), reply, sent, received) {
		return
	}
	p.roundTrips.observe(received - sent)
	if r := t.runs[req.Task()]; r != nil && r.number == req.Run() && reply.Outcome() == filbertford.CallDone {
		r.stopConfirmedAt = received
		if r.state == runUncertain {
			t.polling = false // the next lists show whether the run had started
		}
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
