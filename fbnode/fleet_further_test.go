package fbnode

import (
	"flag"
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/filbertford/filbertford"
)

const (
	// simStoreTimeout is callTimeout of package platform.
	simStoreTimeout = 2 * time.Second
	// progressDelay is how long after the last fault jobs must be done again.
	progressDelay = 5 * time.Second
	// endTimeout is how long stored jobs have to end after that.
	endTimeout = 30 * time.Second
)

// furtherSim is the state of the faults that only TestFleetUnderFurtherFaults draws.
type furtherSim struct {
	enabled bool
	// until is when the last of these faults ends that isn't over by itself.
	until time.Duration

	moveUntil  time.Duration // callers whose connections break go to another data centre
	moveAtOnce bool

	holdUntil  time.Duration // requests of callers are held back by the network
	holdShare  float64
	holdEndsIn time.Duration // between a request and the end of its connection

	storeUntil    time.Duration
	storeDelay    time.Duration
	storeLoss     float64
	storeRejected map[filbertford.NodeID]bool

	wall   map[filbertford.NodeID]time.Duration // by how much the wall clocks of machines have stepped
	routes map[filbertford.NodeID]filbertford.Route

	idleSince    map[filbertford.JobKey]time.Duration // since when stored jobs have nothing running
	idleReported bool
	ends         map[filbertford.TaskKey]*storedEnds
	called       map[simCall]bool // runs of which a start was sent
}

// newFurtherSim returns a fleet with best-effort and stored jobs whose size and faults are drawn from
// the seed, those of simFaults and the further ones. Its targets identify themselves by their IDs and
// are called by their addresses, and half of the fleets have targets that don't guard their capacity.
func newFurtherSim(seed uint64, trace bool) *fleetSim {
	s := drawFleet(seed, trace)
	s.prepareStored()
	s.further = furtherSim{
		enabled: true,
		wall:    make(map[filbertford.NodeID]time.Duration), routes: make(map[filbertford.NodeID]filbertford.Route),
		idleSince: make(map[filbertford.JobKey]time.Duration), ends: make(map[filbertford.TaskKey]*storedEnds), called: make(map[simCall]bool),
	}
	for i, t := range s.targets {
		t.unguarded = seed%2 == 0
		t.rec = t.rec.WithStartedAt(simWallOffset)
		s.store.targets[i] = t.rec
	}
	faults := append(slices.Clone(simFaults), furtherFaults...)
	if *fleetOnly != "" {
		faults = append(faults, failingFaults...)
	}
	s.scheduleFaults(faults)
	s.scheduleJobs()
	rate := 1 + 4*s.rand.Float64()
	for at := 500 * time.Millisecond; at < simLoad; at += time.Duration(s.rand.ExpFloat64() / rate * float64(time.Second)) {
		s.after(at, s.submitAnyStored)
	}
	return s
}

// submitAnyStored submits a new stored job that is drawn at random.
func (s *fleetSim) submitAnyStored() {
	s.jobs++
	duration := s.between(30*time.Millisecond, 1500*time.Millisecond)
	step := filbertford.NewStep(1+s.rand.IntN(3), filbertford.NewResources(1000, 1, 0), duration)
	s.submitStored(filbertford.NewWorkload(filbertford.JobKey(fmt.Sprintf("%016x", s.jobs)), "spec", step), duration)
}

// disturbed reports whether any fault is under way.
func (s *fleetSim) disturbed() bool {
	for _, until := range s.cuts {
		if s.now < until {
			return true
		}
	}
	for _, name := range s.names {
		if d := s.daemons[name]; d.dead || d.paused {
			return true
		}
	}
	return s.now < max(s.lossUntil, s.slowUntil, s.further.until) || slices.ContainsFunc(s.targets, func(t *simTarget) bool { return t.down })
}

// playFurther plays a fleet to its end and adds the violations that show only then.
func playFurther(seed uint64, trace bool) *fleetSim {
	s := newFurtherSim(seed, trace)
	for s.advance(simLoad); s.disturbed(); {
		s.advance(100 * time.Millisecond)
	}
	s.logf("the last fault has ended")
	s.advance(progressDelay)
	s.checkProgress()
	for end := s.now + endTimeout; (s.now < end || s.worksOn() && s.now < end+endTimeout) && len(s.unendedJobs()) > 0; {
		s.checkIdle()
	}
	if lines := s.unendedJobs(); len(lines) > 0 {
		s.violation("LOST", "%d jobs haven't ended, the first is %s", len(lines), lines[0])
	}
	ended := s.endedJobs()
	for _, key := range slices.Sorted(maps.Keys(s.stored.jobs)) {
		if j := s.stored.jobs[key]; j.accepted != 0 && !ended[key] && s.stored.tables.rows[string(shardOf(key))][filbertford.TableJobs][string(key)].Key() == "" {
			s.violation("LOST", "the accepted job %s isn't in the store", key)
		}
	}
	return s
}

