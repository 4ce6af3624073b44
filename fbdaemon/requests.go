package fbdaemon

import (
	"context"
	"time"

	"github.com/filbertford/filbertford"
	"github.com/filbertford/filbertford/fbcore"
)

// startTask sends a start in a goroutine of its own and brings its end back.
func (d *Daemon) startTask(a fbcore.StartTask) {
	d.requests.Go(func() error {
		ctx, cancel := context.WithTimeout(d.ctx, a.Timeout)
		defer cancel()
		r := d.starter.Start(ctx, a.Target, a.Request)
		return d.send(d.ctx, coreEvent{fbcore.StartEnded{Start: a.Request.ID(), Result: r}})
	})
}

// stopTasks sends a stop request. Its failure needs no handling: the starts end
// with their own replies or leases.
func (d *Daemon) stopTasks(a fbcore.StopTasks) {
	d.requests.Go(func() error {
		ctx, cancel := context.WithTimeout(d.ctx, d.requestTimeout)
		defer cancel()
		_ = d.stopper.Stop(ctx, a.Target, a.Starts)
		return nil
	})
}

// renewLease asks for a renewal and brings its success back. The lease counts
// from when it was asked for.
func (d *Daemon) renewLease(a fbcore.RenewLease) {
	requestedAt := d.timer.Now()
	d.requests.Go(func() error {
		ctx, cancel := context.WithTimeout(d.ctx, min(d.requestTimeout, a.Lease/6))
		defer cancel()
		if err := d.stopper.Renew(ctx, a.Target, d.incarnation, a.Lease); err != nil {
			return nil
		}
		return d.send(d.ctx, coreEvent{fbcore.LeaseRenewed{Target: filbertford.TargetID(a.Target.ID()), RequestedAt: requestedAt}})
	})
}

// runPeriodically calls f about every period until the context ends. A call that takes
// longer than the period delays the next.
func (d *Daemon) runPeriodically(ctx context.Context, period time.Duration, f func(ctx context.Context)) error {
	ticks, stop := d.timer.Subscribe(period)
	defer stop()
	f(ctx)
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticks:
			f(ctx)
		}
	}
}
