package fbsched

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/filbertford/filbertford"
)

// target is what a pool knows of one life of a target.
type target struct {
	rec         filbertford.TargetRecord
	removed     bool // the record went away
	listed      bool // the lists were read with the pool's fence
	listedAt    time.Duration
	clock       clock
	lease       int64 // the latest end of a lease that was sent
	seen        uint64
	acked       uint64
	unconfirmed map[uint64]Confirm    // ends of stored jobs that are not recorded
	foreign     map[uint64]foreignEnd // ends of stored jobs that nobody claims
	looking     bool
	lookSent    time.Duration
	looked      time.Duration // when the last look ended
	answered    time.Duration
	misses      int
	runs        map[filbertford.TaskKey]*run
	used        filbertford.Demand
	health      health
	full        time.Duration // no start before this time, for want of room
}

// foreignEnd is the end of a run that an earlier owner began.
type foreignEnd struct {
	task  filbertford.TaskKey
	until time.Duration // when the target may forget it
}

// runState tells how far a run is.
type runState string

const (
	runStarting runState = "starting" // no answer to the start yet
	runWorking  runState = "working"  // started, or listed as running
	runDoubtful runState = "doubtful" // the start was not answered in time
)

// run is a run of a task on a target. A run without a task is an orphan, or is
// being stopped.
type run struct {
	target    *target
	key       filbertford.TaskKey
	number    uint64
	task      *task
	state     runState
	demand    filbertford.Demand
	began     time.Duration
	confirmed time.Duration // when the target answered the start
	expected  time.Duration
	lease     int64 // the end of the start's own lease on the target's clock
	listed    bool
	percent   int
	advanced  time.Duration // when the percent last rose
	stopSent  time.Duration
	// stopped is when the target confirmed a stop: a look sent later that does
	// not list the run proves that it never runs.
	stopped time.Duration
	stop    bool // a stop is wanted
}

func (t *target) id() filbertford.TargetID { return t.rec.Boot().ID() }

// adoptable reports whether another task record may take the run over.
func (r *run) adoptable() bool { return r.task == nil && !r.stop }

// SetGhosts names targets that have left the pool without announcing it, and may
// still run tasks of an earlier owner.
func (p *Pool) SetGhosts(ids []filbertford.TargetID) {
	for _, id := range ids {
		p.ghosts[id] = true
	}
}

// SetTargets replaces the records of the pool's targets.
func (p *Pool) SetTargets(now time.Duration, records []filbertford.TargetRecord) {
	present := make(map[filbertford.TargetID]bool, len(records))
	for _, rec := range records {
		id := rec.Boot().ID()
		present[id] = true
		p.setTarget(now, rec)
	}
	for _, t := range p.order {
		if !present[t.id()] && !t.removed {
			t.removed = true
			p.note(Note{Kind: NoteTargetGone, Target: t.id(), Age: now - t.answered})
		}
	}
	p.changed, p.due = true, true
}

func (p *Pool) setTarget(now time.Duration, rec filbertford.TargetRecord) {
	id := rec.Boot().ID()
	t := p.targets[id]
	if t != nil && rec.Boot().Born() != 0 && t.rec.Boot().Born() != rec.Boot().Born() {
		if rec.Boot().Born() < t.rec.Boot().Born() {
			return // an older life's record, read late
		}
		p.targetReborn(now, t)
		p.removeTarget(t)
		t = nil
	}
	if t != nil {
		if rec.Draining() && !t.rec.Draining() {
			p.note(Note{Kind: NoteDraining, Target: id})
		}
		t.rec, t.removed = rec, false
		return
	}
	t = &target{
		rec: rec, runs: make(map[filbertford.TaskKey]*run), unconfirmed: make(map[uint64]Confirm),
		foreign:  make(map[uint64]foreignEnd),
		answered: now,
	}
	p.targets[id] = t
	p.order = append(p.order, t)
	slices.SortFunc(p.order, func(a, b *target) int { return cmp.Compare(a.id(), b.id()) })
	p.note(Note{Kind: NoteTargetNew, Target: id, Reason: rec.Kind()})
	p.look(now, t)
}

