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
func (c *control) route(id filbertford.SubmissionID, now time.Time, h hop) (fbcore.Claim, outcome, bool) {
	if id.Pinned() {
		return c.routePinned(id, h)
	}
	return c.routeOpaque(id, now, h)
}

// routePinned decides where a pinned ID goes: to its owner or the owner's heir.
func (c *control) routePinned(id filbertford.SubmissionID, h hop) (fbcore.Claim, outcome, bool) {
	inc := id.Token().Incarnation()
	if h != hopCaller || inc == c.d.incarnation || c.core.AnswersFor(inc) {
		return fbcore.ClaimPinned, outcome{}, true
	}
	if address, ok := c.dir.Owner(inc); ok {
		return "", outcome{forward: address, owner: inc}, false
	}
	if address := id.Token().Address(); c.dir.Known(address) {
		return "", outcome{forward: address, owner: inc}, false
	}
	return "", outcome{answer: filbertford.NewRefusal(filbertford.CodeOwnerGone, "")}, false
}

// routeOpaque decides where an opaque key goes: to a daemon of its home data
// centre, and there to its owner under the view.
func (c *control) routeOpaque(id filbertford.SubmissionID, now time.Time, h hop) (fbcore.Claim, outcome, bool) {
	if c.core.Remembers(id) {
		return fbcore.ClaimUnsure, outcome{}, true
	}
	key := id.String()
	if home := fbview.Home(key, c.d.dataCentres); home != c.d.dataCentre {
		if h != hopCaller { // the daemons' settings name different data centres
			return fbcore.ClaimUnsure, outcome{}, true
		}
		return "", c.towards(home, now), false
	}
	a := c.view.Admit(key, now)
	if owner := a.Owner(); a.Verdict() == fbview.VerdictElsewhere && h != hopOwner && c.dir.Known(owner.Address()) {
		return "", outcome{forward: owner.Address(), owner: owner.Incarnation()}, false
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
		return fbcore.ClaimUnsure
	}
}

// towards picks a live daemon of another data centre.
func (c *control) towards(home filbertford.DataCentre, now time.Time) outcome {
	live := c.dir.Live(now, home)
	if len(live) == 0 {
		detail := fmt.Sprintf("no daemon of data centre %s can be reached", home)
		return outcome{answer: filbertford.NewRefusal(filbertford.CodeOwnerUnreachable, detail).WithRetryAfter(ownerRetry)}
	}
	c.lastHome++
	return outcome{forward: live[c.lastHome%len(live)].Address()}
}
