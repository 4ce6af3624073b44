package fbsched

import "time"

// The platform's callers send a job again 1.3 s after they have lost it, to any daemon, which
// may start it in another pool. All runs of the first attempt must have ended by then. A stop
// may be lost, and each poll of a target extends the lease of everything that runs there, so
// that the lease of a run that is to end is limited too.
const (
	// stopTimeout is how long the lease of a run that is to be stopped may exceed
	// leaseDuration: the time for a stop and two retries.
	stopTimeout = 2 * retryInterval
	// unclaimedMargin is how long the lease of an unclaimed run may last after it is to be
	// stopped: the time for the stop, 50 ms as the platform specifies, and for the next poll,
	// which extends the lease of the other runs there. The caller may have lost the job up to
	// a lease before the run was found.
	unclaimedMargin = 150 * time.Millisecond
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

// leaseLimit returns the time beyond which no lease at the target may last, because one of
// its runs must have ended by then, and whether there is such a run.
func (t *target) leaseLimit() (limit time.Duration, ok bool) {
	if t.limitedRuns == 0 {
		return 0, false
	}
	for _, r := range t.runs {
		if r.leaseLimit != 0 && (!ok || r.leaseLimit < limit) {
			limit, ok = r.leaseLimit, true
		}
	}
	return limit, ok
}

// grantsLease reports whether a lease may be granted at the target now.
func (t *target) grantsLease(now time.Duration) bool {
	limit, limited := t.leaseLimit()
	return !limited || limit >= now+minLease
}

// nextLease returns the end, on the target's clock, of a lease that is granted now, 0 if none
// may be.
func (t *target) nextLease(now time.Duration) int64 {
	if !t.grantsLease(now) {
		return 0
	}
	lease := t.clock.estimate(now) + leaseDuration.Milliseconds()
	if limit, limited := t.leaseLimit(); limited {
		lease = min(lease, t.clock.earliest(now)+(limit-now).Milliseconds())
	}
	return lease
}
