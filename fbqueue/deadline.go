package fbqueue

import (
	"cmp"
	"slices"
	"time"

	"github.com/filbertford/filbertford"
)

// DeadlineOrder orders tasks by the latest time at which each can start and still meet its
// objective. Tasks that can't meet it any more follow the others.
type DeadlineOrder[T filbertford.QueuedTask] struct{}

// NewDeadlineOrder returns an order by latest start.
func NewDeadlineOrder[T filbertford.QueuedTask]() *DeadlineOrder[T] { return &DeadlineOrder[T]{} }

// Compare implements filbertford.TaskOrder.
func (*DeadlineOrder[T]) Compare(a, b T) int { return compareLatestStart(a, b) }

// Visit implements filbertford.TaskOrder. It does not use inTime: a task counts as in time
// up to its latest start, whatever targets run at.
func (*DeadlineOrder[T]) Visit(now time.Duration, queue []T, _, start func(T) bool) {
	split, _ := slices.BinarySearchFunc(queue, now, func(t T, now time.Duration) int {
		return cmp.Compare(t.LatestStart(), now)
	})
	for _, t := range queue[split:] {
		if !start(t) {
			return
		}
	}
	for _, t := range queue[:split] {
		if !start(t) {
			return
		}
	}
}

// Started implements filbertford.TaskOrder. The order doesn't depend on it.
func (*DeadlineOrder[T]) Started(time.Duration, int, time.Duration) {}

func compareLatestStart(a, b filbertford.QueuedTask) int {
	if c := cmp.Compare(a.LatestStart(), b.LatestStart()); c != 0 {
		return c
	}
	return a.Key().Compare(b.Key())
}
