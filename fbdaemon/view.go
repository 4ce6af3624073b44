package fbdaemon

import (
	"context"
	"errors"
	"time"

	"github.com/filbertford/filbertford"
	"github.com/filbertford/filbertford/fbevent"
	"github.com/filbertford/filbertford/fbpeer"
	"github.com/filbertford/filbertford/fbview"
)

// livePeers returns the live daemons of the data centre as members of a view,
// without those that the platform lists as leaving.
func (c *controlLoop) livePeers(now time.Time) []fbview.Member {
	var out []fbview.Member
	for _, m := range c.dir.Live(now, c.d.dataCentre) {
		if !m.Leaving() {
			out = append(out, fbview.NewMember(m.State().Incarnation(), m.Address()))
		}
	}
	return out
}

// doViewActions carries out the actions of the view of opaque keys.
func (c *controlLoop) doViewActions(actions []fbview.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case fbview.ReadRow:
			c.d.readViewRow(a)
		case fbview.CommitRow:
			c.d.commitViewRow(a)
		case fbview.RequestPromises:
			c.d.requestPromises(a)
		case fbview.Adopted:
			fbevent.ViewAdopted.Log(c.d.log, "epoch", a.Row.Epoch(), "members", len(a.Row.Members()))
		}
	}
}

// viewUpdate is the message with the outcome of an action of the view. It passes
// the outcome to the view and returns the view's next actions.
type viewUpdate func(v *fbview.View, now time.Time) []fbview.Action

func (m viewUpdate) handle(c *controlLoop, now time.Time) { c.doViewActions(m(c.view, now)) }

func (d *Daemon) readViewRow(a fbview.ReadRow) {
	d.requests.Go(func() error {
		ctx, cancel := context.WithTimeout(d.ctx, d.requestTimeout)
		defer cancel()
		d.metrics.viewReads.Inc(1)
		rows, err := d.table.Read(ctx, a.Key)
		return d.send(d.ctx, viewUpdate(func(v *fbview.View, now time.Time) []fbview.Action {
			if err != nil || len(rows) != 1 {
				return v.HandleReadError(now, a.RequestedAt)
			}
			actions, err := v.HandleRow(now, a.RequestedAt, rows[0])
			if err != nil {
				fbevent.ViewRowRejected.Log(d.log, "error", err.Error())
			}
			return actions
		}))
	})
}

func (d *Daemon) commitViewRow(a fbview.CommitRow) {
	d.requests.Go(func() error {
		ctx, cancel := context.WithTimeout(d.ctx, d.requestTimeout)
		defer cancel()
		err := d.table.Commit(ctx, a.Write)
		o := commitOutcome(err)
		return d.send(d.ctx, viewUpdate(func(v *fbview.View, now time.Time) []fbview.Action {
			return v.HandleCommitOutcome(now, a.RequestedAt, a.Write, o)
		}))
	})
}

func commitOutcome(err error) fbview.CommitOutcome {
	switch {
	case err == nil:
		return fbview.CommitApplied
	case errors.Is(err, filbertford.ErrConflict):
		return fbview.CommitConflict
	default:
		return fbview.CommitUnknown
	}
}

func (d *Daemon) requestPromises(a fbview.RequestPromises) {
	req := fbpeer.NewViewPromiseRequest(d.dataCentre, a.Epoch, d.incarnation, a.Period)
	for _, m := range a.Members {
		d.requests.Go(func() error {
			ctx, cancel := context.WithTimeout(d.ctx, d.requestTimeout)
			defer cancel()
			d.metrics.viewPromiseRequests.Inc(1)
			p, err := d.peers.ConfirmView(ctx, m.Address(), req)
			if err != nil {
				return nil
			}
			return d.send(d.ctx, viewUpdate(func(v *fbview.View, _ time.Time) []fbview.Action {
				v.HandlePromise(m.Incarnation(), a.RequestedAt, fbview.NewPromise(p.Promised(), p.Epoch()))
				return nil
			}))
		})
	}
}
