package fbnode

import (
	"context"
	"time"

	"github.com/filbertford/filbertford"
	"github.com/filbertford/filbertford/fbsched"
	"github.com/filbertford/filbertford/fbtimer"
)

// callTarget makes a call to a target beside the control goroutine and brings its
// reply back. The reply counts only while the pool is owned under the fence.
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

func (n *Node) startRun(o filbertford.StartRunRequest) {
	do := func(ctx context.Context) filbertford.CallReply { return n.deps.TargetClient.Start(ctx, o) }
	n.callTarget(o.Fence(), fbsched.StartTimeout(), do, func(p *fbsched.Pool, now time.Duration, r filbertford.CallReply, sent, received time.Duration) {
		p.HandleStartReply(now, o, r, sent, received)
	})
}

func (n *Node) stopRun(o filbertford.StopRunRequest) {
	do := func(ctx context.Context) filbertford.CallReply { return n.deps.TargetClient.Stop(ctx, o) }
	n.callTarget(o.Fence(), fbsched.StartTimeout(), do, func(p *fbsched.Pool, now time.Duration, r filbertford.CallReply, sent, received time.Duration) {
		p.HandleStopReply(now, o, r, sent, received)
	})
}

func (n *Node) pollStatus(o filbertford.PollRequest) {
	do := func(ctx context.Context) filbertford.CallReply { return n.deps.TargetClient.Poll(ctx, o) }
	n.callTarget(o.Fence(), fbsched.PollTimeout(o), do, func(p *fbsched.Pool, now time.Duration, r filbertford.CallReply, sent, received time.Duration) {
		p.HandlePollReply(now, o, r, sent, received)
	})
}

const (
	// probeCount is the number of targets that a probe of a pool calls.
	probeCount = 3
	// probeTimeout is the time that they have to answer.
	probeTimeout = 200 * time.Millisecond
)

// probePool asks whether any of a pool's targets can be reached. A look without a
// fencing token changes nothing there.
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
