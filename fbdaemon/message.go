package fbdaemon

import (
	"context"
	"time"

	"github.com/filbertford/filbertford/fbcore"
)

// message is something that the control goroutine handles.
type message interface {
	handle(c *controlLoop, now time.Time)
}

// coreEvent hands an event to the core.
type coreEvent struct{ event fbcore.Event }

func (m coreEvent) handle(c *controlLoop, now time.Time) { c.handleEvent(now, m.event) }

// controlCall runs a function on the control goroutine and closes done.
type controlCall struct {
	run  func(c *controlLoop, now time.Time)
	done chan struct{}
}

func (m controlCall) handle(c *controlLoop, now time.Time) {
	m.run(c, now)
	close(m.done)
}

// send queues a message, waiting for room until the context ends.
func (d *Daemon) send(ctx context.Context, m message) error {
	select {
	case d.inbox <- m:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// trySend queues a message if there is room.
func (d *Daemon) trySend(m message) bool {
	select {
	case d.inbox <- m:
		return true
	default:
		return false
	}
}

// callControl runs a function on the control goroutine and waits for its end.
func (d *Daemon) callControl(ctx context.Context, run func(c *controlLoop, now time.Time)) error {
	m := controlCall{run: run, done: make(chan struct{})}
	if err := d.send(ctx, m); err != nil {
		return err
	}
	select {
	case <-m.done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
