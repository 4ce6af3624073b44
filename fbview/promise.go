package fbview

import (
	"time"

	"github.com/filbertford/filbertford"
)

// HandlePromiseRequest answers a member that wants its view confirmed. A promise is
// given only by a member of that very view that has not tried to commit its
// successor.
func (v *View) HandlePromiseRequest(requester filbertford.Incarnation, dc filbertford.DataCentre, epoch uint64, period time.Duration) Promise {
	if epoch > v.row.epoch {
		v.reads.maybeStale = true
	}
	promised := v.known && dc == v.dc && period == v.row.period &&
		epoch > 0 && epoch == v.row.epoch && v.sealedEpoch < epoch &&
		v.row.has(v.self.incarnation) && v.row.has(requester)
	return NewPromise(promised, v.row.epoch)
}

// HandlePromise takes a member's reply to an AskPromise of the given time.
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

// requestPromises begins a round of promises if it could confirm the view.
func (v *View) requestPromises(now time.Time) []Action {
	if !v.canRequestPromises() {
		return nil
	}
	v.round = promiseRound{requestedAt: now, epoch: v.row.epoch, promised: make(map[filbertford.Incarnation]bool)}
	return []Action{RequestPromises{Members: v.otherMembers(), Epoch: v.row.epoch, Period: v.row.period, RequestedAt: now}}
}

// canRequestPromises reports whether promises can confirm the view. They can't for a sole
// member, whose others are none, nor after a commit of this daemon's own that
// may have taken effect.
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
