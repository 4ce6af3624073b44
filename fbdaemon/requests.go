package fbdaemon

import (
	"context"
	"time"

	"github.com/filbertford/filbertford"
	"github.com/filbertford/filbertford/fbcore"
)

// startTask sends a start request in a separate goroutine and passes its result to
// the core.
func (d *Daemon) startTask(a fbcore.StartTask) {
	d.requests.Go(func() error {
		ctx, cancel := context.WithTimeout(d.ctx, a.Timeout)
		defer cancel()
		r := d.starter.Start(ctx, a.Target, a.Request)
		return d.send(d.ctx, coreEvent{fbcore.StartEnded{Start: a.Request.ID(), Result: r}})
	})
}

// stopTasks sends a stop request. A failure is ignored, since each start ends with
// its own reply or when its lease expires.
func (d *Daemon) stopTasks(a fbcore.StopTasks) {
	d.requests.Go(func() error {
		ctx, cancel := context.WithTimeout(d.ctx, d.requestTimeout)
		defer cancel()
		_ = d.stopper.Stop(ctx, a.Target, a.Starts)
		return nil
	})
}

// renewLease requests the renewal of a lease and reports a success to the core.
// The renewed lease counts from the time of the request.
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

// runPeriodically calls f immediately and then about once per period until the
// context is done. A call that takes longer than the period delays the next.
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
