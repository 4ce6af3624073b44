package fbsched

import (
	"container/heap"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/filbertford/filbertford"
)

// event is a function that the simulation calls at a given time.
type event struct {
	at       time.Duration
	sequence int
	do       func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }

func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].sequence < q[j].sequence
}

func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

func (q *eventQueue) Push(x any) { *q = append(*q, x.(event)) }

func (q *eventQueue) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}

// fakeOwner is a daemon that owns a pool.
type fakeOwner struct {
	node     filbertford.NodeID
	pool     *Pool
	stopped  bool
	paused   bool
	isolated bool // from the coordinator
	waiting  []func()
	// wallOffset is the owner's time of day less the simulation's time.
	wallOffset int64
	beforeTick func()
	lastTick   time.Duration
}

// simulation runs owners, a coordinator and targets in virtual time.
type simulation struct {
	now          time.Duration
	events       eventQueue
	sequence     int
	taskDuration time.Duration
	works        map[filbertford.JobKey]time.Duration // duration of the tasks of some jobs
	targets      map[filbertford.TargetID]*fakeTarget
	busyTargets  []filbertford.TargetID // buffer of endDueRuns
	owners       []*fakeOwner
	coordinator  *Coordinator
	node         filbertford.NodeID // of the coordinator
	// others are coordinators whose callers have lost them. They go on.
	others     map[filbertford.NodeID]*Coordinator
	running    map[filbertford.TaskKey]int
	done       map[filbertford.TaskKey]int
	starts     int
	calls      int // starts, stops and polls that were sent
	jobStarted map[filbertford.JobKey]bool
	answers    map[uint64]filbertford.AnswerKind
	answeredAt map[uint64]time.Duration
	poolEvents []Event
	violations []string
	delivery   func() delivery
	// linkDown reports whether requests to, or replies from, the target at the address are lost.
	linkDown func(o *fakeOwner, address string) (request, reply bool)
	answered func(request uint64, kind filbertford.AnswerKind)
	// announced is called for the withdrawals that a coordinator announces to the others.
	announced func(from filbertford.NodeID, w Withdrawal)
	// fleetAnswered is called for the answers of all coordinators.
	fleetAnswered func(from filbertford.NodeID, a Answer)
	// linkDelay returns the delay of messages between a coordinator and an owner, nil for 1 ms.
	linkDelay func(coordinator filbertford.NodeID, o *fakeOwner) time.Duration
	// streams counts the streams between the coordinator and the owners. Messages on an
	// earlier stream are lost.
	streams           int
	streamDown        bool
	coordinatorPaused bool
	coordinatorWaits  []func()
	addresses         map[string]*fakeTarget // targets that have taken another address
	// breaks returns the time after which the connection of a call breaks, 0 for never.
	breaks func() time.Duration
	// writesLate reports whether a target writes its reply to a poll, with its clock, some time after
	// it has read its runs.
	writesLate func() bool
	// keepLateCalls lets a late call reach another instance than it was sent to.
	keepLateCalls bool
	trace         func(format string, args ...any)
	// endsRunsLazily lets targets end their runs when they are called, not in the order of time.
	endsRunsLazily bool
	// unguarded lets targets start runs beyond their capacity, which is a violation.
	unguarded bool
	crashes   crashSimulation
	// jobFences are the fencing tokens of coordinators that own stored jobs.
	jobFences map[filbertford.NodeID]uint64
	// rejectRestarts makes a start of a task that is done a violation.
	rejectRestarts bool
}

const (
	testPool filbertford.PoolID = "nordnes"
	// testWallOffset is the time of day at the simulation's time 0.
	testWallOffset = 1_000_000
)

