package fbnode

import (
	"slices"
	"strings"
	"time"

	"github.com/filbertford/filbertford"
)

// simFault is a kind of fault. It lasts for the time that it draws.
type simFault struct {
	name   string
	inject func(s *fleetSim)
}

var simFaults = []simFault{
	{"kill", func(s *fleetSim) {
		name := s.anyDaemon()
		s.killDaemon(name)
		s.startDaemon(name, s.between(20*time.Millisecond, 3*time.Second))
	}},
	{"kill-owner", func(s *fleetSim) {
		name := s.anyOwner()
		s.killDaemon(name)
		s.startDaemon(name, s.between(20*time.Millisecond, 3*time.Second))
	}},
	{"kill-all", func(s *fleetSim) {
		back := s.between(20*time.Millisecond, time.Second)
		for _, name := range s.names {
			s.killDaemon(name)
			s.startDaemon(name, back+s.between(0, 300*time.Millisecond))
		}
	}},
	{"pause", func(s *fleetSim) { s.pauseDaemon(s.anyDaemon(), s.between(100*time.Millisecond, 3*time.Second)) }},
	{"pause-owner", func(s *fleetSim) { s.pauseDaemon(s.anyOwner(), s.between(100*time.Millisecond, 3*time.Second)) }},
	{"cut-daemons", func(s *fleetSim) { s.cutBetween(string(s.anyDaemon()), string(s.anyDaemon())) }},
	{"cut-one-daemon", func(s *fleetSim) {
		name, length, ways := string(s.anyDaemon()), s.cutLength(), s.rand.IntN(3)
		for _, other := range s.names {
			s.cutWays(name, string(other), length, ways)
		}
	}},
	{"cut-data-centre", func(s *fleetSim) {
		dc, length, ways := s.dataCentres[s.rand.IntN(len(s.dataCentres))], s.cutLength(), s.rand.IntN(3)
		for _, name := range s.names {
			local := s.members[name].DataCentre() == dc
			for _, other := range s.names {
				if local && s.members[other].DataCentre() != dc {
					s.cutWays(string(name), string(other), length, ways)
				}
			}
			for _, t := range s.targets {
				if local && t.rec.DataCentre() != dc {
					s.cutWays(string(name), t.id(), length, ways)
				} else if !local && t.rec.DataCentre() == dc {
					s.cutWays(t.id(), string(name), length, ways)
				}
			}
			if local && s.chance(0.5) {
				s.cut(string(name), "store", length)
			}
		}
	}},
	{"cut-targets", func(s *fleetSim) {
		t, length, ways := s.targets[s.rand.IntN(len(s.targets))], s.cutLength(), s.rand.IntN(3)
		for _, name := range s.names {
			if s.chance(0.5) {
				s.cutWays(string(name), t.id(), length, ways)
			}
		}
	}},
	{"cut-owner-from-targets", func(s *fleetSim) {
		name, length, ways := string(s.anyOwner()), s.cutLength(), s.rand.IntN(3)
		for _, t := range s.targets {
			if s.chance(0.5) {
				s.cutWays(name, t.id(), length, ways)
			}
		}
	}},
	{"cut-owner-from-successor", func(s *fleetSim) {
		owner, other, length, ways := s.anyOwner(), s.anyDaemon(), s.cutLength(), s.rand.IntN(3)
		s.cutWays(string(owner), string(other), length, ways)
		ways = s.rand.IntN(3)
		for _, t := range s.targets {
			if s.daemons[owner].pools[dataCentrePool(t.rec.DataCentre())] != nil && s.chance(0.5) {
				s.cutWays(string(other), t.id(), length, ways)
			}
		}
	}},
	{"split", func(s *fleetSim) {
		// Each daemon and target is on one of two sides, or reaches both.
		var sides [2][]string
		both := s.rand.Float64() / 2
		place := func(name string) {
			if !s.chance(both) {
				side := s.rand.IntN(2)
				sides[side] = append(sides[side], name)
			}
		}
		for _, name := range s.names {
			place(string(name))
		}
		for _, t := range s.targets {
			place(t.id())
		}
		length, ways := s.cutLength(), s.rand.IntN(3)
		for _, a := range sides[0] {
			for _, b := range sides[1] {
				s.cutWays(a, b, length, ways)
			}
		}
	}},
	{"restart-target", func(s *fleetSim) {
		t := s.targets[s.rand.IntN(len(s.targets))]
		t.restart()
		s.after(s.between(10*time.Millisecond, 3*time.Second), func() {
			i := slices.IndexFunc(s.store.targets, func(r filbertford.TargetRecord) bool { return r.Instance().ID() == t.rec.Instance().ID() })
			s.store.targets[i] = t.rec
		})
	}},
	{"cut-store", func(s *fleetSim) {
		length := s.cutLength()
		for _, name := range s.names {
			if s.chance(0.7) {
				s.cut(string(name), "store", length)
			}
		}
	}},
	{"lose-calls", func(s *fleetSim) {
		s.lossUntil, s.loss, s.lateShare = s.now+s.between(500*time.Millisecond, 6*time.Second), 0.05+0.45*s.rand.Float64(), s.rand.Float64()
	}},
	{"slow-network", func(s *fleetSim) {
		s.slowUntil, s.slowBy = s.now+s.between(500*time.Millisecond, 4*time.Second), s.between(20*time.Millisecond, 400*time.Millisecond)
	}},
	{"break-streams", func(s *fleetSim) {
		share := s.rand.Float64()
		for _, name := range s.names {
			for _, other := range s.names {
				if l := s.daemons[name].links[other]; l != nil && s.chance(share) {
					l.breakStream()
				}
			}
		}
	}},
	{"reset-all", func(s *fleetSim) {
		share := s.rand.Float64()
		for _, name := range s.names {
			for _, other := range s.names {
				if l := s.daemons[name].links[other]; l != nil && s.chance(share) {
					l.breakStream()
				}
			}
			s.breakRequests(s.daemons[name], share)
		}
	}},
	{"reset-callers", func(s *fleetSim) { s.breakRequests(s.daemons[s.anyDaemon()], s.rand.Float64()) }},
	{"drain", func(s *fleetSim) {
		name := s.anyDaemon()
		d := s.daemons[name]
		d.post("", func(d *simDaemon) { d.fleet.SetDraining() })
		s.after(balancerDelay, func() {
			if s.daemons[name] == d {
				s.killDaemon(name)
				s.startDaemon(name, s.between(20*time.Millisecond, 2*time.Second))
			}
		})
	}},
}

