package fbnode

import (
	"context"
	"time"

	"github.com/filbertford/filbertford"
)

// Routes returns the routes in force, nil if there are none yet.
func (n *Node) Routes() *filbertford.Routes { return n.routes.Load() }

// Ready reports whether new connections are welcome.
func (n *Node) Ready() bool { return n.ready.Load() }

// Stopping reports whether the daemon is about to end.
func (n *Node) Stopping() bool { return n.stopping.Load() }

// Execute runs a best-effort job to its end.
func (n *Node) Execute(ctx context.Context, r filbertford.Route, w filbertford.Workload, timeout time.Duration) filbertford.WorkloadAnswer {
	n.inFlight.Add(1)
	defer n.inFlight.Add(-1)
	request := n.requests.Add(1)
	answer := make(chan filbertford.WorkloadAnswer, 1)
	n.post(func(now time.Duration) {
		n.pendingAnswers[request] = answer
		n.coordinator.Submit(now, request, r, w, timeout)
	})
	select {
	case a := <-answer:
		return a
	case <-ctx.Done():
		n.post(func(now time.Duration) {
			delete(n.pendingAnswers, request)
			n.coordinator.CancelRequest(now, request)
		})
		return filbertford.NewWorkloadAnswer(filbertford.AnswerUnknown, "the caller left")
	case <-n.ctx.Done():
		return filbertford.NewWorkloadAnswer(filbertford.AnswerUnknown, "the daemon has stopped")
	}
}