func newSimulation(targets, slots int) *simulation {
	sim := &simulation{
		now: time.Minute, taskDuration: 100 * time.Millisecond,
		targets:     make(map[filbertford.TargetID]*fakeTarget),
		coordinator: NewCoordinator(testPool),
		node:        "c",
		others:      make(map[filbertford.NodeID]*Coordinator),
		works:       make(map[filbertford.JobKey]time.Duration),
		addresses:   make(map[string]*fakeTarget),
		running:     make(map[filbertford.TaskKey]int),
		jobStarted:  make(map[filbertford.JobKey]bool),
		done:        make(map[filbertford.TaskKey]int),
		answers:     make(map[uint64]filbertford.AnswerKind),
		answeredAt:  make(map[uint64]time.Duration),
		delivery:    func() delivery { return delivery{requestDelay: time.Millisecond, replyDelay: time.Millisecond} },
	}
	for i := range targets {
		id := filbertford.TargetID(fmt.Sprintf("t%02d", i))
		sim.addTarget(id, slots)
	}
	sim.scheduleCoordinatorTick()
	sim.scheduleHeartbeats()
	return sim
}

func (sim *simulation) scheduleCoordinatorTick() {
	sim.after(20*time.Millisecond, func() {
		sim.atCoordinator(func() { sim.coordinator.Tick(sim.now) })
		for _, node := range slices.Sorted(maps.Keys(sim.others)) {
			sim.others[node].Tick(sim.now)
		}
		sim.scheduleCoordinatorTick()
	})
}

// atCoordinator calls do for the coordinator, after the pause if it is paused.
func (sim *simulation) atCoordinator(do func()) {
	if sim.coordinatorPaused {
		sim.coordinatorWaits = append(sim.coordinatorWaits, do)
		return
	}
	do()
}

// toCoordinator sends a message of an owner to the coordinator.
func (sim *simulation) toCoordinator(o *fakeOwner, do func()) {
	stream, node := sim.streams, sim.node
	if o.isolated || sim.streamDown {
		return
	}
	sim.after(time.Millisecond, func() {
		if stream == sim.streams && node == sim.node {
			sim.atCoordinator(do)
		}
	})
}

func (sim *simulation) addTarget(id filbertford.TargetID, slots int) *fakeTarget {
	t := &fakeTarget{
		sim: sim, clockOffset: time.Hour, clockRate: 1, speed: 1,
		rec: filbertford.NewTargetRecord(filbertford.NewTargetInstance(id, 1), "ordering", string(id)+":80", "nordnes",
			filbertford.NewResources(1000*slots, 1000, 0), "a", "r1"),
		runs:    make(map[filbertford.TaskKey]*fakeRun),
		highest: make(map[filbertford.TaskKey]uint64),
		full:    filbertford.NewResources(1000*slots, 1000, 0),
	}
	sim.targets[id] = t
	return t
}

func (sim *simulation) started(key filbertford.TaskKey, t *fakeTarget) {
	sim.starts++
	sim.crashes.started(sim, key, t)
	sim.jobStarted[key.Job()] = true
	if sim.rejectRestarts && sim.done[key] > 0 {
		sim.violations = append(sim.violations, fmt.Sprintf("%v: %v was started on %s after a run of it was done", sim.now, key, t.rec.Instance().ID()))
	}
	sim.tracef("%s: starts %s", t.rec.Instance().ID(), key)
	if sim.running[key]++; sim.running[key] > 1 {
		sim.violations = append(sim.violations, fmt.Sprintf("%v: two concurrent runs of %v, the second on %s", sim.now, key, t.rec.Instance().ID()))
	}
}

func (sim *simulation) ended(key filbertford.TaskKey, outcome filbertford.RunOutcome) {
	sim.tracef("a run of %s ends: %s", key, outcome)
	sim.running[key]--
	if outcome == filbertford.RunDone {
		sim.done[key]++
	}
}

func (sim *simulation) after(d time.Duration, do func()) {
	sim.sequence++
	heap.Push(&sim.events, event{at: sim.now + d, sequence: sim.sequence, do: do})
}

// advance runs the events of the next d of virtual time.
func (sim *simulation) advance(d time.Duration) {
	end := sim.now + d
	for len(sim.events) > 0 && sim.events[0].at <= end {
		e := heap.Pop(&sim.events).(event)
		sim.now = max(sim.now, e.at)
		if !sim.endsRunsLazily {
			sim.endDueRuns()
		}
		e.do()
		sim.flush()
	}
	sim.now = end
}

