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
	if waiting != nil && (p.tasks[waiting.key] != waiting || waiting.run != nil || p.heldBack(waiting.key)) {
		t.reservedFor = nil
	}
	return t.reservedFor != nil
}

// chooseEmptyTarget returns the target on which a task is to run alone: of those without runs,
// the one that has been up for longest, which is the least likely to crash for another reason.
// If there is none, it reserves a target and returns nil.
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
		case best == nil, c.target.startedAt < best.target.startedAt:
			best = c
		}
	}
	if best == nil && next != nil && next.target.reservedFor == nil && reserved < max(1, len(capacity.targets)/reservedShare) {
		next.target.reservedFor, next.closed = t, true
		capacity.updateMaxFree()
	}
	return best
}

// emptyAt returns when the target's runs are expected to have ended.
func (t *target) emptyAt(now time.Duration) time.Duration {
	at := now
	for _, r := range t.runs {
		at = max(at, r.startedAt+r.expected)
	}
	return at
}
