package fbnode

import (
	"container/heap"
	"flag"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/filbertford/filbertford"
	"github.com/filbertford/filbertford/fbbalance"
	"github.com/filbertford/filbertford/fbfleet"
	"github.com/filbertford/filbertford/fbsched"
)

var (
	fleetSeed   = flag.Uint64("fleet.seed", 1, "first `seed` of TestFleetRunsNoTaskTwice")
	fleetSeeds  = flag.Uint64("fleet.seeds", 20, "`number` of seeds of TestFleetRunsNoTaskTwice")
	fleetTrace  = flag.Bool("fleet.trace", false, "log all events")
	fleetRepeat = flag.Bool("fleet.repeat", false, "deliver withdrawals even if streams break")
	fleetMoves  = flag.Bool("fleet.rebalance", false, "let coordinators move waiting tasks")
	// fleetDeadlines is off by default: KNOWN-RED.txt.
	fleetDeadlines = flag.Bool("fleet.deadlines", false, "TestFleetUnderFurtherFaults reports each answer that comes after the deadline")
	fleetOnly      = flag.String("fleet.only", "", "inject only faults whose names contain one of the `names`, separated by commas")
)

const (
	simWallOffset = int64(1_796_000_000_000)
	simStart      = time.Minute
	simLoad       = 14 * time.Second // how long callers send jobs
	simRuntime    = 20 * time.Second
	simRetransmit = 1300 * time.Millisecond
	simService    = "ordering"
)

// simEvent is a function that the simulation calls at a given time.
type simEvent struct {
	at       time.Duration
	sequence int
	do       func()
}

type simEvents []simEvent

func (q simEvents) Len() int { return len(q) }

func (q simEvents) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].sequence < q[j].sequence
}

func (q simEvents) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

func (q *simEvents) Push(x any) { *q = append(*q, x.(simEvent)) }

func (q *simEvents) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}

// simStore is the part of the platform's store that daemons use: their rows, the versions of
// the claims, and the targets' records.
type simStore struct {
	members map[filbertford.NodeID]fbfleet.Member
	claims  map[filbertford.PoolID]uint64
	targets []filbertford.TargetRecord
	// evacuated are the evacuated data centres, in the simulation with further faults.
	evacuated []filbertford.DataCentre
}

func (st simStore) clone() simStore {
	return simStore{members: maps.Clone(st.members), targets: slices.Clone(st.targets), evacuated: slices.Clone(st.evacuated)}
}

// simFate is what happens to a call to a target.
type simFate int

const (
	fateDelivered simFate = iota
	fateLost
	fateLate
)

// fleetSim runs a fleet, its targets and its callers in virtual time. Equal seeds give equal
// runs.
type fleetSim struct {
	rand        *rand.Rand
	resets      *rand.Rand // nil unless connections to targets break
	now         time.Duration
	events      simEvents
	sequence    int
	names       []filbertford.NodeID
	dataCentres []filbertford.DataCentre
	specs       []fbfleet.PoolSpec
	daemons     map[filbertford.NodeID]*simDaemon // the last incarnation of each
	members     map[filbertford.NodeID]fbfleet.Member
	targets     []*simTarget
	store       simStore
	cuts        map[[2]string]time.Duration // until when packets from one to the other are lost
	lossUntil   time.Duration
	loss        float64 // share of the calls that are lost or late, until lossUntil
	lateShare   float64 // share of those that are carried out late
	slowUntil   time.Duration
	slowBy      time.Duration
	durations   map[filbertford.JobKey]time.Duration
	running     map[filbertford.TaskKey][]string
	rejected    map[filbertford.JobKey]bool // all requests with the job were rejected
	startedJobs map[filbertford.JobKey]bool
	sends       map[filbertford.JobKey]int
	answers     map[filbertford.AnswerKind]int
	lastRequest uint64
	jobs        int
	runs        int
	resends     int
	tickLast    bool // a daemon that resumes handles its tick after all that waits
	trace       bool
	lines       []simLine
	stored      *storedSim // nil without stored jobs
	further     furtherSim
	violations  []string

	statesTargets bool // see stateTargets
}

