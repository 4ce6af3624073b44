package fbsched

import (
	"time"

	"github.com/filbertford/filbertford"
)

// The platform's callers send a job again 1.3 s after they have lost it, to any daemon, which
// may start it in another pool. All runs of the first attempt must have ended by then; a job that
// comes earlier returns to its pool, see attempt. A stop
// may be lost, and each poll of a target extends the lease of everything that runs there, so
// that the lease of a run that is to end is limited too.
const (
	// stopTimeout is how long the lease of a run that is to be stopped may exceed
	// leaseDuration: the time for a stop and two retries.
	stopTimeout = 2 * retryInterval
	// unclaimedMargin is how long the lease of a stored job's unclaimed run may last after it is
	// to be stopped: the time for the stop, 50 ms as the platform specifies, and for the next poll,
	// which extends the lease of the other runs there.
	unclaimedMargin = 150 * time.Millisecond
	// silentLease is how long the lease of a run may last after its coordinator was last
	// heard: the 1.3 s less the delay of the last message and the error of a target's clock.
	// With heartbeats of 0.1 or 0.2 s it shortens no lease of a coordinator that is heard.
	silentLease = 1200 * time.Millisecond
	// queuedMessageTime is how long after a suspension messages may be handled that had
	// arrived before: they don't show that their sender still runs.
	queuedMessageTime = 100 * time.Millisecond
	// minLease is the shortest lease that is worth granting: it lasts until the next poll.
	minLease = 100 * time.Millisecond
)

// endBy limits the lease of a run: it must not last beyond the given time.
func (r *run) endBy(at time.Duration) {
	if r.leaseLimit == 0 {
		r.target.limitedRuns++
	}
	if r.leaseLimit == 0 || at < r.leaseLimit {
		r.leaseLimit = at
	}
}

// unlimit removes the limit of a run's lease.
func (r *run) unlimit() {
	if r.leaseLimit != 0 {
		r.target.limitedRuns--
		r.leaseLimit = 0
	}
}

// CoordinatorHeard records that a message of a coordinator has arrived. The leases of the runs
// of its best-effort jobs end silentLease after the last one. Those of a coordinator of which
// no message was recorded have no such limit: it is part of this daemon.
func (p *Pool) CoordinatorHeard(now time.Duration, node filbertford.NodeID) {
	if _, known := p.heardAt[node]; !known || now >= p.messagesQueuedUntil {
		p.heardAt[node] = now
	}
}

// updateEarliestHeard updates the lower bound of the times at which coordinators were heard.
func (p *Pool) updateEarliestHeard(now time.Duration) {
	p.earliestHeard = now
	for _, at := range p.heardAt {
		p.earliestHeard = min(p.earliestHeard, at)
	}
}

// silenceLimit returns the time by which a run of the task must have ended if its coordinator
// isn't heard again, and whether there is one.
func (p *Pool) silenceLimit(t *task) (limit time.Duration, ok bool) {
	at, ok := p.heardAt[t.coordinator]
	return at + silentLease, ok && !t.batch.stored
}

// coordinatorSilent reports whether the task's coordinator hasn't been heard for so long that its runs get
// shorter leases.
func (p *Pool) coordinatorSilent(now time.Duration, t *task) bool {
	limit, ok := p.silenceLimit(t)
	return ok && limit < now+leaseDuration
}

// leaseLimit returns the time beyond which no lease at the target may last, because one of
// its runs must have ended by then, and whether there is such a run.
func (p *Pool) leaseLimit(now time.Duration, t *target) (limit time.Duration, ok bool) {
	silence := now-p.earliestHeard > silentLease-leaseDuration // of any coordinator
	if t.limitedRuns == 0 && !silence {
		return 0, false
	}
	for _, r := range t.runs {
		if r.leaseLimit != 0 && (!ok || r.leaseLimit < limit) {
			limit, ok = r.leaseLimit, true
		}
		if !silence || r.task == nil || !p.coordinatorSilent(now, r.task) {
			continue
		}
		if at, _ := p.silenceLimit(r.task); !ok || at < limit {
			limit, ok = at, true
		}
	}
	return limit, ok
}

// grantsLease reports whether a lease may be granted at the target now.
func (p *Pool) grantsLease(now time.Duration, t *target) bool {
	limit, limited := p.leaseLimit(now, t)
	return !limited || limit >= now+minLease
}

// nextLease returns the end, on the target's clock, of a lease that is granted now, 0 if none
// may be.
func (p *Pool) nextLease(now time.Duration, t *target) int64 {
	if !p.grantsLease(now, t) {
		return 0
	}
	lease := t.clock.estimate(now) + leaseDuration.Milliseconds()
	if limit, limited := p.leaseLimit(now, t); limited {
		lease = min(lease, t.clock.earliest(now)+(limit-now).Milliseconds())
	}
	return lease
}
