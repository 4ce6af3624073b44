package fbnode

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/filbertford/filbertford"
	"github.com/filbertford/filbertford/fbsched"
)

// Routes returns the routes in use, nil if there are none yet.
func (n *Node) Routes() *filbertford.Routes {
	if t := n.routes.inUse.Load(); t != nil {
		return t.routes
	}
	return nil
}

// Ready reports whether the daemon accepts new connections.
func (n *Node) Ready() bool { return n.ready.Load() }

// OwnsPool reports whether the daemon owns a pool of targets.
func (n *Node) OwnsPool() bool { return n.ownsPool.Load() }

// Stopping reports whether the daemon is shutting down.
func (n *Node) Stopping() bool { return n.stopping.Load() }

// pendingAnswer is a request about a best-effort job that has no answer yet.
type pendingAnswer struct {
	caller filbertford.Caller
	answer chan filbertford.WorkloadAnswer
}

// Execute runs a best-effort job and returns its outcome. The job is cancelled when
// the context ends.
//
// The request may have waited in a buffer while the process was suspended or had no processor
// time. If its caller has left, it may have sent the job to another daemon, which runs it.
func (n *Node) Execute(ctx context.Context, c filbertford.Caller, r filbertford.Route, w filbertford.Workload, timeout time.Duration) filbertford.WorkloadAnswer {
	n.inFlight.Add(1)
	defer n.inFlight.Add(-1)
	requestID := n.lastRequestID.Add(1)
	answer := make(chan filbertford.WorkloadAnswer, 1)
	n.post(func(now time.Duration) {
		if c.Disconnected() {
			n.recorder.recordCallerLeft(now, w.Key())
			answer <- filbertford.NewWorkloadAnswer(filbertford.AnswerUnknown, callerLeftReason)
			return
		}
		n.pendingAnswers[requestID] = pendingAnswer{caller: c, answer: answer}
		n.coordinator.Submit(now, requestID, r, w, timeout)
	})
	select {
	case a := <-answer:
		return a
	case <-ctx.Done():
		n.post(func(now time.Duration) { n.cancelRequest(now, requestID) })
		return filbertford.NewWorkloadAnswer(filbertford.AnswerUnknown, callerLeftReason)
	case <-n.ctx.Done():
		return filbertford.NewWorkloadAnswer(filbertford.AnswerUnknown, "the daemon has stopped")
	}
}

// callerLeftReason is the reason of an answer that nobody waits for.
const callerLeftReason = "the caller left"

func (n *Node) cancelRequest(now time.Duration, requestID uint64) {
	delete(n.pendingAnswers, requestID)
	n.coordinator.CancelRequest(now, requestID)
}

// cancelDisconnected cancels the requests whose callers have left, without waiting until the HTTP
// server has read the ends of their connections.
func (n *Node) cancelDisconnected(now time.Duration) {
	for _, id := range slices.Sorted(maps.Keys(n.pendingAnswers)) {
		if n.pendingAnswers[id].caller.Disconnected() {
			n.cancelRequest(now, id)
		}
	}
}

func (n *Node) deliverAnswer(a fbsched.Answer) {
	if p, ok := n.pendingAnswers[a.RequestID]; ok {
		delete(n.pendingAnswers, a.RequestID)
		p.answer <- a.Answer // does not block: the channel is buffered for the one answer
	}
}
