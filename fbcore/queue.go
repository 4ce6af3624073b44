package fbcore

import (
	"cmp"
	"container/heap"
	"time"
)

// jobHeap is a priority queue of jobs. A job can be in two heaps, by rank and by
// deadline, and has a separate position field for each.
type jobHeap struct {
	jobs     []*job
	compare  func(a, b *job) int
	position func(j *job) *int
}

// notQueued is the position of a job that is not in a heap.
const notQueued = -1

// newRankHeap returns a heap that orders jobs by rank, least first, and jobs of
// equal rank by arrival.
func newRankHeap() *jobHeap {
	return &jobHeap{
		compare: func(a, b *job) int {
			return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.seq, b.seq))
		},
		position: func(j *job) *int { return &j.rankPos },
	}
}

// newDeadlineHeap returns a heap that orders jobs by deadline.
func newDeadlineHeap() *jobHeap {
	return &jobHeap{
		compare: func(a, b *job) int {
			return cmp.Or(a.deadline.Compare(b.deadline), cmp.Compare(a.seq, b.seq))
		},
		position: func(j *job) *int { return &j.deadlinePos },
	}
}

// Len implements heap.Interface.
func (h *jobHeap) Len() int { return len(h.jobs) }

// Less implements heap.Interface.
func (h *jobHeap) Less(a, b int) bool { return h.compare(h.jobs[a], h.jobs[b]) < 0 }

// Swap implements heap.Interface.
func (h *jobHeap) Swap(a, b int) {
	h.jobs[a], h.jobs[b] = h.jobs[b], h.jobs[a]
	*h.position(h.jobs[a]), *h.position(h.jobs[b]) = a, b
}

// Push implements heap.Interface.
func (h *jobHeap) Push(x any) {
	j := x.(*job)
	*h.position(j) = len(h.jobs)
	h.jobs = append(h.jobs, j)
}

// Pop implements heap.Interface.
func (h *jobHeap) Pop() any {
	last := len(h.jobs) - 1
	j := h.jobs[last]
	h.jobs[last] = nil
	h.jobs = h.jobs[:last]
	*h.position(j) = notQueued
	return j
}

// put adds a job, or moves it if its key has changed.
func (h *jobHeap) put(j *job) {
	if i := *h.position(j); i != notQueued {
		heap.Fix(h, i)
		return
	}
	heap.Push(h, j)
}

// remove removes a job if it is in the heap.
func (h *jobHeap) remove(j *job) {
	if i := *h.position(j); i != notQueued {
		heap.Remove(h, i)
	}
}

// peek returns the first job, or nil.
func (h *jobHeap) peek() *job {
	if len(h.jobs) == 0 {
		return nil
	}
	return h.jobs[0]
}

// rerank recomputes the rank of every waiting job, since ranks depend on how long
// a job has waited.
func (c *Core) rerank(now time.Time) {
	for _, j := range c.waiting.jobs {
		j.rank = c.policy.Rank(j.waitingTask(now))
	}
	heap.Init(c.waiting)
}
