package fbnode

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/filbertford/filbertford"
	"github.com/filbertford/filbertford/fbfleet"
)

// TestWithdrawalDuringCutIsRepeated guards against tasks that run on, and ends that their targets
// keep for ever, after their job was cancelled while their data centre was cut off.
func TestWithdrawalDuringCutIsRepeated(t *testing.T) {
	const (
		job       = filbertford.JobKey("00000000000000aa")
		cutLength = 250 * time.Millisecond // too short for a takeover
	)
	for name, duration := range map[string]time.Duration{"tasks that run on": time.Minute, "tasks that end during the cut": 1100 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			s := newQuietStoredFleet(t, "casa", "rabat", "marrakech")
			w := filbertford.NewWorkload(job, "spec", filbertford.NewStep(24, filbertford.NewResources(1000, 1, 0), duration))
			s.submitStored(w, duration)
			s.advance(time.Second)
			shard := shardOf(job)
			i := slices.IndexFunc(s.names, func(name filbertford.NodeID) bool { return s.daemons[name].shards[shard] != nil })
			if n := s.tasksOf(job); n < 20 || i < 0 {
				t.Fatalf("%d tasks run and daemon %d owns the shard, want 20 or more of 24 tasks and an owner", n, i)
			}
			owner := s.daemons[s.names[i]]
			cutOff := s.dataCentres[(slices.Index(s.dataCentres, owner.member.DataCentre())+1)%len(s.dataCentres)]
			var inside, outside []string
			for _, name := range s.names {
				if s.daemons[name].member.DataCentre() == cutOff {
					inside = append(inside, string(name))
				} else {
					outside = append(outside, string(name))
				}
			}
			for _, target := range s.targets {
				if target.rec.DataCentre() == cutOff {
					inside = append(inside, target.id())
				}
			}
			s.cutAll(cutLength, inside, append(outside, "store"))
			for _, name := range s.names {
				for _, l := range s.daemons[name].links {
					if slices.Contains(inside, string(name)) != slices.Contains(inside, string(l.to.Node())) {
						l.breakStream()
					}
				}
			}
			owner.post("", func(*simDaemon) { owner.shards[shard].Cancel(1, job) })
			s.advance(cutLength + idleBound)
			if n := s.tasksOf(job); n != 0 {
				t.Errorf("%d tasks run %v after the cut, want none", n, idleBound)
			}
			for _, target := range s.targets {
				if n := len(target.ended); n != 0 {
					t.Errorf("%s keeps %d ends, want none", target.id(), n)
				}
			}
		})
	}
}

// newQuietStoredFleet returns a fleet for stored jobs, with three daemons and three targets in each
// data centre.
func newQuietStoredFleet(t *testing.T, dataCentres ...filbertford.DataCentre) *fleetSim {
	t.Helper()
	s := newEmptySim(rand.New(rand.NewPCG(1, 1)), false)
	s.printTimelinesOnFailure(t)
	s.prepareStored()
	s.dataCentres = dataCentres
	for _, dc := range dataCentres {
		for i := range 3 {
			s.addMember(filbertford.NodeID(fmt.Sprintf("%s-%d", dc, i)), dc, 400>>i)
			s.addTarget(filbertford.TargetID(fmt.Sprintf("%s-t%d", dc, i)), dc, 3)
		}
		s.specs = append(s.specs, fbfleet.NewPoolSpec(dataCentrePool(dc), dc))
	}
	for _, name := range s.names {
		s.startDaemon(name, 0)
	}
	s.advance(4 * time.Second)
	return s
}
