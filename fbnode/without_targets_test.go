package fbnode

import (
	"testing"
	"time"

	"github.com/filbertford/filbertford"
	"github.com/filbertford/filbertford/fbfleet"
	"github.com/filbertford/filbertford/fblink"
	"github.com/filbertford/filbertford/fbsched"
	"github.com/filbertford/filbertford/fbtimer"
)

// TestHeartbeatsTellOfOwnersWithoutTargets checks that a job isn't offered to another daemon from
// the heartbeat on that claims the pool and states that the daemon knows no targets.
func TestHeartbeatsTellOfOwnersWithoutTargets(t *testing.T) {
	for name, tt := range map[string]struct {
		knows   []fbfleet.TargetKnowledge // of the owner's heartbeats
		offered bool
	}{
		"knows no targets":   {knows: []fbfleet.TargetKnowledge{fbfleet.TargetsUnknown}},
		"knows them":         {knows: []fbfleet.TargetKnowledge{fbfleet.TargetsKnown}, offered: true},
		"earlier version":    {knows: []fbfleet.TargetKnowledge{fbfleet.TargetsUnstated}, offered: true},
		"has learned of all": {knows: []fbfleet.TargetKnowledge{fbfleet.TargetsUnknown, fbfleet.TargetsKnown}, offered: true},
	} {
		t.Run(name, func(t *testing.T) {
			n := newRoutesNode(t)
			n.opts.DataCentres = []filbertford.DataCentre{testDataCentre}
			n.updatePools()
			now, owner := fbtimer.SinceBoot(), routesPeer(1)
			for _, k := range tt.knows {
				claims := []fbfleet.Claim{fbfleet.NewClaim(testDataCentre, 9)}
				n.handleMessage(now, owner, fblink.NewHeartbeat(fbfleet.NewHeartbeat(owner, false, nil, claims).WithTargets(k), nil, 0))
			}
			step := filbertford.NewStep(1, filbertford.NewResources(1000, 1, 0), time.Second)
			n.coordinator.Submit(now+time.Second, 1, filbertford.NewRoute("h", "/", "ordering").WithPolicy(0, 3).WithObjective(1.6, time.Second, 0),
				filbertford.NewWorkload("00000000000000aa", "", step).WithBestEffort(true), 8*time.Second)
			offered, answered := false, false
			for _, a := range n.coordinator.TakeActions() {
				switch a.(type) {
				case fbsched.SendBatch:
					offered = true
				case fbsched.Answer:
					answered = true
				}
			}
			if offered != tt.offered || answered == tt.offered {
				t.Errorf("offered %v, answered %v; want %v and %v", offered, answered, tt.offered, !tt.offered)
			}
		})
	}
}
