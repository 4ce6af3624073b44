package fbnode

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/filbertford/filbertford"
	"github.com/filbertford/filbertford/fbfleet"
)

// newQuietFleet returns a fleet without faults and callers. Daemons and targets are named
// DC-0, DC-1 and DC-t0, DC-t1. The first daemon of each data centre weighs most, so that it
// owns the data centre's pool after four seconds, and the following ones succeed it.
func newQuietFleet(t *testing.T, daemons, targets, slots int, dataCentres ...filbertford.DataCentre) *fleetSim {
	t.Helper()
	s := newEmptySim(rand.New(rand.NewPCG(1, 1)), false)
	s.printTimelinesOnFailure(t)
	s.dataCentres = dataCentres
	for _, dc := range dataCentres {
		for i := range daemons {
			s.addMember(filbertford.NodeID(fmt.Sprintf("%s-%d", dc, i)), dc, 400>>i)
		}
		s.specs = append(s.specs, fbfleet.NewPoolSpec(dataCentrePool(dc), dc))
		for i := range targets {
			s.addTarget(filbertford.TargetID(fmt.Sprintf("%s-t%d", dc, i)), dc, slots)
		}
	}
	for _, name := range s.names {
		s.startDaemon(name, 0)
	}
	s.advance(4 * time.Second)
	for _, dc := range dataCentres {
		if d := s.daemons[filbertford.NodeID(string(dc)+"-0")]; d.pools[dataCentrePool(dc)] == nil {
			t.Fatalf("%s doesn't own its pool", d.name())
		}
	}
	return s
}

// submit sends a job with tasks of the duration to a daemon. Its caller does not send it again.
func (s *fleetSim) submit(to filbertford.NodeID, key filbertford.JobKey, tasks int, duration, timeout time.Duration) {
	s.durations[key] = duration
	step := filbertford.NewStep(tasks, filbertford.NewResources(1000, 1, 0), duration)
	c := &simCaller{sim: s, job: filbertford.NewWorkload(key, "spec", step).WithBestEffort(true), timeout: timeout, sent: 2}
	c.sendTo(s.daemons[to])
}

// tasksOf returns how many tasks of a job are running.
func (s *fleetSim) tasksOf(job filbertford.JobKey) int {
	n := 0
	for key, where := range s.running {
		if key.Job() == job {
			n += len(where)
		}
	}
	return n
}

// cutAll cuts the links between each of a and each of b.
func (s *fleetSim) cutAll(d time.Duration, a, b []string) {
	for _, from := range a {
		for _, to := range b {
			s.cutWays(from, to, d, 2)
		}
	}
}
