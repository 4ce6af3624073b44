package fbsched

import (
	"math"
	"slices"
	"time"

	"github.com/filbertford/filbertford"
)

// startedJobRetention is how long after the last start of one of its tasks a job counts as
// started. It covers the time between two steps of a job.
const startedJobRetention = 5 * time.Second

// visitQueue calls start for the waiting tasks in the order in which they are to be started,
// with the capacity of their service, until no task can start. start reports whether it has
// started the task.
func (p *Pool) visitQueue(now time.Duration, capacities map[string]*serviceCapacity, start func(*task, *serviceCapacity) bool) {
	if p.exhausted(capacities) {
		return
	}
	var service string
	var capacity *serviceCapacity // of the service
	capacityOf := func(t *task) *serviceCapacity {
		if t.batch.service != service || capacity == nil {
			service, capacity = t.batch.service, capacities[t.batch.service]
		}
		return capacity
	}
	inTime := func(t *task) bool {
		c := capacityOf(t)
		return c != nil && now+time.Duration(float64(t.batch.step.Estimate())*c.minFactor) <= t.due
	}
	p.backfill.beginPass(p, now, capacities, inTime)
	var started []filbertford.JobKey
	minCPU, complete := math.MaxInt, true
	p.queue.order.Visit(now, p.queue.tasks, inTime, func(t *task) bool {
		if c := capacityOf(t); c == nil || !start(t, c) {
			minCPU = min(minCPU, t.batch.step.Demand().CPU())
			return true
		}
		p.queue.order.Started(now, t.batch.priority, t.run.cpuTime())
		started = append(started, t.key.Job())
		complete = !p.exhausted(capacities)
		return complete
	})
	if complete {
		p.queue.minCPU = minCPU
	}
	if len(started) > 0 {
		p.queue.removeFunc(func(t *task) bool { return t.run != nil })
		p.jobsStarted(now, started)
	}
}

// exhausted reports whether no waiting task fits on any target. Tasks that must run alone
// reserve targets that are not free.
func (p *Pool) exhausted(capacities map[string]*serviceCapacity) bool {
	if len(p.losses) > 0 {
		return false
	}
	for _, c := range capacities {
		if c.maxFree.CPU() >= p.queue.minCPU {
			return false
		}
	}
	return true
}

// cpuTime returns the CPU time that the run is expected to use.
func (r *run) cpuTime() time.Duration {
	return time.Duration(float64(r.expected) * float64(r.demand.CPU()) / 1000)
}

// jobsStarted records that tasks of the jobs have been started, and moves their waiting
// tasks if the order depends on it.
func (p *Pool) jobsStarted(now time.Duration, jobs []filbertford.JobKey) {
	if p.scheduling.Order() != filbertford.OrderByPriority {
		return
	}
	jobs = slices.DeleteFunc(jobs, func(job filbertford.JobKey) bool {
		_, known := p.startedJobs[job]
		p.startedJobs[job] = now
		return known
	})
	if len(jobs) == 0 {
		return
	}
	var moved []*task
	p.queue.removeFunc(func(t *task) bool {
		if t.jobStarted || !slices.Contains(jobs, t.key.Job()) {
			return false
		}
		moved = append(moved, t)
		return true
	})
	for _, t := range moved {
		t.jobStarted = true
		p.queue.add(t)
	}
}

// forgetStartedJobs removes the jobs of which no task was started lately. Tasks that are
// waiting keep their place.
func (p *Pool) forgetStartedJobs(now time.Duration) {
	for job, at := range p.startedJobs {
		if now-at > startedJobRetention {
			delete(p.startedJobs, job)
		}
	}
}
