package fbsched

import (
	"container/heap"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/filbertford/filbertford"
)

func (t *fakeTarget) look(o filbertford.LookOrder) filbertford.CallReply {
	if r, refused := t.refuses(o.Boot(), o.Fence()); refused {
		return r
	}
	if o.Lease() > 0 {
		t.extend(o.Lease())
	}
	var kept []filbertford.RunEnd
	for _, e := range t.ended {
		if e.Number() > o.Seen() {
			kept = append(kept, e)
		}
	}
	t.ended = kept
	var running []filbertford.RunStatus
	for _, key := range t.keys() {
		r := t.runs[key]
		percent := 100 - int(100*(r.ends-t.w.now)/max(1, time.Duration(float64(t.w.work)*t.speed)))
		if t.hanging {
			percent = 10
		}
		running = append(running, filbertford.NewRunStatus(key, r.number, percent))
	}
	return t.reply(filbertford.CallDone).WithLists(running, kept)
}

// event is something that happens at a time.
type event struct {
	at    time.Duration
	order int
	do    func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }

func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].order < q[j].order
}

func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

func (q *eventQueue) Push(x any) { *q = append(*q, x.(event)) }

func (q *eventQueue) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}

// fate tells what becomes of a call to a target.
type fate struct {
	there, back time.Duration // delays
	lost        bool          // no answer comes
	late        time.Duration // when it is carried out after all, 0 for never
}

// fakeOwner is a daemon that owns a pool.
type fakeOwner struct {
	node    filbertford.NodeID
	pool    *Pool
	dead    bool
	paused  bool
	cut     bool // from the coordinator
	waiting []func()
}

// fakeWorld runs owners, a coordinator and targets in virtual time.
type fakeWorld struct {
	now         time.Duration
	queue       eventQueue
	order       int
	work        time.Duration
	targets     map[filbertford.TargetID]*fakeTarget
	owners      []*fakeOwner
	coordinator *Coordinator
	running     map[filbertford.TaskKey]int
	done        map[filbertford.TaskKey]int
	starts      int
	begun       map[filbertford.JobKey]bool
	answers     map[uint64]filbertford.AnswerKind
	answered    map[uint64]time.Duration
	notes       []Note
	broken      []string
	fate        func() fate
}

const poolName filbertford.PoolID = "nordnes"

func newFakeWorld(targets, slots int) *fakeWorld {
	w := &fakeWorld{
		now: time.Minute, work: 100 * time.Millisecond,
		targets:     make(map[filbertford.TargetID]*fakeTarget),
		coordinator: NewCoordinator(poolName),
		running:     make(map[filbertford.TaskKey]int),
		begun:       make(map[filbertford.JobKey]bool),
		done:        make(map[filbertford.TaskKey]int),
		answers:     make(map[uint64]filbertford.AnswerKind),
		answered:    make(map[uint64]time.Duration),
		fate:        func() fate { return fate{there: time.Millisecond, back: time.Millisecond} },
	}
	for i := range targets {
		id := filbertford.TargetID(fmt.Sprintf("t%02d", i))
		w.addTarget(id, slots)
	}
	w.tickCoordinator()
	return w
}

func (w *fakeWorld) tickCoordinator() {
	w.after(20*time.Millisecond, func() {
		w.coordinator.Tick(w.now)
		w.tickCoordinator()
	})
}

func (w *fakeWorld) addTarget(id filbertford.TargetID, slots int) *fakeTarget {
	t := &fakeTarget{
		w: w, offset: time.Hour, speed: 1,
		rec: filbertford.NewTargetRecord(filbertford.NewBoot(id, 1), "ordering", string(id)+":80", "nordnes",
			filbertford.NewDemand(1000*slots, 1000, 0), "a", "r1"),
		runs:    make(map[filbertford.TaskKey]*fakeRun),
		highest: make(map[filbertford.TaskKey]uint64),
	}
	w.targets[id] = t
	return t
}

