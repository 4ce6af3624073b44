package fbsched

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/filbertford/filbertford"
)

// A task may crash each target that starts it, and the other tasks there are lost too. After
// the first loss of a target, the tasks that ran there run alone, so that the next crash shows
// which of them causes it.
const (
	// maxCrashes is the number of targets that may crash under a task before it is given up.
	maxCrashes = 3
	// maxCrashesAlone is the same if the task ran alone on one of them.
	maxCrashesAlone = 2
	// lossTimeout is how long a target that doesn't reply counts as one that may have crashed:
	// longer than a target takes to start again, and than the platform and this daemon take to
	// remove its record.
	lossTimeout = 15 * time.Second
	// lossRetention is how long the losses of a task are kept after the last one if the task
	// is not in the pool: its caller may send it again.
	lossRetention = time.Minute
	// lossCheckPeriod is the time between two checks for losses that are to be forgotten.
	lossCheckPeriod = 250 * time.Millisecond
)

// lossState is what is known of a target that was lost under a task.
type lossState string

const (
	lossSilent  lossState = "silent"  // it doesn't reply
	lossRemoved lossState = "removed" // nor does the platform hear it, though it was not draining
	lossCrashed lossState = "crashed" // another instance of it has replied
)

// lossSource is why a pool takes a target for one on which a task ran.
type lossSource string

const (
	sourceRun      lossSource = "its run was lost"
	sourceReported lossSource = "the coordinator names it as the target of the last start"
)

// loss is the loss of a target under a task.
type loss struct {
	target    filbertford.TargetID
	startedAt int64 // of the target, in Unix milliseconds; 0 if unknown
	state     lossState
	source    lossSource
	alone     bool // no other task ran there
	unsure    bool // the target may have crashed before the task was started; not counted as a crash
	at        time.Duration
}

// isOf reports whether the loss is that of the target's instance with the start time.
func (l loss) isOf(id filbertford.TargetID, startedAt int64) bool {
	return l.target == id && (l.startedAt == startedAt || l.startedAt == 0 || startedAt == 0)
}

// counts reports whether the loss counts as a crash.
func (l loss) counts() bool { return l.state != lossSilent && !l.unsure }

// taskLosses are the targets that were lost under a task.
type taskLosses struct {
	losses    []loss
	other     crashCount // crashes that other owners have counted, and those of this one that were refuted
	updatedAt time.Duration
}

// count returns the number of targets that were lost under the task.
func (l *taskLosses) count() int { return l.other.crashes() + len(l.losses) }

// crashCount returns how many targets have counted as crashed, and how many of them were refuted.
func (l *taskLosses) crashCount() crashCount {
	c := l.other
	for _, lost := range l.losses {
		if lost.counts() {
			c.counted++
		}
	}
	return c
}

// crashes returns the number of targets that count as crashed.
func (l *taskLosses) crashes() int { return l.crashCount().crashes() }

// silent returns the number of targets that may have crashed under the task.
func (l *taskLosses) silent() int {
	n := 0
	for _, lost := range l.losses {
		if lost.state == lossSilent && !lost.unsure {
			n++
		}
	}
	return n
}

// excessive reports whether the task is to be given up.
func (l *taskLosses) excessive() bool {
	n := l.crashes()
	return n >= maxCrashes || n >= maxCrashesAlone &&
		slices.ContainsFunc(l.losses, func(lost loss) bool { return lost.alone && !lost.unsure && lost.state == lossCrashed })
}

// unclear reports whether the task may have to be given up once it is known what has become
// of its targets.
func (l *taskLosses) unclear() bool {
	return l.silent() > 0 && l.silent()+l.crashes() >= maxCrashesAlone
}

// suspected reports whether a target was lost under the task, so that the task runs alone.
func (p *Pool) suspected(key filbertford.TaskKey) bool {
	l := p.losses[key]
	return l != nil && l.count() > 0
}

// heldBack reports whether the task may not be started because of the targets that were lost
// under it.
func (p *Pool) heldBack(key filbertford.TaskKey) bool {
	l := p.losses[key]
	return l != nil && (l.unclear() || l.excessive())
}

// crashCountOf returns the crashes of targets under the task.
func (p *Pool) crashCountOf(key filbertford.TaskKey) crashCount {
	if l := p.losses[key]; l != nil {
		return l.crashCount()
	}
	return crashCount{}
}

// crashesOf returns the number of targets that have crashed under the task.
func (p *Pool) crashesOf(key filbertford.TaskKey) int {
	return p.crashCountOf(key).crashes()
}

