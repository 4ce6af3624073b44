package fbsched

import (
	"time"

	"github.com/filbertford/filbertford"
)

// Recall returns the tasks of a job that wait in the pool to their coordinator, if no run of
// them can exist: they were offered by this coordinator, on its current stream, and never
// started. It reports nothing for the others: their StatusStarted was sent before, or they
// stay in the pool.
func (p *Pool) Recall(_ time.Duration, from filbertford.NodeID, job filbertford.JobKey) {
	recalled := false
	for _, t := range p.tasksOf(from, job) {
		if t.coordinator != from || !p.recallable(t) {
			continue
		}
		delete(p.tasks, t.key)
		p.returnTask(t, StatusReturned)
		recalled = true
	}
	if !recalled {
		return
	}
	p.queue.removeFunc(func(t *task) bool { return p.tasks[t.key] != t })
	p.capacityChanged = true
}

// recallable reports whether another pool may start the task.
//
// An earlier run of the task, which was withdrawn or which another owner started, may not have
// ended yet; only this pool waits for its end. A task under which a target was lost runs alone
// here, and what has become of the target is known only here. After the coordinator was cut
// off, it offers its tasks again, or a withdrawal of them was lost.
func (p *Pool) recallable(t *task) bool {
	return t.run == nil && !t.started && !t.resume && !t.search &&
		p.activeRuns[t.key] == nil && p.secondRuns[t.key] == 0 && !p.suspected(t.key) &&
		t.coordinatorUnreachableAt == 0 && t.reofferBy == 0
}
