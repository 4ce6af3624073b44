package fbnode

import (
	"testing"

	"github.com/filbertford/filbertford"
)

// TestOlderRoutesAreNotUsed guards against a daemon that answers by an earlier version than before,
// after a read that was under way while another daemon sent a newer one.
func TestOlderRoutesAreNotUsed(t *testing.T) {
	n := newRoutesNode(t)
	n.use(t, 2)
	n.watcher(filbertford.TableRoutes).apply(true, routesSnapshot(1))
	if version := n.Routes().Version(); version != 2 {
		t.Errorf("version %d is in use, want 2", version)
	}
}
