package fbnode

import (
	"encoding/json"
	"flag"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/filbertford/filbertford"
	"github.com/filbertford/filbertford/fbfleet"
	"github.com/filbertford/filbertford/fbshard"
)

var (
	storedSeed  = flag.Uint64("fleet.stored-seed", 5001, "first `seed` of TestStoredJobsOfFleetEnd")
	storedSeeds = flag.Uint64("fleet.stored-seeds", 6, "`number` of seeds of TestStoredJobsOfFleetEnd")
)

const (
	// firstRestart and restartPeriod are the times of the restarts, two daemons at a time.
	firstRestart  = 11 * time.Second
	restartPeriod = 3500 * time.Millisecond
	// idleBound is how long a job may have nothing running after the last fault: the users'
	// three seconds.
	idleBound = 3 * time.Second
)

// newStoredFleet returns a fleet with stored jobs, of which some have a task that crashes its
// targets. The times of faults are those of the day on which a task was never started again.
func newStoredFleet(seed uint64, trace bool) *fleetSim {
	s := newEmptySim(rand.New(rand.NewPCG(seed, 11)), trace)
	s.prepareStored()
	s.dataCentres = []filbertford.DataCentre{"casa", "rabat", "marrakech"}
	for i := range 9 + 3*s.rand.IntN(4) {
		dc := s.dataCentres[i%len(s.dataCentres)]
		s.addMember(filbertford.NodeID(fmt.Sprintf("%s-%d", dc, i/len(s.dataCentres))), dc, 144+s.rand.IntN(600))
	}
	for _, dc := range s.dataCentres {
		s.specs = append(s.specs, fbfleet.NewPoolSpec(dataCentrePool(dc), dc))
		for i := range 6 {
			s.addTarget(filbertford.TargetID(fmt.Sprintf("%s-t%d", dc, i)), dc, 2+s.rand.IntN(3))
		}
	}
	for _, name := range s.names {
		s.startDaemon(name, s.between(0, 300*time.Millisecond))
	}
	s.scheduleStoredJobs()
	s.after(5*time.Second, s.cutTargetsThatRestart)
	s.after(8*time.Second, func() {
		i := slices.IndexFunc(simFaults, func(f simFault) bool { return f.name == "cut-data-centre" })
		simFaults[i].inject(s)
	})
	s.after(10*time.Second, func() {
		s.lossUntil, s.loss, s.lateShare = s.now+5*time.Second, 0.5, 1
	})
	for i, name := range s.names {
		s.after(firstRestart+time.Duration(i/2)*restartPeriod, func() { s.restartDaemon(name) })
	}
	return s
}

// restartDaemon drains a daemon and starts it again.
func (s *fleetSim) restartDaemon(name filbertford.NodeID) {
	d := s.daemons[name]
	d.post("", func(d *simDaemon) { d.fleet.SetDraining() })
	s.after(balancerDelay, func() {
		s.killDaemon(name)
		s.startDaemon(name, s.between(20*time.Millisecond, time.Second))
	})
}

// cutTargetsThatRestart cuts targets off for four seconds. They restart meanwhile.
func (s *fleetSim) cutTargetsThatRestart() {
	for _, t := range s.targets {
		if !s.chance(0.3) {
			continue
		}
		for _, name := range s.names {
			s.cutWays(string(name), t.id(), 4*time.Second, 2)
		}
		s.after(s.between(0, 2*time.Second), func() {
			if !t.down {
				s.crashTarget(t, s.between(100*time.Millisecond, 2*time.Second))
			}
		})
	}
}

// scheduleStoredJobs schedules the callers' jobs. Some of those in the time of the faults have
// a task that crashes its targets.
func (s *fleetSim) scheduleStoredJobs() {
	for at := time.Second; at < s.faultsEnd()-simStart; at += time.Duration(s.rand.ExpFloat64() * float64(120*time.Millisecond)) {
		s.jobs++
		key := filbertford.JobKey(fmt.Sprintf("%016x", s.jobs))
		duration := s.between(60*time.Millisecond, 900*time.Millisecond)
		w := filbertford.NewWorkload(key, "spec", filbertford.NewStep(1+s.rand.IntN(6), filbertford.NewResources(1000, 1, 0), duration))
		if at > 4*time.Second && at < 14*time.Second && s.chance(0.08) {
			s.stored.deadly[filbertford.NewTaskKey(key, 0, 0, 0)] = true
		}
		s.after(at, func() { s.submitStored(w, duration) })
	}
}