func (w *fakeWorld) started(key filbertford.TaskKey, t *fakeTarget) {
	w.starts++
	w.begun[key.Job()] = true
	if w.running[key]++; w.running[key] > 1 {
		w.broken = append(w.broken, fmt.Sprintf("%v: two runs of %v at once, the second at %s", w.now, key, t.rec.Boot().ID()))
	}
}

func (w *fakeWorld) ended(key filbertford.TaskKey, how filbertford.Ending) {
	w.running[key]--
	if how == filbertford.EndDone {
		w.done[key]++
	}
}

func (w *fakeWorld) after(d time.Duration, do func()) {
	w.order++
	heap.Push(&w.queue, event{at: w.now + d, order: w.order, do: do})
}

// run lets time pass.
func (w *fakeWorld) run(d time.Duration) {
	end := w.now + d
	for len(w.queue) > 0 && w.queue[0].at <= end {
		e := heap.Pop(&w.queue).(event)
		w.now = max(w.now, e.at)
		for _, id := range slices.Sorted(maps.Keys(w.targets)) {
			w.targets[id].settle()
		}
		e.do()
		w.flush()
	}
	w.now = end
}

// records returns what the platform lists.
func (w *fakeWorld) records() []filbertford.TargetRecord {
	var out []filbertford.TargetRecord
	for _, id := range slices.Sorted(maps.Keys(w.targets)) {
		t := w.targets[id]
		out = append(out, t.rec.WithDraining(t.draining))
	}
	return out
}

// own makes a new owner of the pool.
func (w *fakeWorld) own(node filbertford.NodeID, fence uint64) *fakeOwner {
	o := &fakeOwner{node: node, pool: NewPool(poolName, fence, 1_000_000, w.now)}
	w.owners = append(w.owners, o)
	o.pool.SetTargets(w.now, w.records())
	w.tick(o)
	w.flush()
	return o
}

// tick keeps an owner's ticks going.
func (w *fakeWorld) tick(o *fakeOwner) {
	w.after(20*time.Millisecond, func() {
		if o.dead {
			return
		}
		w.tick(o)
		w.at(o, func() {
			o.pool.Tick(w.now, 1_000_000)
			if !o.cut {
				w.after(time.Millisecond, func() { w.coordinator.SetRooms(poolName, o.pool.Fence(), o.pool.Rooms(w.now)) })
			}
		})
	})
}

// at lets an owner handle an event, later if it is paused.
func (w *fakeWorld) at(o *fakeOwner, do func()) {
	switch {
	case o.dead:
	case o.paused:
		o.waiting = append(o.waiting, do)
	default:
		do()
	}
}

func (w *fakeWorld) resume(o *fakeOwner) {
	o.paused = false
	for _, do := range o.waiting {
		do()
	}
	o.waiting = nil
	w.flush()
}

// tell names the owner to the coordinator.
func (w *fakeWorld) tell(o *fakeOwner) {
	if o == nil {
		w.coordinator.SetOwner(w.now, poolName, "", 0)
	} else {
		w.coordinator.SetOwner(w.now, poolName, o.node, o.pool.Fence())
		w.coordinator.SetRooms(poolName, o.pool.Fence(), o.pool.Rooms(w.now))
	}
	w.flush()
}

// submit hands a job of one step in.
func (w *fakeWorld) submit(request uint64, key filbertford.JobKey, tasks int) {
	step := filbertford.NewStep(tasks, filbertford.NewDemand(1000, 1, 0), w.work)
	job := filbertford.NewWorkload(key, "spec", step).WithBestEffort(true)
	route := filbertford.NewRoute("host", "/jobs/", "ordering").WithPolicy(0, 3).WithObjective(1.6, 60*time.Millisecond, 0)
	w.coordinator.Submit(w.now, request, route, job, 8*time.Second)
	w.flush()
}

// flush carries out all actions.
func (w *fakeWorld) flush() {
	for moved := true; moved; {
		moved = false
		for _, o := range w.owners {
			if o.dead || o.paused {
				continue
			}
			for _, a := range o.pool.TakeActions(w.now) {
				moved = true
				w.act(o, a)
			}
		}
		for _, a := range w.coordinator.TakeActions() {
			moved = true
			w.act(nil, a)
		}
	}
}

