package fbsched

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/filbertford/filbertford"
)

// fakeRun is a run on a fake target.
type fakeRun struct {
	number  uint64
	endsAt  time.Duration
	outcome filbertford.RunOutcome
}

// fakeTarget implements the leases, fencing and lists of the platform's targets.
type fakeTarget struct {
	sim          *simulation
	rec          filbertford.TargetRecord
	clockOffset  time.Duration // reading of the target's clock at bootedAt
	clockRate    float64       // of the target's clock, 1 if exact
	bootedAt     time.Duration
	boots        int
	fence        uint64
	lease        time.Duration // expiry on the target's clock
	runs         map[filbertford.TaskKey]*fakeRun
	highest      map[filbertford.TaskKey]uint64
	ended        []filbertford.EndedRun
	lastSequence uint64
	acked        uint64 // the highest that was sent: ends up to it are forgotten, also later ones
	speed        float64
	failing      bool
	hanging      bool
	down         bool
	draining     bool
	busy         bool                  // rejects starts without doing anything
	muted        bool                  // keeps calls until it is no longer muted
	held         []func()              // the calls that it keeps
	stopTime     time.Duration         // between a stop and the end of the run
	full         filbertford.Resources // capacity at the start
	shrunkAt     time.Duration
	shrunkFrom   filbertford.Resources // capacity before it shrank
}

// shrinkGrace is how long a start that fits the capacity from before it shrank is allowed, as
// the platform specifies.
const shrinkGrace = 4500 * time.Millisecond

// setCapacity changes the capacity of a target that is running.
func (t *fakeTarget) setCapacity(c filbertford.Resources) {
	if c.CPU() < t.rec.Capacity().CPU() {
		if t.sim.now-t.shrunkAt > shrinkGrace || t.shrunkFrom.CPU() < t.rec.Capacity().CPU() {
			t.shrunkFrom = t.rec.Capacity()
		}
		t.shrunkAt = t.sim.now
	}
	r := t.rec
	t.rec = filbertford.NewTargetRecord(r.Instance(), r.Service(), r.Address(), r.DataCentre(), c, r.Labels()...)
}

// allowedSlots returns the number of runs up to which a start is allowed.
func (t *fakeTarget) allowedSlots() int {
	if t.sim.now-t.shrunkAt <= shrinkGrace {
		return max(t.rec.Capacity().CPU(), t.shrunkFrom.CPU()) / 1000
	}
	return t.rec.Capacity().CPU() / 1000
}

func (t *fakeTarget) clock() time.Duration {
	return t.clockOffset + time.Duration(float64(t.sim.now-t.bootedAt)*t.clockRate)
}

// restart loses all runs and starts another instance of the target, which has the ID and
// knows nothing of before. Its clock starts from zero.
func (t *fakeTarget) restart(id filbertford.TargetID, startedAt int64) {
	for key := range t.runs {
		t.sim.ended(key, filbertford.RunBroken)
	}
	t.boots++
	t.bootedAt, t.clockOffset, t.fence, t.lease, t.lastSequence, t.acked, t.ended, t.held = t.sim.now, time.Millisecond, 0, 0, 0, 0, nil, nil
	t.runs, t.highest = make(map[filbertford.TaskKey]*fakeRun), make(map[filbertford.TaskKey]uint64)
	t.down, t.muted, t.draining, t.shrunkFrom = false, false, false, filbertford.Resources{}
	r := t.rec
	t.rec = filbertford.NewTargetRecord(filbertford.NewTargetInstance(id, startedAt), r.Service(), r.Address(), r.DataCentre(), t.full, r.Labels()...)
}

// crash loses all runs of the target and leaves it down.
func (t *fakeTarget) crash() {
	t.restart(t.rec.Instance().ID(), t.rec.Instance().StartedAt())
	t.down = true
}

func (t *fakeTarget) endRun(key filbertford.TaskKey, outcome filbertford.RunOutcome) {
	r := t.runs[key]
	delete(t.runs, key)
	t.lastSequence++
	t.ended = append(t.ended, filbertford.NewEndedRun(t.lastSequence, key, r.number, outcome))
	t.sim.ended(key, outcome)
}

