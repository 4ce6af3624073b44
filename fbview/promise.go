package fbview

import (
	"time"

	"github.com/filbertford/filbertford"
)

// PromiseAsked answers a member that wants its view confirmed. A promise is
// given only by a member of that very view that has not tried to commit its
// successor.
func (v *View) PromiseAsked(asker filbertford.Incarnation, dc filbertford.DataCentre, epoch uint64, period time.Duration) Promise {
	if epoch > v.row.epoch {
		v.reads.again = true
	}
	promised := v.known && dc == v.dc && period == v.row.period &&
		epoch > 0 && epoch == v.row.epoch && v.sealed < epoch &&
		v.row.has(v.self.incarnation) && v.row.has(asker)
	return NewPromise(promised, v.row.epoch)
}

// PromiseReply takes a member's reply to an AskPromise of the given time.
func (v *View) PromiseReply(from filbertford.Incarnation, asked time.Time, p Promise) {
	if p.epoch > v.row.epoch {
		v.reads.again = true
	}
	r := &v.round
	if !p.promised || p.epoch != r.epoch || !asked.Equal(r.asked) || !v.canAsk() || r.epoch != v.row.epoch {
		return
	}
	r.promised[from] = true
	for _, m := range v.others() {
		if !r.promised[m.incarnation] {
			return
		}
	}
	v.confirm(asked)
}

// askPromise begins a round of promises if it could confirm the view.
func (v *View) askPromise(now time.Time) []Action {
	if !v.canAsk() {
		return nil
	}
	v.round = round{asked: now, epoch: v.row.epoch, promised: make(map[filbertford.Incarnation]bool)}
	return []Action{AskPromise{Members: v.others(), Epoch: v.row.epoch, Period: v.row.period, Asked: now}}
}

// canAsk reports whether promises can confirm the view. They can't for a sole
// member, whose others are none, nor after a commit of this daemon's own that
// may have taken effect.
func (v *View) canAsk() bool {
	return v.row.has(v.self.incarnation) && len(v.row.members) > 1 && v.sealed < v.row.epoch
}

// others returns the members of the view without this daemon.
func (v *View) others() []Member {
	out := make([]Member, 0, len(v.row.members))
	for _, m := range v.row.members {
		if m.incarnation != v.self.incarnation {
			out = append(out, m)
		}
	}
	return out
}
