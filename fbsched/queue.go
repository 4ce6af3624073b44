package fbsched

import (
	"cmp"
	"slices"
	"time"
)

// queue holds the tasks that wait for a target, ordered by the latest time at which
// each can start and still meet its objective.
type queue struct {
	tasks []*task
}

func compareTasks(a, b *task) int {
	if c := cmp.Compare(a.latestStart, b.latestStart); c != 0 {
		return c
	}
	return a.key.Compare(b.key)
}

func (q *queue) len() int { return len(q.tasks) }

// add inserts a task in order.
func (q *queue) add(t *task) {
	i, _ := slices.BinarySearchFunc(q.tasks, t, compareTasks)
	q.tasks = slices.Insert(q.tasks, i, t)
}

// sort restores the order after due times have changed.
func (q *queue) sort() { slices.SortFunc(q.tasks, compareTasks) }

// removeFunc removes the tasks for which match returns true.
func (q *queue) removeFunc(match func(*task) bool) { q.tasks = slices.DeleteFunc(q.tasks, match) }

// each calls f for the tasks that can still meet their objective, most urgent first,
// and then for the others in the same order.
func (q *queue) each(now time.Duration, f func(*task)) {
	split, _ := slices.BinarySearchFunc(q.tasks, now, func(t *task, now time.Duration) int {
		return cmp.Compare(t.latestStart, now)
	})
	for _, t := range q.tasks[split:] {
		f(t)
	}
	for _, t := range q.tasks[:split] {
		f(t)
	}
}
