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
	// maxPartEntries is the maximum number of submissions in one part of a handover.
	maxPartEntries = 2000
	// maxHandoverAttempts is the maximum number of successors that are tried.
	maxHandoverAttempts = 3
)

// Ready reports whether the daemon accepts jobs: it has settings and the VM list,
// issues tokens and is not stopping.
func (d *Daemon) Ready() bool {
	return d.token.Load() != nil && !d.stopping.Load()
}

// stop stops the daemon in steps. It immediately reports that it is not ready. After
// the grace period it accepts no new submissions. When no job is in flight, it hands
// its submission table over to a successor.
func (d *Daemon) stop(ctx context.Context) {
	fbevent.DaemonStopping.Log(d.log)
	d.stopping.Store(true)
	d.sleep(ctx, d.stopGrace)
	ctx, cancel := context.WithTimeout(ctx, d.drainTimeout)
	defer cancel()
	err := d.callControl(ctx, func(c *controlLoop, now time.Time) {
		c.view.Leave()
		c.handleEvent(now, fbcore.StopRequested{})
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
	d.handOverSubmissions(ctx)
	d.handOverOpaqueKeys(ctx)
	d.leaveView(ctx)
}

// leaveViewTimeout is the time that the other members have to commit a view without
// this daemon. After it they must wait until this daemon's lease expires.
const leaveViewTimeout = 2 * time.Second

// leaveView waits until the daemon has left the view of opaque keys.
func (d *Daemon) leaveView(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, leaveViewTimeout)
	defer cancel()
	ticks, stop := d.timer.Subscribe(viewTickPeriod)
	defer stop()
	for left := false; !left; {
		if err := d.callControl(ctx, func(c *controlLoop, _ time.Time) { left = c.view.HasLeft() }); err != nil {
			return
		}
		select {
		case <-ticks:
		case <-ctx.Done():
			return
		}
	}
}

// sleep waits for the duration or until the context is done.
func (d *Daemon) sleep(ctx context.Context, duration time.Duration) {
	if duration <= 0 {
		return
	}
	ticks, stop := d.timer.Subscribe(duration)
	defer stop()
	select {
	case <-ticks:
	case <-ctx.Done():
	}
}

// handOverSubmissions sends the submission table to a successor. If no successor
// acknowledges the complete table, the outcome of the submissions becomes unknown.
func (d *Daemon) handOverSubmissions(ctx context.Context) {
	for range maxHandoverAttempts {
		var successor fbmember.Member
		var parts []fbcore.TablePart
		var found bool
		err := d.callControl(ctx, func(c *controlLoop, now time.Time) {
			successor, found = c.dir.Successor(now)
			parts = c.core.TableParts(now, maxPartEntries)
		})
		if err != nil || !found {
			break
		}
		if complete, err := d.sendParts(ctx, successor.Address(), parts); err == nil && complete {
			fbevent.SubmissionsHandedOver.Log(d.log, "heir", successor.Address(), "parts", len(parts))
			return
		}
	}
	fbevent.HandoverFailed.Log(d.log)
}

// handOverOpaqueKeys sends the answers of opaque keys to the members of the view
// that own the keys after this daemon. Keys whose answers don't arrive become
// undecided there.
func (d *Daemon) handOverOpaqueKeys(ctx context.Context) {
	var parts map[string][]fbcore.TablePart
	err := d.callControl(ctx, func(c *controlLoop, _ time.Time) { parts = c.opaqueParts() })
	if err != nil {
		return
	}
	for address, list := range parts {
		if _, err := d.sendParts(ctx, address, list); err != nil {
			fbevent.HandoverFailed.Log(d.log, "heir", address, "error", err.Error())
		}
	}
}

// opaqueParts divides the answers of opaque keys among the other members of the
// view and returns the parts by member address.
func (c *controlLoop) opaqueParts() map[string][]fbcore.TablePart {
	row, ok := c.view.Row()
	if !ok {
		return nil
	}
	var others []fbview.Member
	for _, m := range row.Members() {
		if m.Incarnation() != c.d.incarnation && c.dir.HasMember(m.Address()) {
			others = append(others, m)
		}
	}
	nextRow := fbview.NewRow(row.Epoch(), others...)
	entries := make(map[string][]fbcore.TableEntry)
	for _, e := range c.core.OpaqueEntries() {
		if m, ok := nextRow.Owner(e.ID()); ok {
			entries[m.Address()] = append(entries[m.Address()], e)
		}
	}
	parts := make(map[string][]fbcore.TablePart)
	for address, list := range entries {
		for chunk := range slices.Chunk(list, maxPartEntries) {
			parts[address] = append(parts[address], c.core.OpaquePart(chunk))
		}
	}
	return parts
}

// sendParts sends parts of tables to a successor and reports whether the successor
// has each table completely.
func (d *Daemon) sendParts(ctx context.Context, successor string, parts []fbcore.TablePart) (bool, error) {
	complete := make(map[filbertford.Incarnation]bool)
	for _, p := range parts {
		requestCtx, cancel := context.WithTimeout(ctx, d.requestTimeout)
		got, err := d.peers.Inherit(requestCtx, successor, p)
		cancel()
		if err != nil {
			return false, err
		}
		complete[p.Incarnation()] = got
	}
	for _, got := range complete {
		if !got {
			return false, nil
		}
	}
	return true, nil
}
