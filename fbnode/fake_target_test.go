package fbnode

import (
	"maps"
	"slices"
	"time"

	"github.com/filbertford/filbertford"
)

// simRun is a run on a simulated target.
type simRun struct {
	number    uint64
	startedAt time.Duration
	endsAt    time.Duration
	stopsAt   time.Duration // 0 if no stop was received
	outcome   filbertford.RunOutcome
	starter   string
}

// simTarget implements the leases, fencing tokens, run numbers and lists of the platform's
// targets.
type simTarget struct {
	sim          *fleetSim
	rec          filbertford.TargetRecord
	clockOffset  time.Duration
	clockRate    float64
	fence        uint64
	obeyed       map[uint64]string // the daemon whose calls were obeyed, by fencing token
	lease        time.Duration     // expiry on the target's clock
	runs         map[filbertford.TaskKey]*simRun
	highest      map[filbertford.TaskKey]uint64
	ended        []filbertford.EndedRun
	unnoted      []filbertford.EndedRun // as in storedEnds
	lastSequence uint64
	down         bool          // it has crashed
	reboots      int           // under other IDs
	home         string        // its first ID
	lives        int           // in the simulation with further faults: a connection to an earlier life is broken
	nextEnd      time.Duration // no run ends before
	hangsUntil   time.Duration
	slowUntil    time.Duration
	slowBy       time.Duration
	failsUntil   time.Duration
	unguarded    bool // it starts tasks beyond its capacity
}

func (t *simTarget) id() string { return string(t.rec.Instance().ID()) }

func (t *simTarget) clock() time.Duration {
	return t.clockOffset + time.Duration(float64(t.sim.now)*t.clockRate)
}

func (t *simTarget) endRun(key filbertford.TaskKey, outcome filbertford.RunOutcome) {
	r := t.runs[key]
	delete(t.runs, key)
	t.highest[key] = max(t.highest[key], r.number)
	t.lastSequence++
	t.ended = append(t.ended, filbertford.NewEndedRun(t.lastSequence, key, r.number, outcome))
	t.noteEnd(t.ended[len(t.ended)-1])
	t.sim.runEnded(key, t, r, outcome)
}

func (t *simTarget) runningTasks() []filbertford.TaskKey {
	return slices.SortedFunc(maps.Keys(t.runs), filbertford.TaskKey.Compare)
}

// endDueRuns ends the runs that are finished, were stopped or whose lease has expired.
func (t *simTarget) endDueRuns() {
	if len(t.runs) == 0 || t.sim.now < t.nextEnd {
		return
	}
	// The target's clock is slow, so that no lease expires before this.
	t.nextEnd = t.sim.now + t.lease - t.clock()
	due := false
	for _, r := range t.runs {
		due = due || t.sim.now >= r.endsAt || r.stopsAt != 0 && t.sim.now >= r.stopsAt
		t.nextEnd = min(t.nextEnd, r.endsAt)
		if r.stopsAt != 0 {
			t.nextEnd = min(t.nextEnd, r.stopsAt)
		}
	}
	if !due && t.clock() <= t.lease {
		return
	}
	t.nextEnd = 0
	for _, key := range t.runningTasks() {
		r := t.runs[key]
		switch {
		case t.clock() > t.lease:
			t.endRun(key, filbertford.RunLeaseExpired)
		case r.stopsAt != 0 && t.sim.now >= r.stopsAt:
			t.endRun(key, filbertford.RunStopped)
		case t.sim.now >= r.endsAt:
			t.endRun(key, r.outcome)
		}
	}
}

func (t *simTarget) extendLease(daemon string, lease int64) {
	t.forgetAfterLapse()
	limit := t.clock() + time.Second
	earlier := t.lease
	t.lease = max(t.lease, min(time.Duration(lease)*time.Millisecond, limit))
	if t.lease > earlier && len(t.runs) > 0 {
		t.sim.logf("lease: %s extends %s to %v", daemon, t.id(), t.lease-t.clock())
	}
}

func (t *simTarget) reply(o filbertford.CallOutcome) filbertford.CallReply {
	return filbertford.NewCallReply(o, t.clock().Milliseconds()).WithStartedAt(t.rec.Instance().StartedAt())
}

// restart starts the target again under its ID, a moment after all its runs have ended. It
// knows nothing of before.
func (t *simTarget) restart() {
	for _, key := range t.runningTasks() {
		t.endRun(key, filbertford.RunStopped)
	}
	if t.sim.further.enabled {
		t.lives++
		t.hangsUntil, t.slowUntil, t.failsUntil, t.unnoted = 0, 0, 0, nil
	}
	instance := filbertford.NewTargetInstance(t.rec.Instance().ID(), t.rec.Instance().StartedAt()+t.sim.now.Milliseconds())
	t.rec = filbertford.NewTargetRecord(instance, simService, t.rec.Address(), t.rec.DataCentre(), t.rec.Capacity(), "a")
	t.clockOffset = -time.Duration(float64(t.sim.now) * t.clockRate)
	t.fence, t.lease, t.lastSequence, t.ended = 0, 0, 0, nil
	t.obeyed, t.highest = make(map[uint64]string), make(map[filbertford.TaskKey]uint64)
}