func (s *fleetSim) logf(format string, args ...any) {
	if s.trace {
		s.lines = append(s.lines, simLine{at: s.now - simStart, text: fmt.Sprintf(format, args...)})
	}
}

func (s *fleetSim) violation(kind, format string, args ...any) {
	line := fmt.Sprintf("%v: %s: ", s.now-simStart, kind) + fmt.Sprintf(format, args...)
	s.violations = append(s.violations, line)
	s.logf("VIOLATION %s", line)
}

func (s *fleetSim) chance(p float64) bool { return s.rand.Float64() < p }

// between returns a random duration in [low, high].
func (s *fleetSim) between(low, high time.Duration) time.Duration {
	return low + time.Duration(s.rand.Int64N(int64(high-low)+1))
}

func (s *fleetSim) at(at time.Duration, do func()) {
	s.sequence++
	heap.Push(&s.events, simEvent{at: at, sequence: s.sequence, do: do})
}

func (s *fleetSim) after(d time.Duration, do func()) { s.at(s.now+d, do) }

func (s *fleetSim) oneWay(_, _ string) time.Duration {
	d := s.between(300*time.Microsecond, 2*time.Millisecond)
	if s.now < s.slowUntil {
		d += s.between(0, s.slowBy)
	}
	return d
}

func (s *fleetSim) rtt(a, b string) time.Duration { return s.oneWay(a, b) + s.oneWay(b, a) }

func (s *fleetSim) blocked(from, to string) bool { return s.now < s.cuts[[2]string{from, to}] }

func (s *fleetSim) cut(from, to string, d time.Duration) {
	key := [2]string{from, to}
	s.cuts[key] = max(s.cuts[key], s.now+d)
	s.logf("cut from %s to %s for %v", from, to, d)
}

// fate returns what happens to a call. The packets of a call over a cut link may be sent again
// when the cut is over.
func (s *fleetSim) fate(from, to string) simFate {
	switch {
	case s.blocked(from, to):
		if s.chance(0.2) {
			return fateLate
		}
		return fateLost
	case s.now < s.lossUntil && s.chance(s.loss):
		if s.chance(s.lateShare) {
			return fateLate
		}
		return fateLost
	}
	return fateDelivered
}

func (s *fleetSim) losesReply() bool { return s.now < s.lossUntil && s.chance(s.loss/4) }

// lateness returns after which time a late call is carried out.
func (s *fleetSim) lateness() time.Duration {
	if s.chance(0.6) {
		return s.between(50*time.Millisecond, 1500*time.Millisecond)
	}
	return s.between(time.Second, 12*time.Second)
}

func (s *fleetSim) targetByID(id filbertford.TargetID) *simTarget {
	if s.stored != nil && s.stored.renamed[id] != nil {
		return s.stored.renamed[id]
	}
	i := slices.IndexFunc(s.targets, func(t *simTarget) bool { return t.rec.Instance().ID() == id })
	return s.targets[i]
}

func (s *fleetSim) taskDuration(key filbertford.TaskKey) time.Duration { return s.durations[key.Job()] }

func (s *fleetSim) runStarted(key filbertford.TaskKey, t *simTarget, r *simRun) {
	s.runs++
	s.startedJobs[key.Job()] = true
	where := fmt.Sprintf("%s by %s, run %d", t.id(), r.starter, r.number)
	s.logf("target: %s started on %s, lease for %v", key, where, t.lease-t.clock())
	if s.rejected[key.Job()] {
		s.violation("REFUSED", "%s of a rejected job started on %s", key, where)
	}
	if others := s.running[key]; len(others) > 0 {
		s.violation("TWICE", "%s started on %s beside %s", key, where, strings.Join(others, "; "))
	}
	s.running[key] = append(s.running[key], where)
	s.checkStart(key, where)
	if s.stored != nil {
		s.stored.runStarted(key, t)
	}
}

