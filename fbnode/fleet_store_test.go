package fbnode

import (
	"slices"
	"strings"
	"time"

	"github.com/filbertford/filbertford"
)

const startWithoutStore = "start-without-store"

// storeFaults returns the faults that are drawn only if -fleet.only names them, so that the
// other seeds stay as they are.
func storeFaults() []simFault {
	if !strings.Contains(*fleetOnly, startWithoutStore) {
		return nil
	}
	return []simFault{{startWithoutStore, func(s *fleetSim) {
		s.stateTargets()
		dc, length := s.dataCentres[s.rand.IntN(len(s.dataCentres))], s.between(time.Second, 7*time.Second)
		whole, cut := s.chance(0.3), s.chance(0.5)
		for _, name := range s.names {
			if s.members[name].DataCentre() != dc {
				continue
			}
			s.cut(string(name), "store", length)
			if cut {
				for _, other := range s.names {
					if s.members[other].DataCentre() != dc {
						s.cutWays(string(name), string(other), length, 2)
					}
				}
			}
			if whole || s.chance(0.5) {
				s.killDaemon(name)
				s.startDaemon(name, s.between(20*time.Millisecond, time.Second))
			}
		}
	}}}
}

// stateTargets makes all daemons state from now on what they know, and fetch the records from
// each other until they have read the store.
func (s *fleetSim) stateTargets() {
	if s.statesTargets {
		return
	}
	s.statesTargets = true
	var poll func()
	poll = func() {
		for _, name := range s.names {
			s.daemons[name].fetchTargets()
		}
		s.after(tickPeriod, poll)
	}
	poll()
}

func (d *simDaemon) fetchTargets() {
	if d.dead || d.paused {
		return
	}
	d.fleet.SetTargetsKnown(len(d.targets) > 0)
	s, name := d.sim, string(d.name())
	if len(d.targets) > 0 {
		return
	}
	for _, other := range s.names {
		o := s.daemons[other]
		if o == d || o.dead || o.paused || len(o.targets) == 0 || s.blocked(name, string(other)) || s.blocked(string(other), name) {
			continue
		}
		records := slices.Clone(o.targets)
		s.after(s.between(50*time.Millisecond, 500*time.Millisecond), func() { d.post("", func(d *simDaemon) { d.useTargets(records) }) })
		return
	}
}

// useTargets uses the records of another daemon unless the store has been read.
func (d *simDaemon) useTargets(records []filbertford.TargetRecord) {
	if d.targetsReadAt != 0 || len(d.targets) > 0 {
		return
	}
	d.sim.logf("%s uses %d records of another daemon", d.name(), len(records))
	d.targets = records
	d.fleet.SetTargetsKnown(true)
	for _, id := range d.poolIDs() {
		d.pools[id].SetTargets(d.sim.now, d.records(id))
	}
}
