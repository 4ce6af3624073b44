package fbsched

import (
	"maps"
	"time"

	"github.com/filbertford/filbertford"
)

// applyLists brings the runs in line with the lists of an answer to a look that
// was sent at the given time.
func (p *Pool) applyLists(now time.Duration, t *target, r filbertford.CallReply, sent time.Duration) {
	if !t.listed {
		t.listed, t.listedAt, p.capacityChanged = true, now, true
		delete(p.departed, t.id())
	}
	for _, e := range r.Ended() {
		if e.Sequence() > t.seen {
			t.seen = e.Sequence()
			p.runEnded(now, t, e)
		}
	}
	listed := make(map[filbertford.TaskKey]bool, len(r.Running()))
	for _, s := range r.Running() {
		listed[s.Task()] = true
		p.runListed(now, t, s)
	}
	for _, run := range sortedRuns(t.runs) {
		if !listed[run.key] {
			p.runMissing(now, t, run, sent)
		}
	}
}

// runListed takes in a run that the target lists as running.
func (p *Pool) runListed(now time.Duration, t *target, s filbertford.RunStatus) {
	r := t.runs[s.Task()]
	if r == nil || r.number < s.Run() {
		r = p.addInheritedRun(now, t, s)
	}
	if r.number != s.Run() {
		return
	}
	r.state, r.listed = runWorking, true
	if s.Percent() > r.percent || r.progressedAt == 0 {
		r.percent, r.progressedAt = s.Percent(), now
	}
}

// addInheritedRun records a run that this owner has not started, and gives it to
// the task that waits for it.
func (p *Pool) addInheritedRun(now time.Duration, t *target, s filbertford.RunStatus) *run {
	r := &run{target: t, key: s.Task(), number: s.Run(), state: runWorking, startedAt: now, listed: true, progressedAt: now}
	p.runNumbers[s.Task()] = max(p.runNumbers[s.Task()], s.Run())
	if other := p.activeRuns[s.Task()]; other != nil {
		// Two runs of one task: the older one is on its way out.
		r.stopWanted = true
		t.runs[s.Task()] = r
		p.sendStop(now, r)
		return r
	}
	t.runs[s.Task()] = r
	p.activeRuns[s.Task()] = r
	if waiting := p.tasks[s.Task()]; waiting != nil && waiting.run == nil {
		p.adopt(now, waiting, r)
		p.dequeue(waiting)
	}
	return r
}

// runMissing decides on a run that neither list of an answer shows.
func (p *Pool) runMissing(now time.Duration, t *target, r *run, sent time.Duration) {
	switch {
	case r.listed:
		p.discardRun(now, r, "the target lists it no more")
	case r.state == runWorking && sent > r.confirmedAt:
		p.discardRun(now, r, "the target never listed it")
	case r.state != runUncertain:
		// The answer may be older than the start.
	case r.stopConfirmedAt != 0 && sent > r.stopConfirmedAt:
		p.discardRun(now, r, "stopped before it began")
	case t.clock.earliest(sent) > r.leaseExpiry:
		p.discardRun(now, r, "its lease ran out before it began")
	case r.stopSentAt == 0:
		r.stopWanted = true
		p.sendStop(now, r)
	}
}

// runEnded takes in a run that the target lists as ended.
func (p *Pool) runEnded(now time.Duration, t *target, e filbertford.EndedRun) {
	r := t.runs[e.Task()]
	if r == nil || r.number != e.Run() {
		p.inheritedRunEnded(now, t, e)
		return
	}
	p.releaseRun(r)
	task := r.task
	p.emitEvent(Event{Kind: EventRunEnded, Task: e.Task(), Target: t.id(), Run: e.Run(), Reason: string(e.Outcome()), Age: now - r.startedAt})
	if task != nil && task.batch.stored {
		t.trackOutcome(e, task.failures)
	}
	if task == nil {
		p.observeRun(now, t, r, e.Outcome())
		if !r.stopWanted || isStoredRun(r.number) {
			p.inheritedRunEnded(now, t, e)
		}
		return
	}
	switch e.Outcome() {
	case filbertford.RunDone:
		p.observeRun(now, t, r, e.Outcome())
		p.finishTask(now, task, StatusDone)
	case filbertford.RunFailed:
		p.taskFailed(now, t, task)
	default:
		p.requeueTask(now, task, string(e.Outcome()))
	}
}

// inheritedRunEnded takes in the end of a run that this owner did not know: its task
// may be waiting to resume.
func (p *Pool) inheritedRunEnded(now time.Duration, t *target, e filbertford.EndedRun) {
	p.runNumbers[e.Task()] = max(p.runNumbers[e.Task()], e.Run())
	if e.Outcome() == filbertford.RunFailed {
		p.inheritedFailures[e.Task()]++
	}
	if e.Outcome() != filbertford.RunDone {
		return
	}
	waiting := p.tasks[e.Task()]
	if waiting == nil {
		if _, ok := p.outcomes[e.Task()]; !ok {
			p.outcomes[e.Task()] = taskOutcome{status: StatusDone, at: now, retention: storedOutcomeRetention}
			if isStoredRun(e.Run()) {
				t.unclaimed[e.Sequence()] = unclaimedOutcome{task: e.Task(), expiry: now + unclaimedRetention}
			}
		}
		return
	}
	if waiting.run == nil && waiting.resume {
		if waiting.batch.stored {
			t.trackOutcome(e, 0)
		}
		p.dequeue(waiting)
		p.emitEvent(Event{Kind: EventRunEnded, Task: e.Task(), Target: t.id(), Run: e.Run(), Reason: string(e.Outcome())})
		p.finishTask(now, waiting, StatusDone)
	}
}

// taskFailed counts a failed run against the task and the target.
func (p *Pool) taskFailed(now time.Duration, t *target, task *task) {
	task.failures++
	p.attributeFailure(now, t, task)
	task.avoid = append(task.avoid, t.id())
	if task.failures >= task.batch.attempts {
		p.finishTask(now, task, StatusFailed)
		return
	}
	if task.batch.stored {
		p.report(task.coordinator, task.key, StatusRetried, task.failures)
	}
	p.requeueTask(now, task, "failed")
}

// trackOutcome notes an end that must be recorded before the target may forget it.
func (t *target) trackOutcome(e filbertford.EndedRun, failures int) {
	switch e.Outcome() {
	case filbertford.RunDone:
		t.unconfirmed[e.Sequence()] = Confirm{task: e.Task(), done: true}
	case filbertford.RunFailed:
		t.unconfirmed[e.Sequence()] = Confirm{task: e.Task(), failures: failures + 1}
	}
}

// confirm drops the ends that are recorded, and reports whether there were any.
func (t *target) confirm(c Confirm) bool {
	n := len(t.unconfirmed) + len(t.unclaimed)
	if c.done {
		maps.DeleteFunc(t.unclaimed, func(_ uint64, e unclaimedOutcome) bool { return e.task == c.task })
	}
	for number, u := range t.unconfirmed {
		if u.task == c.task && (c.done || !u.done && u.failures <= c.failures) {
			delete(t.unconfirmed, number)
		}
	}
	return len(t.unconfirmed)+len(t.unclaimed) < n
}

// lastAckable returns the number up to which the target may forget ends.
func (t *target) lastAckable() uint64 {
	n := t.seen
	for number := range t.unclaimed {
		n = min(n, number-1)
	}
	for number := range t.unconfirmed {
		n = min(n, number-1)
	}
	return n
}
