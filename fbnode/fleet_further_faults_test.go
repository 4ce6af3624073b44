package fbnode

import (
	"slices"
	"time"

	"github.com/filbertford/filbertford"
	"github.com/filbertford/filbertford/fbsched"
)

// furtherFaults are the faults that TestFleetUnderFurtherFaults draws beside simFaults.
var furtherFaults = []simFault{
	{"caller-moves-later", func(s *fleetSim) { s.moveCallers(false) }},
}

// failingFaults are drawn only by -fleet.only, since they lead to failures that KNOWN-RED.txt lists.
var failingFaults = []simFault{
	{"caller-moves-at-once", func(s *fleetSim) { s.moveCallers(true) }},
	{"caller-unnoticed", func(s *fleetSim) { s.breakUnnoticed(s.anyDaemon(), s.rand.Float64()) }},
	{"held-with-end", func(s *fleetSim) { s.holdRequests(40 * time.Millisecond) }},
	{"held-without-end", func(s *fleetSim) { s.holdRequests(5 * time.Second) }},
}

func (s *fleetSim) extendFurther(d time.Duration) { s.further.until = max(s.further.until, s.now+d) }

// moveCallers breaks connections of a daemon's callers, which go to another data centre.
func (s *fleetSim) moveCallers(atOnce bool) {
	s.further.moveUntil, s.further.moveAtOnce = s.now+5*time.Millisecond, atOnce
	s.breakRequests(s.daemons[s.anyDaemon()], s.rand.Float64())
}

// breakUnnoticed breaks a share of the connections of a daemon's callers. The daemon notices that
// after up to four seconds.
func (s *fleetSim) breakUnnoticed(name filbertford.NodeID, share float64) {
	d := s.daemons[name]
	for id := uint64(0); id <= s.lastRequest; id++ {
		brokenConnection := d.broken[id]
		if brokenConnection == nil || !s.chance(share) {
			continue
		}
		delete(d.broken, id)
		delete(d.requests, id)
		s.after(time.Millisecond, brokenConnection)
		delay := s.between(0, 4*time.Second)
		s.logf("the connection of request %d to %s breaks, unnoticed for %v", id, name, delay)
		s.after(delay, func() {
			d.post("callers", func(d *simDaemon) { d.coordinator.CancelRequest(s.now, id) })
		})
	}
}

// holdRequests lets the network hold back a share of the requests. Their connections end up to the
// given time after they are delivered.
func (s *fleetSim) holdRequests(endsIn time.Duration) {
	length := s.between(100*time.Millisecond, 2*time.Second)
	s.further.holdUntil, s.further.holdShare, s.further.holdEndsIn = s.now+length, 0.1+0.5*s.rand.Float64(), endsIn
	s.extendFurther(length + 10*time.Second)
}

// targetAt returns the target at an address, if there is one that runs.
func (s *fleetSim) targetAt(address string) *simTarget {
	var found *simTarget
	for _, t := range s.targets {
		if t.rec.Address() == address && (found == nil || found.down) {
			found = t
		}
	}
	if found == nil {
		return &simTarget{sim: s, down: true} // nothing answers at the address
	}
	return found
}

// replyDelay draws by how much a target delays a reply.
func (t *simTarget) replyDelay() time.Duration {
	if t.sim.now >= t.slowUntil {
		return 0
	}
	return t.sim.between(0, t.slowBy)
}

func (t *simTarget) refusesStart() bool { return t.sim.now < t.failsUntil && t.sim.chance(0.3) }

func (t *simTarget) failsStart() bool { return t.sim.now < t.failsUntil && t.sim.chance(0.3) }

// evacuateNewPool does what Node.evacuateNewPool does.
func (d *simDaemon) evacuateNewPool(p *fbsched.Pool) {
	switch {
	case !d.sim.further.enabled:
	case !d.evacuatedRead:
		p.HoldUntilEvacuationsKnown()
	default:
		dc := poolDataCentre(p.ID())
		p.SetEvacuated(d.sim.now, slices.Contains(d.evacuated, dc))
		p.SetOthersEvacuated(slices.ContainsFunc(d.evacuated, func(other filbertford.DataCentre) bool { return other != dc }))
	}
}