// unfinishedJobs describes the accepted jobs that aren't recorded as ended.
func (s *fleetSim) unendedJobs() []string {
	var out []string
	for i := range shardCount {
		for _, c := range s.stored.tables.list(filbertford.TableJobs, string(shardName(i))).Changes() {
			var row struct {
				State fbshard.State `json:"state"`
			}
			if err := json.Unmarshal(c.Row().Value(), &row); err != nil || row.State == fbshard.StateQueued {
				out = append(out, fmt.Sprintf("job %s of %s: %s", c.Row().Key(), shardName(i), c.Row().Value()))
			}
		}
	}
	return out
}

// endedJobs returns the jobs that are recorded as ended.
func (s *fleetSim) endedJobs() map[filbertford.JobKey]bool {
	out := make(map[filbertford.JobKey]bool)
	for i := range shardCount {
		for _, c := range s.stored.tables.list(filbertford.TableJobs, string(shardName(i))).Changes() {
			var row struct {
				State fbshard.State `json:"state"`
			}
			if err := json.Unmarshal(c.Row().Value(), &row); err == nil && row.State != fbshard.StateQueued {
				out[filbertford.JobKey(c.Row().Key())] = true
			}
		}
	}
	return out
}

// faultsEnd returns when the last daemon has been started again.
func (s *fleetSim) faultsEnd() time.Duration {
	rounds := (len(s.names) + 1) / 2
	return simStart + firstRestart + time.Duration(rounds-1)*restartPeriod + balancerDelay + time.Second
}

// longestIdle returns, for each accepted job without a task that crashes its targets, the longest
// time that it has had nothing running while it wasn't recorded as ended, in the time until end.
func (s *fleetSim) longestIdle(end time.Duration) map[filbertford.JobKey]time.Duration {
	out := make(map[filbertford.JobKey]time.Duration)
	active := make(map[filbertford.JobKey]time.Duration)
	for s.now < end {
		s.advance(100 * time.Millisecond)
		ended := s.endedJobs()
		for key, j := range s.stored.jobs {
			if j.accepted == 0 || ended[key] || s.tasksOf(key) > 0 || s.stored.deadly[filbertford.NewTaskKey(key, 0, 0, 0)] {
				active[key] = s.now
			}
			out[key] = max(out[key], s.now-max(active[key], j.accepted))
		}
	}
	return out
}

// TestStoredJobsOfFleetEnd plays fleets with the faults of a day on which a stored task whose run
// was lost was never started again. Once the faults have ended, no job may have nothing running
// for longer than the bound, and each accepted job must end.
func TestStoredJobsOfFleetEnd(t *testing.T) {
	for seed := *storedSeed; seed < *storedSeed+*storedSeeds; seed++ {
		var idle map[filbertford.JobKey]time.Duration
		play := func(trace bool) *fleetSim {
			s := newStoredFleet(seed, trace)
			s.advance(s.faultsEnd() - s.now)
			idle = s.longestIdle(s.now + 20*time.Second)
			s.advance(20 * time.Second)
			s.violations = append(s.violations, s.unendedJobs()...)
			for _, key := range slices.Sorted(maps.Keys(idle)) {
				if idle[key] > idleBound {
					s.violations = append(s.violations, fmt.Sprintf("job %s had nothing running for %v", key, idle[key]))
				}
			}
			return s
		}
		s := play(*fleetTrace)
		reportViolations(t, seed, s, play)
		t.Logf("seed %d: %d daemons, %d jobs, %d runs, longest idle %v", seed, len(s.names), s.jobs, s.runs, slices.Max(slices.Collect(maps.Values(idle))))
	}
}
