package fbsched

import (
	"slices"
	"time"

	"github.com/filbertford/filbertford"
)

// failedRuns is the number of a task's runs that have failed, among those with run numbers up to last. A
// failed run with a higher number isn't counted yet. Daemons and rows of earlier versions have no last, so
// that it is 0 although the number is not: which runs are counted is unknown.
type failedRuns struct {
	count int
	last  uint64
}

// merge returns the later of two counts of the same task.
func (f failedRuns) merge(o failedRuns) failedRuns {
	switch {
	case o.count > f.count:
		return o
	case o.count == f.count:
		f.last = max(f.last, o.last)
	}
	return f
}

// failureCounter counts the failed runs of a task that a pool has, each run once.
type failureCounter struct {
	failed       failedRuns
	offeredLast  uint64   // failed.last of the offer
	counted      []uint64 // numbers of the failed runs since then
	unidentified int      // how many of the failed runs of the offer may be found in lists of targets
}

func newFailureCounter(offered failedRuns) failureCounter {
	c := failureCounter{failed: offered, offeredLast: offered.last}
	if offered.last == 0 {
		c.unidentified = offered.count
	}
	return c
}

// add counts the failed run with the number, unless it is counted. A run that is found in the list of a
// target may be one of those that the offer counts without a number: counting it twice would end the job too
// early.
func (c *failureCounter) add(number uint64, found bool) {
	if number <= c.offeredLast || slices.Contains(c.counted, number) {
		return
	}
	c.counted = append(c.counted, number)
	c.failed.last = max(c.failed.last, number)
	if found && c.unidentified > 0 {
		c.unidentified--
		return
	}
	c.failed.count++
}

// inheritedFailures are the numbers of a task's failed runs that were found in lists of targets without
// being assigned to the task, such as those of an earlier owner.
type inheritedFailures struct {
	numbers   []uint64
	updatedAt time.Duration
}

// inheritFailure handles the failed end of a run that is not assigned to a task. Its task may be in the pool.
func (p *Pool) inheritFailure(now time.Duration, t *target, e filbertford.EndedRun) {
	key := e.Task()
	f := p.inheritedFailures[key]
	if !slices.Contains(f.numbers, e.Run()) {
		f.numbers = append(f.numbers, e.Run())
	}
	f.updatedAt = now
	p.inheritedFailures[key] = f
	if _, ended := p.outcomes[key]; !ended && isStoredRun(e.Run()) {
		t.unclaimed[e.Sequence()] = unclaimedOutcome{task: key, failedRun: e.Run(), expiry: now + unclaimedRetention}
	}
	waiting := p.tasks[key]
	if waiting == nil {
		return
	}
	waiting.failures.add(e.Run(), true)
	if waiting.run == nil && waiting.attemptsUsed() {
		p.dequeue(waiting)
		p.finishTask(now, waiting, StatusFailed)
		return
	}
	p.reportFailures(waiting)
}

// reportFailures reports the failed runs of a task of a stored job that isn't given up, so that they are
// recorded.
func (p *Pool) reportFailures(t *task) {
	if t.batch.stored {
		p.report(t.coordinator, t.key, StatusRetried, t.failures.failed)
	}
}

// attemptsUsed reports whether the task has failed as often as allowed.
func (t *task) attemptsUsed() bool {
	n := t.failures.failed.count
	return n > 0 && n >= t.batch.attempts
}

// forgetInheritedFailures removes the failed runs of tasks that no coordinator has offered.
func (p *Pool) forgetInheritedFailures(now time.Duration) {
	for key, f := range p.inheritedFailures {
		if p.tasks[key] == nil && now-f.updatedAt > storedOutcomeRetention {
			delete(p.inheritedFailures, key)
		}
	}
}
