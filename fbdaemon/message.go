package fbdaemon

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/filbertford/filbertford/fbcore"
)

// message is a message to the control goroutine.
type message interface {
	handle(c *controlLoop, now time.Time)
}

// coreEvent is the message with an event for the core.
type coreEvent struct{ event fbcore.Event }

func (m coreEvent) handle(c *controlLoop, now time.Time) { c.handleEvent(now, m.event) }

// controlCall is the message with a function to run on the control goroutine, unless the
// caller has given up by then. Once the function has returned, done is closed.
type controlCall struct {
	run     func(c *controlLoop, now time.Time)
	claimed atomic.Bool // by the control goroutine, which runs it, or by the caller, which gave up
	done    chan struct{}
}

func (m *controlCall) handle(c *controlLoop, now time.Time) {
	if !m.claimed.CompareAndSwap(false, true) {
		return
	}
	m.run(c, now)
	close(m.done)
}

// wait waits until the function has returned. If the context is done before it has begun,
// it never runs, and wait returns the context's error.
func (m *controlCall) wait(ctx context.Context) error {
	select {
	case <-m.done:
		return nil
	case <-ctx.Done():
	}
	if m.claimed.CompareAndSwap(false, true) {
		return ctx.Err()
	}
	<-m.done
	return nil
}

// send queues a message. While the queue is full, it waits until the context is
// done.
func (d *Daemon) send(ctx context.Context, m message) error {
	select {
	case d.inbox <- m:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// trySend queues a message and reports true, unless the queue is full.
func (d *Daemon) trySend(m message) bool {
	select {
	case d.inbox <- m:
		return true
	default:
		return false
	}
}

// callControl runs a function on the control goroutine and waits until it has returned.
// It returns an error if the context is done before the function has begun, which then
// does not run: it would change variables that the caller no longer expects to change.
func (d *Daemon) callControl(ctx context.Context, run func(c *controlLoop, now time.Time)) error {
	m := &controlCall{run: run, done: make(chan struct{})}
	if err := d.send(ctx, m); err != nil {
		return err
	}
	return m.wait(ctx)
}
