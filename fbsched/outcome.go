package fbsched

import (
	"maps"
	"slices"
	"time"

	"github.com/filbertford/filbertford"
)

// finishSearch reports a searched task as absent once it is certain that no run of
// it remains on the pool's targets.
func (p *Pool) finishSearch(now time.Duration, t *task) {
	if t.run == nil && p.activeRuns[t.key] == nil && p.secondRuns[t.key] == 0 && p.earlierRunsEnded(now, t) {
		delete(p.tasks, t.key)
		p.returnTask(t, StatusAbsent)
	}
}

// releaseOutcomes stops reporting the outcomes of a job that has ended, and lets the
// targets discard them.
func (p *Pool) releaseOutcomes(now time.Duration, job filbertford.JobKey) {
	for key, outcome := range p.outcomes {
		if key.Job() == job {
			outcome.nextReport = 0
			p.outcomes[key] = outcome
		}
	}
	for _, t := range p.sortedTargets {
		n := len(t.unconfirmed) + len(t.unclaimed)
		maps.DeleteFunc(t.unconfirmed, func(_ uint64, u Confirm) bool { return u.task.Job() == job })
		maps.DeleteFunc(t.unclaimed, func(_ uint64, e unclaimedOutcome) bool { return e.task.Job() == job })
		if len(t.unconfirmed)+len(t.unclaimed) < n {
			p.poll(now, t)
		}
	}
}

// HandleConfirm handles the confirmation that the outcome of a task, or the number of
// its failed runs, is recorded.
func (p *Pool) HandleConfirm(now time.Duration, c Confirm) {
	if outcome, ok := p.outcomes[c.task]; ok && (c.done || c.failed.count >= outcome.failed.count && c.crashes >= outcome.crashes) {
		outcome.nextReport, outcome.retention = 0, now-outcome.endedAt+outcomeRetention
		p.outcomes[c.task] = outcome
	}
	for _, t := range p.sortedTargets {
		if t.confirm(c) {
			p.poll(now, t)
		}
	}
}

// tickStored reports searched tasks that are absent, drops tasks that no coordinator
// has taken over, and repeats reports of outcomes that are not confirmed.
func (p *Pool) tickStored(now time.Duration) {
	for _, key := range sortedKeys(p.tasks, func(t *task) bool { return t.search }) {
		p.finishSearch(now, p.tasks[key])
	}
	p.dropTasks(now, func(t *task) bool {
		return t.coordinatorUnreachableAt != 0 && now-t.coordinatorUnreachableAt > coordinatorTimeout ||
			t.reofferBy != 0 && now >= t.reofferBy
	}, "no coordinator")
	for _, key := range sortedKeys(p.outcomes, func(o taskOutcome) bool { return o.nextReport != 0 && now >= o.nextReport }) {
		outcome := p.outcomes[key]
		outcome.nextReport = now + reportInterval
		p.outcomes[key] = outcome
		p.report(outcome.coordinator, key, outcome.status, outcome.failed)
	}
}

// sortedKeys returns the keys of the entries that match, so that a pool's actions don't depend
// on the order of map iteration.
func sortedKeys[V any](m map[filbertford.TaskKey]V, match func(V) bool) []filbertford.TaskKey {
	var out []filbertford.TaskKey
	for key, v := range m {
		if match(v) {
			out = append(out, key)
		}
	}
	slices.SortFunc(out, filbertford.TaskKey.Compare)
	return out
}

// finishTask ends a task with a status, and records and reports its outcome.
func (p *Pool) finishTask(now time.Duration, t *task, status Status) {
	delete(p.tasks, t.key)
	outcome := taskOutcome{status: status, failed: t.failures.failed, crashes: p.crashCountOf(t.key).counted, endedAt: now, retention: outcomeRetention, coordinator: t.coordinator}
	if t.batch.stored {
		outcome.retention, outcome.nextReport = storedOutcomeRetention, now+reportInterval
	}
	p.outcomes[t.key] = outcome
	p.report(t.coordinator, t.key, status, t.failures.failed)
	if status == StatusDone {
		p.forgetLosses(t.key)
	}
}

func (p *Pool) removeOldOutcomes(now time.Duration) {
	maps.DeleteFunc(p.shardOwners, func(_ filbertford.JobKey, owner shardOwner) bool { return now-owner.at > storedOutcomeRetention })
	for key, outcome := range p.outcomes {
		if now-outcome.endedAt > outcome.retention {
			delete(p.outcomes, key)
			delete(p.inheritedFailures, key)
			if p.tasks[key] == nil && p.activeRuns[key] == nil {
				delete(p.runNumbers, key)
			}
		}
	}
	p.forgetInheritedFailures(now)
}
