package fbdaemon

import (
	"fmt"
	"time"

	"github.com/filbertford/filbertford"
	"github.com/filbertford/filbertford/fbcore"
	"github.com/filbertford/filbertford/fbview"
)

// hop says where a request came from, so that daemons don't forward it in a loop.
type hop string

// The hops of a request.
const (
	// hopCaller is a request from a caller.
	hopCaller hop = "caller"
	// hopHome is a request about an opaque key that a daemon of another data
	// centre forwarded to the key's home data centre.
	hopHome hop = "home"
	// hopOwner is a request that was forwarded to its owner.
	hopOwner hop = "owner"
)

// hopOf returns the hop of a request that another daemon forwarded to the owner.
// Owner 0 stands for the daemon of this data centre that owns the opaque key.
func hopOf(owner filbertford.Incarnation) hop {
	if owner == 0 {
		return hopHome
	}
	return hopOwner
}

// route decides which daemon handles a request about an ID. It returns true and
// the claim to the ID if this daemon does, and otherwise the outcome: the daemon
// to forward the request to, or a refusal.
func (c *controlLoop) route(id filbertford.SubmissionID, now time.Time, h hop) (fbcore.Claim, outcome, bool) {
	if id.Pinned() {
		return c.routePinned(id, h)
	}
	return c.routeOpaque(id, now, h)
}

// routePinned routes a request about a pinned ID to the ID's owner or the owner's
// successor.
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

// routeOpaque routes a request about an opaque key to a daemon of the key's home
// data centre, and there to the key's owner under the view.
func (c *controlLoop) routeOpaque(id filbertford.SubmissionID, now time.Time, h hop) (fbcore.Claim, outcome, bool) {
	if c.core.Retains(id) {
		return fbcore.ClaimUnconfirmed, outcome{}, true
	}
	key := id.String()
	if home := fbview.Home(key, c.d.dataCentres); home != c.d.dataCentre {
		if h != hopCaller { // the daemons' settings list different data centres
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

// claimOf returns the claim to an opaque key that the view's verdict gives.
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

// forwardToDataCentre returns the outcome that forwards a request to one of the
// live daemons of another data centre, in turn, or a refusal if there is none.
func (c *controlLoop) forwardToDataCentre(home filbertford.DataCentre, now time.Time) outcome {
	live := c.dir.Live(now, home)
	if len(live) == 0 {
		detail := fmt.Sprintf("no daemon of data centre %s can be reached", home)
		return outcome{answer: filbertford.NewRefusal(filbertford.CodeOwnerUnreachable, detail).WithRetryAfter(ownerRetryDelay)}
	}
	c.roundRobin++
	return outcome{forwardTo: live[c.roundRobin%len(live)].Address()}
}
