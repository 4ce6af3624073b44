package fbqueue

import (
	"cmp"
	"slices"
	"time"

	"github.com/filbertford/filbertford"
)

// PriorityOrder orders tasks by priority, then those of jobs with a started task before
// others, then by latest start. Tasks that can't meet their objective any more follow all
// others. A priority other than 0 precedes the higher ones while it has received less
// than its reserved share of the CPU time that was started.
type PriorityOrder[T filbertford.QueuedTask] struct {
	shares  shares
	classes []class // buffer of Visit
}

// class is the part of a queue with one priority, from the first task that was not visited
// yet and can meet its objective.
type class struct {
	priority  int
	next, end int
}

// NewPriorityOrder returns an order by priority.
func NewPriorityOrder[T filbertford.QueuedTask]() *PriorityOrder[T] {
	return &PriorityOrder[T]{shares: newShares()}
}

// Compare implements filbertford.TaskOrder.
func (*PriorityOrder[T]) Compare(a, b T) int {
	if c := cmp.Compare(a.Priority(), b.Priority()); c != 0 {
		return c
	}
	if started := a.JobStarted(); started != b.JobStarted() {
		if started {
			return -1
		}
		return 1
	}
	return compareLatestStart(a, b)
}

// Started implements filbertford.TaskOrder.
func (o *PriorityOrder[T]) Started(now time.Duration, priority int, cpu time.Duration) {
	o.shares.add(now, priority, cpu)
}

// Visit implements filbertford.TaskOrder.
func (o *PriorityOrder[T]) Visit(now time.Duration, queue []T, inTime, start func(T) bool) {
	o.shares.decay(now)
	o.split(queue)
	advance := func(c *class) {
		for c.next < c.end && !inTime(queue[c.next]) {
			c.next++
		}
	}
	for i := range o.classes {
		advance(&o.classes[i])
	}
	for c := o.nextClass(); c != nil; c = o.nextClass() {
		t := queue[c.next]
		c.next++
		if !start(t) {
			return
		}
		advance(c)
	}
	for _, t := range queue {
		if !inTime(t) && !start(t) {
			return
		}
	}
}

// split sets the classes of the queue, in the order of priority.
func (o *PriorityOrder[T]) split(queue []T) {
	o.classes = o.classes[:0]
	for next := 0; next < len(queue); {
		priority := queue[next].Priority()
		n, _ := slices.BinarySearchFunc(queue[next:], priority+1, func(t T, p int) int { return cmp.Compare(t.Priority(), p) })
		o.classes = append(o.classes, class{priority: priority, next: next, end: next + n})
		next += n
	}
}

// nextClass returns the class whose task is to be started next, nil if no task that can
// meet its objective is left: of those that have received less than their share the one
// that has received least, otherwise the one with the highest priority.
func (o *PriorityOrder[T]) nextClass() *class {
	var first, lacking *class
	for i := range o.classes {
		c := &o.classes[i]
		if c.next == c.end {
			continue
		}
		if first == nil {
			first = c
		}
		if c.priority > 0 && o.shares.lacking(c.priority, len(o.classes)) &&
			(lacking == nil || o.shares.of(c.priority) < o.shares.of(lacking.priority)) {
			lacking = c
		}
	}
	if lacking != nil {
		return lacking
	}
	return first
}