// checkProgress submits a job of one task in each data centre, and checks that each is started in time
// unless half of the capacity is in use.
func (s *fleetSim) checkProgress() {
	var probes []filbertford.JobKey
	for i, dc := range s.dataCentres {
		j := slices.IndexFunc(s.names, func(name filbertford.NodeID) bool { return s.members[name].DataCentre() == dc })
		probes = append(probes, filbertford.JobKey(fmt.Sprintf("%016x", 1_000_000+i)))
		s.submit(s.names[j], probes[i], 1, 50*time.Millisecond, idleBound)
	}
	busy := false
	for end := s.now + idleBound; s.now < end; {
		s.checkIdle()
		busy = busy || s.isBusy()
	}
	for _, key := range probes {
		if !busy && !s.startedJobs[key] {
			s.violation("IDLE", "%s, sent %v after the last fault, wasn't started in %v", key, progressDelay, idleBound)
		}
	}
}

// checkIdle plays a quarter of a second, and reports an accepted job that has had nothing running for
// idleBound while less than half of the capacity was in use.
func (s *fleetSim) checkIdle() {
	s.advance(250 * time.Millisecond)
	ended, busy := s.endedJobs(), s.isBusy()
	for _, key := range slices.Sorted(maps.Keys(s.stored.jobs)) {
		j := s.stored.jobs[key]
		switch {
		case busy || j.accepted == 0 || ended[key] || s.tasksOf(key) > 0:
			delete(s.further.idleSince, key)
		case s.further.idleSince[key] == 0:
			s.further.idleSince[key] = s.now
		case s.now-s.further.idleSince[key] > idleBound && !s.further.idleReported:
			s.violation("IDLE", "the job %s has had nothing running for %v", key, s.now-s.further.idleSince[key])
			s.further.idleReported = true
		}
	}
}

// worksOn reports whether any task is running. A queue may take longer than endTimeout.
func (s *fleetSim) worksOn() bool {
	return slices.ContainsFunc(s.targets, func(t *simTarget) bool { return len(t.runs) > 0 })
}

// isBusy reports whether half of the capacity is in use: that of any data centre, or that of all if
// waiting tasks are moved.
func (s *fleetSim) isBusy() bool {
	slots, runs := make(map[filbertford.DataCentre]int), make(map[filbertford.DataCentre]int)
	for _, t := range s.targets {
		dc := t.rec.DataCentre()
		if *fleetMoves {
			dc = ""
		}
		slots[dc] += t.rec.Capacity().CPU() / 1000
		runs[dc] += len(t.runs)
	}
	for dc := range slots {
		if 2*runs[dc] >= slots[dc] {
			return true
		}
	}
	return false
}

// patience returns how much longer than its timeout a caller waits. An owner that can't be reached may
// delay an answer by returnTimeout of package fbsched.
func (s *fleetSim) patience() time.Duration {
	if s.further.enabled {
		return 150 * time.Millisecond
	}
	return 50 * time.Millisecond
}

// checkAnswered reports a request that the daemon hasn't answered in time, unless it was paused or the
// network was slow.
func (c *simCaller) checkAnswered(d *simDaemon, sentAt time.Duration, kind string) {
	s := c.sim
	if !s.further.enabled || d.dead || d.paused || d.resumedAt >= sentAt || s.slowUntil >= sentAt {
		return
	}
	s.violation(kind, "%s has no answer for the request with the job %s after %v", d.name(), c.job.Key(), s.now-sentAt)
}

// retransmitDelay returns after which time a caller sends its job again, and draws where.
func (c *simCaller) retransmitDelay() time.Duration {
	s := c.sim
	if c.avoided = ""; s.now >= s.further.moveUntil {
		return simRetransmit
	}
	c.avoided = c.lastSentTo
	if s.further.moveAtOnce {
		return s.between(0, 20*time.Millisecond)
	}
	return simRetransmit
}

// holdsRequest reports whether the network holds a request back.
func (s *fleetSim) holdsRequest() bool {
	return s.now < s.further.holdUntil && s.chance(s.further.holdShare)
}

