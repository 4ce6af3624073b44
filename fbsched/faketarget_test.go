package fbsched

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/filbertford/filbertford"
)

// fakeRun is a run at a fake target.
type fakeRun struct {
	number  uint64
	endsAt  time.Duration
	outcome filbertford.RunOutcome
}

// fakeTarget behaves as targets of the platform do: leases, fences, lists.
type fakeTarget struct {
	sim         *simulation
	rec         filbertford.TargetRecord
	clockOffset time.Duration // of its clock
	fence       uint64
	lease       time.Duration // on its clock
	runs        map[filbertford.TaskKey]*fakeRun
	highest     map[filbertford.TaskKey]uint64
	ended       []filbertford.EndedRun
	lastEnd     uint64
	speed       float64
	failing     bool
	hanging     bool
	down        bool
	draining    bool
}

func (t *fakeTarget) clock() time.Duration { return t.sim.now + t.clockOffset }

func (t *fakeTarget) endRun(key filbertford.TaskKey, ending filbertford.RunOutcome) {
	r := t.runs[key]
	delete(t.runs, key)
	t.lastEnd++
	t.ended = append(t.ended, filbertford.NewEndedRun(t.lastEnd, key, r.number, ending))
	t.sim.ended(key, ending)
}

// runningTasks returns the tasks that run, in order.
func (t *fakeTarget) runningTasks() []filbertford.TaskKey {
	return slices.SortedFunc(maps.Keys(t.runs), func(a, b filbertford.TaskKey) int { return cmp.Compare(a.String(), b.String()) })
}

// endDueRuns ends what is due.
func (t *fakeTarget) endDueRuns() {
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

func (t *fakeTarget) extend(lease int64) {
	limit := t.clock() + time.Second
	t.lease = max(t.lease, min(time.Duration(lease)*time.Millisecond, limit))
}

func (t *fakeTarget) reply(o filbertford.CallOutcome) filbertford.CallReply {
	return filbertford.NewCallReply(o, t.clock().Milliseconds())
}

func (t *fakeTarget) check(b filbertford.TargetInstance, fence uint64) (filbertford.CallReply, bool) {
	t.endDueRuns()
	if b != t.rec.Instance() {
		return t.reply(filbertford.CallRestarted), true
	}
	if fence < t.fence {
		return t.reply(filbertford.CallFenced), true
	}
	t.fence = fence
	return filbertford.CallReply{}, false
}

func (t *fakeTarget) start(o filbertford.StartRunRequest) filbertford.CallReply {
	if r, refused := t.check(o.Instance(), o.Fence()); refused {
		return r
	}
	if r := t.runs[o.Task()]; r != nil && r.number == o.Run() {
		return t.reply(filbertford.CallDone)
	}
	if o.Run() <= t.highest[o.Task()] {
		return t.reply(filbertford.CallStale)
	}
	if time.Duration(o.Lease())*time.Millisecond < t.clock() {
		return t.reply(filbertford.CallLeaseExpired)
	}
	if t.running() >= t.rec.Capacity().CPU()/1000 {
		return t.reply(filbertford.CallFull)
	}
	t.extend(o.Lease())
	duration, ending := time.Duration(float64(t.sim.taskDuration)*t.speed), filbertford.RunDone
	if t.failing {
		duration, ending = 5*time.Millisecond, filbertford.RunFailed
	}
	if t.hanging {
		duration = time.Hour
	}
	t.highest[o.Task()] = o.Run()
	t.runs[o.Task()] = &fakeRun{number: o.Run(), endsAt: t.sim.now + duration, outcome: ending}
	t.sim.started(o.Task(), t)
	return t.reply(filbertford.CallDone)
}

func (t *fakeTarget) stop(o filbertford.StopRunRequest) filbertford.CallReply {
	if r, refused := t.check(o.Instance(), o.Fence()); refused {
		return r
	}
	t.highest[o.Task()] = max(t.highest[o.Task()], o.Run())
	if r := t.runs[o.Task()]; r != nil && r.number <= o.Run() {
		t.endRun(o.Task(), filbertford.RunStopped)
	}
	return t.reply(filbertford.CallDone)
}
