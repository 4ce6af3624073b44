package fbdaemon

import (
	"context"
	"slices"
	"time"

	"github.com/filbertford/filbertford"
	"github.com/filbertford/filbertford/fbcore"
	"github.com/filbertford/filbertford/fbevent"
	"github.com/filbertford/filbertford/fbmember"
	"github.com/filbertford/filbertford/fbview"
)

const (
	// partEntries is the number of submissions in one part of a hand-over.
	partEntries = 2000
	// handOverTries is the number of heirs that are tried.
	handOverTries = 3
)

// Ready reports whether the daemon takes jobs: it has settings and a list of
// VMs, issues tokens and is not about to stop.
func (d *Daemon) Ready() bool {
	return d.token.Load() != nil && !d.leaving.Load()
}

// stop ends the daemon's service: readiness goes first, then the first
// deliveries, then, when nothing is in flight, the table goes to an heir.
func (d *Daemon) stop(ctx context.Context) {
	fbevent.DaemonStopping.Log(d.log)
	d.leaving.Store(true)
	d.pause(ctx, d.stopGrace)
	ctx, cancel := context.WithTimeout(ctx, d.drainTimeout)
	defer cancel()
	err := d.inquire(ctx, func(c *control, now time.Time) {
		c.view.Leave()
		c.drive(now, fbcore.StopRequested{})
	})
	if err != nil {
		return
	}
	select {
	case <-d.control.drained:
	case <-ctx.Done():
		fbevent.StopDrainTimeout.Log(d.log, "waited", d.drainTimeout)
		return
	}
	d.handOver(ctx)
	d.handOpaque(ctx)
	d.leaveView(ctx)
}

// leaveTimeout is the time that the other members have to commit a view without
// this daemon. After it they wait for the daemon's confirmation to lapse.
const leaveTimeout = 2 * time.Second

// leaveView waits until the daemon is in no view of opaque keys.
func (d *Daemon) leaveView(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	ticks, stop := d.timer.Subscribe(viewPeriod)
	defer stop()
	for left := false; !left; {
		if err := d.inquire(ctx, func(c *control, _ time.Time) { left = c.view.Left() }); err != nil {
			return
		}
		select {
		case <-ticks:
		case <-ctx.Done():
			return
		}
	}
}

// pause waits for a time or the end of the context.
func (d *Daemon) pause(ctx context.Context, period time.Duration) {
	if period <= 0 {
		return
	}
	ticks, stop := d.timer.Subscribe(period)
	defer stop()
	select {
	case <-ticks:
	case <-ctx.Done():
	}
}

// handOver passes the table to an heir. If no heir acknowledges all of it, the
// outcome of the submissions becomes unknown.
func (d *Daemon) handOver(ctx context.Context) {
	for range handOverTries {
		var heir fbmember.Member
		var parts []fbcore.Part
		var found bool
		err := d.inquire(ctx, func(c *control, now time.Time) {
			heir, found = c.dir.Heir(now)
			parts = c.core.Parts(now, partEntries)
		})
		if err != nil || !found {
			break
		}
		if whole, err := d.handParts(ctx, heir.Address(), parts); err == nil && whole {
			fbevent.SubmissionsHandedOver.Log(d.log, "heir", heir.Address(), "parts", len(parts))
			return
		}
	}
	fbevent.HandoverFailed.Log(d.log)
}

// handOpaque passes the answers of opaque keys to the members of the view that
// own the keys after this daemon. What does not arrive becomes undecided there.
func (d *Daemon) handOpaque(ctx context.Context) {
	var parts map[string][]fbcore.Part
	err := d.inquire(ctx, func(c *control, _ time.Time) { parts = c.opaqueParts() })
	if err != nil {
		return
	}
	for address, list := range parts {
		if _, err := d.handParts(ctx, address, list); err != nil {
			fbevent.HandoverFailed.Log(d.log, "heir", address, "error", err.Error())
		}
	}
}

// opaqueParts divides the answers of opaque keys among the other members of the
// view.
func (c *control) opaqueParts() map[string][]fbcore.Part {
	row, ok := c.view.Row()
	if !ok {
		return nil
	}
	var others []fbview.Member
	for _, m := range row.Members() {
		if m.Incarnation() != c.d.incarnation && c.dir.Known(m.Address()) {
			others = append(others, m)
		}
	}
	after := fbview.NewRow(row.Epoch(), others...)
	entries := make(map[string][]fbcore.Entry)
	for _, e := range c.core.OpaqueEntries() {
		if m, ok := after.Owner(e.Unique()); ok {
			entries[m.Address()] = append(entries[m.Address()], e)
		}
	}
	parts := make(map[string][]fbcore.Part)
	for address, list := range entries {
		for chunk := range slices.Chunk(list, partEntries) {
			parts[address] = append(parts[address], c.core.OpaquePart(chunk))
		}
	}
	return parts
}

// handParts passes parts to an heir and reports whether it has every table whole.
func (d *Daemon) handParts(ctx context.Context, heir string, parts []fbcore.Part) (bool, error) {
	whole := make(map[filbertford.Incarnation]bool)
	for _, p := range parts {
		ask, cancel := context.WithTimeout(ctx, d.requestTimeout)
		got, err := d.peers.Inherit(ask, heir, p)
		cancel()
		if err != nil {
			return false, err
		}
		whole[p.Incarnation()] = got
	}
	for _, got := range whole {
		if !got {
			return false, nil
		}
	}
	return true, nil
}
