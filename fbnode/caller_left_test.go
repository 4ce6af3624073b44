package fbnode

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/filbertford/filbertford"
	"github.com/filbertford/filbertford/fbtimer"
)

// testCaller is a caller that may leave.
type testCaller struct{ left atomic.Bool }

func (c *testCaller) Disconnected() bool { return c.left.Load() }

var callerRoute = filbertford.NewRoute("host", "/jobs/", "ordering").WithPolicy(0, 3).WithObjective(2, time.Second, 0)

// callerJob returns a job with one task.
func callerJob() filbertford.Workload {
	return filbertford.NewWorkload("00000000000000aa", "spec", filbertford.NewStep(1, filbertford.NewResources(1000, 1, 0), 10*time.Second))
}

// TestJobOfCallerThatLeftIsNotBegun guards against a second run of a job that its caller has sent to
// another daemon before this one gets to the request.
func TestJobOfCallerThatLeftIsNotBegun(t *testing.T) {
	n, c := newOwner(t), &testCaller{}
	c.left.Store(true)
	var calls errgroup.Group
	calls.Go(func() error {
		n.Execute(t.Context(), c, callerRoute, callerJob().WithBestEffort(true), time.Minute)
		if a := n.Submit(t.Context(), c, callerRoute, callerJob(), time.Minute); a.Kind() == filbertford.AnswerAccepted {
			t.Error("the job was stored")
		}
		return nil
	})
	n.run(100 * time.Millisecond)
	_ = calls.Wait() // ends at once, since nobody waits for an answer
	if starts, _ := n.target.counts(); starts != 0 || len(n.pendingStored) != 0 {
		t.Errorf("%d starts and %d requests to shards, want none", starts, len(n.pendingStored))
	}
}

// TestSuspendedDaemonStopsJobsOfCallersThatLeft guards against runs that continue after a suspension
// in which their caller has sent the job to another daemon.
func TestSuspendedDaemonStopsJobsOfCallersThatLeft(t *testing.T) {
	n, c := newOwner(t), &testCaller{}
	n.run(suspensionWait)
	var calls errgroup.Group
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	calls.Go(func() error {
		n.Execute(ctx, c, callerRoute, callerJob().WithBestEffort(true), time.Minute)
		return nil
	})
	n.run(100 * time.Millisecond)
	c.left.Store(true)
	n.lastTick = fbtimer.SinceBoot() - 2*suspensionThreshold
	n.run(50 * time.Millisecond) // the context of the request hasn't ended
	if starts, stops := n.target.counts(); starts != 1 || stops != 1 {
		t.Errorf("%d starts and %d stops, want one each", starts, stops)
	}
	cancel()
	_ = calls.Wait() // returns no error
}
