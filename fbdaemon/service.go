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

// peerService answers other daemons on behalf of a daemon.
type peerService struct{ d *Daemon }

var (
	_ fbpeer.Owner  = peerService{}
	_ fbpeer.Member = peerService{}
)

// Submit takes a delivery that another daemon forwarded.
func (s peerService) Submit(ctx context.Context, owner filbertford.Incarnation, delivery filbertford.Delivery) filbertford.Answer {
	return s.d.submit(ctx, hopOf(owner), delivery)
}

// Cancel cancels a submission for another daemon.
func (s peerService) Cancel(ctx context.Context, owner filbertford.Incarnation, id filbertford.SubmissionID, team string) filbertford.Answer {
	return s.d.cancel(ctx, hopOf(owner), id, team)
}

// Status tells another daemon what is known of a submission.
func (s peerService) Status(ctx context.Context, owner filbertford.Incarnation, id filbertford.SubmissionID, team string) filbertford.SubmissionStatus {
	return s.d.status(ctx, hopOf(owner), id, team)
}

// Heartbeat takes another daemon's state and returns this one's.
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

// VMs returns the platform's list as this daemon last read it.
func (s peerService) VMs(ctx context.Context) ([]filbertford.VM, error) {
	var out []filbertford.VM
	err := s.d.callControl(ctx, func(c *controlLoop, _ time.Time) { out = c.vms })
	return out, err
}

// Inherit takes a part of the table of a daemon that stops. The daemon that has
// a whole table tells all members at once.
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

// ConfirmView replies to a question about the view of opaque keys.
func (s peerService) ConfirmView(ctx context.Context, r fbpeer.ViewPromiseRequest) (fbpeer.ViewPromise, error) {
	var out fbpeer.ViewPromise
	err := s.d.callControl(ctx, func(c *controlLoop, _ time.Time) {
		p := c.view.HandlePromiseRequest(r.Requester(), r.DataCentre(), r.Epoch(), r.Period())
		out = fbpeer.NewViewPromise(p.Promised(), p.Epoch())
	})
	return out, err
}
