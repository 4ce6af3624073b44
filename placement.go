package filbertford

import "time"

// FreeTarget describes a target that has free capacity for a task.
type FreeTarget struct {
	runTime  time.Duration
	leftover int
}

// NewFreeTarget returns a target on which the task is expected to run for the given
// time, and that has the leftover CPU free beside it, in thousandths of a core.
func NewFreeTarget(runTime time.Duration, leftover int) FreeTarget {
	return FreeTarget{runTime: runTime, leftover: leftover}
}

// RunTime returns the expected run time of the task on the target.
func (t FreeTarget) RunTime() time.Duration { return t.runTime }

// Leftover returns the CPU that remains free beside the task, in thousandths of a core.
func (t FreeTarget) Leftover() int { return t.leftover }

// Placement decides on which target with free capacity a task starts.
type Placement interface {
	// Better reports whether a is a better target than b for a task with the given time
	// left until its objective, negative if that has passed.
	Better(left time.Duration, a, b FreeTarget) bool
}
