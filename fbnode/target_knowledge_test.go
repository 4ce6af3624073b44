package fbnode

import (
	"testing"

	"github.com/filbertford/filbertford"
	"github.com/filbertford/filbertford/fbfleet"
	"github.com/filbertford/filbertford/fbtimer"
)

// TestDaemonStatesWhetherItKnowsTargets checks that heartbeats state that the daemon knows the
// targets once it has read their table, also if that is empty and the store has no version yet.
func TestDaemonStatesWhetherItKnowsTargets(t *testing.T) {
	n := newRoutesNode(t)
	if got := n.fleet.Heartbeat(fbtimer.SinceBoot()).Targets(); got != fbfleet.TargetsUnknown || n.targets.version != 0 {
		t.Errorf("heartbeats state %q and version %d before the first read, want unknown and 0", got, n.targets.version)
	}
	n.targetsChanged(fbtimer.SinceBoot(), true, filbertford.NewSnapshot(0, 0))
	if got := n.fleet.Heartbeat(fbtimer.SinceBoot()).Targets(); got != fbfleet.TargetsKnown || n.targets.version == 0 {
		t.Errorf("heartbeats state %q and version %d after it, want known and a version", got, n.targets.version)
	}
}
