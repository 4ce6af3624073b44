package fbsched

import (
	"fmt"
	"hash/fnv"
	"math"
	"slices"
	"strconv"
	"time"

	"github.com/filbertford/filbertford"
	"github.com/filbertford/filbertford/fbadmission"
)

// priorityShare is the share of the started CPU time that a pool reserves for each lower
// priority of which work waits, if it orders by priority.
const priorityShare = 0.1

// admit decides whether a job is accepted, and answers it if it isn't.
func (c *Coordinator) admit(now time.Duration, j *job) bool {
	if c.admitter == nil {
		c.admitter = fbadmission.New(c.scheduling.Admission())
	}
	arriving := filbertford.NewArrivingJob(j.route.Priority(), j.chain, j.due-now, j.usefulUntil-now)
	if !c.admitsByObjective() {
		backlog := c.shortestBacklog(j.route.Service())
		if c.admitter.Admit(arriving, filbertford.NewFleetLoad(backlog, false)).Accepted() {
			return true
		}
		c.finish(now, j, filbertford.AnswerNotRun, fmt.Sprintf("the queues are too long: shortest %v, estimate %v, useful for %v",
			backlog.Round(time.Millisecond), j.chain, j.usefulUntil-now))
		return false
	}
	load, rate := c.fleetLoad(now, j)
	decision := c.admitter.Admit(arriving.WithSpread(spread(j.workload.Key(), now)), load)
	e := Event{
		Kind: EventJobAdmitted, Task: filbertford.NewTaskKey(j.workload.Key(), 0, 0, 0), Priority: j.route.Priority(), Admission: decision.Reason(),
		Age: load.Age(),
		Reason: fmt.Sprintf("%s: wait %v, all work %v, rate %d, factor %.2f, fastest %.2f, estimate %v, objective %v, useful for %v", decision.Reason(),
			load.Wait().Round(time.Millisecond), load.Total().Round(time.Millisecond), rate, load.Factor(), load.Fastest(),
			j.chain, j.due-now, j.usefulUntil-now),
	}
	if decision.Accepted() {
		c.emit(e)
		return true
	}
	e.Kind = EventJobRejected
	c.emit(e)
	c.finish(now, j, filbertford.AnswerNotRun, e.Reason)
	return false
}

func (c *Coordinator) admitsByObjective() bool {
	return c.scheduling.Admission() == filbertford.AdmitByObjective
}

// spread returns a number from 0 up to 1 for a job that arrives at the given time. A
// caller that sends a rejected job again gets another number.
func spread(key filbertford.JobKey, now time.Duration) float64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(key)) // never fails
	_, _ = h.Write(strconv.AppendInt(nil, now.Milliseconds(), 10))
	return float64(h.Sum64()>>11) / (1 << 53)
}

// fleetLoad returns the load of all pools together as a job sees it, and their rate.
func (c *Coordinator) fleetLoad(now time.Duration, j *job) (load filbertford.FleetLoad, rate int) {
	var own, all, total float64 // work and CPU
	var age time.Duration
	fastest := math.Inf(1)
	for _, v := range c.pools {
		capacity := v.capacities[j.route.Service()]
		if capacity == nil || v.owner == "" || capacity.total == 0 {
			continue // it counts as having no capacity
		}
		rate += capacity.usableRate()
		total += float64(capacity.total)
		fastest = min(fastest, capacity.fastest())
		own += capacity.workAhead(j.route.Priority(), c.scheduling.Order())
		all += capacity.workAhead(math.MaxInt, c.scheduling.Order())
		age = max(age, now-capacity.reportedAt)
	}
	if rate == 0 {
		return filbertford.FleetLoad{}, 0
	}
	load = filbertford.NewFleetLoad(c.shortestBacklog(j.route.Service()), c.fitsNow(j)).
		WithFactors(total/float64(rate), fastest).
		WithWaits(time.Duration(own/float64(rate)), time.Duration(all/float64(rate)), age)
	return load, rate
}

// fitsNow reports whether free targets of all pools together can run the ready tasks of
// the job now.
func (c *Coordinator) fitsNow(j *job) bool {
	var pools []*capacityView
	for _, v := range c.pools {
		if capacity := v.capacities[j.route.Service()]; capacity != nil && v.owner != "" {
			pools = append(pools, capacity)
		}
	}
	ready := 0
	for number, step := range j.workload.Steps() {
		if !j.ready(number) {
			continue
		}
		if ready++; ready == 2 {
			for i, p := range pools {
				pools[i] = &capacityView{free: slices.Clone(p.free), objective: true}
			}
		}
		cpu, n := max(1, step.Demand().CPU()), step.Count()
		for _, p := range pools {
			fits := min(n, p.fits(cpu))
			if ready > 1 {
				p.reserve(cpu, fits)
			}
			n -= fits
		}
		if n > 0 {
			return false
		}
	}
	return true
}

// usableRate returns the rate of the pool's usable targets in thousandths of a core.
func (c *capacityView) usableRate() int {
	if c.rate == 0 {
		return c.total
	}
	return c.rate
}

// fastest returns the factor by which runs on the pool's targets take longer than
// estimated.
func (c *capacityView) fastest() float64 { return float64(c.total) / float64(c.usableRate()) }

// workAhead returns the work, in thousandths of a core times nanoseconds at the usable
// rate, that the pool does before a new task of the priority.
func (c *capacityView) workAhead(priority int, order filbertford.QueueOrder) float64 {
	rate := float64(c.usableRate())
	if c.rate == 0 {
		return float64(c.backlog)*rate + c.offered
	}
	var ahead, lower float64
	waits := 0 // number of lower priorities of which work waits
	for i, work := range c.waiting {
		switch {
		case i <= priority || order != filbertford.OrderByPriority:
			ahead += work
		case work > 0:
			lower += work
			waits++
		}
	}
	if waits > 0 {
		// The reserved shares start no more than the work that waits.
		ahead += min(lower, ahead*priorityShare*float64(waits)/(1-priorityShare*float64(min(waits, 9))))
	}
	return ahead
}

// addWaiting adds work of a priority that was offered since the last report.
func (c *capacityView) addWaiting(priority int, work float64) {
	c.offered += work
	priority = min(max(priority, 0), maxPriority)
	for len(c.waiting) <= priority {
		c.waiting = append(c.waiting, 0)
	}
	c.waiting[priority] += work
}

// maxPriority is the lowest priority that is distinguished.
const maxPriority = 15
