package fbnode

import (
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/filbertford/filbertford"
	"github.com/filbertford/filbertford/fbevent"
	"github.com/filbertford/filbertford/fblink"
	"github.com/filbertford/filbertford/fbtimer"
)

// storeSource is the source of routes that were read from the store.
const storeSource = "store"

// routesMetrics are the metrics of the routes that daemons send each other.
type routesMetrics struct {
	pulls          tally.Counter // sent
	pushesSent     tally.Counter
	pushesReceived tally.Counter
	bytesSent      tally.Counter
	delay          tally.Histogram // from the first word of a version until it is in force
}

func newRoutesMetrics(scope tally.Scope) routesMetrics {
	return routesMetrics{
		pulls:          scope.Counter("routes_pulls"),
		pushesSent:     scope.Tagged(map[string]string{"direction": "sent"}).Counter("routes_pushes"),
		pushesReceived: scope.Tagged(map[string]string{"direction": "received"}).Counter("routes_pushes"),
		bytesSent:      scope.Counter("routes_bytes_sent"),
		delay:          scope.Histogram("routes_delay", latencyBuckets),
	}
}

// routesVersionNamed handles the version of the routes that another daemon uses.
func (n *Node) routesVersionNamed(now time.Duration, node filbertford.NodeID, version uint64) {
	if !n.routesExchange.VersionNamed(now, node, version) {
		return
	}
	n.routesMetrics.pulls.Inc(1)
	n.hub.Send(node, fblink.NewRoutesPull(n.routesVersion()))
}

func (n *Node) handleRoutesPull(now time.Duration, node filbertford.NodeID, p fblink.RoutesPull) {
	if !n.routesExchange.PullReceived(now, node, p.Have()) {
		return
	}
	n.routesMetrics.pushesSent.Inc(1)
	n.routesMetrics.bytesSent.Inc(int64(len(n.routesValue)))
	n.hub.Send(node, fblink.NewRoutesPush(n.routesVersion(), n.routesValue))
}

func (n *Node) handleRoutesPush(node filbertford.NodeID, p fblink.RoutesPush) {
	n.routesMetrics.pushesReceived.Inc(1)
	if p.Version() <= n.routesVersion() {
		return
	}
	n.applyRoutes(p.Value(), "peer "+string(node))
}

// applyRoutes replaces the routes in use if the given ones are newer.
func (n *Node) applyRoutes(value []byte, source string) {
	r, err := n.deps.Decoder.DecodeRoutes(value)
	if err != nil {
		fbevent.RoutesRejected.Log(n.deps.Log, "source", source, "error", err)
		return
	}
	if r.Version() <= n.routesVersion() {
		return
	}
	n.routesValue = value
	n.routes.Store(r)
	now := fbtimer.SinceBoot()
	var delay time.Duration
	if since, behind := n.routesExchange.Behind(); behind {
		delay = now - since
	}
	n.routesExchange.Applied(now, r.Version(), source == storeSource)
	n.routesMetrics.delay.RecordDuration(delay)
	fbevent.RoutesApplied.Log(n.deps.Log, "version", r.Version(), "routes", r.Len(), "bytes", len(value), "source", source, "known_ms", delay.Milliseconds())
}

func (n *Node) routesVersion() uint64 {
	if r := n.routes.Load(); r != nil {
		return r.Version()
	}
	return 0
}