// runLost handles the loss of a run with its target, on which others ran beside it.
func (p *Pool) runLost(now time.Duration, r *run, others int, state lossState, reason string) {
	t := r.target
	p.emitEvent(Event{
		Kind: EventRunLost, Task: r.key, Target: t.id(), Started: t.startedAt, Run: r.number, Fence: p.fence,
		Reason: fmt.Sprintf("%s; %d other runs there", reason, others), Age: now - r.startedAt,
	})
	// A draining target ends with its runs. One that has confirmed a stop had not crashed.
	if !t.rec.Draining() && r.stopConfirmedAt == 0 {
		unsure := !r.listed && r.confirmedAt == 0 && (!r.onLiveTarget || others > 0)
		r.lossKept = !unsure
		p.addLoss(now, r.key, loss{
			target: t.id(), startedAt: t.startedAt, state: state, source: sourceRun, alone: others == 0, at: now, unsure: unsure,
		})
	}
}

// addLoss adds the loss of a target under a task, unless it is known.
func (p *Pool) addLoss(now time.Duration, key filbertford.TaskKey, added loss) {
	l := p.lossesOf(now, key)
	for _, known := range l.losses {
		if known.isOf(added.target, added.startedAt) {
			return
		}
	}
	l.losses = append(l.losses, added)
	if added.state != lossCrashed {
		p.silentTargets[added.target] = append(p.silentTargets[added.target], key)
	}
	if added.state != lossSilent {
		p.crashCounted(now, key, added)
	}
}

func (p *Pool) lossesOf(now time.Duration, key filbertford.TaskKey) *taskLosses {
	l := p.losses[key]
	if l == nil {
		l = &taskLosses{}
		p.losses[key] = l
	}
	l.updatedAt = now
	return l
}

// crashCounted reports a crash to the task's coordinator, and gives the task up if it is one
// too many.
func (p *Pool) crashCounted(now time.Duration, key filbertford.TaskKey, l loss) {
	losses := p.losses[key]
	if l.unsure {
		return
	}
	p.emitEvent(Event{
		Kind: EventTargetCrashed, Task: key, Target: l.target, Started: l.startedAt, Fence: p.fence,
		Reason: fmt.Sprintf("%s; %s; %d targets have crashed under the task; ran alone: %v", l.state, l.source, losses.crashes(), l.alone), Age: now - l.at,
	})
	t := p.tasks[key]
	if t == nil || p.giveUp(now, t) || losses.excessive() {
		return
	}
	p.reportRunEnded(t, l.target)
}

// giveUp ends a task as failed if too many targets have crashed under it and no run of it can
// still be executing. It reports whether it has.
func (p *Pool) giveUp(now time.Duration, t *task) bool {
	l := p.losses[t.key]
	if l == nil || !l.excessive() || p.activeRuns[t.key] != nil || p.secondRuns[t.key] > 0 || !p.earlierRunsEnded(now, t) {
		return false
	}
	p.dequeue(t)
	p.emitEvent(Event{Kind: EventTaskGivenUp, Task: t.key, Reason: fmt.Sprintf("%d targets have crashed under it", l.crashes()), Age: now - t.queuedAt})
	p.finishTask(now, t, StatusFailed)
	return true
}

// confirmLosses sets the state of the losses of a target's instance that isn't heard any more.
func (p *Pool) confirmLosses(now time.Duration, t *target, state lossState) {
	for _, key := range p.tasksLostAt(t.id()) {
		l := p.losses[key]
		for i, lost := range l.losses {
			if !lost.isOf(t.id(), t.startedAt) || lost.state == lossCrashed || lost.state == state {
				continue
			}
			l.losses[i].state, l.updatedAt = state, now
			if state == lossCrashed {
				p.forgetSilent(t.id(), key)
			}
			if lost.state == lossSilent {
				p.crashCounted(now, key, l.losses[i])
			}
		}
	}
	p.dispatchDue = true
}

// refuteLosses forgets the losses, before the given time, of a target's instance.
func (p *Pool) refuteLosses(now time.Duration, t *target, before time.Duration) {
	for _, key := range p.tasksLostAt(t.id()) {
		l, known, n := p.losses[key], p.crashesOf(key), len(p.losses[key].losses)
		l.losses = slices.DeleteFunc(l.losses, func(lost loss) bool {
			if !lost.isOf(t.id(), t.startedAt) || lost.state == lossCrashed || lost.at > before {
				return false
			}
			if lost.counts() {
				l.other.counted++ // it stays counted, as other daemons may have it so
				l.other.refuted++
			}
			p.forgetSilent(t.id(), key)
			p.emitEvent(Event{Kind: EventTargetNotCrashed, Task: key, Target: t.id(), Started: t.startedAt, Age: now - lost.at})
			return true
		})
		if len(l.losses) < n {
			p.reportNotCrashed(key, t.id(), p.crashesOf(key) < known)
		}
	}
	p.dispatchDue = true
}