func (w *fakeWorld) act(o *fakeOwner, a Action) {
	switch v := a.(type) {
	case StartCall:
		w.call(o, v.Order.Boot().ID(), StartTimeout(), func(t *fakeTarget) filbertford.CallReply { return t.start(v.Order) },
			func(r filbertford.CallReply, sent time.Duration) { o.pool.StartReply(w.now, v.Order, r, sent, w.now) })
	case StopCall:
		w.call(o, v.Order.Boot().ID(), StartTimeout(), func(t *fakeTarget) filbertford.CallReply { return t.stop(v.Order) },
			func(r filbertford.CallReply, sent time.Duration) { o.pool.StopReply(w.now, v.Order, r, sent, w.now) })
	case LookCall:
		w.look(o, v.Order)
	case SendReport:
		if !o.cut {
			w.after(time.Millisecond, func() { w.coordinator.TakeReport(w.now, v.Report) })
		}
	case SendBatch:
		w.toOwner(v.To, func(o *fakeOwner) {
			if o.pool.Fence() == v.Batch.Fence() {
				o.pool.Offer(w.now, "c", v.Batch)
			}
		})
	case SendWithdrawal:
		w.toOwner(v.To, func(o *fakeOwner) { o.pool.Withdraw(w.now, "c", v.Withdrawal.Job()) })
	case Answer:
		w.answers[v.Request] = v.Answer.Kind()
		w.answered[v.Request] = w.now
	case LosePool:
		o.dead = true
	case Note:
		w.notes = append(w.notes, v)
	}
}

func (w *fakeWorld) toOwner(node filbertford.NodeID, do func(o *fakeOwner)) {
	for _, o := range w.owners {
		if o.node == node && !o.cut {
			w.after(time.Millisecond, func() { w.at(o, func() { do(o) }) })
		}
	}
}

// call carries a call to a target and its answer back.
func (w *fakeWorld) call(o *fakeOwner, id filbertford.TargetID, timeout time.Duration, do func(*fakeTarget) filbertford.CallReply, done func(filbertford.CallReply, time.Duration)) {
	sent, f, t := w.now, w.fate(), w.targets[id]
	if t == nil || t.down || f.lost {
		if f.late > 0 && t != nil {
			w.after(f.late, func() { do(t) })
		}
		w.after(timeout, func() {
			w.at(o, func() { done(filbertford.NewCallReply(filbertford.CallUnknown, 0), sent) })
		})
		return
	}
	w.after(f.there, func() {
		r := do(t)
		w.after(f.back, func() { w.at(o, func() { done(r, sent) }) })
	})
}

// look carries a look: the target holds its answer back until a run ends.
func (w *fakeWorld) look(o *fakeOwner, order filbertford.LookOrder) {
	done := func(r filbertford.CallReply, sent time.Duration) { o.pool.LookReply(w.now, order, r, sent, w.now) }
	id := order.Boot().ID()
	sent, f, t := w.now, w.fate(), w.targets[id]
	if t == nil || t.down || f.lost {
		w.call(o, id, LookTimeout(order), func(t *fakeTarget) filbertford.CallReply { return t.look(order) }, done)
		return
	}
	deadline := w.now + f.there + order.Wait()
	var poll func()
	poll = func() {
		r := t.look(order)
		if len(r.Ended()) == 0 && r.Outcome() == filbertford.CallDone && w.now < deadline {
			w.after(5*time.Millisecond, poll)
			return
		}
		w.after(f.back, func() { w.at(o, func() { done(r, sent) }) })
	}
	w.after(f.there, poll)
}

// count returns how many notes of the kind were made.
func (w *fakeWorld) count(kind NoteKind) int {
	n := 0
	for _, note := range w.notes {
		if note.Kind == kind {
			n++
		}
	}
	return n
}
