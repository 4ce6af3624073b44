package fbsched

import (
	"slices"
	"time"

	"github.com/filbertford/filbertford"
	"github.com/filbertford/filbertford/fbqueue"
)

// queue holds the tasks that wait for a target, sorted by the order's Compare.
type queue struct {
	tasks []*task
	order filbertford.TaskOrder[*task]
	// minCPU is at most the least CPU that a task needs, in thousandths of a core.
	minCPU int
}

func newQueue(order filbertford.QueueOrder) queue {
	if order == filbertford.OrderByPriority {
		return queue{order: fbqueue.NewPriorityOrder[*task]()}
	}
	return queue{order: fbqueue.NewDeadlineOrder[*task]()}
}

func (q *queue) len() int { return len(q.tasks) }

// add inserts a task in order.
func (q *queue) add(t *task) {
	if cpu := t.batch.step.Demand().CPU(); len(q.tasks) == 0 || cpu < q.minCPU {
		q.minCPU = cpu
	}
	i, _ := slices.BinarySearchFunc(q.tasks, t, q.order.Compare)
	q.tasks = slices.Insert(q.tasks, i, t)
}

// sort restores the order after tasks have changed.
func (q *queue) sort() {
	q.minCPU = 0
	slices.SortFunc(q.tasks, q.order.Compare)
}

// removeFunc removes the tasks for which match returns true.
func (q *queue) removeFunc(match func(*task) bool) { q.tasks = slices.DeleteFunc(q.tasks, match) }

// Key implements filbertford.QueuedTask.
func (t *task) Key() filbertford.TaskKey { return t.key }

// Priority implements filbertford.QueuedTask.
func (t *task) Priority() int { return t.batch.priority }

// LatestStart implements filbertford.QueuedTask.
func (t *task) LatestStart() time.Duration { return t.latestStart }

// JobStarted implements filbertford.QueuedTask.
func (t *task) JobStarted() bool { return t.jobStarted }
