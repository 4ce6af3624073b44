package fbsched

import (
	"slices"
	"time"

	"github.com/filbertford/filbertford"
)

// Parameters of target health.
const (
	// minQuarantine and maxQuarantine bound the time in which a failing target gets no
	// tasks. The time doubles with each failed probe.
	minQuarantine = 500 * time.Millisecond
	maxQuarantine = 4 * time.Second
	// quarantineFailures is the number of consecutive failures that quarantine a
	// target.
	quarantineFailures = 2
	// minStallTime is the shortest time without progress after which a run counts
	// as hung.
	minStallTime = 250 * time.Millisecond
	// stallShare is the share of a run's expected time that it may spend without
	// progress.
	stallShare = 0.15
	// minPollInterval is the shortest time between two polls of a target.
	minPollInterval = 15 * time.Millisecond
	// firstCheckShare is the share of a run's expected time after which its progress
	// is first checked.
	firstCheckShare = 0.5
	// lateCheckFactor is the multiple of the expected time after which a run's
	// progress is checked often.
	lateCheckFactor = 1.3
)

// health is the health of a target as its runs show it. It counts consecutive failures;
// a target is suspect from a failure until a run succeeds.
type health struct {
	failures        int
	suspect         bool
	quarantineUntil time.Duration // no task is started before
	lastQuarantine  time.Duration // duration of the last quarantine
	probing         bool          // from a quarantine until a run succeeds
	slowdown        float64       // factor relative to the target's machine kind
	slowdownAt      time.Duration
	slowness        slowness
}

// decay halves the slowdown above 1 for each half-life that has passed.
func (h *health) decay(now time.Duration) {
	if h.slowdown <= 1 {
		return
	}
	for now-h.slowdownAt > slowdownHalfLife {
		h.slowdown = 1 + (h.slowdown-1)/2
		h.slowdownAt += slowdownHalfLife
	}
}

// accepts reports whether a target with the given number of runs may get another
// task.
func (h *health) accepts(now time.Duration, running int) bool {
	if now < h.quarantineUntil || !h.slowness.accepts(now, running) {
		return false
	}
	if h.suspect || h.probing {
		return running == 0
	}
	return true
}

// recordFailure counts a failure, and reports whether it led to a quarantine.
func (h *health) recordFailure(now time.Duration, weight int) bool {
	if now < h.quarantineUntil {
		return false // the run was started before the quarantine
	}
	h.failures += weight
	h.suspect = true
	if h.failures < quarantineFailures && !h.probing {
		return false
	}
	h.lastQuarantine = min(max(2*h.lastQuarantine, minQuarantine), maxQuarantine)
	h.quarantineUntil, h.probing, h.failures = now+h.lastQuarantine, true, quarantineFailures
	return true
}

// recordSuccess records a successful run, and reports whether the target was suspect
// or being probed.
func (h *health) recordSuccess() bool {
	recovered := h.suspect || h.probing
	h.failures, h.suspect, h.probing, h.lastQuarantine = 0, false, false, 0
	return recovered
}

// undoFailure undoes the last failure, whose cause was the task.
func (h *health) undoFailure() {
	if h.failures > 0 {
		h.failures--
	}
	if h.failures == 0 {
		h.suspect, h.probing, h.quarantineUntil = false, false, 0
	}
}

// attributeFailure attributes a failed run to the task if the task has also failed on
// other targets, and to the target otherwise.
func (p *Pool) attributeFailure(now time.Duration, t *target, failed *task) {
	p.capacityChanged = true
	others := slices.DeleteFunc(slices.Clone(failed.avoid), func(id filbertford.TargetID) bool { return id == t.id() })
	if len(others) > 0 && !t.health.probing {
		for _, id := range others {
			if o := p.targets[id]; o != nil {
				o.health.undoFailure()
			}
		}
		return
	}
	if now < t.health.quarantineUntil {
		return
	}
	if t.health.recordFailure(now, 1) {
		p.emitEvent(Event{Kind: EventTargetQuarantined, Target: t.id(), Task: failed.key, Age: t.health.lastQuarantine, Reason: "failed runs"})
		return
	}
	p.emitEvent(Event{Kind: EventTargetSuspect, Target: t.id(), Task: failed.key, Reason: "failed run"})
}

// observeRun updates the health and slowdown of a target from a run that is done. The
// target listed the end at the given time of its clock.
func (p *Pool) observeRun(now time.Duration, t *target, r *run, outcome filbertford.RunOutcome, listedClock int64) {
	if outcome != filbertford.RunDone {
		return
	}
	if t.health.recordSuccess() {
		p.emitEvent(Event{Kind: EventTargetTrusted, Target: t.id(), Task: r.key, Run: r.number})
	}
	if r.task == nil || r.confirmedAt == 0 {
		return
	}
	estimate := r.task.batch.step.Estimate()
	if estimate <= 0 {
		return
	}
	factor := float64(p.runTime(now, r, listedClock)) / float64(estimate)
	kindFactor := p.kindFactors.factor(t.rec.MachineKind())
	p.kindFactors.observe(t.rec.MachineKind(), min(factor, 4*kindFactor))
	p.observeSpeed(now, t, r, factor/kindFactor)
	slowdown := max(t.health.slowdown, 1)
	t.health.slowdown = slowdown + targetWeight*(factor/kindFactor-slowdown)
	t.health.slowdownAt = now
}

// nextProgressCheck returns the time until the run's progress is to be checked. A check
// before minStallTime could not show that the run hangs, so there is none; the end of a
// short run is reported by the poll that waits for it.
func (r *run) nextProgressCheck(now time.Duration) time.Duration {
	first := max(time.Duration(float64(r.expected)*firstCheckShare), minStallTime)
	age := now - r.startedAt
	if age < first {
		return first - age
	}
	if late := time.Duration(float64(r.expected) * lateCheckFactor); age < late {
		return late - age
	}
	return max(r.expected/2, minStallTime/2)
}

// checkProgress stops a run that makes no progress, so that its task is started on
// another target.
func (p *Pool) checkProgress(now time.Duration, r *run) {
	if r.task == nil || r.stopWanted || !r.listed || r.target.misses > 0 {
		return
	}
	allowed := max(minStallTime, time.Duration(float64(r.expected)*stallShare))
	if r.target.polledAt-r.progressedAt < allowed {
		return
	}
	t := r.target
	r.task.avoid = append(r.task.avoid, t.id())
	if t.health.recordFailure(now, quarantineFailures) {
		p.emitEvent(Event{Kind: EventTargetQuarantined, Target: t.id(), Task: r.key, Age: t.health.lastQuarantine, Reason: "no progress"})
	}
	p.capacityChanged = true
	p.stopRun(now, r, "no progress")
}
