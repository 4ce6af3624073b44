package fbnode

import (
	"testing"
	"time"

	"github.com/filbertford/filbertford"
	"github.com/filbertford/filbertford/fblink"
)

// TestStoreThatDeliversAgainIsPreferred guards against a daemon that requests each version from
// others for good, although the store delivers it, since it once got one from another daemon.
func TestStoreThatDeliversAgainIsPreferred(t *testing.T) {
	n := newRoutesNode(t)
	n.use(t, 1) // from another daemon
	n.watcher(filbertford.TableRoutes).apply(true, routesSnapshot(1))
	n.Receive(routesPeer(1), []fblink.Message{routesHeartbeat(routesPeer(1), 2)}, false)
	n.run(50 * time.Millisecond)
	if pulls := n.counter("routes_pulls"); pulls != 0 {
		t.Errorf("%d requests for version 2 within 50 ms, want 0: the store delivers", pulls)
	}
}
