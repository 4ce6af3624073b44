package fbnode

import (
	"testing"
	"time"

	"github.com/filbertford/filbertford"
	"github.com/filbertford/filbertford/fbevacuation"
	"github.com/filbertford/filbertford/fblink"
	"github.com/filbertford/filbertford/fbtimer"
)

// TestNewOwnerWaitsForEvacuations guards against a new owner that starts tasks before it knows
// the evacuations, and against one that waits for ever while it can learn of them from nobody.
func TestNewOwnerWaitsForEvacuations(t *testing.T) {
	tests := map[string]struct {
		learn func(n *testOwner)
		want  int
	}{
		"unknown":                   {learn: func(*testOwner) {}},
		"read from the store":       {learn: func(n *testOwner) { n.readEvacuations(fbtimer.SinceBoot(), true, filbertford.NewSnapshot(9, 0)) }, want: 1},
		"neither store nor daemons": {learn: func(n *testOwner) { n.tickEvacuations(fbtimer.SinceBoot() + evacuationsTimeout) }, want: 1},
		"evacuated, by another daemon": {learn: func(n *testOwner) {
			n.handleMessage(fbtimer.SinceBoot(), coordinatorMember, fblink.NewEvacuationsPush(9, testDataCentre))
		}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			n := newOwner(t)
			n.evacuations.state = fbevacuation.State{}
			n.addPool(fbtimer.SinceBoot(), testDataCentre, n.pools[testDataCentre].Fence())
			n.run(50 * time.Millisecond)
			n.handleMessage(fbtimer.SinceBoot(), coordinatorMember, n.batch("00000000000000aa").WithOfferNumber(1))
			n.run(50 * time.Millisecond)
			if starts, _ := n.target.counts(); starts != 0 {
				t.Fatalf("%d starts before the evacuations are known", starts)
			}
			tt.learn(n)
			n.run(50 * time.Millisecond)
			if starts, _ := n.target.counts(); starts != tt.want {
				t.Errorf("%d starts, want %d", starts, tt.want)
			}
		})
	}
}
