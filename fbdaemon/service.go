package fbdaemon

import (
	"context"
	"time"

	"github.com/filbertford/filbertford"
	"github.com/filbertford/filbertford/fbcore"
	"github.com/filbertford/filbertford/fbevent"
	"github.com/filbertford/filbertford/fbmember"
	"github.com/filbertford/filbertford/fbpeer"
)

// peerService serves the requests of other daemons.
type peerService struct{ d *Daemon }

var (
	_ fbpeer.Owner  = peerService{}
	_ fbpeer.Member = peerService{}
)

// Submit handles a delivery that another daemon forwarded.
func (s peerService) Submit(ctx context.Context, owner filbertford.Incarnation, delivery filbertford.Delivery) filbertford.Answer {
	return s.d.submit(ctx, hopOf(owner), delivery)
}

// Cancel handles a cancellation that another daemon forwarded.
func (s peerService) Cancel(ctx context.Context, owner filbertford.Incarnation, id filbertford.SubmissionID, team string) filbertford.Answer {
	return s.d.cancel(ctx, hopOf(owner), id, team)
}

// Status handles a status query that another daemon forwarded.
func (s peerService) Status(ctx context.Context, owner filbertford.Incarnation, id filbertford.SubmissionID, team string) filbertford.SubmissionStatus {
	return s.d.status(ctx, hopOf(owner), id, team)
}

// Heartbeat handles another daemon's state and returns the state of this one.
func (s peerService) Heartbeat(ctx context.Context, state fbmember.State) (fbmember.State, error) {
	reply := make(chan fbmember.State, 1)
	if err := s.d.send(ctx, heartbeatReceived{state: state, reply: reply}); err != nil {
		return fbmember.State{}, err
	}
	select {
	case own := <-reply:
		return own, nil
	case <-ctx.Done():
		return fbmember.State{}, ctx.Err()
	}
}

// VMs returns the platform's VM list as this daemon last read it.
func (s peerService) VMs(ctx context.Context) ([]filbertford.VM, error) {
	var out []filbertford.VM
	err := s.d.callControl(ctx, func(c *controlLoop, _ time.Time) { out = c.vms })
	return out, err
}

// Inherit handles a part of the submission table of a daemon that stops, and
// reports whether this daemon has the complete table. When the table becomes
// complete, heartbeats to all members become due immediately. They report that this
// daemon is the successor.
func (s peerService) Inherit(ctx context.Context, p fbcore.TablePart) (bool, error) {
	complete := false
	err := s.d.callControl(ctx, func(c *controlLoop, now time.Time) {
		before := c.core.AnswersFor(p.Incarnation())
		c.handleEvent(now, fbcore.PartReceived{Part: p})
		complete = c.core.AnswersFor(p.Incarnation())
		if complete && !before {
			fbevent.SubmissionsInherited.Log(s.d.log, "from", p.Incarnation(), "submissions", p.Total())
			c.dir.MakeAllDue()
		}
	})
	return complete, err
}

// ConfirmView handles a request for a promise about the view of opaque keys.
func (s peerService) ConfirmView(ctx context.Context, r fbpeer.ViewPromiseRequest) (fbpeer.ViewPromise, error) {
	var out fbpeer.ViewPromise
	err := s.d.callControl(ctx, func(c *controlLoop, _ time.Time) {
		p := c.view.HandlePromiseRequest(r.Requester(), r.DataCentre(), r.Epoch(), r.Period())
		out = fbpeer.NewViewPromise(p.Promised(), p.Epoch())
	})
	return out, err
}
