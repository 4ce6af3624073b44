package fbview

import (
	"slices"
	"time"

	"github.com/filbertford/filbertford"
)

// peers is what the daemon's membership tells of the other daemons.
type peers struct {
	live    []Member
	gone    []filbertford.Incarnation
	leaving bool
	// since is when the members wanted began to differ from the view's.
	since time.Time
	want  []Member
}

// PeersChanged takes the other live daemons of the data centre that are not
// leaving, and the incarnations that are proved to be gone for good. Proof is
// an answer by another incarnation at the member's address to a question that
// was asked after the member was known; silence is none. An incarnation once
// gone stays gone, also when it isn't named again.
func (v *View) PeersChanged(live []Member, gone []filbertford.Incarnation) {
	v.peers.live = slices.Clone(live)
	for _, inc := range gone {
		if !slices.Contains(v.peers.gone, inc) {
			v.peers.gone = append(v.peers.gone, inc)
		}
	}
	if extra := len(v.peers.gone) - maxGone; extra > 0 {
		v.peers.gone = slices.Delete(v.peers.gone, 0, extra)
	}
}

// maxGone is the number of incarnations known to be gone that are remembered.
// A daemon that has forgotten one leaves a change of the view to others.
const maxGone = 1024

// Leave ends the daemon's part: it starts no key any more, and asks at the next
// Tick for a view without itself.
func (v *View) Leave() { v.peers.leaving = true }

// Left reports whether the daemon is in no view, so that it may stop.
func (v *View) Left() bool { return v.known && !v.row.has(v.self.incarnation) }

// CommitDone takes the outcome of a CommitRow. Its row is read again unless the
// commit was applied.
func (v *View) CommitDone(now, asked time.Time, w filbertford.Write, o CommitOutcome) []Action {
	if asked.Equal(v.trying) {
		v.trying = time.Time{}
	}
	if o != CommitApplied {
		v.reads.again = true
		return nil
	}
	next, err := ParseRow(w.Value())
	if err != nil || next.epoch <= v.row.epoch {
		return nil
	}
	out := v.adopt(now, next, w.Version()+1)
	v.confirm(asked)
	return out
}

// commit returns the commit of a new view if one is wanted, is allowed and has
// been wanted for long enough.
func (v *View) commit(now time.Time) []Action {
	want := v.wanted()
	if !v.known || len(want) > MaxMembers || v.settled(want) {
		v.peers.since = time.Time{}
		return nil
	}
	if v.peers.since.IsZero() || !slices.Equal(want, v.peers.want) {
		v.peers.since, v.peers.want = now, want
	}
	busy := !v.trying.IsZero() && now.Sub(v.trying) < v.replyTimeout()
	if busy || !v.reads.ok || !v.allowed() || now.Sub(v.peers.since) < v.delay() {
		return nil
	}
	v.trying, v.peers.since = now, now
	v.sealed = max(v.sealed, v.row.epoch)
	next := v.successor(now, want)
	return []Action{CommitRow{Write: filbertford.NewWrite(Key(v.dc), next.Bytes(), v.version), Asked: now}}
}

// settled reports whether the view has the wanted members and no commit of this
// daemon may still take effect. Such a commit is overtaken by another one, so
// that the daemon can give promises again.
func (v *View) settled(want []Member) bool {
	open := v.row.epoch > 0 && v.sealed >= v.row.epoch
	return slices.Equal(want, v.row.members) && !open
}

// successor returns the row that follows the one in use. The periods of the
// views before that one no longer matter once they are over.
func (v *View) successor(now time.Time, want []Member) Row {
	wait := v.period()
	if n := len(v.past); n > 0 && now.Sub(v.past[n-1].learned) < v.opts.outlast(v.row.wait) {
		wait = max(wait, v.row.wait)
	}
	return NewRow(v.row.epoch+1, want...).WithPeriod(v.opts.period, wait)
}

// wanted returns the members that the view should have. A daemon that leaves
// takes itself out and changes nothing else.
func (v *View) wanted() []Member {
	if v.peers.leaving {
		return v.others()
	}
	want := slices.DeleteFunc(slices.Clone(v.peers.live), func(m Member) bool {
		return m.incarnation == v.self.incarnation || m.address == v.self.address
	})
	return sorted(append(want, v.self))
}

// allowed reports whether this daemon may commit the successor of the view. A
// member may, because it gives no promise from then on. Any other daemon may
// only where the promises of all other members can confirm nobody: no member or
// a sole one, or a member that is gone for good.
func (v *View) allowed() bool {
	if v.row.has(v.self.incarnation) || len(v.row.members) <= 1 {
		return true
	}
	return slices.ContainsFunc(v.row.members, v.gone)
}

// gone reports whether a member is proved to be gone. The former incarnation at
// this daemon's own address is.
func (v *View) gone(m Member) bool {
	return slices.Contains(v.peers.gone, m.incarnation) || m.address == v.self.address && m.incarnation != v.self.incarnation
}

// delay returns how long a change has to be wanted before this daemon commits
// it. The live daemons wait for different times, so that one commit usually
// does; a daemon that leaves waits for none.
func (v *View) delay() time.Duration {
	if v.peers.leaving {
		return 0
	}
	rank := time.Duration(1)
	for _, m := range v.peers.live {
		if v.before(m) {
			rank++
		}
	}
	return rank * v.opts.settle
}

// before reports whether the peer's turn to commit comes before this daemon's:
// members of the view come first.
func (v *View) before(m Member) bool {
	if member := v.row.has(m.incarnation); member != v.row.has(v.self.incarnation) {
		return member
	}
	return m.incarnation < v.self.incarnation
}
