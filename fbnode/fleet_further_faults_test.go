package fbnode

import (
	"fmt"
	"slices"
	"time"

	"github.com/filbertford/filbertford"
	"github.com/filbertford/filbertford/fbsched"
)

// furtherFaults are the faults that TestFleetUnderFurtherFaults draws beside simFaults.
var furtherFaults = []simFault{
	{"caller-moves-later", func(s *fleetSim) { s.moveCallers(false) }},
	{"slow-target", func(s *fleetSim) {
		t, length := s.anyTarget(), s.between(500*time.Millisecond, 5*time.Second)
		t.slowUntil, t.slowBy = s.now+length, s.between(50*time.Millisecond, 2*time.Second)
		s.extendFurther(length)
	}},
	{"hanging-target", func(s *fleetSim) { s.hangTarget(s.anyTarget(), s.between(50*time.Millisecond, 5*time.Second)) }},
	{"failing-target", func(s *fleetSim) {
		t, length := s.anyTarget(), s.between(500*time.Millisecond, 5*time.Second)
		t.failsUntil = s.now + length
		s.extendFurther(length)
	}},
	{"store-late", func(s *fleetSim) { s.disturbStore(s.between(100*time.Millisecond, 3*time.Second), 0, 0) }},
	{"store-loses-answers", func(s *fleetSim) { s.disturbStore(10*time.Millisecond, 0.1+0.8*s.rand.Float64(), 0) }},
	{"store-rejects-some", func(s *fleetSim) { s.disturbStore(0, 0, s.rand.Float64()) }},
	{"second-life", func(s *fleetSim) { s.restartAtOnce(s.anyDaemon(), 1+s.rand.IntN(3)) }},
	{"second-owner-life", func(s *fleetSim) { s.restartAtOnce(s.anyOwner(), 1+s.rand.IntN(3)) }},
	{"reborn-target", func(s *fleetSim) { s.restartTarget(s.anyTarget()) }},
	{"swapped-addresses", func(s *fleetSim) { s.swapAddresses(s.chance(0.5)) }},
	{"stepping-clocks", func(s *fleetSim) {
		for _, name := range s.names {
			if s.chance(0.5) {
				step := s.between(0, time.Minute) - 30*time.Second
				if s.chance(0.5) {
					step /= 100
				}
				s.further.wall[name] += step
				s.logf("the clock of %s steps by %v", name, step)
			}
		}
	}},
	{"evacuation", func(s *fleetSim) {
		dc, length := s.dataCentres[s.rand.IntN(len(s.dataCentres))], s.between(500*time.Millisecond, 5*time.Second)
		s.setEvacuated(dc, true)
		s.after(length, func() { s.setEvacuated(dc, false) })
		s.extendFurther(length)
	}},
	{"configuration", func(s *fleetSim) {
		r := filbertford.NewRoute("host", "/jobs/", simService).WithPolicy(s.rand.IntN(3), 1+s.rand.IntN(4)).
			WithObjective(1.2+2*s.rand.Float64(), s.between(20*time.Millisecond, time.Second), 0)
		for _, name := range s.names {
			s.after(s.between(0, 3*time.Second), func() { s.further.routes[name] = r })
		}
		s.extendFurther(3 * time.Second)
	}},
	{"power-loss", (*fleetSim).losePower},
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

func (s *fleetSim) anyTarget() *simTarget { return s.targets[s.rand.IntN(len(s.targets))] }

// hangTarget suspends a target: calls wait, and its tasks stand still.
func (s *fleetSim) hangTarget(t *simTarget, length time.Duration) {
	s.logf("target %s hangs for %v", t.id(), length)
	t.hangsUntil = s.now + length
	for _, r := range t.runs {
		r.endsAt += length
	}
	s.extendFurther(length)
}

// disturbStore delays the store's answers by up to the given time, loses a share of them, and turns a
// share of the daemons away.
func (s *fleetSim) disturbStore(delay time.Duration, loss, rejected float64) {
	length := s.between(500*time.Millisecond, 6*time.Second)
	s.further.storeUntil, s.further.storeDelay, s.further.storeLoss = s.now+length, delay, loss
	s.further.storeRejected = make(map[filbertford.NodeID]bool)
	for _, name := range s.names {
		s.further.storeRejected[name] = s.chance(rejected)
	}
	s.logf("the store is late by up to %v, loses %.2f of its answers and rejects %v", delay, loss, s.further.storeRejected)
	s.extendFurther(length + delay)
}

// restartAtOnce kills a daemon and starts it again while messages to its first life are under way, so
// many times.
func (s *fleetSim) restartAtOnce(name filbertford.NodeID, times int) {
	s.killDaemon(name)
	s.startDaemon(name, s.between(time.Millisecond, 20*time.Millisecond))
	if times > 1 {
		s.after(s.between(30*time.Millisecond, time.Second), func() { s.restartAtOnce(name, times-1) })
	}
}

// restartTarget restarts a target under its ID and address, while replies of its first life are under
// way. The clock that its start time is taken from may have been set back. Its record follows.
func (s *fleetSim) restartTarget(t *simTarget) {
	t.slowUntil, t.slowBy = s.now+time.Second, 1500*time.Millisecond
	s.after(s.between(0, 300*time.Millisecond), func() {
		if t.down {
			return
		}
		for _, key := range t.runningTasks() {
			t.endRun(key, filbertford.RunStopped)
		}
		t.down = true
		s.after(s.between(10*time.Millisecond, time.Second), func() {
			t.down = false
			t.restart()
			if s.chance(0.3) {
				t.rec = t.rec.WithStartedAt(t.rec.Instance().StartedAt() - int64(s.rand.IntN(120_000)))
			}
			s.logf("target %s has restarted at %d", t.id(), t.rec.Instance().StartedAt())
			s.publish(t, s.between(0, 3*time.Second))
		})
	})
	s.extendFurther(5 * time.Second)
}

// publish writes the record of a target to the store after the delay.
func (s *fleetSim) publish(t *simTarget, delay time.Duration) {
	rec := t.rec
	s.after(delay, func() {
		if t.rec.Instance() != rec.Instance() || t.down {
			return
		}
		s.store.targets = slices.DeleteFunc(s.store.targets, func(r filbertford.TargetRecord) bool { return r.Instance().ID() == rec.Instance().ID() })
		s.store.targets = append(s.store.targets, rec)
	})
}

// swapAddresses restarts two targets at each other's address, under their IDs or under others.
func (s *fleetSim) swapAddresses(keepIDs bool) {
	a, b := s.anyTarget(), s.anyTarget()
	if a == b || a.down || b.down {
		return
	}
	addresses := [2]string{a.rec.Address(), b.rec.Address()}
	for i, t := range []*simTarget{a, b} {
		s.after(s.between(0, 200*time.Millisecond), func() {
			if t.down {
				return
			}
			away := s.between(20*time.Millisecond, 2*time.Second)
			if !keepIDs {
				s.crashTargetTo(t, away, addresses[1-i])
				return
			}
			for _, key := range t.runningTasks() {
				t.endRun(key, filbertford.RunStopped)
			}
			t.down = true
			s.after(away, func() {
				t.down = false
				t.restart()
				t.rec = t.rec.WithAddress(addresses[1-i])
				s.logf("target %s has restarted at %s", t.id(), t.rec.Address())
				s.publish(t, s.between(0, 1500*time.Millisecond))
			})
		})
	}
	s.extendFurther(8 * time.Second)
}

// setEvacuated begins or ends the evacuation of a data centre. Daemons that reach the store learn of it
// within a third of a second, the others when they reach it again.
func (s *fleetSim) setEvacuated(dc filbertford.DataCentre, evacuated bool) {
	s.store.evacuated = slices.DeleteFunc(slices.Clone(s.store.evacuated), func(other filbertford.DataCentre) bool { return other == dc })
	if evacuated {
		s.store.evacuated = append(s.store.evacuated, dc)
	}
	s.logf("evacuated: %v", s.store.evacuated)
	for _, name := range s.names {
		s.after(s.between(0, 300*time.Millisecond), s.daemons[name].readRecords)
	}
}

// losePower submits many jobs and then kills all daemons.
func (s *fleetSim) losePower() {
	for range 10 + s.rand.IntN(20) {
		s.after(s.between(0, 300*time.Millisecond), s.submitAnyStored)
	}
	for range 10 + s.rand.IntN(40) {
		s.jobs++
		key := filbertford.JobKey(fmt.Sprintf("%016x", s.jobs))
		s.durations[key] = s.between(30*time.Millisecond, 1500*time.Millisecond)
		step := filbertford.NewStep(1+s.rand.IntN(3), filbertford.NewResources(1000, 1, 0), s.durations[key])
		c := &simCaller{
			sim: s, job: filbertford.NewWorkload(key, "spec", step).WithBestEffort(true),
			dataCentre: s.dataCentres[s.rand.IntN(len(s.dataCentres))], timeout: s.between(3*time.Second, 9*time.Second),
		}
		s.after(s.between(0, 300*time.Millisecond), c.send)
	}
	s.after(s.between(200*time.Millisecond, time.Second), func() {
		back := s.between(20*time.Millisecond, time.Second)
		for _, name := range s.names {
			s.killDaemon(name)
			s.startDaemon(name, back+s.between(0, 300*time.Millisecond))
		}
	})
	s.extendFurther(3 * time.Second)
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
