package fblink

import (
	"context"
	"net"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
	"storj.io/drpc/drpcconn"

	"github.com/filbertford/filbertford"
	"github.com/filbertford/filbertford/fbfleet"
	"github.com/filbertford/filbertford/fbwire"
)

// TestMessagesOfEarlierStreamDoNotCount checks that messages which were delayed on a daemon's
// earlier stream aren't received after those of its newer one.
func TestMessagesOfEarlierStreamDoNotCount(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	received := make(recorder, 16)
	var group errgroup.Group
	group.Go(func() error { return NewHub(fbfleet.NewMember("a", 1, "", "nordnes", 1), received).Run(ctx, listener) })
	defer func() {
		cancel()
		_ = group.Wait() // ends with the context's error
	}()

	sender := fbfleet.NewMember("b", 1, "b:1", "nordnes", 1)
	open := func() fbwire.DRPCNode_SendClient {
		raw, err := net.Dial("tcp", listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		stream, err := fbwire.NewDRPCNodeClient(drpcconn.New(raw)).Send(ctx)
		if err != nil {
			t.Fatal(err)
		}
		return stream
	}
	send := func(stream fbwire.DRPCNode_SendClient, version uint64) {
		w, err := toWire(NewRoutesPull(version))
		if err != nil {
			t.Fatal(err)
		}
		_ = stream.Send(&fbwire.Frame{Sender: memberToWire(sender), Messages: []*fbwire.Message{w}}) // a replaced stream may be closed
	}
	earlier := open()
	send(earlier, 1)
	received.await(t, 1)
	later := open()
	send(later, 2)
	received.await(t, 2)
	send(earlier, 1)
	select {
	case got := <-received:
		t.Fatalf("received %d from the earlier stream", got)
	case <-time.After(100 * time.Millisecond):
	}
	send(later, 3)
	received.await(t, 3)
}

// recorder receives the versions in pulls of routes.
type recorder chan uint64

func (r recorder) Receive(_ fbfleet.Member, messages []Message, _ bool) {
	for _, m := range messages {
		if pull, ok := m.(RoutesPull); ok {
			r <- pull.Have()
		}
	}
}

func (recorder) Connected(filbertford.NodeID) {}

func (recorder) ConnectionRefused(fbfleet.Member) {}

func (recorder) Malformed(filbertford.NodeID, error) {}

// await checks that the next version received is the given one.
func (r recorder) await(t *testing.T, want uint64) {
	t.Helper()
	select {
	case got := <-r:
		if got != want {
			t.Fatalf("received %d, want %d", got, want)
		}
	case <-time.After(5 * time.Second):
		t.Fatalf("received nothing, want %d", want)
	}
}