func (s *fleetSim) runEnded(key filbertford.TaskKey, t *simTarget, r *simRun, outcome filbertford.RunOutcome) {
	where := fmt.Sprintf("%s by %s, run %d", t.id(), r.starter, r.number)
	s.running[key] = slices.DeleteFunc(s.running[key], func(w string) bool { return w == where })
	s.logf("target: %s ended %s on %s", key, outcome, where)
}

// newEmptySim returns a simulation without daemons and targets.
func newEmptySim(r *rand.Rand, trace bool) *fleetSim {
	return &fleetSim{
		rand: r, now: simStart, trace: trace,
		daemons:     make(map[filbertford.NodeID]*simDaemon),
		members:     make(map[filbertford.NodeID]fbfleet.Member),
		store:       simStore{members: make(map[filbertford.NodeID]fbfleet.Member), claims: make(map[filbertford.PoolID]uint64)},
		cuts:        make(map[[2]string]time.Duration),
		durations:   make(map[filbertford.JobKey]time.Duration),
		running:     make(map[filbertford.TaskKey][]string),
		rejected:    make(map[filbertford.JobKey]bool),
		startedJobs: make(map[filbertford.JobKey]bool),
		sends:       make(map[filbertford.JobKey]int),
		answers:     make(map[filbertford.AnswerKind]int),
	}
}

// newFleetSim returns a fleet whose size and faults are drawn from the seed.
func newFleetSim(seed uint64, trace bool) *fleetSim {
	s := drawFleet(seed, trace)
	s.scheduleFaults(simFaults)
	s.scheduleJobs()
	return s
}

// drawFleet returns a fleet without faults and jobs whose size is drawn from the seed.
func drawFleet(seed uint64, trace bool) *fleetSim {
	s := newEmptySim(rand.New(rand.NewPCG(seed, 7)), trace)
	s.dataCentres = []filbertford.DataCentre{"casa", "rabat", "tanger"}[:2+s.rand.IntN(2)]
	for i := range 4 + s.rand.IntN(5) {
		dc := s.dataCentres[i%len(s.dataCentres)]
		s.addMember(filbertford.NodeID(fmt.Sprintf("%s-%d", dc, i/len(s.dataCentres))), dc, 400*(1+s.rand.IntN(3)))
	}
	for _, dc := range s.dataCentres {
		s.specs = append(s.specs, fbfleet.NewPoolSpec(dataCentrePool(dc), dc))
		for i := range 2 + s.rand.IntN(3) {
			s.addTarget(filbertford.TargetID(fmt.Sprintf("%s-t%d", dc, i)), dc, 2+s.rand.IntN(4))
		}
	}
	for _, name := range s.names {
		s.startDaemon(name, s.between(0, 300*time.Millisecond))
	}
	return s
}

func (s *fleetSim) addMember(name filbertford.NodeID, dc filbertford.DataCentre, weight int) {
	s.names = append(s.names, name)
	s.members[name] = fbfleet.NewMember(name, 0, string(name)+":1", dc, weight)
	s.daemons[name] = &simDaemon{dead: true}
}

func (s *fleetSim) addTarget(id filbertford.TargetID, dc filbertford.DataCentre, slots int) {
	s.targets = append(s.targets, &simTarget{
		sim: s, home: string(id), rec: filbertford.NewTargetRecord(filbertford.NewTargetInstance(id, 1), simService, string(id)+":80", dc, filbertford.NewResources(1000*slots, 100, 0), "a"),
		clockOffset: s.between(0, time.Hour), clockRate: 1 - 0.02*s.rand.Float64(),
		obeyed: make(map[uint64]string), runs: make(map[filbertford.TaskKey]*simRun), highest: make(map[filbertford.TaskKey]uint64),
	})
	s.store.targets = append(s.store.targets, s.targets[len(s.targets)-1].rec)
}

