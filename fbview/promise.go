package fbview

import (
	"time"

	"github.com/filbertford/filbertford"
)

// HandlePromiseRequest returns the reply to a member that requests a promise for
// its view. The daemon gives a promise only if it is a member of the same view
// and has not tried to commit the one that follows it.
func (v *View) HandlePromiseRequest(requester filbertford.Incarnation, dc filbertford.DataCentre, epoch uint64, period time.Duration) Promise {
	if epoch > v.row.epoch {
		v.reads.maybeStale = true
	}
	promised := v.known && dc == v.dc && period == v.row.period &&
		epoch > 0 && epoch == v.row.epoch && v.sealedEpoch < epoch &&
		v.row.has(v.self.incarnation) && v.row.has(requester)
	return NewPromise(promised, v.row.epoch)
}

// HandlePromise handles a member's reply to a RequestPromises of the given time.
func (v *View) HandlePromise(from filbertford.Incarnation, requestedAt time.Time, p Promise) {
	if p.epoch > v.row.epoch {
		v.reads.maybeStale = true
	}
	r := &v.round
	if !p.promised || p.epoch != r.epoch || !requestedAt.Equal(r.requestedAt) || !v.canRequestPromises() || r.epoch != v.row.epoch {
		return
	}
	r.promised[from] = true
	for _, m := range v.otherMembers() {
		if !r.promised[m.incarnation] {
			return
		}
	}
	v.renewLease(requestedAt)
}

// requestPromises starts a round of promises if promises can renew the lease.
func (v *View) requestPromises(now time.Time) []Action {
	if !v.canRequestPromises() {
		return nil
	}
	v.round = promiseRound{requestedAt: now, epoch: v.row.epoch, promised: make(map[filbertford.Incarnation]bool)}
	return []Action{RequestPromises{Members: v.otherMembers(), Epoch: v.row.epoch, Period: v.row.period, RequestedAt: now}}
}

// canRequestPromises reports whether promises can renew the lease. They can't for
// a sole member, since there is nobody to give one, nor after a commit of this
// daemon that may have taken effect.
func (v *View) canRequestPromises() bool {
	return v.row.has(v.self.incarnation) && len(v.row.members) > 1 && v.sealedEpoch < v.row.epoch
}

// otherMembers returns the members of the view without this daemon.
func (v *View) otherMembers() []Member {
	out := make([]Member, 0, len(v.row.members))
	for _, m := range v.row.members {
		if m.incarnation != v.self.incarnation {
			out = append(out, m)
		}
	}
	return out
}