// holdBack delivers a request after its caller has given the connection up.
func (c *simCaller) holdBack(d *simDaemon, id uint64, open *bool) {
	s := c.sim
	s.after(s.between(100*time.Millisecond, time.Second), func() {
		if *open {
			*open = false
			c.sendAgain("the request is held back")
		}
	})
	delete(d.requests, id)
	delete(d.broken, id)
	end := s.between(0, s.further.holdEndsIn)
	s.after(s.between(time.Second, 4*time.Second), func() {
		s.logf("the network delivers the request %d with %s to %s, and its end after %v", id, c.job.Key(), d.name(), end)
		d.post("callers", func(d *simDaemon) { d.coordinator.Submit(s.now, id, s.routeOf(d.name()), c.job, c.timeout) })
		s.after(end, func() { d.post("callers", func(d *simDaemon) { d.coordinator.CancelRequest(s.now, id) }) })
	})
}

// routeOf returns the route of best-effort jobs in the configuration that a daemon has.
func (s *fleetSim) routeOf(name filbertford.NodeID) filbertford.Route {
	if r, ok := s.further.routes[name]; ok {
		return r
	}
	return filbertford.NewRoute("host", "/jobs/", simService).WithPolicy(0, 3).WithObjective(1.8, 300*time.Millisecond, 0)
}

// wallOffset returns what the wall clock of a daemon's machine is ahead of the virtual time, in
// milliseconds.
func (d *simDaemon) wallOffset() int64 {
	return simWallOffset + d.sim.further.wall[d.name()].Milliseconds()
}

// storeUnreachable reports whether the store can't be reached or turns the daemon away.
func (d *simDaemon) storeUnreachable() bool {
	f := d.sim.further
	return d.sim.blocked(string(d.name()), "store") || d.sim.now < f.storeUntil && f.storeRejected[d.name()]
}

// storeAnswer draws by how much the store delays a call, and whether its answer is lost.
func (d *simDaemon) storeAnswer() (delay time.Duration, lost bool) {
	s := d.sim
	if s.now >= s.further.storeUntil {
		return 0, false
	}
	if s.further.storeDelay > 0 {
		delay = s.between(0, s.further.storeDelay)
	}
	return delay, s.chance(s.further.storeLoss)
}

// storeLateness draws by how much the store delays a call whose answer is lost.
func (s *fleetSim) storeLateness() time.Duration {
	if s.chance(0.7) {
		return 0
	}
	return s.between(0, 8*time.Second) // half of it passes before the call is carried out
}

// simCall identifies the starts of a run.
type simCall struct {
	task filbertford.TaskKey
	run  uint64
}

// checkEvacuated reports the first start of a run in a data centre that the daemon knows as evacuated.
func (d *simDaemon) checkEvacuated(req filbertford.StartRunRequest) {
	s, call := d.sim, simCall{task: req.Task(), run: req.Run()}
	if !s.further.enabled || s.further.called[call] {
		return
	}
	s.further.called[call] = true
	if t := s.targetByID(req.Instance().ID()); slices.Contains(d.evacuated, t.rec.DataCentre()) {
		s.violation("EVACUATED", "%s starts %s on %s, whose data centre it knows as evacuated", d.name(), req.Task(), t.id())
	}
}

// applyEvacuations does what Node.applyEvacuations does.
func (d *simDaemon) applyEvacuations(evacuated []filbertford.DataCentre) {
	if !d.sim.further.enabled {
		return
	}
	d.evacuated, d.evacuatedRead = evacuated, true
	for _, spec := range d.sim.specs {
		if isShard(spec.ID()) {
			continue
		}
		d.coordinator.SetEvacuated(d.sim.now, spec.ID(), slices.Contains(evacuated, spec.DataCentre()))
		if p := d.pools[spec.ID()]; p != nil {
			d.evacuateNewPool(p)
		}
	}
}

// furtherSeeds returns the number of seeds, unless the flag is set as many as take a few seconds.
func furtherSeeds() uint64 {
	seeds := uint64(8)
	flag.Visit(func(f *flag.Flag) {
		if f.Name == "fleet.seeds" {
			seeds = *fleetSeeds
		}
	})
	return seeds
}

// TestFleetUnderFurtherFaults plays fleets with all faults, the further ones included. Beside what
// TestFleetRunsNoTaskTwice checks, no target may get a start beyond its capacity, each request must be
// answered by its deadline, jobs must be done again five seconds after the last fault, and no accepted
// job may be lost.
func TestFleetUnderFurtherFaults(t *testing.T) {
	for seed := *fleetSeed; seed < *fleetSeed+furtherSeeds(); seed++ {
		s := playFurther(seed, *fleetTrace)
		reportViolations(t, seed, s, func(trace bool) *fleetSim { return playFurther(seed, trace) })
	}
}
