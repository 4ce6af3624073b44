package fbnode

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/filbertford/filbertford"
	"github.com/filbertford/filbertford/fbevent"
	"github.com/filbertford/filbertford/fblink"
	"github.com/filbertford/filbertford/fbroutes"
	"github.com/filbertford/filbertford/fbtimer"
)

// storeSource is the source of routes that were read from the store.
const storeSource = "store"

// routesMaxAge is the time without an answer of the store to the watch of the routes from which
// there may be newer ones: the store answers every routesWatchWait.
const routesMaxAge = 2 * time.Second

// routesState holds the routes in use. Its users are several goroutines: routes don't wait behind
// the events of the control goroutine, which a busy daemon handles late.
type routesState struct {
	inUse    atomic.Pointer[routesText]
	applying sync.Mutex   // held while routes are decoded and put in use
	readAt   atomic.Int64 // when the store last answered, in nanoseconds since boot; 0 for never

	mu       sync.Mutex
	exchange *fbroutes.Exchange

	metrics routesMetrics
}

// routesText is a version of the routes with the text that the operator wrote.
type routesText struct {
	routes *filbertford.Routes
	value  []byte
}

// routesMetrics are the metrics of the routes that daemons send each other.
type routesMetrics struct {
	pulls          tally.Counter // sent
	pushesSent     tally.Counter
	pushesReceived tally.Counter
	bytesSent      tally.Counter
	delay          tally.Histogram // from the first heartbeat that names a version until it is in force
}

func newRoutesState(scope tally.Scope) *routesState {
	return &routesState{
		exchange: fbroutes.NewExchange(rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))),
		metrics: routesMetrics{
			pulls:          scope.Counter("routes_pulls"),
			pushesSent:     scope.Tagged(map[string]string{"direction": "sent"}).Counter("routes_pushes"),
			pushesReceived: scope.Tagged(map[string]string{"direction": "received"}).Counter("routes_pushes"),
			bytesSent:      scope.Counter("routes_bytes_sent"),
			delay:          scope.Histogram("routes_delay", latencyBuckets),
		},
	}
}

// version returns the version in use, 0 for none.
func (s *routesState) version() uint64 {
	if t := s.inUse.Load(); t != nil {
		return t.routes.Version()
	}
	return 0
}

// receiveRoutes handles what the messages of a daemon say of the routes. It returns the messages
// that are left to the control goroutine.
func (n *Node) receiveRoutes(from filbertford.NodeID, messages []fblink.Message) []fblink.Message {
	left := make([]fblink.Message, 0, len(messages))
	for _, m := range messages {
		switch v := m.(type) {
		case fblink.RoutesPull:
			n.handleRoutesPull(from, v)
			continue
		case fblink.RoutesPush:
			n.handleRoutesPush(from, v)
			continue
		case fblink.Heartbeat:
			n.routesVersionNamed(from, v.RoutesVersion())
		}
		left = append(left, m)
	}
	return left
}

// routesVersionNamed handles the version of the routes that another daemon uses.
func (n *Node) routesVersionNamed(node filbertford.NodeID, version uint64) {
	s := n.routes
	s.mu.Lock()
	s.exchange.VersionNamed(fbtimer.SinceBoot(), node, version)
	s.mu.Unlock()
	n.pullRoutes()
}

// pullRoutes requests newer routes from another daemon if they are due.
func (n *Node) pullRoutes() {
	s := n.routes
	s.mu.Lock()
	node, pull := s.exchange.Pull(fbtimer.SinceBoot())
	s.mu.Unlock()
	if pull {
		s.metrics.pulls.Inc(1)
		n.hub.Send(node, fblink.NewRoutesPull(s.version()))
	}
}

func (n *Node) handleRoutesPull(node filbertford.NodeID, p fblink.RoutesPull) {
	s := n.routes
	s.mu.Lock()
	push := s.exchange.PullReceived(fbtimer.SinceBoot(), node, p.Have())
	s.mu.Unlock()
	if !push {
		return
	}
	text := s.inUse.Load()
	s.metrics.pushesSent.Inc(1)
	s.metrics.bytesSent.Inc(int64(len(text.value)))
	n.hub.Send(node, fblink.NewRoutesPush(text.routes.Version(), text.value))
}

func (n *Node) handleRoutesPush(node filbertford.NodeID, p fblink.RoutesPush) {
	s := n.routes
	s.metrics.pushesReceived.Inc(1)
	if p.Version() <= s.version() {
		return
	}
	// Receive, which calls this, must not block.
	n.calls.Go(func() error {
		s.applying.Lock()
		defer s.applying.Unlock()
		if p.Version() > s.version() {
			n.applyRoutesLocked(p.Value(), p.Version(), "peer "+string(node))
		}
		return nil
	})
}

// applyRoutes replaces the routes in use if the given ones are newer.
func (n *Node) applyRoutes(value []byte, source string) {
	n.routes.applying.Lock()
	defer n.routes.applying.Unlock()
	n.applyRoutesLocked(value, 0, source)
}

// applyRoutesLocked replaces the routes in use if the given ones are newer. Their sender has named
// their version, 0 if not. The caller holds the lock.
func (n *Node) applyRoutesLocked(value []byte, version uint64, source string) {
	s := n.routes
	r, err := n.deps.Decoder.DecodeRoutes(value)
	if err != nil {
		fbevent.RoutesRejected.Log(n.deps.Log, "source", source, "error", err)
		s.mu.Lock()
		s.exchange.Rejected(fbtimer.SinceBoot(), version)
		s.mu.Unlock()
		return
	}
	if r.Version() <= s.version() {
		return
	}
	now := fbtimer.SinceBoot()
	s.mu.Lock()
	s.inUse.Store(&routesText{routes: r, value: value})
	var delay time.Duration
	if since, behind := s.exchange.Behind(); behind {
		delay = now - since
	}
	s.exchange.Applied(now, r.Version(), len(value), source == storeSource)
	s.mu.Unlock()
	s.metrics.delay.RecordDuration(delay)
	fbevent.RoutesApplied.Log(n.deps.Log, "version", r.Version(), "routes", r.Len(), "bytes", len(value), "source", source, "known_ms", delay.Milliseconds())
}

// routesNodeUnreachable handles that another daemon doesn't answer requests any more.
func (n *Node) routesNodeUnreachable(node filbertford.NodeID) {
	n.routes.mu.Lock()
	defer n.routes.mu.Unlock()
	n.routes.exchange.NodeUnreachable(node)
}

// RoutesMayBeOld reports whether there may be newer routes than those in use: another daemon has
// named a newer version, or the store has not answered lately.
func (n *Node) RoutesMayBeOld() bool {
	s := n.routes
	if readAt := time.Duration(s.readAt.Load()); readAt == 0 || fbtimer.SinceBoot()-readAt > routesMaxAge {
		return true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	_, behind := s.exchange.Behind()
	return behind
}

// readRoutes applies the routes in a read of the routes table.
func (n *Node) readRoutes(s filbertford.Snapshot) {
	readAt := fbtimer.SinceBoot()
	for _, c := range s.Changes() {
		if n.deps.Decoder.IsRoutes(c.Row()) && !c.Removed() {
			n.applyRoutes(c.Row().Value(), storeSource)
		}
	}
	n.routes.mu.Lock()
	n.routes.exchange.StoreAnswered()
	n.routes.mu.Unlock()
	n.routes.readAt.Store(int64(readAt))
}
