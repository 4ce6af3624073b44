package fbnode

import (
	"testing"
	"time"

	"github.com/filbertford/filbertford"
	"github.com/filbertford/filbertford/fbtimer"
)

// evacuate returns a change of the routes table that evacuates a data centre.
func evacuate(dc string, version uint64) filbertford.Change {
	return filbertford.NewChange(filbertford.NewRow("evacuate/"+dc, []byte("{}"), version))
}

// TestEvacuationStopsStarts guards against starts in a data centre while its row exists, also
// beside rows that can't be decoded or name no data centre of the fleet, and against a pool
// that stays closed after the row is gone.
func TestEvacuationStopsStarts(t *testing.T) {
	n := newOwner(t)
	n.routesChanged(fbtimer.SinceBoot(), false, filbertford.NewSnapshot(7, 0, evacuate("", 5), evacuate("nowhere", 6), evacuate(testDataCentre, 7)))
	n.handleMessage(fbtimer.SinceBoot(), coordinatorMember, n.batch("00000000000000aa").WithOfferNumber(1))
	n.run(100 * time.Millisecond)
	if starts, _ := n.target.counts(); starts != 0 {
		t.Errorf("%d starts in an evacuated data centre", starts)
	}
	removed := filbertford.NewRemovalChange(filbertford.NewRow("evacuate/"+testDataCentre, nil, 8))
	n.routesChanged(fbtimer.SinceBoot(), false, filbertford.NewSnapshot(8, 0, removed))
	n.handleMessage(fbtimer.SinceBoot(), coordinatorMember, n.batch("00000000000000bb").WithOfferNumber(2))
	n.run(100 * time.Millisecond)
	if starts, _ := n.target.counts(); starts != 1 {
		t.Errorf("%d starts after the evacuation, want 1", starts)
	}
}