// rejects returns the reply to a call that is for another instance or whose fencing token is
// lower than one that the target has seen.
func (t *simTarget) rejects(daemon string, instance filbertford.TargetInstance, fence uint64) (filbertford.CallReply, bool) {
	t.endDueRuns()
	// The platform's targets compare the ID only.
	if instance.ID() != t.rec.Instance().ID() || !t.sim.further.enabled && instance != t.rec.Instance() {
		return t.reply(filbertford.CallRestarted), true
	}
	if fence < t.fence {
		return t.reply(filbertford.CallFenced), true
	}
	t.fence = fence
	if other, ok := t.obeyed[fence]; ok && other != daemon {
		t.sim.violation("token", "%s obeys %s and %s with the token %d", t.id(), other, daemon, fence)
	}
	t.obeyed[fence] = daemon
	return filbertford.CallReply{}, false
}

func (t *simTarget) start(daemon string, req filbertford.StartRunRequest) filbertford.CallReply {
	if r, rejected := t.rejects(daemon, req.Instance(), req.Fence()); rejected {
		return r
	}
	key := req.Task()
	if r := t.runs[key]; r != nil && r.number == req.Run() {
		return t.reply(filbertford.CallDone)
	}
	if req.Run() <= t.highest[key] {
		t.extendLease(daemon, req.Lease())
		return t.reply(filbertford.CallStale)
	}
	if time.Duration(req.Lease())*time.Millisecond < t.clock() {
		return t.reply(filbertford.CallLeaseExpired)
	}
	if slots := t.rec.Capacity().CPU() / 1000; len(t.runs) >= slots && !t.unguarded {
		t.extendLease(daemon, req.Lease())
		return t.reply(filbertford.CallFull)
	} else if len(t.runs) >= slots {
		t.sim.violation("LIMIT", "%s starts %s for %s beside %d others", t.id(), key, daemon, len(t.runs))
	}
	if t.refusesStart() {
		return t.reply(filbertford.CallBusy)
	}
	t.extendLease(daemon, req.Lease())
	duration, outcome := t.sim.taskDuration(key), filbertford.RunDone
	if t.sim.chance(0.01) {
		duration, outcome = duration/3, filbertford.RunFailed
	}
	if t.failsStart() {
		duration, outcome = time.Millisecond, filbertford.RunFailed
	}
	if t.sim.now < t.slowUntil {
		duration *= 3
	}
	t.highest[key] = req.Run()
	if t.runs[key] != nil {
		t.sim.violation("TWICE", "%s has run %d of %s and starts run %d", t.id(), t.runs[key].number, key, req.Run())
		t.endRun(key, filbertford.RunStopped)
	}
	r := &simRun{number: req.Run(), startedAt: t.sim.now, endsAt: t.sim.now + duration, outcome: outcome, starter: daemon}
	t.runs[key], t.nextEnd = r, 0
	t.sim.runStarted(key, t, r)
	return t.reply(filbertford.CallDone)
}

func (t *simTarget) stop(daemon string, req filbertford.StopRunRequest) filbertford.CallReply {
	if r, rejected := t.rejects(daemon, req.Instance(), req.Fence()); rejected {
		return r
	}
	t.highest[req.Task()] = max(t.highest[req.Task()], req.Run())
	if r := t.runs[req.Task()]; r != nil && r.number <= req.Run() && r.stopsAt == 0 {
		r.stopsAt, t.nextEnd = t.sim.now+t.sim.between(0, 30*time.Millisecond), 0
		t.endDueRuns()
	}
	return t.reply(filbertford.CallDone)
}

func (t *simTarget) poll(daemon string, req filbertford.PollRequest) filbertford.CallReply {
	if r, rejected := t.rejects(daemon, req.Instance(), req.Fence()); rejected {
		return r
	}
	if req.Lease() > 0 {
		t.extendLease(daemon, req.Lease())
	}
	t.acknowledge(daemon, req.Acked())
	t.ended = slices.DeleteFunc(t.ended, func(e filbertford.EndedRun) bool { return e.Sequence() <= req.Acked() })
	var running []filbertford.RunStatus
	for _, key := range t.runningTasks() {
		r := t.runs[key]
		percent := int(100 * (t.sim.now - r.startedAt) / max(1, r.endsAt-r.startedAt))
		running = append(running, filbertford.NewRunStatus(key, r.number, min(99, percent)))
	}
	return t.reply(filbertford.CallDone).WithRuns(running, slices.Clone(t.ended))
}
