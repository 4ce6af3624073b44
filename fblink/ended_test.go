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

// TestQueuedMessageOfSuspendedDaemonDoesNotCount guards against offers that a resumed daemon sends although
// their callers have left: they were queued before it was suspended, and its peer has ended the stream since.
func TestQueuedMessageOfSuspendedDaemonDoesNotCount(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	listen := func() net.Listener {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		return l
	}
	peerListener, ownListener := listen(), listen()
	received := make(recorder, 16)
	peer := fbfleet.NewMember("a", 1, peerListener.Addr().String(), "nordnes", 1)
	peerHub := NewHub(peer, received)
	sender := &suspendedSender{recorder: make(recorder, 16), connected: make(chan struct{}, 16)}
	hub := NewHub(fbfleet.NewMember("b", 1, "b:1", "nordnes", 1), sender)
	sender.suspend = func() {
		hub.Send("a", NewRoutesPull(1))
		hub.Send("a", NewRoutesPull(2))
		for !peerHub.hasStream("b") {
			time.Sleep(time.Millisecond)
		}
		peerHub.EndStream("b")
	}
	var group errgroup.Group
	group.Go(func() error { return peerHub.Run(ctx, peerListener) })
	group.Go(func() error { return hub.Run(ctx, ownListener) })
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
		t.Fatalf("received message %d on a stream that has ended", got)
	case <-time.After(5 * time.Second):
		t.Fatal("no second stream within 5 s")
	}
	hub.Send("a", NewRoutesPull(3))
	received.await(t, 3)
}

// hasStream reports whether a stream of a daemon has begun and counts.
func (h *Hub) hasStream(node filbertford.NodeID) bool {
	h.server.endMu.Lock()
	defer h.server.endMu.Unlock()
	_, ok := h.server.streams[node]
	return ok
}

// suspendedSender is a daemon that is suspended right after it has opened its first stream.
type suspendedSender struct {
	recorder
	connected chan struct{}
	suspend   func()
	resumed   atomic.Bool
}

// Connected implements Receiver.
func (s *suspendedSender) Connected(filbertford.NodeID) {
	s.connected <- struct{}{}
	if s.resumed.CompareAndSwap(false, true) {
		s.suspend()
	}
}
