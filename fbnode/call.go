package fbnode

import (
	"context"
	"time"

	"github.com/filbertford/filbertford"
	"github.com/filbertford/filbertford/fbsched"
	"github.com/filbertford/filbertford/fbtimer"
)

// callTarget calls a target in a new goroutine and passes the reply to done
// on the control goroutine. It drops the reply if the daemon no longer owns the pool
// under the fencing token.
func (n *Node) callTarget(fence uint64, timeout time.Duration, do func(context.Context) filbertford.CallReply, done func(p *fbsched.Pool, now time.Duration, r filbertford.CallReply, sent, received time.Duration)) {
	n.calls.Go(func() error {
		ctx, cancel := context.WithTimeout(n.ctx, timeout)
		defer cancel()
		sent := fbtimer.SinceBoot()
		r := do(ctx)
		received := fbtimer.SinceBoot()
		n.post(func(now time.Duration) {
			for _, p := range n.pools {
				if p.Fence() == fence {
					done(p, now, r, sent, received)
				}
			}
		})
		return nil
	})
}

func (n *Node) startRun(req filbertford.StartRunRequest) {
	do := func(ctx context.Context) filbertford.CallReply { return n.deps.TargetClient.Start(ctx, req) }
	n.callTarget(req.Fence(), fbsched.StartTimeout(), do, func(p *fbsched.Pool, now time.Duration, r filbertford.CallReply, sent, received time.Duration) {
		p.HandleStartReply(now, req, r, sent, received)
	})
}

func (n *Node) stopRun(req filbertford.StopRunRequest) {
	do := func(ctx context.Context) filbertford.CallReply { return n.deps.TargetClient.Stop(ctx, req) }
	n.callTarget(req.Fence(), fbsched.StartTimeout(), do, func(p *fbsched.Pool, now time.Duration, r filbertford.CallReply, sent, received time.Duration) {
		p.HandleStopReply(now, req, r, sent, received)
	})
}

func (n *Node) pollStatus(req filbertford.PollRequest) {
	do := func(ctx context.Context) filbertford.CallReply { return n.deps.TargetClient.Poll(ctx, req) }
	n.callTarget(req.Fence(), fbsched.PollTimeout(req), do, func(p *fbsched.Pool, now time.Duration, r filbertford.CallReply, sent, received time.Duration) {
		p.HandlePollReply(now, req, r, sent, received)
	})
}

const (
	// probeCount is the number of targets that a probe of a pool calls.
	probeCount = 3
	// probeTimeout is the time that each of them has to answer.
	probeTimeout = 200 * time.Millisecond
)

// probePool checks whether any of a pool's targets can be reached. A poll without a
// fencing token changes nothing at the target.
func (n *Node) probePool(pool filbertford.PoolID) {
	records := n.targets.inPool(pool)
	for i := range min(probeCount, len(records)) {
		rec := records[i*len(records)/probeCount%len(records)]
		n.calls.Go(func() error {
			ctx, cancel := context.WithTimeout(n.ctx, probeTimeout)
			defer cancel()
			r := n.deps.TargetClient.Poll(ctx, filbertford.NewPollRequest(rec.Instance(), rec.Address(), 0, 0, 0, 0))
			if r.Outcome() != filbertford.CallUnknown {
				n.post(func(now time.Duration) { n.fleet.HandleProbeResult(now, pool, true) })
			}
			return nil
		})
	}
}