func (p *Pool) removeTarget(t *target) {
	if !t.listed {
		p.ghosts[t.id()] = true
	}
	delete(p.targets, t.id())
	p.order = slices.DeleteFunc(p.order, func(o *target) bool { return o == t })
	p.changed = true
}

// targetReborn ends all runs of a life that is over.
func (p *Pool) targetReborn(now time.Duration, t *target) {
	for _, r := range sortedRuns(t.runs) {
		p.loseRun(now, r, "target restarted")
	}
}

// tendTarget does what time demands of one target.
func (p *Pool) tendTarget(now time.Duration, t *target) {
	if t.removed && len(t.runs) == 0 && !t.looking {
		p.removeTarget(t)
		return
	}
	p.checkLapse(now, t)
	p.stopOrphans(now, t)
	for _, r := range sortedRuns(t.runs) {
		if r.stop && r.stopped == 0 && now-r.stopSent > retryPause {
			p.sendStop(now, r)
		}
		p.checkProgress(now, r)
	}
	t.health.tick(now)
	maps.DeleteFunc(t.foreign, func(_ uint64, e foreignEnd) bool { return now >= e.until })
	if !t.looking && (t.misses == 0 || now-t.looked > retryPause) {
		p.look(now, t)
	}
}

// checkLapse ends the runs of a target that has not answered for as long as
// its leases can last.
func (p *Pool) checkLapse(now time.Duration, t *target) {
	if t.misses == 0 || len(t.runs) == 0 || !t.clock.known || t.clock.surely(now) <= t.lease {
		return
	}
	p.note(Note{Kind: NoteLapsed, Target: t.id(), Age: now - t.answered})
	for _, r := range sortedRuns(t.runs) {
		p.loseRun(now, r, "lease ran out")
	}
}

func (p *Pool) stopOrphans(now time.Duration, t *target) {
	if !t.listed || now-t.listedAt < adoptionTerm {
		return
	}
	for _, r := range sortedRuns(t.runs) {
		if r.task == nil && !r.stop {
			p.stopRun(now, r, "nobody claims it")
		}
	}
}

// look asks a target for its lists if there is a reason to. The lease of one
// that does not answer is not prolonged, so that its runs come to an end.
func (p *Pool) look(now time.Duration, t *target) {
	if t.looking || t.listed && len(t.runs) == 0 && t.ackable() == t.acked && t.misses == 0 {
		return
	}
	if now-t.looked < t.leastCheck() {
		return
	}
	var lease int64
	var wait time.Duration
	if t.clock.known && len(t.runs) > 0 && t.misses == 0 {
		lease = t.clock.at(now) + leaseTerm.Milliseconds()
		t.lease = max(t.lease, lease)
	}
	if t.listed && t.misses == 0 && len(t.runs) > 0 {
		wait = t.nextCheck(now)
	}
	t.looking, t.lookSent = true, now
	p.do(LookCall{Order: filbertford.NewLookOrder(t.rec.Boot(), t.rec.Address(), p.fence, t.ackable(), lease, wait)})
}

// leastCheck returns the time between two looks while the target answers at once
// with the ends that it has to keep.
func (t *target) leastCheck() time.Duration {
	switch {
	case len(t.unconfirmed) > 0:
		return minCheck
	case len(t.foreign) > 0:
		return heldCheck
	}
	return 0
}

// nextCheck returns how long the target may hold back its answer if no run
// ends.
func (t *target) nextCheck(now time.Duration) time.Duration {
	wait := lookWait
	for _, r := range t.runs {
		wait = min(wait, r.nextCheck(now))
	}
	return max(wait, minCheck)
}

// LookReply takes in the answer to a look that was sent and received at the
// given times.
func (p *Pool) LookReply(now time.Duration, o filbertford.LookOrder, r filbertford.CallReply, sent, received time.Duration) {
	t := p.targetOf(o.Boot())
	if t == nil {
		return
	}
	t.looking, t.looked = false, now
	if !p.hear(now, t, r, sent, received) {
		return
	}
	if r.Outcome() == filbertford.CallDone {
		t.acked = max(t.acked, o.Seen())
		p.readLists(now, t, r, sent)
	}
	p.look(now, t)
	p.settle(now)
	p.due = true
}

