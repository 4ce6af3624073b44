package fbsched

import (
	"slices"
	"time"

	"github.com/filbertford/filbertford"
)

// The coordinator names to a new owner of the pool the target on which the last run of a task was started. Until that is
// known to have ended, a crash of the target may be one under the task, which no owner may have seen.

// inheritCrashes adds the crashes under a task that its coordinator knows of.
func (p *Pool) inheritCrashes(now time.Duration, key filbertford.TaskKey, item Item) {
	known := p.crashCountOf(key)
	if added := item.crashes.counted - known.counted; added > 0 {
		p.lossesOf(now, key).other.counted += added
	}
	if added := item.crashes.refuted - known.refuted; added > 0 {
		p.lossesOf(now, key).other.refuted += added
	}
}

// checkStartedOn handles what the pool knows of the target that an earlier owner started a task on. If that
// target is up, its lists show whether it runs the task. If it has ended before it was listed, it may have
// crashed under the task, which is given up if that is one crash too many.
func (p *Pool) checkStartedOn(now time.Duration, t *task) {
	id := t.startedOn
	if id == "" {
		return
	}
	if target := p.targets[id]; target != nil {
		if target.listed && (p.activeRuns[t.key] == nil || p.activeRuns[t.key].target != target) {
			p.clearStartedOn(t)
		}
		return
	}
	added := loss{target: id, state: lossCrashed, source: sourceReported, at: now}
	if ended, ok := p.endedTargets[id]; ok {
		if !ended.draining && !ended.listed {
			p.addLoss(now, t.key, added)
		}
		p.reportRunEnded(t, id)
	} else if _, ok := p.departed[id]; ok {
		added.state, added.unsure = lossRemoved, true // an earlier owner may have counted it
		p.addLoss(now, t.key, added)
	}
}

// checkAllStartedOn does the same for the waiting tasks that an earlier owner started on the target.
func (p *Pool) checkAllStartedOn(now time.Duration, id filbertford.TargetID) {
	for _, t := range p.waitingStartedOn(id) {
		p.checkStartedOn(now, t)
	}
}

// waitingStartedOn returns the waiting tasks that an earlier owner started on the target.
func (p *Pool) waitingStartedOn(id filbertford.TargetID) []*task {
	var out []*task
	for _, t := range p.queue.tasks {
		if t.resume && t.startedOn == id {
			out = append(out, t)
		}
	}
	return out
}

// clearStartedOn handles that no run of a waiting task is on the target any more that an earlier owner started
// it on. If this owner has lost a run there, the target may still turn out to have crashed under it.
func (p *Pool) clearStartedOn(t *task) {
	if id := t.startedOn; !p.mayHaveCrashed(t.key, id) {
		t.startedOn = ""
		p.reportRunEnded(t, id)
	}
}

// mayHaveCrashed reports whether it isn't known yet if the target has crashed under the task.
func (p *Pool) mayHaveCrashed(key filbertford.TaskKey, id filbertford.TargetID) bool {
	l := p.losses[key]
	return l != nil && slices.ContainsFunc(l.losses, func(lost loss) bool {
		return lost.target == id && lost.state == lossSilent && !lost.unsure
	})
}

// reportRunEnded tells the coordinator of a waiting task that no run of it is on the target, so that a later
// owner of the pool doesn't count a crash of the target under the task.
func (p *Pool) reportRunEnded(t *task, id filbertford.TargetID) {
	r := NewReport(p.id, p.fence, t.key, StatusRetried, t.failures.failed.count).WithFailedRun(t.failures.failed.last).withCrashCount(p.crashCountOf(t.key))
	p.emit(SendReport{To: t.coordinator, Report: r.WithStarted(true).WithTarget(id)})
}
