package fbnode

import (
	"context"
	"sync/atomic"
	"testing"
)

// TestWorkersRunAllCalls guards against a call that waits for another one to end, and
// against one that is lost when the context ends.
func TestWorkersRunAllCalls(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	w := newWorkers(ctx)
	var done atomic.Int64
	blocked := make(chan struct{})
	const calls = 200
	for range calls {
		w.Go(func() error {
			<-blocked // all of them run at the same time
			done.Add(1)
			return nil
		})
	}
	close(blocked)
	for range calls {
		w.Go(func() error {
			done.Add(1)
			return nil
		})
	}
	cancel()
	if err := w.Wait(); err != nil {
		t.Fatal(err)
	}
	if n := done.Load(); n != 2*calls {
		t.Errorf("%d calls ran, want %d", n, 2*calls)
	}
}