// runningTasks returns the keys of the running tasks, ordered as strings.
func (t *fakeTarget) runningTasks() []filbertford.TaskKey {
	if len(t.runs) == 0 {
		return nil
	}
	return slices.SortedFunc(maps.Keys(t.runs), func(a, b filbertford.TaskKey) int { return cmp.Compare(a.String(), b.String()) })
}

// hasDueRun reports whether endDueRuns has anything to do. It saves sorting the runs.
func (t *fakeTarget) hasDueRun() bool {
	expired := t.clock() > t.lease
	for _, r := range t.runs {
		if expired || t.sim.now >= r.endsAt {
			return true
		}
	}
	return false
}

// endDueRuns ends the runs that are finished or whose lease has expired.
func (t *fakeTarget) endDueRuns() {
	if !t.hasDueRun() {
		return
	}
	for _, key := range t.runningTasks() {
		r := t.runs[key]
		if t.clock() > t.lease {
			t.endRun(key, filbertford.RunLeaseExpired)
		} else if t.sim.now >= r.endsAt {
			t.endRun(key, r.outcome)
		}
	}
}

func (t *fakeTarget) running() int {
	return len(t.runs)
}

func (t *fakeTarget) extendLease(lease int64) {
	limit := t.clock() + time.Second
	t.lease = max(t.lease, min(time.Duration(lease)*time.Millisecond, limit))
}

// reply returns a reply without a start time, which only lists of runs have.
func (t *fakeTarget) reply(o filbertford.CallOutcome) filbertford.CallReply {
	return filbertford.NewCallReply(o, t.clock().Milliseconds())
}

func (t *fakeTarget) check(instance filbertford.TargetInstance, fence uint64) (filbertford.CallReply, bool) {
	t.endDueRuns()
	if instance.ID() != t.rec.Instance().ID() {
		return t.reply(filbertford.CallRestarted), true
	}
	if fence < t.fence {
		return t.reply(filbertford.CallFenced), true
	}
	t.fence = fence
	return filbertford.CallReply{}, false
}

func (t *fakeTarget) start(req filbertford.StartRunRequest) filbertford.CallReply {
	if t.busy {
		return t.reply(filbertford.CallBusy)
	}
	if r, rejected := t.check(req.Instance(), req.Fence()); rejected {
		return r
	}
	if r := t.runs[req.Task()]; r != nil && r.number == req.Run() {
		return t.reply(filbertford.CallDone)
	}
	if time.Duration(req.Lease())*time.Millisecond < t.clock() {
		return t.reply(filbertford.CallLeaseExpired)
	}
	t.extendLease(req.Lease()) // also by a start that is rejected below
	if req.Run() <= t.highest[req.Task()] {
		return t.reply(filbertford.CallStale)
	}
	if t.running() >= t.rec.Capacity().CPU()/1000 {
		if !t.sim.unguarded {
			return t.reply(filbertford.CallFull)
		}
		if t.running() >= t.allowedSlots() {
			t.sim.violations = append(t.sim.violations, fmt.Sprintf("%v: %v was started on %s beyond its capacity", t.sim.now, req.Task(), t.rec.Instance().ID()))
		}
	}
	duration, outcome := time.Duration(float64(t.sim.durationOf(req.Task()))*t.speed), filbertford.RunDone
	if t.failing {
		duration, outcome = 5*time.Millisecond, filbertford.RunFailed
	}
	if t.hanging {
		duration = time.Hour
	}
	t.highest[req.Task()] = req.Run()
	t.runs[req.Task()] = &fakeRun{number: req.Run(), endsAt: t.sim.now + duration, outcome: outcome}
	t.sim.started(req.Task(), t)
	return t.reply(filbertford.CallDone)
}

func (t *fakeTarget) stop(req filbertford.StopRunRequest) filbertford.CallReply {
	if r, rejected := t.check(req.Instance(), req.Fence()); rejected {
		return r
	}
	t.highest[req.Task()] = max(t.highest[req.Task()], req.Run())
	if r := t.runs[req.Task()]; r != nil && r.number <= req.Run() {
		if t.stopTime == 0 {
			t.endRun(req.Task(), filbertford.RunStopped)
		} else if end := t.sim.now + t.stopTime; end < r.endsAt {
			r.endsAt, r.outcome = end, filbertford.RunStopped
		}
	}
	return t.reply(filbertford.CallDone)
}
