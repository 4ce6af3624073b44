package fbdaemon

import (
	"fmt"
	"time"

	"github.com/filbertford/filbertford"
	"github.com/filbertford/filbertford/fbcore"
	"github.com/filbertford/filbertford/fbview"
)

// hop tells by which way a request came, so that none is passed round.
type hop string

// The hops of a request.
const (
	// hopCaller is a request of a caller.
	hopCaller hop = "caller"
	// hopHome is a request about an opaque key that a daemon of another data
	// centre passed on to the key's home.
	hopHome hop = "home"
	// hopOwner is a request that was passed on to its owner.
	hopOwner hop = "owner"
)

// hopOf returns the hop of a request that another daemon passed on to the owner,
// 0 for whoever owns the opaque key in this data centre.
func hopOf(owner filbertford.Incarnation) hop {
	if owner == 0 {
		return hopHome
	}
	return hopOwner
}

// route decides where a request about an ID goes. It reports true, with the
// ground for taking the ID, if this daemon answers.
func (c *controlLoop) route(id filbertford.SubmissionID, now time.Time, h hop) (fbcore.Claim, outcome, bool) {
	if id.Pinned() {
		return c.routePinned(id, h)
	}
	return c.routeOpaque(id, now, h)
}

// routePinned decides where a pinned ID goes: to its owner or the owner's heir.
func (c *controlLoop) routePinned(id filbertford.SubmissionID, h hop) (fbcore.Claim, outcome, bool) {
	incarnation := id.Token().Incarnation()
	if h != hopCaller || incarnation == c.d.incarnation || c.core.AnswersFor(incarnation) {
		return fbcore.ClaimPinned, outcome{}, true
	}
	if address, ok := c.dir.Owner(incarnation); ok {
		return "", outcome{forwardTo: address, owner: incarnation}, false
	}
	if address := id.Token().Address(); c.dir.HasMember(address) {
		return "", outcome{forwardTo: address, owner: incarnation}, false
	}
	return "", outcome{answer: filbertford.NewRefusal(filbertford.CodeOwnerGone, "")}, false
}

// routeOpaque decides where an opaque key goes: to a daemon of its home data
// centre, and there to its owner under the view.
func (c *controlLoop) routeOpaque(id filbertford.SubmissionID, now time.Time, h hop) (fbcore.Claim, outcome, bool) {
	if c.core.Retains(id) {
		return fbcore.ClaimUnconfirmed, outcome{}, true
	}
	key := id.String()
	if home := fbview.Home(key, c.d.dataCentres); home != c.d.dataCentre {
		if h != hopCaller { // the daemons' settings name different data centres
			return fbcore.ClaimUnconfirmed, outcome{}, true
		}
		return "", c.forwardToDataCentre(home, now), false
	}
	a := c.view.Admit(key, now)
	if owner := a.Owner(); a.Verdict() == fbview.VerdictNotOwner && h != hopOwner && c.dir.HasMember(owner.Address()) {
		return "", outcome{forwardTo: owner.Address(), owner: owner.Incarnation()}, false
	}
	return claimOf(a.Verdict()), outcome{}, true
}

// claimOf returns the ground on which an opaque key of the verdict is taken.
func claimOf(v fbview.Verdict) fbcore.Claim {
	switch v {
	case fbview.VerdictStart:
		return fbcore.ClaimOwned
	case fbview.VerdictUndecided:
		return fbcore.ClaimUndecided
	case fbview.VerdictTooOld:
		return fbcore.ClaimTooOld
	case fbview.VerdictFuture:
		return fbcore.ClaimFuture
	default:
		return fbcore.ClaimUnconfirmed
	}
}

// forwardToDataCentre picks a live daemon of another data centre.
func (c *controlLoop) forwardToDataCentre(home filbertford.DataCentre, now time.Time) outcome {
	live := c.dir.Live(now, home)
	if len(live) == 0 {
		detail := fmt.Sprintf("no daemon of data centre %s can be reached", home)
		return outcome{answer: filbertford.NewRefusal(filbertford.CodeOwnerUnreachable, detail).WithRetryAfter(ownerRetryDelay)}
	}
	c.roundRobin++
	return outcome{forwardTo: live[c.roundRobin%len(live)].Address()}
}
