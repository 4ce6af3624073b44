package fbnode

import (
	"testing"

	"github.com/filbertford/filbertford/fblink"
)

// TestRoutesAreOldAfterLossOfSource guards against 404 for a route of a version that only a daemon
// which is lost has named.
func TestRoutesAreOldAfterLossOfSource(t *testing.T) {
	for name, lose := range map[string]func(n *routesNode){
		"unreachable": func(n *routesNode) { n.routesNodeUnreachable(routesPeer(1).Node()) },
		"started again": func(n *routesNode) {
			n.Receive(routesPeer(1), []fblink.Message{routesHeartbeat(routesPeer(1), 0)}, false)
		},
	} {
		t.Run(name, func(t *testing.T) {
			n := newRoutesNode(t)
			n.readRoutes(routesSnapshot(1))
			n.Receive(routesPeer(1), []fblink.Message{routesHeartbeat(routesPeer(1), 2)}, false)
			lose(n)
			if !n.RoutesMayBeOld() {
				t.Error("routes of version 1 count as current, though version 2 was in use at a daemon")
			}
		})
	}
}
