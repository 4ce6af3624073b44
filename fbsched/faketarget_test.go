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
	number uint64
	ends   time.Duration
	how    filbertford.Ending
}

// fakeTarget behaves as targets of the platform do: leases, fences, lists.
type fakeTarget struct {
	w        *fakeWorld
	rec      filbertford.TargetRecord
	offset   time.Duration // of its clock
	fence    uint64
	lease    time.Duration // on its clock
	runs     map[filbertford.TaskKey]*fakeRun
	highest  map[filbertford.TaskKey]uint64
	ended    []filbertford.RunEnd
	number   uint64
	speed    float64
	failing  bool
	hanging  bool
	down     bool
	draining bool
}

func (t *fakeTarget) clock() time.Duration { return t.w.now + t.offset }

func (t *fakeTarget) end(key filbertford.TaskKey, how filbertford.Ending) {
	r := t.runs[key]
	delete(t.runs, key)
	t.number++
	t.ended = append(t.ended, filbertford.NewRunEnd(t.number, key, r.number, how))
	t.w.ended(key, how)
}

// keys returns the tasks that run, in order.
func (t *fakeTarget) keys() []filbertford.TaskKey {
	return slices.SortedFunc(maps.Keys(t.runs), func(a, b filbertford.TaskKey) int { return cmp.Compare(a.String(), b.String()) })
}

// settle ends what is due.
func (t *fakeTarget) settle() {
	for _, key := range t.keys() {
		r := t.runs[key]
		if t.clock() > t.lease {
			t.end(key, filbertford.EndLapsed)
		} else if t.w.now >= r.ends {
			t.end(key, r.how)
		}
	}
}

func (t *fakeTarget) used() int {
	return len(t.runs)
}

func (t *fakeTarget) extend(lease int64) {
	most := t.clock() + time.Second
	t.lease = max(t.lease, min(time.Duration(lease)*time.Millisecond, most))
}

func (t *fakeTarget) reply(o filbertford.CallOutcome) filbertford.CallReply {
	return filbertford.NewCallReply(o, t.clock().Milliseconds())
}

func (t *fakeTarget) refuses(b filbertford.Boot, fence uint64) (filbertford.CallReply, bool) {
	t.settle()
	if b != t.rec.Boot() {
		return t.reply(filbertford.CallReborn), true
	}
	if fence < t.fence {
		return t.reply(filbertford.CallFenced), true
	}
	t.fence = fence
	return filbertford.CallReply{}, false
}

func (t *fakeTarget) start(o filbertford.StartOrder) filbertford.CallReply {
	if r, refused := t.refuses(o.Boot(), o.Fence()); refused {
		return r
	}
	if r := t.runs[o.Task()]; r != nil && r.number == o.Run() {
		return t.reply(filbertford.CallDone)
	}
	if o.Run() <= t.highest[o.Task()] {
		return t.reply(filbertford.CallStale)
	}
	if time.Duration(o.Lease())*time.Millisecond < t.clock() {
		return t.reply(filbertford.CallLate)
	}
	if t.used() >= t.rec.Capacity().CPU()/1000 {
		return t.reply(filbertford.CallFull)
	}
	t.extend(o.Lease())
	took, how := time.Duration(float64(t.w.work)*t.speed), filbertford.EndDone
	if t.failing {
		took, how = 5*time.Millisecond, filbertford.EndFailed
	}
	if t.hanging {
		took = time.Hour
	}
	t.highest[o.Task()] = o.Run()
	t.runs[o.Task()] = &fakeRun{number: o.Run(), ends: t.w.now + took, how: how}
	t.w.started(o.Task(), t)
	return t.reply(filbertford.CallDone)
}

func (t *fakeTarget) stop(o filbertford.StopOrder) filbertford.CallReply {
	if r, refused := t.refuses(o.Boot(), o.Fence()); refused {
		return r
	}
	t.highest[o.Task()] = max(t.highest[o.Task()], o.Run())
	if r := t.runs[o.Task()]; r != nil && r.number <= o.Run() {
		t.end(o.Task(), filbertford.EndStopped)
	}
	return t.reply(filbertford.CallDone)
}
