package fbsched

import (
	"slices"
	"time"

	"github.com/filbertford/filbertford"
)

// Times and limits of the judgement of targets.
const (
	// quarantineFirst and quarantineLongest bound the time in which a target
	// that fails gets no tasks; it doubles with each failed probe.
	quarantineFirst   = 500 * time.Millisecond
	quarantineLongest = 4 * time.Second
	// strikesAllowed is the number of failures in a row that put a target under
	// quarantine.
	strikesAllowed = 2
	// stallTime is the shortest time without progress after which a run counts
	// as hung.
	stallTime = 250 * time.Millisecond
	// stallShare is the share of a run's expected time that it may spend without
	// progress.
	stallShare = 0.15
	// minCheck is the shortest time between two looks at a target.
	minCheck = 15 * time.Millisecond
	// firstCheck is the share of a run's expected time after which its progress
	// is looked at.
	firstCheck = 0.5
	// lateCheck is the factor of the expected time after which a run is looked
	// at often.
	lateCheck = 1.3
)

// health is what a pool makes of a target's work.
type health struct {
	strikes    int
	suspect    bool
	quarantine time.Duration // until when no task is started
	term       time.Duration // of the last quarantine
	probing    bool          // one run decides on the end of a quarantine
	relative   float64       // factor of slowness against the target's kind
	relativeAt time.Duration
}

// tick lets what is known of slowness fade.
func (h *health) tick(now time.Duration) {
	if h.relative <= 1 {
		return
	}
	for now-h.relativeAt > slowMemory {
		h.relative = 1 + (h.relative-1)/2
		h.relativeAt += slowMemory
	}
}

// takes reports whether the target may get another task while it has the given
// number of runs.
func (h *health) takes(now time.Duration, running int) bool {
	if now < h.quarantine {
		return false
	}
	if h.suspect || h.probing {
		return running == 0
	}
	return true
}

// strike counts a failure, and reports whether it led to a quarantine.
func (h *health) strike(now time.Duration, weight int) bool {
	if now < h.quarantine {
		return false // a run from before the quarantine
	}
	h.strikes += weight
	h.suspect = true
	if h.strikes < strikesAllowed && !h.probing {
		return false
	}
	h.term = min(max(2*h.term, quarantineFirst), quarantineLongest)
	h.quarantine, h.probing, h.strikes = now+h.term, true, strikesAllowed
	return true
}

// clear takes a good run in, and reports whether it ended a suspicion.
func (h *health) clear() bool {
	was := h.suspect || h.probing
	h.strikes, h.suspect, h.probing, h.term = 0, false, false, 0
	return was
}

// pardon takes back the last strike: the task was to blame.
func (h *health) pardon() {
	if h.strikes > 0 {
		h.strikes--
	}
	if h.strikes == 0 {
		h.suspect, h.probing, h.quarantine = false, false, 0
	}
}

// judgeFailure decides whether a failed run speaks against the target or
// against the task: a task that has failed elsewhere too is the one to blame.
func (p *Pool) judgeFailure(now time.Duration, t *target, failed *task) {
	p.changed = true
	others := slices.DeleteFunc(slices.Clone(failed.avoid), func(id filbertford.TargetID) bool { return id == t.id() })
	if len(others) > 0 && !t.health.probing {
		for _, id := range others {
			if o := p.targets[id]; o != nil {
				o.health.pardon()
			}
		}
		return
	}
	if now < t.health.quarantine {
		return
	}
	if t.health.strike(now, 1) {
		p.note(Note{Kind: NoteQuarantine, Target: t.id(), Task: failed.key, Age: t.health.term, Reason: "failed runs"})
		return
	}
	p.note(Note{Kind: NoteSuspect, Target: t.id(), Task: failed.key, Reason: "failed run"})
}

// learn takes in how a run on a target went.
func (p *Pool) learn(now time.Duration, t *target, r *run, e filbertford.Ending) {
	if e != filbertford.EndDone {
		return
	}
	if t.health.clear() {
		p.note(Note{Kind: NoteTrusted, Target: t.id(), Task: r.key, Run: r.number})
	}
	if r.task == nil || r.confirmed == 0 {
		return
	}
	estimate := r.task.batch.step.Estimate()
	if estimate <= 0 {
		return
	}
	factor := float64(now-r.began) / float64(estimate)
	kind := p.speeds.kind(t.rec.Kind())
	p.speeds.observe(t.rec.Kind(), min(factor, 4*kind))
	relative := max(t.health.relative, 1)
	t.health.relative = relative + targetWeight*(factor/kind-relative)
	t.health.relativeAt = now
}

// nextCheck returns when a run's progress is worth a look.
func (r *run) nextCheck(now time.Duration) time.Duration {
	first := time.Duration(float64(r.expected) * firstCheck)
	age := now - r.began
	if age < first {
		return first - age
	}
	if late := time.Duration(float64(r.expected) * lateCheck); age < late {
		return late - age
	}
	return max(r.expected/2, stallTime/2)
}

// checkProgress stops a run that makes no progress, to start it elsewhere.
func (p *Pool) checkProgress(now time.Duration, r *run) {
	if r.task == nil || r.stop || !r.listed || r.target.misses > 0 {
		return
	}
	allowed := max(stallTime, time.Duration(float64(r.expected)*stallShare))
	if r.target.looked-r.advanced < allowed {
		return
	}
	t := r.target
	r.task.avoid = append(r.task.avoid, t.id())
	if t.health.strike(now, strikesAllowed) {
		p.note(Note{Kind: NoteQuarantine, Target: t.id(), Task: r.key, Age: t.health.term, Reason: "no progress"})
	}
	p.changed = true
	p.stopRun(now, r, "no progress")
}
