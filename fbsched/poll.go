package fbsched

import (
	"time"

	"github.com/filbertford/filbertford"
)

// poll polls a target if there is a reason to. It does not extend the lease of a
// target that does not answer, or that has a run which must have ended, so that its runs end.
func (p *Pool) poll(now time.Duration, t *target) {
	if t.polling || t.listed && t.verified() && t.listsSent >= p.surveyFrom && len(t.runs) == 0 && t.misses == 0 && (t.lastAckable() == t.acked || now-t.polledAt < ackDelay) {
		return
	}
	if now-t.polledAt < t.pollBackoff() {
		return
	}
	p.sendPoll(now, t)
}

func (p *Pool) sendPoll(now time.Duration, t *target) {
	var lease int64
	var wait time.Duration
	if t.clock.known && t.listClock != 0 && len(t.runs) > 0 && t.misses == 0 {
		lease = p.nextLease(now, t)
	}
	if lease != 0 {
		t.leaseExpiry, t.leaseSentAt = max(t.leaseExpiry, lease), now
	}
	if t.listed && t.misses == 0 && len(t.runs) > 0 {
		wait = t.nextPollWait(now)
	}
	t.polling, t.pollSent, t.pollWait, t.pollUnleased = true, now, wait, lease == 0
	t.pollNumber++
	p.emit(PollCall{
		Number:  t.pollNumber,
		Request: filbertford.NewPollRequest(t.rec.Instance(), t.rec.Address(), p.fence, t.nextAck(), lease, wait),
		Timeout: p.roundTrips.pollTimeout(wait),
	})
}

// nextAck returns the sequence that the next poll acknowledges, 0 for none. The target may have
// started again since its last reply: it forgets ends of the new instance up to the sequence, too.
func (t *target) nextAck() uint64 {
	if last := t.lastAckable(); t.listedSinceMiss && last != t.acked {
		return last
	}
	return 0
}

// pollBackoff returns the minimum time between two polls. It is 0 unless the target has to keep
// outcomes or to show its start time, since it then replies to each poll immediately.
func (t *target) pollBackoff() time.Duration {
	switch {
	case len(t.unconfirmed) > 0, !t.verified():
		return minPollInterval
	case len(t.unclaimed) > 0:
		return unclaimedPollInterval
	}
	return 0
}

// nextPollWait returns how long the target may hold a poll if no run ends.
func (t *target) nextPollWait(now time.Duration) time.Duration {
	wait := maxPollWait
	if !t.verified() {
		return minPollInterval
	}
	for _, r := range t.runs {
		if r.state == runUncertain {
			return minPollInterval
		}
		wait = min(wait, r.nextProgressCheck(now))
	}
	return max(wait, minPollInterval)
}

// replaceLatePoll sends another poll if the reply to the last one is late, or if a run
// should have ended since it was sent: the target may have answered, or not have received
// it. The first reply to either counts.
func (p *Pool) replaceLatePoll(now time.Duration, t *target) {
	if !t.polling {
		return
	}
	late := now-t.pollSent > t.pollWait+p.roundTrips.callTimeout()
	if !late && !t.runOverdue(now-p.roundTrips.overdueMargin()) {
		return
	}
	t.polling, t.polledAt = false, now
	if late {
		p.recordMiss(t, "no reply to a poll")
	}
	p.poll(now, t)
}

// runOverdue reports whether a run should have ended since the last poll was sent, but
// before the given time.
func (t *target) runOverdue(before time.Duration) bool {
	for _, r := range t.runs {
		if r.expected == 0 {
			continue // an earlier owner started it
		}
		end := r.startedAt + time.Duration(float64(r.expected)*lateCheckFactor)
		if end > t.pollSent && end < before {
			return true
		}
	}
	return false
}

// HandlePollReply handles the reply to a poll that was sent and received at the given
// times. If another poll has replaced it, only its lists count; the list of running tasks
// doesn't if a newer one has been applied.
func (p *Pool) HandlePollReply(now time.Duration, c PollCall, r filbertford.CallReply, sent, received time.Duration) {
	t := p.targetOf(now, c.Request.Instance(), c.Request.Address(), r, sent)
	if t == nil {
		return
	}
	current := c.Number == t.pollNumber
	if !current && r.Outcome() == filbertford.CallUnknown {
		return
	}
	if current {
		t.polling, t.polledAt = false, now
	}
	if !p.handleReply(now, t, c.Request.Address(), r, sent, received) {
		return
	}
	if r.Outcome() == filbertford.CallDone {
		t.listsSent = max(t.listsSent, sent)
		t.listedSinceMiss = true
		if c.Request.Instance() == t.rec.Instance() {
			t.acked = max(t.acked, c.Request.Acked())
		}
		p.applyEnded(now, t, r)
	}
	if r.Outcome() == filbertford.CallDone && t.newerLists(r.Clock()) {
		t.listClock, t.listsAt = r.Clock(), now
		p.applyRunning(now, t, r, sent, received)
	}
	p.poll(now, t)
	p.checkAllListed(now)
	p.checkSurveyed(now)
	p.dispatchDue = true
}

// newerLists reports whether lists that were written at the given time of the target's clock
// are newer than those that were last applied. The order of lists of the same millisecond is
// unknown: polls may overtake each other.
func (t *target) newerLists(clock int64) bool { return clock > t.listClock }

// recordMiss counts a call that the target has not answered in time.
func (p *Pool) recordMiss(t *target, reason string) {
	t.listedSinceMiss = false
	if t.misses++; t.misses == maxMisses {
		p.emitEvent(Event{Kind: EventTargetUnreachable, Target: t.id(), Reason: reason, Age: t.polledAt - t.lastReply})
		p.capacityChanged = true
	}
}

// handleReply handles what the replies to all calls, here one to the given address, have in common. It
// reports whether this instance of the target replied and did not reject the owner's fencing token.
func (p *Pool) handleReply(now time.Duration, t *target, address string, r filbertford.CallReply, sent, received time.Duration) bool {
	switch r.Outcome() {
	case filbertford.CallUnknown:
		p.recordMiss(t, r.Detail())
		return false
	case filbertford.CallFenced:
		p.emitEvent(Event{Kind: EventPoolFenced, Target: t.id(), Age: now - p.createdAt})
		p.emit(PoolLost{Pool: p.id})
		return false
	case filbertford.CallRestarted:
		p.noteUnlisted(now, t, address)
		if t.address != "" && address != t.address {
			p.rejectAddress(now, t, address)
		} else {
			p.targetReplaced(now, t)
		}
		return false
	}
	if r.Outcome() != filbertford.CallBusy {
		t.address = address
	} else if address != t.address {
		return true // a busy target may not have compared the ID, so that it may be another one
	}
	if t.misses >= maxMisses {
		p.emitEvent(Event{Kind: EventTargetReachable, Target: t.id(), Age: now - t.lastReply})
		p.capacityChanged = true
	}
	t.misses = 0
	if first := !t.clock.known && r.Clock() != 0; first && len(t.runs) > 0 {
		t.leaseExpiry = max(t.leaseExpiry, r.Clock()+maxLease.Milliseconds())
	}
	t.clock.update(r.Clock(), sent, received)
	t.lastReply = received
	p.targetReplied(now, t, r.StartedAt(), sent)
	return true
}
