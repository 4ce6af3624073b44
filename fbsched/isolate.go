package fbsched

import (
	"slices"
	"time"
)

// reservedShare is the part of a service's targets that may be reserved for tasks that run
// alone, at least one: 1 in reservedShare.
const reservedShare = 4

// isolate keeps other tasks from the run's target while the run lasts.
func (r *run) isolate() {
	if !r.alone {
		r.alone = true
		r.target.aloneRuns++
	}
}

// reserved reports whether the target is kept for a task that waits to run alone.
func (p *Pool) reserved(t *target) bool {
	waiting := t.reservedFor
	if waiting != nil && (p.tasks[waiting.key] != waiting || waiting.run != nil || !p.suspected(waiting.key) || p.heldBack(waiting.key)) {
		t.reservedFor = nil
	}
	return t.reservedFor != nil
}

// chooseEmptyTarget returns the target on which a task is to run alone: of those without runs
// that have replied lately, the one that has been up for longest, which is the least likely to
// crash for another reason. If there is none, it reserves a target and returns nil.
func (p *Pool) chooseEmptyTarget(now time.Duration, t *task, capacity *serviceCapacity) *targetCapacity {
	step := t.batch.step
	var best, next *targetCapacity
	reserved := 0
	for i := range capacity.targets {
		c := &capacity.targets[i]
		if c.target.reservedFor != nil {
			reserved++
		}
		if c.closed && c.target.reservedFor != t || !step.Demand().Fits(c.target.rec.Capacity()) || !c.target.rec.HasLabel(step.Label()) ||
			slices.Contains(t.avoid, c.target.id()) && !p.triedAllTargets(t) {
			continue
		}
		switch {
		case len(c.target.runs) > 0:
			if next == nil || c.target.reservedFor == t || next.target.reservedFor != t && c.target.emptyAt(now) < next.target.emptyAt(now) {
				next = c
			}
		case best == nil, preferred(now, c.target, best.target):
			best = c
		}
	}
	if best != nil && (best.target.heardLately(now) || p.losses[t.key].count() == 1) {
		return best // the first retry doesn't wait for an answer: a loss that is unsure doesn't count
	}
	if best != nil {
		next = best
		if !best.target.polling {
			p.sendPoll(now, best.target)
		}
	}
	if next != nil && next.target.reservedFor == nil && reserved < max(1, len(capacity.targets)/reservedShare) {
		next.target.reservedFor, next.closed = t, true
		capacity.updateMaxFree()
	}
	return nil
}

// preferred reports whether a task is rather to run alone on the target a than on b.
func preferred(now time.Duration, a, b *target) bool {
	if heard := a.heardLately(now); heard != b.heardLately(now) {
		return heard
	}
	return a.startedAt < b.startedAt
}

// aliveTimeout is how long after a poll that a target has answered a crash counts as one under
// the task that is started there: longer than the target may hold the next poll.
const aliveTimeout = maxPollWait + 100*time.Millisecond

// heardLately reports whether the target has answered a poll that was sent lately.
func (t *target) heardLately(now time.Duration) bool { return now-t.listsSent <= aliveTimeout }

// emptyAt returns when the target's runs are expected to have ended.
func (t *target) emptyAt(now time.Duration) time.Duration {
	at := now
	for _, r := range t.runs {
		at = max(at, r.startedAt+r.expected)
	}
	return at
}
