package fbnode

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/uber-go/tally/v4"
	"golang.org/x/sync/errgroup"

	"github.com/filbertford/filbertford"
	"github.com/filbertford/filbertford/fbfleet"
	"github.com/filbertford/filbertford/fblink"
	"github.com/filbertford/filbertford/fbstandin"
	"github.com/filbertford/filbertford/fbtimer"
	"github.com/filbertford/filbertford/platform"
)

// TestNewerRoutesAreRequestedOnce guards against a request for the routes at each heartbeat that
// names a newer version, each of which is answered with the whole text.
func TestNewerRoutesAreRequestedOnce(t *testing.T) {
	n := newRoutesNode(t)
	n.use(t, 1)
	for range 10 {
		for i := range 40 {
			n.Receive(routesPeer(i), []fblink.Message{routesHeartbeat(routesPeer(i), 2)}, false)
		}
		n.run(60 * time.Millisecond)
	}
	if pulls := n.counter("routes_pulls"); pulls != 1 {
		t.Errorf("%d requests for version 2 within 0.6 s, want 1", pulls)
	}
}

// TestLostRequestForRoutesIsRepeated guards against a daemon that waits for an answer for good.
func TestLostRequestForRoutesIsRepeated(t *testing.T) {
	n := newRoutesNode(t)
	n.use(t, 1)
	for start := time.Now(); n.counter("routes_pulls") < 2; {
		n.Receive(routesPeer(1), []fblink.Message{routesHeartbeat(routesPeer(1), 2)}, false)
		n.run(50 * time.Millisecond)
		if time.Since(start) > 2*time.Second {
			t.Fatalf("%d requests within 2 s of the first heartbeat, want 2", n.counter("routes_pulls"))
		}
	}
}

// TestRepeatedRequestForRoutesIsAnsweredOnce guards against a queue of texts to a daemon whose
// link is too slow for one.
func TestRepeatedRequestForRoutesIsAnsweredOnce(t *testing.T) {
	n := newRoutesNode(t)
	n.use(t, 2)
	for range 20 {
		n.Receive(routesPeer(1), []fblink.Message{fblink.NewRoutesPull(1)}, false)
	}
	n.run(50 * time.Millisecond)
	if pushes := n.counter("routes_pushes"); pushes != 1 {
		t.Errorf("%d texts were sent for 20 requests, want 1", pushes)
	}
}

// TestRoutesDoNotWaitForEvents guards against routes that are in force late because the control
// goroutine is busy.
func TestRoutesDoNotWaitForEvents(t *testing.T) {
	for source, deliver := range map[string]func(n *routesNode){
		"store": func(n *routesNode) { n.watcher(filbertford.TableRoutes).apply(true, routesSnapshot(2)) },
		"another daemon": func(n *routesNode) {
			n.Receive(routesPeer(1), []fblink.Message{fblink.NewRoutesPush(2, []byte("2"))}, false)
		},
	} {
		t.Run(source, func(t *testing.T) {
			n := newRoutesNode(t)
			deliver(n)
			for start := time.Now(); n.Routes() == nil; time.Sleep(time.Millisecond) {
				if time.Since(start) > time.Second {
					t.Fatal("routes are not in force after 1 s in which no event was handled")
				}
			}
		})
	}
}

// TestRoutesMayBeOld checks when a route that the routes in use lack may exist: a caller must not
// learn that it doesn't.
func TestRoutesMayBeOld(t *testing.T) {
	tests := map[string]struct {
		happens func(n *routesNode)
		want    bool
	}{
		"the store has not answered yet": {happens: func(n *routesNode) { n.use(t, 1) }, want: true},
		"the store has answered":         {happens: func(n *routesNode) { n.readRoutes(routesSnapshot(1)) }},
		"a daemon names a newer version": {happens: func(n *routesNode) {
			n.readRoutes(routesSnapshot(1))
			n.Receive(routesPeer(1), []fblink.Message{routesHeartbeat(routesPeer(1), 2)}, false)
		}, want: true},
		"the newer version is in use": {happens: func(n *routesNode) {
			n.readRoutes(routesSnapshot(1))
			n.Receive(routesPeer(1), []fblink.Message{routesHeartbeat(routesPeer(1), 2)}, false)
			n.readRoutes(routesSnapshot(2))
		}},
		"the store has not answered lately": {happens: func(n *routesNode) {
			n.readRoutes(routesSnapshot(1))
			n.routes.readAt.Add(-int64(routesMaxAge))
		}, want: true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			n := newRoutesNode(t)
			tt.happens(n)
			if got := n.RoutesMayBeOld(); got != tt.want {
				t.Errorf("routes may be old: %v, want %v", got, tt.want)
			}
		})
	}
}

