package fbview

import "time"

// Admission is the decision about an opaque key that is not remembered.
type Admission struct {
	verdict Verdict
	owner   Member
}

// Verdict returns what this daemon may do with the key.
func (a Admission) Verdict() Verdict { return a.verdict }

// Owner returns the member that owns the key, the zero Member if the view has
// none.
func (a Admission) Owner() Member { return a.owner }

// Admit decides about a key that this daemon does not remember. Only
// VerdictStart allows the daemon to record the key and start its job. The time
// must be read from the clock for this call.
func (v *View) Admit(key string, now time.Time) Admission {
	owner, ok := v.Owner(key)
	switch {
	case !ok:
		return Admission{verdict: VerdictUnconfirmed}
	case owner.incarnation != v.self.incarnation:
		return Admission{verdict: VerdictNotOwner, owner: owner}
	}
	tenure, inForce := v.Tenure(key, now)
	if !inForce {
		return Admission{verdict: VerdictUnconfirmed, owner: owner}
	}
	return Admission{verdict: v.opts.Decide(key, now, tenure), owner: owner}
}

// Owner returns the member that owns the key under the view in use, or false
// if there is none.
func (v *View) Owner(key string) (Member, bool) { return v.row.Owner(key) }

// MayStart reports whether this daemon is the only one that may start the
// key's job now.
func (v *View) MayStart(key string, now time.Time) bool {
	_, inForce := v.Tenure(key, now)
	return inForce
}

// Tenure returns this daemon's tenure of the key, and whether it is in force:
// the daemon owns the key, holds a lease, and the lease of any previous owner
// has expired.
func (v *View) Tenure(key string, now time.Time) (Tenure, bool) {
	if !v.HasLease(now) || !v.owns(v.row, key) {
		return Tenure{}, false
	}
	first := len(v.adoptions) - 1
	for first > 0 && v.owns(v.adoptions[first-1].row, key) {
		first--
	}
	begin := v.adoptions[first]
	if begin.row.epoch == 1 {
		return FirstTenure(), true
	}
	t := NewTenure(begin.adoptedAt.Add(v.opts.addDrift(begin.row.wait)))
	return t, !now.Before(t.start)
}

// HasLease reports whether this daemon is a member, is not leaving, and requested
// its last confirmation less than a lease period ago.
func (v *View) HasLease(now time.Time) bool {
	if v.peers.leaving || v.leaseStart.IsZero() || !v.row.has(v.self.incarnation) {
		return false
	}
	return within(v.leaseStart, now, v.row.period)
}

// owns reports whether this daemon owns the key under the view.
func (v *View) owns(r Row, key string) bool {
	owner, ok := r.Owner(key)
	return ok && owner.incarnation == v.self.incarnation
}

// within reports whether less than d has passed between the two times, both by
// the monotonic clock and by the wall clock, since the monotonic clock may stop
// while the machine is suspended.
func within(from, to time.Time, d time.Duration) bool {
	monotonic := to.Sub(from)
	wall := to.Round(0).Sub(from.Round(0))
	return monotonic >= 0 && monotonic < d && wall < d
}
