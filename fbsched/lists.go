package fbsched

import (
	"fmt"
	"maps"
	"time"

	"github.com/filbertford/filbertford"
)

// applyEnded updates the runs from the list of ended runs in the reply to a poll. An end
// stays true, however old the list is.
func (p *Pool) applyEnded(now time.Duration, t *target, r filbertford.CallReply) {
	for _, e := range r.Ended() {
		if e.Sequence() > t.lastSequence {
			t.lastSequence = e.Sequence()
			p.runEnded(now, t, e, r.Clock())
		}
	}
}

// applyRunning updates the runs from the list of running ones in the reply to a poll that
// was sent and received at the given times. The ended runs of the reply have been applied.
//
// If the target has not listed all of its ended runs, a run in neither list may be among them.
func (p *Pool) applyRunning(now time.Duration, t *target, r filbertford.CallReply, sent, received time.Duration) {
	complete := len(r.Ended()) < maxListedEnds
	firstList := !t.listed && complete
	if firstList {
		t.listed, t.listedAt, p.capacityChanged = true, now, true
		delete(p.departed, t.id())
		delete(p.unlistedAddresses, t.address)
	}
	listed := make(map[filbertford.TaskKey]bool, len(r.Running()))
	for _, s := range r.Running() {
		listed[s.Task()] = true
		p.runListed(now, t, s, received)
	}
	p.stopUnclaimedRuns(now, t)
	if firstList {
		p.checkAllStartedOn(now, t.id())
	}
	if !complete {
		return
	}
	for _, run := range sortedRuns(t.runs) {
		if !listed[run.key] {
			p.runMissing(now, t, run, sent)
		}
	}
}

// runListed handles a run that the target lists as running, in a reply that was received at the given
// time.
func (p *Pool) runListed(now time.Duration, t *target, s filbertford.RunStatus, received time.Duration) {
	r := t.runs[s.Task()]
	if r != nil && r.number < s.Run() {
		// The target rejects the lower run from now on, so that the task is free for this one.
		if r.task != nil {
			r.task.run = nil
		}
		p.releaseRun(r)
		r = nil
	}
	if r == nil {
		r = p.addInheritedRun(now, t, s)
	}
	if r.number != s.Run() {
		return
	}
	r.state, r.listed, r.shownAt = runWorking, true, max(r.shownAt, received)
	if s.Percent() > r.percent || r.progressedAt == 0 {
		r.percent, r.progressedAt = s.Percent(), now
	}
}

// addInheritedRun adds a run that this owner has not started, and assigns it to its
// task if the task is queued. The earlier owner may just have extended the target's lease.
func (p *Pool) addInheritedRun(now time.Duration, t *target, s filbertford.RunStatus) *run {
	r := &run{target: t, key: s.Task(), number: s.Run(), state: runWorking, startedAt: now, listed: true, progressedAt: now}
	p.runNumbers[s.Task()] = max(p.runNumbers[s.Task()], s.Run())
	t.leaseExpiry = max(t.leaseExpiry, t.clock.reading+maxLease.Milliseconds())
	if other := p.activeRuns[s.Task()]; other != nil {
		// The task has two runs: stop this one, which an earlier owner started.
		p.emitEvent(Event{
			Kind: EventSecondRunFound, Task: r.key, Target: t.id(), Started: t.rec.Instance().StartedAt(), Run: r.number, Fence: p.fence,
			Reason: fmt.Sprintf("run %d is on %s", other.number, other.target.id()), Age: now - other.startedAt,
		})
		r.stopWanted, r.second = true, true
		r.endBy(now)
		p.secondRuns[s.Task()]++
		t.runs[s.Task()] = r
		p.sendStop(now, r)
		return r
	}
	p.emitEvent(Event{Kind: EventRunFound, Task: r.key, Target: t.id(), Started: t.rec.Instance().StartedAt(), Run: r.number, Fence: p.fence, Age: now - p.createdAt})
	r.limitUnclaimed(now)
	t.runs[s.Task()] = r
	p.activeRuns[s.Task()] = r
	if waiting := p.tasks[s.Task()]; waiting != nil && waiting.run == nil {
		p.adopt(now, waiting, r)
		p.dequeue(waiting)
	}
	return r
}

// runMissing handles a run that is in neither list of the reply to a poll. The target's clock doesn't
// show that lists are newer than a reply that shows the run: it may be read later than the runs. Those
// of a poll that was sent after that reply are.
func (p *Pool) runMissing(now time.Duration, t *target, r *run, sent time.Duration) {
	switch {
	case r.state == runWorking && sent < r.shownAt:
	case r.listed:
		p.discardRun(now, r, "target no longer lists the run")
	case r.state == runWorking:
		p.discardRun(now, r, "target never listed the run")
	case r.state != runUncertain:
		// The target may have replied before it received the start.
	case r.stopConfirmedAt != 0 && sent > r.stopConfirmedAt:
		p.discardRun(now, r, "run stopped before it started")
	case t.clock.earliest(sent) > r.leaseExpiry:
		p.discardRun(now, r, "lease expired before the run started")
	case r.stopSentAt == 0:
		r.stopWanted = true
		r.endBy(now + leaseDuration + stopTimeout)
		p.sendStop(now, r)
	}
}