func (sim *simulation) endDueRuns() {
	ids := sim.busyTargets[:0]
	for id, t := range sim.targets {
		if t.hasDueRun() {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	for _, id := range ids {
		sim.targets[id].endDueRuns()
	}
	sim.busyTargets = ids
}

// records returns the target records that the platform lists.
func (sim *simulation) records() []filbertford.TargetRecord {
	var out []filbertford.TargetRecord
	for _, id := range slices.Sorted(maps.Keys(sim.targets)) {
		t := sim.targets[id]
		out = append(out, t.rec.WithDraining(t.draining))
	}
	return out
}

// addOwner adds an owner of the pool with the fencing token.
func (sim *simulation) addOwner(node filbertford.NodeID, fence uint64) *fakeOwner {
	return sim.addPoolOwner(node, testPool, fence, sim.records())
}

// addPoolOwner adds an owner of a pool of the given targets.
func (sim *simulation) addPoolOwner(node filbertford.NodeID, pool filbertford.PoolID, fence uint64, records []filbertford.TargetRecord) *fakeOwner {
	o := &fakeOwner{node: node, pool: NewPool(pool, fence, testWallOffset, sim.now), wallOffset: testWallOffset}
	sim.owners = append(sim.owners, o)
	o.pool.AwaitOffers(append(slices.Collect(maps.Keys(sim.others)), sim.node))
	o.pool.SetTargets(sim.now, records)
	sim.scheduleTick(o)
	sim.flush()
	return o
}

// scheduleTick schedules an owner's ticks.
func (sim *simulation) scheduleTick(o *fakeOwner) {
	sim.after(20*time.Millisecond, func() {
		if o.stopped {
			return
		}
		sim.scheduleTick(o)
		if o.paused {
			return
		}
		if o.beforeTick != nil {
			o.beforeTick()
		}
		o.lastTick = sim.now
		o.pool.Tick(sim.now, o.wallOffset)
		capacities := o.pool.Capacities(sim.now)
		sim.toCoordinator(o, func() { sim.coordinator.SetCapacities(o.pool.ID(), o.pool.Fence(), capacities) })
	})
}

// handle calls do for an owner, after the pause if the owner is paused.
func (sim *simulation) handle(o *fakeOwner, do func()) {
	switch {
	case o.stopped:
	case o.paused:
		o.waiting = append(o.waiting, do)
	default:
		do()
	}
}

// suspensionThreshold is the time between two ticks above which a daemon notices that it was
// suspended.
const suspensionThreshold = 300 * time.Millisecond

// wake ends a pause. A daemon checks for a suspension before it handles anything else.
func (sim *simulation) wake(o *fakeOwner) {
	o.paused = false
	if !o.stopped && sim.now-o.lastTick > suspensionThreshold {
		o.pool.HandleSuspension(sim.now, 200*time.Millisecond)
	}
	o.lastTick = sim.now
}

func (sim *simulation) resume(o *fakeOwner) {
	if o.paused {
		sim.wake(o)
	}
	for _, do := range o.waiting {
		do()
	}
	o.waiting = nil
	sim.flush()
}

// flush carries out the actions of the coordinator and the owners until none is left.
func (sim *simulation) flush() {
	for progress := true; progress; {
		progress = false
		for _, o := range sim.owners {
			if o.stopped || o.paused {
				continue
			}
			for _, a := range o.pool.TakeActions(sim.now) {
				progress = true
				sim.act(o, "", a)
			}
		}
		for _, node := range slices.Sorted(maps.Keys(sim.others)) {
			for _, a := range sim.others[node].TakeActions() {
				progress = true
				sim.act(nil, node, a)
			}
		}
		if sim.coordinatorPaused {
			continue
		}
		for _, a := range sim.coordinator.TakeActions() {
			progress = true
			sim.act(nil, sim.node, a)
		}
	}
}

// act carries out an action of an owner or of the coordinator from.
func (sim *simulation) act(o *fakeOwner, from filbertford.NodeID, a Action) {
	switch v := a.(type) {
	case StartCall:
		sim.calls++
		sim.call(o, v.Request, v.Timeout, true, func(t *fakeTarget) filbertford.CallReply { return t.start(v.Request) },
			func(r filbertford.CallReply, sent time.Duration) {
				o.pool.HandleStartReply(sim.now, v.Request, r, sent, sim.now)
			})
	case StopCall:
		sim.calls++
		sim.call(o, v.Request, v.Timeout, true, func(t *fakeTarget) filbertford.CallReply { return t.stop(v.Request) },
			func(r filbertford.CallReply, sent time.Duration) {
				o.pool.HandleStopReply(sim.now, v.Request, r, sent, sim.now)
			})
	case PollCall:
		sim.calls++
		sim.poll(o, v)
	case SendReport:
		if other := sim.others[v.To]; other != nil && !o.isolated {
			sim.after(sim.delayBetween(o, v.To), func() { other.HandleReport(sim.now, v.Report) })
		}
		if v.To != sim.node {
			return // that coordinator has stopped
		}
		sim.toCoordinator(o, func() {
			sim.tracef("coordinator: report of %s: %s %s", o.node, v.Report.Task(), v.Report.Status())
			sim.coordinator.HandleReport(sim.now, v.Report)
		})
	case SendBatch:
		sim.sendToOwner(from, v.To, func(o *fakeOwner) {
			if o.pool.Fence() == v.Batch.Fence() {
				if sim.trace != nil {
					sim.tracef("%s: batch of %s, resume %v: %+v", o.node, v.Batch.Job(), v.Batch.Resume(), v.Batch.Items())
				}
				o.pool.Offer(sim.now, from, v.Batch.WithShardFence(sim.jobFences[from]))
			}
		})
	case SendOffersComplete:
		sim.act(o, from, SendBatch{To: v.To, Batch: v.Batch()})
	case SendWithdrawal:
		sim.sendToOwner(from, v.To, func(o *fakeOwner) {
			sim.tracef("%s: withdrawal of %s", o.node, v.Withdrawal.Job())
			o.pool.Withdraw(sim.now, from, v.Withdrawal.Job())
		})
	case AnnounceWithdrawal:
		if sim.announced != nil {
			sim.announced(from, v.Withdrawal)
		}
	case SendRecall:
		sim.sendToOwner(from, v.To, func(o *fakeOwner) {
			if o.pool.Fence() == v.Recall.Fence() {
				sim.tracef("%s: recall of %s", o.node, v.Recall.Job())
				o.pool.Recall(sim.now, from, v.Recall.Job())
			}
		})
	case Answer:
		if sim.fleetAnswered != nil {
			sim.fleetAnswered(from, v)
		}
		if from != sim.node {
			return // its caller has left
		}
		sim.tracef("coordinator: answers request %d: %s", v.RequestID, v.Answer.Kind())
		sim.answers[v.RequestID] = v.Answer.Kind()
		sim.answeredAt[v.RequestID] = sim.now
		if sim.answered != nil {
			sim.answered(v.RequestID, v.Answer.Kind())
		}
	case SendConfirm:
		sim.sendToOwner(from, v.To, func(o *fakeOwner) { o.pool.HandleConfirm(sim.now, v.Confirm) })
	case RecordOutcome:
		sim.record(from, v)
	case OwnerAccepted:
		if from == sim.node {
			sim.coordinator.ResumeStored(sim.now, v.Pool)
		}
	case PoolLost:
		o.stopped = true
	case Event:
		sim.poolEvents = append(sim.poolEvents, v)
		if sim.trace != nil && o != nil {
			sim.tracef("%s: %s %s on %s run %d: %s", o.node, v.Kind, v.Task, v.Target, v.Run, v.Reason)
		}
	}
}

// tracef adds a line to the trace.
func (sim *simulation) tracef(format string, args ...any) {
	if sim.trace != nil {
		sim.trace("%v "+format, append([]any{sim.now}, args...)...)
	}
}
