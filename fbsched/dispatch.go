package fbsched

import (
	"slices"
	"time"

	"github.com/filbertford/filbertford"
)

// fullPause is how long a target gets no task after it has refused one for want
// of room that the pool believed to be free.
const fullPause = 50 * time.Millisecond

// dispatch starts the tasks that wait, the most urgent first.
func (p *Pool) dispatch(now time.Duration) {
	p.due = false
	if p.queue.len() == 0 {
		return
	}
	markets := p.markets(now)
	started := false
	p.queue.each(now, func(t *task) {
		if m := markets[t.batch.service]; m != nil && t.batch.step.Demand().Fits(m.most) && p.startTask(now, t, m) {
			started = true
		}
	})
	if started {
		p.queue.removeFunc(func(t *task) bool { return t.run != nil })
	}
}

// startTask starts a task if a target of its service has room for it.
func (p *Pool) startTask(now time.Duration, t *task, m *market) bool {
	if t.parked != 0 || p.live[t.key] != nil || !p.surelyOver(now, t) {
		return false
	}
	chosen := p.choose(t, m)
	t.choosy = chosen != nil && betterToWait(now, t, chosen, m.fastest)
	if chosen == nil || t.choosy {
		return false
	}
	best := chosen.target
	step := t.batch.step
	r := &run{
		target: best, key: t.key, number: p.nextRun(now, t), task: t, state: runStarting,
		demand: step.Demand(), began: now, advanced: now,
		expected: time.Duration(float64(step.Estimate()) * chosen.factor),
		lease:    best.clock.at(now) + leaseTerm.Milliseconds(),
	}
	best.lease = max(best.lease, r.lease)
	best.runs[t.key], p.live[t.key] = r, r
	best.used = best.used.Plus(r.demand)
	t.run, t.started, p.changed = r, true, true
	p.note(Note{Kind: NoteStart, Task: t.key, Target: best.id(), Run: r.number, Age: now - t.queued})
	p.do(StartCall{Order: filbertford.NewStartOrder(best.rec.Boot(), best.rec.Address(), t.key, r.number, t.batch.spec, r.lease, p.fence)})
	p.reportStart(t, best.id())
	p.look(now, best)
	chosen.closed = !best.health.takes(now, len(best.runs))
	m.take(chosen, r.demand)
	return true
}

// surelyOver reports whether no run of an earlier owner can be at work on a
// task that this owner does not know to run. All targets must be listed, since
// the coordinator may not have heard of the last start, and so must the one that
// it has heard of, whose record may be missing.
//
// A stored task may also be done, on a target that is not listed yet, long after
// any run of it could be at work.
func (p *Pool) surelyOver(now time.Duration, t *task) bool {
	if !t.resume || now >= t.notBefore && (!t.batch.durable || now-p.began >= settleTerm) {
		return true
	}
	if !p.settled || t.startedOn == "" {
		return p.settled
	}
	on := p.targets[t.startedOn]
	return on != nil && on.listed || on == nil && now >= t.notBefore
}

// choose returns the opening in which the task ends first. Among equals it takes
// the one whose room the task fills best.
func (p *Pool) choose(t *task, m *market) *opening {
	step := t.batch.step
	var best *opening
	var bestCost float64
	var bestLeft int
	for i := range m.openings {
		c := &m.openings[i]
		if c.closed || !step.Demand().Fits(c.free) || !c.target.rec.HasLabel(step.Label()) ||
			slices.Contains(t.avoid, c.target.id()) && !p.noChoice(t) || c.target.holds(t, step.MaxPerTarget()) {
			continue
		}
		cost, left := c.factor, c.free.CPU()-step.Demand().CPU()
		if step.Rack() != "" && !c.target.rec.HasLabel(step.Rack()) {
			cost *= farFactor
		}
		if best == nil || cost < bestCost || cost == bestCost && left < bestLeft {
			best, bestCost, bestLeft = c, cost, left
		}
	}
	return best
}

// estimateMargin covers what estimates of callers scatter by.
const estimateMargin = 1.25

// betterToWait reports whether the task would be late in the opening, but can
// still meet its objective on a target with the fastest factor, which may have
// room soon.
func betterToWait(now time.Duration, t *task, o *opening, fastest float64) bool {
	estimate := float64(t.batch.step.Estimate())
	left := float64(t.due - now)
	return estimate*o.factor > left && estimate*fastest*estimateMargin <= left && o.target.health.relative <= slowFactor
}

