package fbnode

import (
	"context"
	"time"

	"github.com/filbertford/filbertford"
	"github.com/filbertford/filbertford/fbsched"
	"github.com/filbertford/filbertford/fbtimer"
)

// lateReplyTimeout is how long a call to a target stays open after it counted as
// unanswered. A late reply shows that the target runs, and keeps the connection usable.
const lateReplyTimeout = time.Second

// replyHandler handles the reply to a call on the control goroutine.
type replyHandler func(p *fbsched.Pool, now time.Duration, r filbertford.CallReply, sent, received time.Duration)

// callTarget calls a target in a new goroutine and passes the reply to done on the
// control goroutine. It drops the reply if the daemon no longer owns the pool under the
// fencing token.
func (n *Node) callTarget(fence uint64, timeout time.Duration, do func(context.Context) filbertford.CallReply, done replyHandler) {
	n.calls.Go(func() error {
		ctx, cancel := context.WithTimeout(n.ctx, timeout)
		defer cancel()
		sent := fbtimer.SinceBoot()
		n.postReply(fence, do(ctx), sent, done)
		return nil
	})
}

// callTargetPatiently does the same, but after the timeout it passes CallUnknown to done and
// keeps waiting for a late reply, which it passes to done too.
func (n *Node) callTargetPatiently(fence uint64, timeout time.Duration, do func(context.Context) filbertford.CallReply, done replyHandler) {
	n.calls.Go(func() error {
		ctx, cancel := context.WithTimeout(n.ctx, timeout+lateReplyTimeout)
		defer cancel()
		expected, cancelExpected := context.WithTimeout(ctx, timeout)
		defer cancelExpected()
		sent := fbtimer.SinceBoot()
		// stopReport prevents the report of CallUnknown, and returns false if it is too late
		// for that.
		stopReport := context.AfterFunc(expected, func() {
			n.postReply(fence, filbertford.NewCallReply(filbertford.CallUnknown, 0).WithDetail("no reply within "+timeout.String()), sent, done)
		})
		r := do(ctx)
		if stopReport() || r.Outcome() != filbertford.CallUnknown {
			n.postReply(fence, r, sent, done)
		}
		return nil
	})
}

// postReply passes the reply to a call to the pool under the fencing token, on the
// control goroutine.
func (n *Node) postReply(fence uint64, r filbertford.CallReply, sent time.Duration, done replyHandler) {
	received := fbtimer.SinceBoot()
	n.post(func(now time.Duration) {
		for _, p := range n.pools {
			if p.Fence() == fence {
				done(p, now, r, sent, received)
			}
		}
	})
}

func (n *Node) startRun(c fbsched.StartCall) {
	do := func(ctx context.Context) filbertford.CallReply { return n.deps.TargetClient.Start(ctx, c.Request) }
	n.callTargetPatiently(c.Request.Fence(), c.Timeout, do, func(p *fbsched.Pool, now time.Duration, r filbertford.CallReply, sent, received time.Duration) {
		p.HandleStartReply(now, c.Request, r, sent, received)
	})
}

func (n *Node) stopRun(c fbsched.StopCall) {
	do := func(ctx context.Context) filbertford.CallReply { return n.deps.TargetClient.Stop(ctx, c.Request) }
	n.callTargetPatiently(c.Request.Fence(), c.Timeout, do, func(p *fbsched.Pool, now time.Duration, r filbertford.CallReply, sent, received time.Duration) {
		p.HandleStopReply(now, c.Request, r, sent, received)
	})
}

func (n *Node) pollStatus(c fbsched.PollCall) {
	do := func(ctx context.Context) filbertford.CallReply { return n.deps.TargetClient.Poll(ctx, c.Request) }
	n.callTarget(c.Request.Fence(), c.Timeout, do, func(p *fbsched.Pool, now time.Duration, r filbertford.CallReply, sent, received time.Duration) {
		p.HandlePollReply(now, c, r, sent, received)
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