func (s *fleetSim) anyDaemon() filbertford.NodeID { return s.names[s.rand.IntN(len(s.names))] }

// anyOwner returns a daemon that owns a pool, or any if none does.
func (s *fleetSim) anyOwner() filbertford.NodeID {
	var owners []filbertford.NodeID
	for _, name := range s.names {
		if d := s.daemons[name]; !d.dead && len(d.pools) > 0 {
			owners = append(owners, name)
		}
	}
	if len(owners) == 0 {
		return s.anyDaemon()
	}
	return owners[s.rand.IntN(len(owners))]
}

func (s *fleetSim) cutLength() time.Duration {
	if s.chance(0.5) {
		return s.between(100*time.Millisecond, 2*time.Second)
	}
	return s.between(time.Second, 7*time.Second)
}

func (s *fleetSim) cutBetween(a, b string) { s.cutWays(a, b, s.cutLength(), s.rand.IntN(3)) }

// cutWays cuts the link between a and b: the way there, the way back, or both.
func (s *fleetSim) cutWays(a, b string, length time.Duration, ways int) {
	if ways != 1 {
		s.cut(a, b, length)
	}
	if ways != 0 {
		s.cut(b, a, length)
	}
}

// scheduleFaults draws two to nine faults of up to four kinds.
func (s *fleetSim) scheduleFaults(faults []simFault) {
	kinds := slices.DeleteFunc(append(slices.Clone(faults), storeFaults()...), func(f simFault) bool {
		return *fleetOnly != "" && !slices.ContainsFunc(strings.Split(*fleetOnly, ","), func(name string) bool { return strings.Contains(f.name, name) })
	})
	if len(kinds) == 0 {
		panic("no fault has a name of -fleet.only")
	}
	s.rand.Shuffle(len(kinds), func(i, j int) { kinds[i], kinds[j] = kinds[j], kinds[i] })
	kinds = kinds[:min(len(kinds), 1+s.rand.IntN(4))]
	for range 2 + s.rand.IntN(8) {
		f := kinds[s.rand.IntN(len(kinds))]
		s.after(s.between(1500*time.Millisecond, simLoad), func() {
			s.logf("fault: %s", f.name)
			f.inject(s)
		})
	}
}
