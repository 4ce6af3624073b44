package fbnode

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"
)

// workerIdleTime is how long a goroutine waits for another call before it ends.
const workerIdleTime = 5 * time.Second

// workers runs calls in goroutines and keeps these for later calls. The stack of a new
// goroutine grows several times during an HTTP call; in an owner with thousands of calls a
// second, copying the stacks takes a tenth of the processor time.
type workers struct {
	ctx   context.Context
	group errgroup.Group
	idle  chan func() error
}

func newWorkers(ctx context.Context) *workers {
	return &workers{ctx: ctx, idle: make(chan func() error)}
}

// Go calls f in a goroutine of its own. It doesn't block.
func (w *workers) Go(f func() error) {
	select {
	case w.idle <- f:
	default:
		w.group.Go(func() error { return w.work(f) })
	}
}

// work calls f and then other functions, until there has been none for workerIdleTime or
// the context has ended.
func (w *workers) work(f func() error) error {
	timer := time.NewTimer(workerIdleTime)
	defer timer.Stop()
	for {
		if err := f(); err != nil {
			return err
		}
		timer.Reset(workerIdleTime)
		select {
		case f = <-w.idle:
		case <-timer.C:
			return nil
		case <-w.ctx.Done():
			return nil
		}
	}
}

// Wait waits until all calls have ended, after the context has ended.
func (w *workers) Wait() error { return w.group.Wait() }
