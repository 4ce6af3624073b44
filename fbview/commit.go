package fbview

import (
	"slices"
	"time"

	"github.com/filbertford/filbertford"
)

// peers is what the daemon's membership reports about the other daemons.
type peers struct {
	live       []Member
	terminated []filbertford.Incarnation
	leaving    bool
	// wantedSince is when the wanted members began to differ from the view's.
	wantedSince time.Time
	wanted      []Member
}

// SetPeers sets the other live daemons of the data centre that are not leaving,
// and adds incarnations that are proved to have terminated for good. Proof is a
// reply by another incarnation at the member's address to a request that was
// sent after the member became known; a missing reply is no proof. A terminated
// incarnation stays terminated, also when later calls don't name it.
func (v *View) SetPeers(live []Member, terminated []filbertford.Incarnation) {
	v.peers.live = slices.Clone(live)
	for _, inc := range terminated {
		if !slices.Contains(v.peers.terminated, inc) {
			v.peers.terminated = append(v.peers.terminated, inc)
		}
	}
	if excess := len(v.peers.terminated) - maxTerminated; excess > 0 {
		v.peers.terminated = slices.Delete(v.peers.terminated, 0, excess)
	}
}

// maxTerminated is the number of terminated incarnations that are remembered. A
// daemon that has forgotten one leaves a change of the view to others.
const maxTerminated = 1024

// Leave ends the daemon's participation: it starts no more jobs, and from the
// next Tick on it tries to commit a view without itself.
func (v *View) Leave() { v.peers.leaving = true }

// HasLeft reports whether the daemon is not a member of the newest known view, so
// that it may stop.
func (v *View) HasLeft() bool { return v.known && !v.row.has(v.self.incarnation) }

// HandleCommitOutcome handles the outcome of a CommitRow. Unless the commit was
// applied, the row is read again.
func (v *View) HandleCommitOutcome(now, requestedAt time.Time, w filbertford.Write, outcome CommitOutcome) []Action {
	if requestedAt.Equal(v.commitSentAt) {
		v.commitSentAt = time.Time{}
	}
	if outcome != CommitApplied {
		v.reads.maybeStale = true
		return nil
	}
	next, err := ParseRow(w.Value())
	if err != nil || next.epoch <= v.row.epoch {
		return nil
	}
	out := v.adopt(now, next, w.Version()+1)
	v.renewLease(requestedAt)
	return out
}

// commitIfDue returns the commit of a new view if one has been wanted for long
// enough and this daemon may commit it.
func (v *View) commitIfDue(now time.Time) []Action {
	wanted := v.wantedMembers()
	if !v.known || len(wanted) > MaxMembers || v.upToDate(wanted) {
		v.peers.wantedSince = time.Time{}
		return nil
	}
	if v.peers.wantedSince.IsZero() || !slices.Equal(wanted, v.peers.wanted) {
		v.peers.wantedSince, v.peers.wanted = now, wanted
	}
	inFlight := !v.commitSentAt.IsZero() && now.Sub(v.commitSentAt) < v.replyTimeout()
	if inFlight || !v.reads.lastOK || !v.mayCommit() || now.Sub(v.peers.wantedSince) < v.commitDelay() {
		return nil
	}
	v.commitSentAt, v.peers.wantedSince = now, now
	v.sealedEpoch = max(v.sealedEpoch, v.row.epoch)
	next := v.nextRow(now, wanted)
	return []Action{CommitRow{Write: filbertford.NewWrite(Key(v.dc), next.Bytes(), v.version), RequestedAt: now}}
}

// upToDate reports whether the view has the wanted members and no commit of this
// daemon may still take effect. If one may, the daemon commits another view, which
// supersedes that commit, so that it can give promises again.
func (v *View) upToDate(wanted []Member) bool {
	mayTakeEffect := v.row.epoch > 0 && v.sealedEpoch >= v.row.epoch
	return slices.Equal(wanted, v.row.members) && !mayTakeEffect
}

// nextRow returns the row that follows the one in use. The lease periods of the
// views before that one no longer matter once they have passed.
func (v *View) nextRow(now time.Time, wanted []Member) Row {
	wait := v.leasePeriod()
	if n := len(v.adoptions); n > 0 && now.Sub(v.adoptions[n-1].adoptedAt) < v.opts.addDrift(v.row.wait) {
		wait = max(wait, v.row.wait)
	}
	return NewRow(v.row.epoch+1, wanted...).WithPeriod(v.opts.period, wait)
}

// wantedMembers returns the members that the view should have. A daemon that
// leaves removes itself and changes nothing else.
func (v *View) wantedMembers() []Member {
	if v.peers.leaving {
		return v.otherMembers()
	}
	wanted := slices.DeleteFunc(slices.Clone(v.peers.live), func(m Member) bool {
		return m.incarnation == v.self.incarnation || m.address == v.self.address
	})
	return sortedUnique(append(wanted, v.self))
}

// mayCommit reports whether this daemon may commit the view that follows the one
// in use. A member may, because it gives no promise from then on. Any other
// daemon may only if promises cannot renew the lease of any member: if the view
// has no member or one, or if a member has terminated for good.
func (v *View) mayCommit() bool {
	if v.row.has(v.self.incarnation) || len(v.row.members) <= 1 {
		return true
	}
	return slices.ContainsFunc(v.row.members, v.isTerminated)
}

// isTerminated reports whether a member is proved to have terminated: SetPeers
// named its incarnation, or it is another incarnation at this daemon's address.
func (v *View) isTerminated(m Member) bool {
	return slices.Contains(v.peers.terminated, m.incarnation) || m.address == v.self.address && m.incarnation != v.self.incarnation
}

// commitDelay returns how long a change must have been wanted before this daemon
// commits it. The live daemons wait for different times, so that usually only one
// of them commits. A daemon that leaves does not wait.
func (v *View) commitDelay() time.Duration {
	if v.peers.leaving {
		return 0
	}
	rank := time.Duration(1)
	for _, m := range v.peers.live {
		if v.commitsBefore(m) {
			rank++
		}
	}
	return rank * v.opts.settleTime
}

// commitsBefore reports whether the peer waits less than this daemon before it
// commits a change: members of the view come first, then lower incarnations.
func (v *View) commitsBefore(m Member) bool {
	if member := v.row.has(m.incarnation); member != v.row.has(v.self.incarnation) {
		return member
	}
	return m.incarnation < v.self.incarnation
}
