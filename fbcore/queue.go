package fbcore

import (
	"cmp"
	"container/heap"
	"time"
)

// jobHeap is a priority queue of jobs. Each of its two orders keeps a job's
// position in a field of its own.
type jobHeap struct {
	jobs   []*job
	before func(a, b *job) int
	pos    func(j *job) *int
}

// notQueued is the position of a job that is not in a heap.
const notQueued = -1

// newRankHeap returns a heap with the job of the least rank first, and among
// equals the one that arrived first.
func newRankHeap() *jobHeap {
	return &jobHeap{
		before: func(a, b *job) int {
			return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.seq, b.seq))
		},
		pos: func(j *job) *int { return &j.rankPos },
	}
}

// newDeadlineHeap returns a heap with the job of the first deadline first.
func newDeadlineHeap() *jobHeap {
	return &jobHeap{
		before: func(a, b *job) int {
			return cmp.Or(a.deadline.Compare(b.deadline), cmp.Compare(a.seq, b.seq))
		},
		pos: func(j *job) *int { return &j.deadlinePos },
	}
}

// Len implements heap.Interface.
func (h *jobHeap) Len() int { return len(h.jobs) }

// Less implements heap.Interface.
func (h *jobHeap) Less(a, b int) bool { return h.before(h.jobs[a], h.jobs[b]) < 0 }

// Swap implements heap.Interface.
func (h *jobHeap) Swap(a, b int) {
	h.jobs[a], h.jobs[b] = h.jobs[b], h.jobs[a]
	*h.pos(h.jobs[a]), *h.pos(h.jobs[b]) = a, b
}

// Push implements heap.Interface.
func (h *jobHeap) Push(x any) {
	j := x.(*job)
	*h.pos(j) = len(h.jobs)
	h.jobs = append(h.jobs, j)
}

// Pop implements heap.Interface.
func (h *jobHeap) Pop() any {
	last := len(h.jobs) - 1
	j := h.jobs[last]
	h.jobs[last] = nil
	h.jobs = h.jobs[:last]
	*h.pos(j) = notQueued
	return j
}

// put adds a job, or moves it after its key has changed.
func (h *jobHeap) put(j *job) {
	if i := *h.pos(j); i != notQueued {
		heap.Fix(h, i)
		return
	}
	heap.Push(h, j)
}

// take removes a job if it is in the heap.
func (h *jobHeap) take(j *job) {
	if i := *h.pos(j); i != notQueued {
		heap.Remove(h, i)
	}
}

// first returns the first job, or nil.
func (h *jobHeap) first() *job {
	if len(h.jobs) == 0 {
		return nil
	}
	return h.jobs[0]
}

// rerank recomputes the rank of every waiting job, so that jobs age.
func (c *Core) rerank(now time.Time) {
	for _, j := range c.waiting.jobs {
		j.rank = c.policy.Rank(j.need(now))
	}
	heap.Init(c.waiting)
}
