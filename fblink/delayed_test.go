package fblink

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/filbertford/filbertford"
	"github.com/filbertford/filbertford/fbfleet"
)

// TestDelayedMessageIsNotSent guards against offers that a resumed daemon sends although their
// callers have left: they were queued before the process was suspended.
func TestDelayedMessageIsNotSent(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	received := make(recorder, 16)
	peer := fbfleet.NewMember("a", 1, listener.Addr().String(), "nordnes", 1)
	sender := &suspendedSender{recorder: make(recorder, 16), connected: make(chan struct{}, 16)}
	hub := NewHub(fbfleet.NewMember("b", 1, "b:1", "nordnes", 1), sender)
	sender.suspend = func() {
		hub.Send("a", NewRoutesPull(1))
		time.Sleep(maxQueueDelay + 100*time.Millisecond)
	}
	own, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var group errgroup.Group
	group.Go(func() error { return NewHub(peer, received).Run(ctx, listener) })
	group.Go(func() error { return hub.Run(ctx, own) })
	defer func() {
		cancel()
		_ = group.Wait() // ends with the context's error
	}()
	for len(sender.connected) == 0 { // the hub has a group only when it runs
		hub.SetMembers([]fbfleet.Member{peer})
		time.Sleep(time.Millisecond)
	}
	<-sender.connected
	select {
	case <-sender.connected: // a second stream
	case got := <-received:
		t.Fatalf("received message %d, which had waited for longer than %v", got, maxQueueDelay)
	case <-time.After(5 * time.Second):
		t.Fatal("no second stream within 5 s")
	}
	hub.Send("a", NewRoutesPull(2))
	received.await(t, 2)
}

// suspendedSender is a daemon that is suspended right after it has opened its first stream.
type suspendedSender struct {
	recorder
	connected chan struct{}
	suspend   func()
	resumed   atomic.Bool
}

func (s *suspendedSender) Connected(filbertford.NodeID) {
	s.connected <- struct{}{}
	if s.resumed.CompareAndSwap(false, true) {
		s.suspend()
	}
}
