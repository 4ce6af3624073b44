package fbdaemon

import (
	"context"
	"time"

	"github.com/filbertford/filbertford/fbcore"
)

// message is something that the control goroutine handles.
type message interface {
	handle(c *control, now time.Time)
}

// coreEvent hands an event to the core.
type coreEvent struct{ event fbcore.Event }

func (m coreEvent) handle(c *control, now time.Time) { c.drive(now, m.event) }

// inquiry runs a function on the control goroutine and closes done.
type inquiry struct {
	run  func(c *control, now time.Time)
	done chan struct{}
}

func (m inquiry) handle(c *control, now time.Time) {
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

// offer queues a message if there is room.
func (d *Daemon) offer(m message) bool {
	select {
	case d.inbox <- m:
		return true
	default:
		return false
	}
}

// inquire runs a function on the control goroutine and waits for its end.
func (d *Daemon) inquire(ctx context.Context, run func(c *control, now time.Time)) error {
	m := inquiry{run: run, done: make(chan struct{})}
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
