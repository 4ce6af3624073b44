package fbbound

import (
	"cmp"
	"container/heap"
	"math"
	"slices"
	"time"
)

// Never is the response time of a job that no target serves.
const Never = time.Duration(math.MaxInt64)

// Each time the schedule is planned, it plans up to lookAheadPerSlot waiting tasks
// for each slot and lookAheadExtra more, so that systems with few slots plan far
// enough ahead too.
const (
	lookAheadPerSlot = 2
	lookAheadExtra   = 64
)

// Clairvoyant returns the response time of each job, in the order of jobs, under a
// list schedule that knows all run times and speeds. Whenever a job arrives or a
// slot becomes free, the schedule is planned anew: the waiting jobs are ordered by
// the product of their remaining work and their ideal response time, least first,
// and each of their tasks, longest first, is planned on the slot where it finishes
// earliest, even if that slot is still busy. The tasks whose slot is free start
// (earliest finish time list scheduling; Topcuoglu et al., HEFT, 2002, with the
// order of Smith's rule).
//
// It is a good schedule, not a bound: another one may do better.
func Clairvoyant(jobs []Job, targets []Target, rtt time.Duration) []time.Duration {
	s := newSchedule(jobs, targets, rtt)
	s.run()
	return s.response
}

// waitingJob is a job with tasks that have not started.
type waitingJob struct {
	job       int
	tasks     []time.Duration
	remaining time.Duration
	ideal     float64
}

func (w *waitingJob) rank() float64 { return w.remaining.Seconds() * w.ideal }

type schedule struct {
	jobs          []Job
	targets       []Target
	rtt           time.Duration
	slots         int
	freeAt        [][]time.Duration
	plannedFreeAt [][]time.Duration
	earliestSlot  []int
	bySpeed       []int
	arrivals      []int
	waiting       []*waitingJob
	ends          endHeap
	response      []time.Duration
}

func newSchedule(jobs []Job, targets []Target, rtt time.Duration) *schedule {
	s := &schedule{jobs: jobs, targets: targets, rtt: rtt, response: make([]time.Duration, len(jobs))}
	for i, t := range targets {
		s.bySpeed = append(s.bySpeed, i)
		s.slots += t.slots
		s.freeAt = append(s.freeAt, make([]time.Duration, t.slots))
		s.plannedFreeAt = append(s.plannedFreeAt, make([]time.Duration, t.slots))
		s.earliestSlot = append(s.earliestSlot, 0)
	}
	slices.SortStableFunc(s.bySpeed, func(a, b int) int { return cmp.Compare(targets[a].factor, targets[b].factor) })
	for i := range jobs {
		s.arrivals = append(s.arrivals, i)
	}
	slices.SortStableFunc(s.arrivals, func(a, b int) int { return cmp.Compare(jobs[a].arrival, jobs[b].arrival) })
	return s
}

// run processes arrivals and ends of tasks until all tasks have started.
func (s *schedule) run() {
	for len(s.arrivals) > 0 || len(s.waiting) > 0 {
		now := s.nextEvent()
		for len(s.ends) > 0 && s.ends[0] <= now {
			heap.Pop(&s.ends)
		}
		for len(s.arrivals) > 0 && s.jobs[s.arrivals[0]].arrival <= now {
			s.enqueue(s.arrivals[0])
			s.arrivals = s.arrivals[1:]
		}
		s.dispatch(now)
	}
}

// nextEvent returns the time of the next arrival or the next end of a task,
// whichever is earlier.
func (s *schedule) nextEvent() time.Duration {
	at := Never
	if len(s.arrivals) > 0 {
		at = s.jobs[s.arrivals[0]].arrival
	}
	if len(s.ends) > 0 {
		at = min(at, s.ends[0])
	}
	return at
}

func (s *schedule) enqueue(i int) {
	j := s.jobs[i]
	ideal, ok := Ideal(j, s.targets, s.rtt)
	switch {
	case !ok:
		s.response[i] = Never
	case len(j.tasks) == 0:
		s.response[i] = s.rtt
	default:
		tasks := slices.Clone(j.tasks)
		slices.SortFunc(tasks, func(a, b time.Duration) int { return cmp.Compare(b, a) })
		s.waiting = append(s.waiting, &waitingJob{job: i, tasks: tasks, remaining: j.Work(), ideal: ideal.Seconds()})
	}
}

// dispatch plans the waiting tasks and starts those whose slot is free.
func (s *schedule) dispatch(now time.Duration) {
	if len(s.waiting) == 0 || len(s.ends) == s.slots {
		return
	}
	freeSlots := s.resetPlan(now)
	slices.SortStableFunc(s.waiting, func(a, b *waitingJob) int { return cmp.Compare(a.rank(), b.rank()) })
	budget := lookAheadPerSlot*s.slots + lookAheadExtra
	for _, w := range s.waiting {
		unstarted := w.tasks[:0]
		for _, size := range w.tasks {
			if freeSlots == 0 || budget == 0 || !s.planTask(now, w, size, &freeSlots) {
				unstarted = append(unstarted, size)
			}
			budget = max(budget-1, 0)
		}
		w.tasks = unstarted
		if freeSlots == 0 || budget == 0 {
			break
		}
	}
	s.waiting = slices.DeleteFunc(s.waiting, func(w *waitingJob) bool { return len(w.tasks) == 0 })
}

// resetPlan resets the plan to the running tasks and returns the number of free
// slots.
func (s *schedule) resetPlan(now time.Duration) int {
	freeSlots := 0
	for t, freeAt := range s.freeAt {
		copy(s.plannedFreeAt[t], freeAt)
		s.earliestSlot[t] = indexOfEarliest(freeAt)
		for _, at := range freeAt {
			if at <= now {
				freeSlots++
			}
		}
	}
	return freeSlots
}

// planTask plans one task and reports whether it starts now.
func (s *schedule) planTask(now time.Duration, w *waitingJob, size time.Duration, freeSlots *int) bool {
	target, slot, end := -1, 0, Never
	for _, t := range s.bySpeed {
		freeAt, runTime := s.plannedFreeAt[t], s.targets[t].runTime(size)
		if now+runTime >= end {
			break
		}
		if !s.targets[t].Serves(s.jobs[w.job].service) || len(freeAt) == 0 {
			continue
		}
		k := s.earliestSlot[t]
		if e := max(freeAt[k], now) + runTime; e < end {
			target, slot, end = t, k, e
		}
	}
	startsNow := s.plannedFreeAt[target][slot] <= now
	s.plannedFreeAt[target][slot] = end
	s.earliestSlot[target] = indexOfEarliest(s.plannedFreeAt[target])
	if !startsNow {
		return false
	}
	*freeSlots--
	s.freeAt[target][slot] = end
	heap.Push(&s.ends, end)
	w.remaining -= size
	s.response[w.job] = max(s.response[w.job], end-s.jobs[w.job].arrival+s.rtt)
	return true
}

func indexOfEarliest(at []time.Duration) int {
	best := 0
	for i, d := range at {
		if d < at[best] {
			best = i
		}
	}
	return best
}

// endHeap is a min-heap of the times at which running tasks end.
type endHeap []time.Duration

func (h endHeap) Len() int           { return len(h) }
func (h endHeap) Less(i, j int) bool { return h[i] < h[j] }
func (h endHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *endHeap) Push(x any)        { *h = append(*h, x.(time.Duration)) }
func (h *endHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}