// runEnded handles a run that the target lists as ended, in lists that it wrote at the given
// time of its clock.
func (p *Pool) runEnded(now time.Duration, t *target, e filbertford.EndedRun, listedClock int64) {
	r := t.runs[e.Task()]
	if r == nil || r.number != e.Run() {
		p.inheritedRunEnded(now, t, e)
		return
	}
	p.releaseRun(r)
	task := r.task
	p.emitEvent(Event{Kind: EventRunEnded, Task: e.Task(), Target: t.id(), Run: e.Run(), Reason: string(e.Outcome()), Age: now - r.startedAt})
	if task == nil {
		p.observeRun(now, t, r, e.Outcome(), listedClock)
		if !r.stopWanted || isStoredRun(r.number) {
			p.inheritedRunEnded(now, t, e)
		}
		return
	}
	switch e.Outcome() {
	case filbertford.RunDone:
		t.trackOutcome(e, task)
		p.observeRun(now, t, r, e.Outcome(), listedClock)
		p.finishTask(now, task, StatusDone)
	case filbertford.RunFailed:
		p.taskFailed(now, t, task, e)
	default:
		p.requeueTask(now, task, string(e.Outcome()))
	}
}

// inheritedRunEnded handles the end of a run that is not assigned to a task, such as
// one of an earlier owner that was never listed as running, or one whose lease counted as
// expired. Its task may be queued.
func (p *Pool) inheritedRunEnded(now time.Duration, t *target, e filbertford.EndedRun) {
	p.runNumbers[e.Task()] = max(p.runNumbers[e.Task()], e.Run())
	if e.Outcome() == filbertford.RunFailed {
		p.inheritFailure(now, t, e)
	}
	if e.Outcome() != filbertford.RunDone {
		return
	}
	waiting := p.tasks[e.Task()]
	if waiting == nil {
		if _, ok := p.outcomes[e.Task()]; !ok {
			p.outcomes[e.Task()] = taskOutcome{status: StatusDone, endedAt: now, retention: storedOutcomeRetention}
			if isStoredRun(e.Run()) {
				t.unclaimed[e.Sequence()] = unclaimedOutcome{task: e.Task(), expiry: now + unclaimedRetention}
			}
		}
		return
	}
	if waiting.run == nil {
		t.trackOutcome(e, waiting)
		p.dequeue(waiting)
		p.emitEvent(Event{Kind: EventRunEnded, Task: e.Task(), Target: t.id(), Run: e.Run(), Reason: string(e.Outcome())})
		p.finishTask(now, waiting, StatusDone)
	}
}

// taskFailed handles a failed run of a task: it retries the task or ends it as failed.
func (p *Pool) taskFailed(now time.Duration, t *target, task *task, e filbertford.EndedRun) {
	task.failures.add(e.Run(), false)
	t.trackOutcome(e, task)
	p.attributeFailure(now, t, task)
	task.avoid = append(task.avoid, t.id())
	if task.attemptsUsed() {
		p.finishTask(now, task, StatusFailed)
		return
	}
	p.requeueTask(now, task, "failed")
}

// trackOutcome adds an outcome of a stored job's task that must be recorded before the target may discard it.
// A failed run is counted.
func (t *target) trackOutcome(e filbertford.EndedRun, task *task) {
	if task.batch.stored {
		t.unconfirmed[e.Sequence()] = Confirm{task: e.Task(), done: e.Outcome() == filbertford.RunDone, failed: task.failures.failed}
	}
}

// confirm removes the outcomes that are now recorded, and reports whether there were
// any.
func (t *target) confirm(c Confirm) bool {
	n := len(t.unconfirmed) + len(t.unclaimed)
	maps.DeleteFunc(t.unclaimed, func(_ uint64, o unclaimedOutcome) bool {
		return o.task == c.task && (c.done || o.failedRun != 0 && o.failedRun <= c.failed.last)
	})
	for sequence, u := range t.unconfirmed {
		if u.task == c.task && (c.done || !u.done && u.failed.count <= c.failed.count) {
			delete(t.unconfirmed, sequence)
		}
	}
	return len(t.unconfirmed)+len(t.unclaimed) < n
}

// lastAckable returns the sequence up to which the target may discard ended runs.
func (t *target) lastAckable() uint64 {
	last := t.lastSequence
	for sequence := range t.unclaimed {
		last = min(last, sequence-1)
	}
	for sequence := range t.unconfirmed {
		last = min(last, sequence-1)
	}
	return last
}