// farFactor is how many times longer a task takes outside its preferred rack,
// as the platform states it.
const farFactor = 1.5

// noChoice reports whether the task has failed on so many targets that it may
// go back to one of them.
func (p *Pool) noChoice(t *task) bool { return len(t.avoid) >= len(p.order) }

// usable reports whether tasks of the service may be started on the target.
func (p *Pool) usable(now time.Duration, t *target, service string) bool {
	return t.rec.Service() == service && t.listed && t.misses == 0 && t.clock.known && !t.rec.Draining() &&
		!t.removed && now >= t.full
}

// holds reports whether the target runs as many tasks of the step as allowed.
func (t *target) holds(of *task, most int) bool {
	if most <= 0 {
		return false
	}
	n := 0
	for key := range t.runs {
		if key.Job() == of.key.Job() && key.Step() == of.key.Step() && key.Occurrence() == of.key.Occurrence() {
			n++
		}
	}
	return n >= most
}

// StartReply takes in the answer to a start.
func (p *Pool) StartReply(now time.Duration, o filbertford.StartOrder, reply filbertford.CallReply, sent, received time.Duration) {
	t := p.targetOf(o.Boot())
	if t == nil {
		return
	}
	heard := p.hear(now, t, reply, sent, received)
	r := t.runs[o.Task()]
	if r == nil || r.number != o.Run() {
		return
	}
	if !heard {
		if reply.Outcome() == filbertford.CallUnknown && r.state == runStarting {
			r.state = runDoubtful
		}
		p.look(now, t)
		return
	}
	if reply.Outcome() == filbertford.CallDone {
		r.confirmed = received
		if r.state == runStarting {
			r.state, r.advanced = runWorking, now
		}
		p.look(now, t)
		return
	}
	p.startRefused(now, t, r, reply)
	p.due = true
}

// startRefused takes in the refusal of a start: the run is not and will not be
// at work.
func (p *Pool) startRefused(now time.Duration, t *target, r *run, reply filbertford.CallReply) {
	switch reply.Outcome() {
	case filbertford.CallStale:
		p.runs[r.key] += wallStep
	case filbertford.CallFull:
		t.full = now + fullPause
	case filbertford.CallBusy:
		if t.health.strike(now, 1) {
			p.note(Note{Kind: NoteQuarantine, Target: t.id(), Task: r.key, Age: t.health.term, Reason: reply.Detail()})
		}
	case filbertford.CallInvalid:
		p.clearRun(r)
		if r.task != nil {
			p.note(Note{Kind: NoteEnd, Task: r.key, Target: t.id(), Run: r.number, Reason: "refused as malformed"})
			p.finishTask(now, r.task, VerdictFailed)
		}
		return
	}
	full := t.full
	p.loseRun(now, r, "start refused: "+string(reply.Outcome()))
	t.full = full
}

// Rooms returns what the pool could start at once, by service.
func (p *Pool) Rooms(now time.Duration) []Room {
	byService := make(map[string]*Room)
	var services []string
	for _, t := range p.order {
		name := t.rec.Service()
		room := byService[name]
		if room == nil {
			room = &Room{service: name}
			byService[name] = room
			services = append(services, name)
		}
		if !p.usable(now, t, name) || !t.health.takes(now, 0) {
			continue
		}
		room.total += t.rec.Capacity().CPU()
		if free := t.rec.Capacity().Minus(t.used).CPU(); free > 0 && t.health.takes(now, len(t.runs)) {
			room.free = append(room.free, free)
		}
	}
	slices.Sort(services)
	out := make([]Room, 0, len(services))
	for _, name := range services {
		room := byService[name]
		room.backlog = p.backlog(name, room.total)
		out = append(out, *room)
	}
	return out
}

// backlog returns how long all usable targets need for what waits.
func (p *Pool) backlog(service string, total int) time.Duration {
	if total == 0 {
		return time.Minute
	}
	var work float64
	for _, t := range p.queue.tasks {
		if t.batch.service == service && !t.choosy {
			work += float64(t.batch.step.Estimate()) * float64(t.batch.step.Demand().CPU())
		}
	}
	return time.Duration(work / float64(total))
}
