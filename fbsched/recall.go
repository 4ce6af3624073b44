package fbsched

import (
	"time"

	"github.com/filbertford/filbertford"
)

// Recall returns the tasks of a job that wait in the pool and were never started to
// the coordinator. It reports nothing for the others: their StatusStarted was sent
// before.
func (p *Pool) Recall(_ time.Duration, from filbertford.NodeID, job filbertford.JobKey) {
	recalled := false
	for _, t := range p.tasksOf(from, job) {
		if t.run != nil || t.started || t.resume || t.search {
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
