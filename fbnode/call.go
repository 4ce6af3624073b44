package fbnode

import (
	"context"
	"time"

	"github.com/filbertford/filbertford"
	"github.com/filbertford/filbertford/fbsched"
	"github.com/filbertford/filbertford/fbtimer"
)

// call makes a call to a target beside the control goroutine and brings its
// reply back. The reply counts only while the pool is owned under the fence.
func (n *Node) call(fence uint64, timeout time.Duration, do func(context.Context) filbertford.CallReply, done func(p *fbsched.Pool, now time.Duration, r filbertford.CallReply, sent, received time.Duration)) {
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

func (n *Node) start(o filbertford.StartOrder) {
	do := func(ctx context.Context) filbertford.CallReply { return n.parts.Executor.Start(ctx, o) }
	n.call(o.Fence(), fbsched.StartTimeout(), do, func(p *fbsched.Pool, now time.Duration, r filbertford.CallReply, sent, received time.Duration) {
		p.StartReply(now, o, r, sent, received)
	})
}

func (n *Node) stop(o filbertford.StopOrder) {
	do := func(ctx context.Context) filbertford.CallReply { return n.parts.Executor.Stop(ctx, o) }
	n.call(o.Fence(), fbsched.StartTimeout(), do, func(p *fbsched.Pool, now time.Duration, r filbertford.CallReply, sent, received time.Duration) {
		p.StopReply(now, o, r, sent, received)
	})
}

func (n *Node) look(o filbertford.LookOrder) {
	do := func(ctx context.Context) filbertford.CallReply { return n.parts.Executor.Look(ctx, o) }
	n.call(o.Fence(), fbsched.LookTimeout(o), do, func(p *fbsched.Pool, now time.Duration, r filbertford.CallReply, sent, received time.Duration) {
		p.LookReply(now, o, r, sent, received)
	})
}

const (
	// probeCount is the number of targets that a probe of a pool calls.
	probeCount = 3
	// probeTimeout is the time that they have to answer.
	probeTimeout = 200 * time.Millisecond
)

// probe asks whether any of a pool's targets can be reached. A look without a
// fencing token changes nothing there.
func (n *Node) probe(pool filbertford.PoolID) {
	records := n.table.pool(pool)
	for i := range min(probeCount, len(records)) {
		rec := records[i*len(records)/probeCount%len(records)]
		n.calls.Go(func() error {
			ctx, cancel := context.WithTimeout(n.ctx, probeTimeout)
			defer cancel()
			r := n.parts.Executor.Look(ctx, filbertford.NewLookOrder(rec.Boot(), rec.Address(), 0, 0, 0, 0))
			if r.Outcome() != filbertford.CallUnknown {
				n.post(func(now time.Duration) { n.fleet.Probed(now, pool, true) })
			}
			return nil
		})
	}
}