// TestRoutesOfKnownVersionAreNotDecoded guards against the decoding of texts that are of no use, which
// takes 0.1 s for some thousand routes on a seventh of a core.
func TestRoutesOfKnownVersionAreNotDecoded(t *testing.T) {
	n := newRoutesNode(t)
	for range 20 {
		n.Receive(routesPeer(1), []fblink.Message{fblink.NewRoutesPush(2, []byte("2"))}, false)
		n.run(10 * time.Millisecond)
	}
	if decoded := n.decoder.decoded.Load(); decoded != 1 {
		t.Errorf("version 2 was decoded %d times, want once", decoded)
	}
}

// TestSilentWatchOfRoutesIsReplaced guards against a version that is in force later than 2 s after its
// acknowledgement because the connection of the watch delivers nothing more.
func TestSilentWatchOfRoutesIsReplaced(t *testing.T) {
	rows := fbstandin.NewRowStore()
	rows.Put("op", "", "config", []byte("1"))
	var requests atomic.Int64
	silent, end := make(chan struct{}), make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if requests.Add(1) == 2 { // the first watch, after the table has been read
			close(silent)
			<-end
			return
		}
		rows.Handler().ServeHTTP(w, r)
	}))
	store := platform.NewStore(server.Listener.Addr().String())
	n := newRoutesNode(t)
	n.deps.Store = store
	ctx, cancel := context.WithCancel(t.Context())
	var group errgroup.Group
	group.Go(func() error { return n.watcher(filbertford.TableRoutes).run(ctx) })
	t.Cleanup(func() {
		cancel()
		_ = group.Wait() // the error of the context
		close(end)
		server.Close()
	})
	<-silent
	rows.Put("op", "", "config", []byte("2"))
	for acknowledged := time.Now(); n.routes.version() != 2; n.run(10 * time.Millisecond) {
		if time.Since(acknowledged) > 2*time.Second {
			t.Fatal("the version isn't in force 2 s after its acknowledgement")
		}
	}
}

// routesNode is a daemon, driven by the test, whose routes are the decimal number of their version.
type routesNode struct {
	*testOwner
	scope   tally.TestScope
	decoder *routesDecoder
}

func newRoutesNode(t *testing.T) *routesNode {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	scope, decoder := tally.NewTestScope("", nil), &routesDecoder{}
	node := New(Options{Member: fbfleet.NewMember("a", 1, "127.0.0.1:2", testDataCentre, 1)}, Dependencies{
		Store: testStore{}, TargetClient: &testTarget{}, Decoder: decoder, Log: log.New(io.Discard), Metrics: scope,
		DroppedLines: func() uint64 { return 0 },
	})
	node.ctx, node.calls = ctx, newWorkers(ctx)
	t.Cleanup(func() {
		cancel()
		_ = node.calls.Wait() // calls return no errors
	})
	return &routesNode{testOwner: &testOwner{Node: node}, scope: scope, decoder: decoder}
}

// use gives the daemon a version of the routes, from another daemon.
func (n *routesNode) use(t *testing.T, version uint64) {
	t.Helper()
	push := fblink.NewRoutesPush(version, []byte(strconv.FormatUint(version, 10)))
	n.Receive(routesPeer(0), []fblink.Message{push}, false)
	for start := time.Now(); n.Routes() == nil; n.run(time.Millisecond) {
		if time.Since(start) > time.Second {
			t.Fatal("the routes aren't in use after 1 s")
		}
	}
}

// counter returns the sum of the counters of the name, without those of what is received.
func (n *routesNode) counter(name string) int {
	sum := 0
	for _, c := range n.scope.Snapshot().Counters() {
		if c.Name() == name && c.Tags()["direction"] != "received" {
			sum += int(c.Value())
		}
	}
	return sum
}

func (n *routesNode) watcher(table filbertford.TableName) *tableWatcher {
	for _, w := range n.tableWatchers() {
		if w.table == table {
			return w
		}
	}
	return nil
}

func routesPeer(i int) fbfleet.Member {
	return fbfleet.NewMember(filbertford.NodeID(fmt.Sprintf("b%02d", i)), 1, "127.0.0.1:3", testDataCentre, 1)
}

func routesHeartbeat(m fbfleet.Member, version uint64) fblink.Heartbeat {
	return fblink.NewHeartbeat(fbfleet.NewHeartbeat(m, false, nil, nil), nil, version)
}

func routesSnapshot(version uint64) filbertford.Snapshot {
	row := filbertford.NewRow("config", []byte(strconv.FormatUint(version, 10)), version)
	return filbertford.NewSnapshot(version, fbtimer.SinceBoot().Milliseconds(), filbertford.NewChange(row))
}

// routesDecoder decodes routes and counts how often it does.
type routesDecoder struct {
	recordDecoder
	decoded atomic.Int64
}

func (*routesDecoder) IsRoutes(filbertford.Row) bool { return true }

func (d *routesDecoder) DecodeRoutes(value []byte) (*filbertford.Routes, error) {
	d.decoded.Add(1)
	version, err := strconv.ParseUint(string(value), 10, 64)
	return filbertford.NewRoutes(version, filbertford.RequestLimits{}), err
}
