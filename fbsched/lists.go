package fbsched

import (
	"maps"
	"time"

	"github.com/filbertford/filbertford"
)

// readLists brings the runs in line with the lists of an answer to a look that
// was sent at the given time.
func (p *Pool) readLists(now time.Duration, t *target, r filbertford.CallReply, sent time.Duration) {
	if !t.listed {
		t.listed, t.listedAt, p.changed = true, now, true
		delete(p.ghosts, t.id())
	}
	for _, e := range r.Ended() {
		if e.Number() > t.seen {
			t.seen = e.Number()
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
		r = p.foreignRun(now, t, s)
	}
	if r.number != s.Run() {
		return
	}
	r.state, r.listed = runWorking, true
	if s.Percent() > r.percent || r.advanced == 0 {
		r.percent, r.advanced = s.Percent(), now
	}
}

// foreignRun records a run that this owner has not started, and gives it to
// the task that waits for it.
func (p *Pool) foreignRun(now time.Duration, t *target, s filbertford.RunStatus) *run {
	r := &run{target: t, key: s.Task(), number: s.Run(), state: runWorking, began: now, listed: true, advanced: now}
	p.runs[s.Task()] = max(p.runs[s.Task()], s.Run())
	if other := p.live[s.Task()]; other != nil {
		// Two runs of one task: the older one is on its way out.
		r.stop = true
		t.runs[s.Task()] = r
		p.sendStop(now, r)
		return r
	}
	t.runs[s.Task()] = r
	p.live[s.Task()] = r
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
		p.loseRun(now, r, "the target lists it no more")
	case r.state == runWorking && sent > r.confirmed:
		p.loseRun(now, r, "the target never listed it")
	case r.state != runDoubtful:
		// The answer may be older than the start.
	case r.stopped != 0 && sent > r.stopped:
		p.loseRun(now, r, "stopped before it began")
	case t.clock.surely(sent) > r.lease:
		p.loseRun(now, r, "its lease ran out before it began")
	case r.stopSent == 0:
		r.stop = true
		p.sendStop(now, r)
	}
}

// runEnded takes in a run that the target lists as ended.
func (p *Pool) runEnded(now time.Duration, t *target, e filbertford.RunEnd) {
	r := t.runs[e.Task()]
	if r == nil || r.number != e.Run() {
		p.foreignEnd(now, t, e)
		return
	}
	p.clearRun(r)
	task := r.task
	p.note(Note{Kind: NoteEnd, Task: e.Task(), Target: t.id(), Run: e.Run(), Reason: string(e.Ending()), Age: now - r.began})
	if task != nil && task.batch.durable {
		t.keep(e, task.failures)
	}
	if task == nil {
		p.learn(now, t, r, e.Ending())
		if !r.stop || isStoredRun(r.number) {
			p.foreignEnd(now, t, e)
		}
		return
	}
	switch e.Ending() {
	case filbertford.EndDone:
		p.learn(now, t, r, e.Ending())
		p.finishTask(now, task, VerdictDone)
	case filbertford.EndFailed:
		p.taskFailed(now, t, task)
	default:
		p.requeueTask(now, task, string(e.Ending()))
	}
}

// foreignEnd takes in the end of a run that this owner did not know: its task
// may be waiting to resume.
func (p *Pool) foreignEnd(now time.Duration, t *target, e filbertford.RunEnd) {
	p.runs[e.Task()] = max(p.runs[e.Task()], e.Run())
	if e.Ending() == filbertford.EndFailed {
		p.foreign[e.Task()]++
	}
	if e.Ending() != filbertford.EndDone {
		return
	}
	waiting := p.tasks[e.Task()]
	if waiting == nil {
		if _, ok := p.finished[e.Task()]; !ok {
			p.finished[e.Task()] = finish{verdict: VerdictDone, at: now, kept: foreignTerm}
			if isStoredRun(e.Run()) {
				t.foreign[e.Number()] = foreignEnd{task: e.Task(), until: now + foreignHold}
			}
		}
		return
	}
	if waiting.run == nil && waiting.resume {
		if waiting.batch.durable {
			t.keep(e, 0)
		}
		p.dequeue(waiting)
		p.note(Note{Kind: NoteEnd, Task: e.Task(), Target: t.id(), Run: e.Run(), Reason: string(e.Ending())})
		p.finishTask(now, waiting, VerdictDone)
	}
}

// taskFailed counts a failed run against the task and the target.
func (p *Pool) taskFailed(now time.Duration, t *target, task *task) {
	task.failures++
	p.judgeFailure(now, t, task)
	task.avoid = append(task.avoid, t.id())
	if task.failures >= task.batch.attempts {
		p.finishTask(now, task, VerdictFailed)
		return
	}
	if task.batch.durable {
		p.report(task.coordinator, task.key, VerdictRetried, task.failures)
	}
	p.requeueTask(now, task, "failed")
}

// keep notes an end that must be recorded before the target may forget it.
func (t *target) keep(e filbertford.RunEnd, failures int) {
	switch e.Ending() {
	case filbertford.EndDone:
		t.unconfirmed[e.Number()] = Confirm{task: e.Task(), done: true}
	case filbertford.EndFailed:
		t.unconfirmed[e.Number()] = Confirm{task: e.Task(), failures: failures + 1}
	}
}

// confirm drops the ends that are recorded, and reports whether there were any.
func (t *target) confirm(c Confirm) bool {
	n := len(t.unconfirmed) + len(t.foreign)
	if c.done {
		maps.DeleteFunc(t.foreign, func(_ uint64, e foreignEnd) bool { return e.task == c.task })
	}
	for number, u := range t.unconfirmed {
		if u.task == c.task && (c.done || !u.done && u.failures <= c.failures) {
			delete(t.unconfirmed, number)
		}
	}
	return len(t.unconfirmed)+len(t.foreign) < n
}

// ackable returns the number up to which the target may forget ends.
func (t *target) ackable() uint64 {
	n := t.seen
	for number := range t.foreign {
		n = min(n, number-1)
	}
	for number := range t.unconfirmed {
		n = min(n, number-1)
	}
	return n
}
