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

// livePeers returns the live daemons of the data centre as members of a view.
func (c *control) livePeers(now time.Time) []fbview.Member {
	var out []fbview.Member
	for _, m := range c.dir.Live(now, c.d.dataCentre) {
		if !m.Leaving() {
			out = append(out, fbview.NewMember(m.State().Incarnation(), m.Address()))
		}
	}
	return out
}

// actOnView carries out the actions of the view of opaque keys.
func (c *control) actOnView(actions []fbview.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case fbview.ReadRow:
			c.d.readView(a)
		case fbview.CommitRow:
			c.d.commitView(a)
		case fbview.AskPromise:
			c.d.askPromises(a)
		case fbview.Adopted:
			fbevent.ViewAdopted.Log(c.d.log, "epoch", a.Row.Epoch(), "members", len(a.Row.Members()))
		}
	}
}

// viewStep brings the outcome of an action to the view.
type viewStep func(v *fbview.View, now time.Time) []fbview.Action

func (m viewStep) handle(c *control, now time.Time) { c.actOnView(m(c.view, now)) }

func (d *Daemon) readView(a fbview.ReadRow) {
	d.traffic.Go(func() error {
		ctx, cancel := context.WithTimeout(d.ctx, d.requestTimeout)
		defer cancel()
		d.metrics.viewReads.Inc(1)
		rows, err := d.table.Read(ctx, a.Key)
		return d.send(d.ctx, viewStep(func(v *fbview.View, now time.Time) []fbview.Action {
			if err != nil || len(rows) != 1 {
				return v.ReadFailed(now, a.Asked)
			}
			actions, err := v.RowRead(now, a.Asked, rows[0])
			if err != nil {
				fbevent.ViewRowRefused.Log(d.log, "error", err.Error())
			}
			return actions
		}))
	})
}

func (d *Daemon) commitView(a fbview.CommitRow) {
	d.traffic.Go(func() error {
		ctx, cancel := context.WithTimeout(d.ctx, d.requestTimeout)
		defer cancel()
		err := d.table.Commit(ctx, a.Write)
		o := commitOutcome(err)
		return d.send(d.ctx, viewStep(func(v *fbview.View, now time.Time) []fbview.Action {
			return v.CommitDone(now, a.Asked, a.Write, o)
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

func (d *Daemon) askPromises(a fbview.AskPromise) {
	q := fbpeer.NewViewQuestion(d.dataCentre, a.Epoch, d.incarnation, a.Period)
	for _, m := range a.Members {
		d.traffic.Go(func() error {
			ctx, cancel := context.WithTimeout(d.ctx, d.requestTimeout)
			defer cancel()
			d.metrics.viewQuestions.Inc(1)
			p, err := d.peers.ConfirmView(ctx, m.Address(), q)
			if err != nil {
				return nil
			}
			return d.send(d.ctx, viewStep(func(v *fbview.View, _ time.Time) []fbview.Action {
				v.PromiseReply(m.Incarnation(), a.Asked, fbview.NewPromise(p.Promised(), p.Epoch()))
				return nil
			}))
		})
	}
}