// reportNotCrashed tells the coordinator of a task that the target has not crashed under it, if the task waits
// or if the crash had been counted.
func (p *Pool) reportNotCrashed(key filbertford.TaskKey, id filbertford.TargetID, counted bool) {
	switch t := p.tasks[key]; {
	case t == nil:
	case t.run == nil && !p.mayHaveCrashed(key, id):
		p.reportRunEnded(t, id)
	case counted:
		p.report(t.coordinator, key, StatusRetried, t.failures.failed)
	}
}

// tasksLostAt returns the tasks with a loss that a reply of the target would refute.
func (p *Pool) tasksLostAt(id filbertford.TargetID) []filbertford.TaskKey {
	keys := slices.Clone(p.silentTargets[id])
	slices.SortFunc(keys, filbertford.TaskKey.Compare)
	return slices.Compact(keys)
}

// forgetSilent removes a task from those with a loss that a reply of the target would refute.
func (p *Pool) forgetSilent(id filbertford.TargetID, key filbertford.TaskKey) {
	keys := p.silentTargets[id]
	if i := slices.Index(keys, key); i >= 0 {
		keys = slices.Delete(keys, i, i+1)
	}
	if p.silentTargets[id] = keys; len(keys) == 0 {
		delete(p.silentTargets, id)
	}
}

// endedTarget is an instance of a target that is known to have ended.
type endedTarget struct {
	startedAt int64
	draining  bool
	listed    bool // by this owner: no run of an earlier one was on it that the pool doesn't know
	at        time.Duration
}

// targetEnded handles that an instance of a target has ended: another one replies.
func (p *Pool) targetEnded(now time.Duration, t *target) {
	id := t.id()
	p.endedTargets[id] = endedTarget{startedAt: t.startedAt, draining: t.rec.Draining(), listed: t.listed, at: now}
	if t.rec.Draining() {
		p.refuteLosses(now, t, now)
	} else {
		p.confirmLosses(now, t, lossCrashed)
	}
	for _, waiting := range p.waitingStartedOn(id) {
		if t.listed || t.rec.Draining() {
			p.clearStartedOn(waiting)
			continue
		}
		waiting.startedOn = "" // the target counts once
		p.addLoss(now, waiting.key, loss{target: id, startedAt: t.startedAt, state: lossCrashed, source: sourceReported, at: now})
	}
}

// targetReplied handles the reply of a target, with the start time in it or 0, to a call that
// was sent at the given time. The target was only silent.
func (p *Pool) targetReplied(now time.Duration, t *target, startedAt int64, sent time.Duration) {
	switch {
	case len(p.silentTargets[t.id()]) == 0:
	case startedAt != 0 || t.startedAt == 0:
		p.refuteLosses(now, t, sent)
	default:
		p.doubtLosses(t, sent)
	}
}

// doubtLosses handles a reply without a start time, which doesn't show whether the target was only
// silent: if it crashes before it lists its runs, that may be under another task, so that its losses
// before the given time don't count as crashes.
func (p *Pool) doubtLosses(t *target, before time.Duration) {
	for _, key := range p.tasksLostAt(t.id()) {
		for i, lost := range p.losses[key].losses {
			if lost.isOf(t.id(), t.startedAt) && lost.state == lossSilent && lost.at <= before && !lost.unsure {
				p.losses[key].losses[i].unsure, p.dispatchDue = true, true
				p.reportNotCrashed(key, t.id(), false)
			}
		}
	}
}

// tickLosses gives tasks up whose earlier runs have ended, and forgets losses that nothing was
// learned about and those of tasks that have left the pool.
func (p *Pool) tickLosses(now time.Duration) {
	if now < p.nextLossCheck {
		return
	}
	p.nextLossCheck = now + lossCheckPeriod
	var excessive []*task
	for key, l := range p.losses {
		n := len(l.losses)
		l.losses = slices.DeleteFunc(l.losses, func(lost loss) bool {
			expired := lost.state == lossSilent && now-lost.at > lossTimeout
			if expired {
				p.forgetSilent(lost.target, key)
			}
			return expired
		})
		if len(l.losses) < n {
			p.dispatchDue = true
		}
		if t := p.tasks[key]; t != nil && l.excessive() {
			excessive = append(excessive, t)
		} else if t == nil && now-l.updatedAt > lossRetention {
			p.forgetLosses(key)
		}
	}
	slices.SortFunc(excessive, func(a, b *task) int { return a.key.Compare(b.key) })
	for _, t := range excessive {
		p.giveUp(now, t)
	}
	maps.DeleteFunc(p.endedTargets, func(_ filbertford.TargetID, e endedTarget) bool { return now-e.at > lossRetention })
}

// forgetLosses removes the losses of a task.
func (p *Pool) forgetLosses(key filbertford.TaskKey) {
	l := p.losses[key]
	if l == nil {
		return
	}
	for _, lost := range l.losses {
		if lost.state != lossCrashed {
			p.forgetSilent(lost.target, key)
		}
	}
	delete(p.losses, key)
}
