package fbsched

import (
	"fmt"
	"slices"
	"time"

	"github.com/filbertford/filbertford"
)

// lateCallTimeout is how long a call that got no reply may still be carried out: longer
// than the platform's targets are known to delay calls.
const lateCallTimeout = 15 * time.Second

// targetOf returns the target that a call was sent to, at the given address, or nil if the reply is of no use. A
// target may start again under its ID; the start time in a reply shows it, possibly long
// before the target's record does. The time of day may have been set back between two starts: a
// reply to a call that was sent after the current instance had replied is of no earlier one. A
// reply without a start time counts only if the call was sent to the current instance.
func (p *Pool) targetOf(now time.Duration, called filbertford.TargetInstance, address string, r filbertford.CallReply, sent time.Duration) *target {
	t := p.targets[called.ID()]
	if t == nil {
		return nil
	}
	switch replied := r.StartedAt(); {
	case replied == 0, r.Outcome() == filbertford.CallRestarted, r.Outcome() == filbertford.CallBusy && address != t.address: // of another target, or possibly so
		if called != t.rec.Instance() && (called.StartedAt() != 0 || t.restarted) {
			return nil
		}
	case t.startedAt == 0:
		t.startedAt, t.verifiedAt = replied, sent
	case sent <= t.lastReply && t.isEarlier(replied):
		return nil
	case replied != t.startedAt && sent < t.verifiedAt: // of an instance in between, or a later one
		p.askStartTime(now, t, replied)
		return nil
	case replied != t.startedAt:
		read := t.read
		t = p.replaceInstance(now, t, t.recordOf(replied), "reply")
		t.read, t.verifiedAt = read, sent
		if of := read.Instance().StartedAt(); of != 0 && of != replied {
			t.unreadUntil = now + unreadTimeout
		}
	default:
		t.verify(sent, address)
	}
	return t
}

// unreadTimeout is how long an instance that has replied gets no tasks because its record hasn't been
// read: it may be of another kind than the one before. Longer than outages of the store usually last.
const unreadTimeout = 20 * time.Second

// recordOf returns the record of the target's instance with the start time, which has replied. If it
// has not been read yet, that of the known instance stands in for it; see unreadTimeout.
func (t *target) recordOf(startedAt int64) filbertford.TargetRecord {
	if t.read.Instance().StartedAt() == startedAt {
		return t.read.WithAddress(t.rec.Address())
	}
	return t.rec.WithStartedAt(startedAt)
}

// askStartTime polls a target whose record has another start time than its replies. The time of
// day may have been set back between two starts, so that the times don't show whether the record is
// that of an earlier instance or a new one: only a reply ends runs. The target gets no tasks until it
// replies, and nothing but the address in the record counts.
func (p *Pool) askStartTime(now time.Duration, t *target, startedAt int64) {
	if t.askedFor == startedAt {
		return
	}
	t.askedFor, t.askedAt = startedAt, now
	p.sendPoll(now, t)
}

// verify records that the reply to a call that was sent at the given time has shown the target's
// start time. The record because of which it was asked is that of an earlier instance, and so is the
// address in it.
func (t *target) verify(sent time.Duration, address string) {
	t.verifiedAt = max(t.verifiedAt, sent)
	if t.askedFor != 0 && t.verified() {
		t.earlier, t.askedFor = append(t.earlier, t.askedFor), 0
		t.rec = t.rec.WithAddress(address)
	}
}

// rejectAddress calls a target at the address at which it has replied again, since another target replied
// at the one in its record: the record is late or wrong. That the other one replied there doesn't show
// that the target has ended.
func (p *Pool) rejectAddress(now time.Duration, t *target, address string) {
	if t.rec.Address() == address {
		t.rejected, t.rec = t.read, t.rec.WithAddress(t.address)
	}
	p.poll(now, t)
}

// verified reports whether the target has shown its start time since it was asked for it.
func (t *target) verified() bool { return t.verifiedAt >= t.askedAt }

// isEarlier reports whether the start time is that of an earlier instance. Of two that the pool
// knows, the one that started first may have the higher time.
func (t *target) isEarlier(startedAt int64) bool {
	return startedAt < t.startedAt || startedAt != t.startedAt && slices.Contains(t.earlier, startedAt)
}

// replaceInstance replaces a target that has started again. Runs that the earlier instance
// has listed have ended with it. Any other run may be on either instance, or its start may
// still reach the new one, so that the new one's lists decide. shownBy says for the log what
// has shown the new start time.
func (p *Pool) replaceInstance(now time.Duration, old *target, rec filbertford.TargetRecord, shownBy string) *target {
	t := newTarget(now, rec)
	t.pollNumber, t.restarted = old.pollNumber, true
	t.earlier = append(slices.Clone(old.earlier), old.startedAt)
	t.leasesUntil = now + lateCallTimeout + maxLease // the new instance may carry late calls out
	p.targets[t.id()] = t
	for i, o := range p.sortedTargets {
		if o == old {
			p.sortedTargets[i] = t
		}
	}
	p.emitEvent(Event{Kind: EventTargetRemoved, Target: t.id(), Started: old.startedAt, Reason: fmt.Sprintf("target restarted at %d by its %s", t.startedAt, shownBy), Age: now - old.lastReply})
	p.emitEvent(Event{Kind: EventTargetAdded, Target: t.id(), Started: t.startedAt, Reason: rec.MachineKind()})
	p.targetEnded(now, old)
	runs := sortedRuns(old.runs)
	for _, r := range runs {
		p.runLost(now, r, len(runs)-1, lossCrashed, "target restarted")
		if r.listed {
			p.discardRun(now, r, "target restarted")
			continue
		}
		r.target = t
		t.runs[r.key] = r
		if r.leaseLimit != 0 {
			t.limitedRuns++
		}
		if r.alone {
			t.aloneRuns++
		}
		t.used = t.used.Add(r.demand)
		if r.state == runStarting {
			r.state = runUncertain
		}
		r.stopSentAt, r.stopConfirmedAt = 0, 0 // the new instance doesn't know of stops
		r.lossKept = false                     // it was lost with the earlier instance only
	}
	p.capacityChanged = true
	return t
}
