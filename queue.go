package filbertford

import "time"

// QueuedTask is a task that waits in a pool for a target.
type QueuedTask interface {
	// Key returns the key of the task.
	Key() TaskKey
	// Priority returns the priority of the task's route, 0 being the highest.
	Priority() int
	// LatestStart returns the latest time at which the task can start and meet its
	// objective, if it takes as long as estimated.
	LatestStart() time.Duration
	// JobStarted reports whether the pool has started a task of the job.
	JobStarted() bool
}

// TaskOrder determines the order in which a pool starts its waiting tasks. It is not safe
// for concurrent use.
type TaskOrder[T QueuedTask] interface {
	// Compare returns the order of two tasks in the queue. It depends only on the tasks.
	Compare(a, b T) int
	// Visit calls start for the tasks of the queue, which are sorted by Compare, in the
	// order in which they are to be started at the given time, until start returns false.
	// inTime reports whether a task that starts now can meet its objective. The order of
	// the tasks must not change during the call.
	Visit(now time.Duration, queue []T, inTime, start func(T) bool)
	// Started records that a task was started that is expected to use the given CPU
	// time. Visit takes account of it immediately.
	Started(now time.Duration, priority int, cpu time.Duration)
}