// hear takes in what every answer tells, and reports whether there was one
// from this life of the target.
func (p *Pool) hear(now time.Duration, t *target, r filbertford.CallReply, sent, received time.Duration) bool {
	switch r.Outcome() {
	case filbertford.CallUnknown:
		if t.misses++; t.misses == 1 {
			p.note(Note{Kind: NoteUnreachable, Target: t.id(), Reason: r.Detail(), Age: now - t.answered})
			p.changed = true
		}
		return false
	case filbertford.CallFenced:
		p.note(Note{Kind: NoteFenced, Target: t.id(), Age: now - p.began})
		p.do(LosePool{Pool: p.id})
		return false
	case filbertford.CallReborn:
		p.targetReborn(now, t)
		p.removeTarget(t)
		p.note(Note{Kind: NoteTargetGone, Target: t.id(), Reason: "another life answered"})
		return false
	}
	if t.misses > 0 {
		p.note(Note{Kind: NoteReachable, Target: t.id(), Age: now - t.answered})
		t.misses, p.changed = 0, true
	}
	t.clock.set(r.Clock(), sent, received)
	t.answered = received
	return true
}

func (p *Pool) targetOf(b filbertford.Boot) *target {
	t := p.targets[b.ID()]
	if t == nil || t.rec.Boot() != b {
		return nil
	}
	return t
}

// startTimeout is the time that a target has to answer a start or a stop: many
// times the way there and back, and short against a task.
const startTimeout = 80 * time.Millisecond

// lookMargin is the time that a target has to answer a look after its wait.
const lookMargin = 250 * time.Millisecond

// StartTimeout returns the time that a target has to answer a start or a stop.
func StartTimeout() time.Duration { return startTimeout }

// LookTimeout returns the time that a target has to answer a look.
func LookTimeout(o filbertford.LookOrder) time.Duration { return o.Wait() + lookMargin }

// loseRun ends a run that surely is not and will not be at work.
func (p *Pool) loseRun(now time.Duration, r *run, reason string) {
	p.clearRun(r)
	if r.task != nil {
		p.requeueTask(now, r.task, reason)
	}
}

// clearRun gives back the room of a run that is over.
func (p *Pool) clearRun(r *run) {
	t := r.target
	delete(t.runs, r.key)
	t.used = t.used.Minus(r.demand)
	if p.live[r.key] == r {
		delete(p.live, r.key)
	}
	t.full, p.changed = 0, true
}

// stopRun asks for the end of a run. Its room is free when the target lists the
// end.
func (p *Pool) stopRun(now time.Duration, r *run, reason string) {
	if r.stop {
		return
	}
	r.stop = true
	p.note(Note{Kind: NoteStopRun, Task: r.key, Target: r.target.id(), Run: r.number, Reason: reason, Age: now - r.began})
	p.sendStop(now, r)
}

func (p *Pool) sendStop(now time.Duration, r *run) {
	t := r.target
	r.stopSent = now
	p.do(StopCall{Order: filbertford.NewStopOrder(t.rec.Boot(), t.rec.Address(), r.key, r.number, p.fence)})
}

// StopReply takes in the answer to a stop.
func (p *Pool) StopReply(now time.Duration, o filbertford.StopOrder, reply filbertford.CallReply, sent, received time.Duration) {
	t := p.targetOf(o.Boot())
	if t == nil || !p.hear(now, t, reply, sent, received) {
		return
	}
	if r := t.runs[o.Task()]; r != nil && r.number == o.Run() && reply.Outcome() == filbertford.CallDone {
		r.stopped = received
	}
	p.look(now, t)
}

func sortedRuns(runs map[filbertford.TaskKey]*run) []*run {
	if len(runs) == 0 {
		return nil
	}
	out := make([]*run, 0, len(runs))
	for _, r := range runs {
		out = append(out, r)
	}
	slices.SortFunc(out, compareRuns)
	return out
}

func compareRuns(a, b *run) int {
	if c := cmp.Compare(a.number, b.number); c != 0 {
		return c
	}
	return a.key.Compare(b.key)
}