// startDaemon starts a daemon with a new incarnation after the delay.
func (s *fleetSim) startDaemon(name filbertford.NodeID, delay time.Duration) {
	s.after(delay, func() {
		if !s.daemons[name].dead {
			return
		}
		old := s.members[name]
		m := fbfleet.NewMember(name, old.Incarnation()+1, old.Address(), old.DataCentre(), old.Weight())
		s.members[name] = m
		d := &simDaemon{
			sim: s, member: m, fleet: fbfleet.New(m, s.now),
			coordinator: fbsched.NewCoordinator(dataCentrePool(m.DataCentre())),
			pools:       make(map[filbertford.PoolID]*fbsched.Pool),
			links:       make(map[filbertford.NodeID]*simLink),
			requests:    make(map[uint64]func(filbertford.WorkloadAnswer)), broken: make(map[uint64]func()),
			lastTick: s.now, sentHeartbeats: make(map[filbertford.NodeID]sentHeartbeat),
		}
		d.coordinator.SetScheduling(filbertford.Scheduling{}.WithRebalance(*fleetMoves))
		d.coordinator.SetBalancer(fbbalance.Share{}, rand.New(rand.NewPCG(m.Incarnation(), 0)))
		d.fleet.SetPools(s.specs)
		for _, spec := range s.specs {
			if !isShard(spec.ID()) {
				d.coordinator.AddPool(spec.ID())
			}
		}
		s.daemons[name] = d
		s.logf("%s starts, incarnation %d", name, m.Incarnation())
		s.after(s.between(5*time.Millisecond, 60*time.Millisecond), func() { s.store.members[name] = m })
		d.scheduleTick()
		s.after(s.between(10*time.Millisecond, 250*time.Millisecond), d.readStore)
	})
}

// killDaemon ends a daemon's process: its connections break.
func (s *fleetSim) killDaemon(name filbertford.NodeID) {
	d := s.daemons[name]
	if d.dead {
		return
	}
	s.logf("%s is killed", name)
	d.dead = true
	for _, l := range d.links {
		l.open, l.closed = false, true
	}
	for _, other := range s.names {
		if l := s.daemons[other].links[name]; l != nil {
			s.after(s.oneWay("", ""), l.breakStream)
		}
	}
	s.breakRequests(d, 1)
}

// breakRequests breaks a share of the connections of a daemon's callers. The daemon, if it
// still runs, cancels their jobs.
func (s *fleetSim) breakRequests(d *simDaemon, share float64) {
	for id := uint64(0); id <= s.lastRequest; id++ {
		brokenConnection := d.broken[id]
		if brokenConnection == nil || !s.chance(share) {
			continue
		}
		delete(d.broken, id)
		delete(d.requests, id)
		s.after(time.Millisecond, brokenConnection)
		d.post("callers", func(d *simDaemon) { d.coordinator.CancelRequest(s.now, id) })
	}
}

func (s *fleetSim) pauseDaemon(name filbertford.NodeID, length time.Duration) {
	d := s.daemons[name]
	if d.dead || d.paused {
		return
	}
	s.logf("%s is paused for %v", name, length)
	d.paused = true
	s.after(length, d.resume)
}

// advance plays the next d of virtual time.
func (s *fleetSim) advance(d time.Duration) {
	end := s.now + d
	for len(s.events) > 0 && s.events[0].at <= end {
		e := heap.Pop(&s.events).(simEvent)
		s.now = max(s.now, e.at)
		for _, t := range s.targets {
			t.endDueRuns()
		}
		e.do()
	}
	s.now = end
}

// TestFleetRunsNoTaskTwice plays fleets with random faults. No task may have two runs at the
// same time, no target may obey two daemons with one fencing token, and no job that was
// rejected may start.
func TestFleetRunsNoTaskTwice(t *testing.T) {
	var jobs, runs, resends int
	answers := make(map[filbertford.AnswerKind]int)
	for seed := *fleetSeed; seed < *fleetSeed+*fleetSeeds; seed++ {
		play := func(trace bool) *fleetSim {
			s := newFleetSim(seed, trace)
			s.advance(simRuntime)
			return s
		}
		s := play(*fleetTrace)
		jobs, runs, resends = jobs+s.jobs, runs+s.runs, resends+s.resends
		for kind, n := range s.answers {
			answers[kind] += n
		}
		reportViolations(t, seed, s, play)
	}
	t.Logf("%d jobs, %d runs, %d sent again, answers %v", jobs, runs, resends, answers)
}
