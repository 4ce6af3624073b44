package fbsched

import (
	"cmp"
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
	inputs := c.admissionInputs(now, j, load, rate)
	if decision.Accepted() {
		c.emit(c.admissionEvent(EventJobAdmitted, j, decision.Reason(), inputs, load.Age()))
		return true
	}
	c.emit(c.admissionEvent(EventJobRejected, j, decision.Reason(), inputs, load.Age()))
	c.finish(now, j, filbertford.AnswerNotRun, string(decision.Reason())+": "+inputs)
	return false
}

// admissionInputs returns what the decision about a job depends on, for logs and the
// caller.
func (*Coordinator) admissionInputs(now time.Duration, j *job, load filbertford.FleetLoad, rate int) string {
	return fmt.Sprintf("waited %v, wait %v, delay %v, all work %v, rate %d, factor %.2f, fastest %.2f, free %v, estimate %v, objective %v, useful for %v",
		(now - j.submittedAt).Round(time.Millisecond), load.Wait().Round(time.Millisecond), load.Delay().Round(time.Millisecond), load.Total().Round(time.Millisecond),
		rate, load.Factor(), load.Fastest(), load.Free(), j.chain.Round(time.Millisecond), (j.due - now).Round(time.Millisecond), (j.usefulUntil - now).Round(time.Millisecond))
}

// admissionEvent returns the event of a decision that is based on reports of the given
// age.
func (*Coordinator) admissionEvent(kind EventKind, j *job, reason filbertford.AdmissionReason, inputs string, age time.Duration) Event {
	return Event{
		Kind: kind, Task: filbertford.NewTaskKey(j.workload.Key(), 0, 0, 0), Priority: j.route.Priority(), Admission: reason, Reason: inputs, Age: age,
	}
}

// retryAfter returns when the caller of a job that was not run may send it again: when the
// work that waits now is done, and later by a time that differs from caller to caller, so
// that they don't all return at once.
func (c *Coordinator) retryAfter(j *job) time.Duration {
	if !c.admitsByObjective() {
		return min(c.shortestBacklog(j.route.Service()), maxRetryAfter)
	}
	load, _ := c.fleetLoad(c.tickedAt, j)
	drain := load.Total()
	wait := drain + time.Duration(spread(j.workload.Key(), 0)*float64(drain+minRetryAfter))
	return min(max(wait, minRetryAfter), maxRetryAfter)
}

// minRetryAfter is the shortest delay that a rejected caller is asked to wait: HTTP has whole
// seconds.
const minRetryAfter = time.Second

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

// maxReportAge is the age from which on a report doesn't count: the owner of a pool reports
// four times in this time in a fleet of any size, and counts as lost after it.
const maxReportAge = time.Second

// reports returns the capacities of the pools that can run tasks of the service, as their
// owners have lately reported them. The others count as having no capacity.
func (c *Coordinator) reports(now time.Duration, service string) []*capacityView {
	out := make([]*capacityView, 0, len(c.pools))
	for _, v := range c.pools {
		if r := v.capacities[service]; r != nil && v.accepts() && r.total > 0 && now-r.reportedAt <= maxReportAge {
			out = append(out, r)
		}
	}
	return out
}

// fleetLoad returns the load of all pools together as a job sees it, and their rate.
func (c *Coordinator) fleetLoad(now time.Duration, j *job) (load filbertford.FleetLoad, rate int) {
	var own, all, total, delay float64 // work and CPU, and delay weighted by rate
	var age time.Duration
	for _, capacity := range c.reports(now, j.route.Service()) {
		rate += capacity.usableRate()
		total += float64(capacity.total)
		delay += float64(capacity.delay) * float64(capacity.usableRate())
		own += capacity.workAhead(j.route.Priority(), c.scheduling.Order())
		all += capacity.workAhead(math.MaxInt, c.scheduling.Order())
		age = max(age, now-capacity.reportedAt)
	}
	if rate == 0 {
		return filbertford.FleetLoad{}, 0
	}
	load = filbertford.NewFleetLoad(c.shortestBacklog(j.route.Service()), c.fitsNow(now, j)).
		WithFactors(total/float64(rate), c.fastestFactor(now, j.route.Service())).
		WithDelay(time.Duration(delay/float64(rate))).
		WithWaits(time.Duration(own/float64(rate)), time.Duration(all/float64(rate)), age)
	return load, rate
}

// fitsNow reports whether free targets of all pools together can run the ready tasks of
// the job now.
func (c *Coordinator) fitsNow(now time.Duration, j *job) bool {
	pools := c.reports(now, j.route.Service())
	ready := 0
	for number, step := range j.workload.Steps() {
		if !j.ready(number) {
			continue
		}
		if ready++; ready == 2 {
			for i, p := range pools {
				pools[i] = &capacityView{free: slices.Clone(p.free), factors: p.factors, backlog: p.backlog, objective: true}
			}
		}
		cpu, n, maxFactor := max(1, step.Demand().CPU()), step.Count(), c.maxFactor(now, j, step)
		for _, p := range pools {
			fits := min(n, p.fits(step, maxFactor))
			if ready > 1 {
				p.reserve(cpu, fits, maxFactor)
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

// fastestFactor returns the factor by which runs on the fastest usable targets of any pool
// take longer than estimated, 1 if unknown.
func (c *Coordinator) fastestFactor(now time.Duration, service string) float64 {
	fastest := math.Inf(1)
	for _, capacity := range c.reports(now, service) {
		fastest = min(fastest, cmp.Or(capacity.fastest, float64(capacity.total)/float64(capacity.usableRate())))
	}
	if math.IsInf(fastest, 1) {
		return 1
	}
	return fastest
}

// maxFactor returns the highest factor of a target on which a task of the step that starts
// now ends in time. If no target is fast enough, there is no limit, because the task runs
// on any target then.
func (c *Coordinator) maxFactor(now time.Duration, j *job, step filbertford.Step) float64 {
	if !c.admitsByObjective() || j.stored || step.Estimate() <= 0 {
		return math.Inf(1)
	}
	run := step.Estimate()
	if !j.mayHaveRun {
		run = j.chain
	}
	factor := float64(min(j.due, j.usefulUntil)-now) / float64(run)
	if factor < c.fastestFactor(now, j.route.Service()) {
		return math.Inf(1)
	}
	return factor
}

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

// waitSpread is added to the wait of each pool before tasks are divided among the pools in
// inverse proportion to it: the typical age of a report of another data centre. If all
// coordinators chose the pool with the shortest wait, the others would run dry until their
// next reports, and that one would get the work of all.
const waitSpread = 100 * time.Millisecond

// queueByWait assigns the n tasks that no pool has capacity for to pools with a probability
// that grows with their rate and falls with the wait there. Each task takes the given work.
func (c *Coordinator) queueByWait(parts []part, candidates []candidate, work float64, priority, n int) []part {
	weights := make([]float64, len(candidates))
	for range n {
		var sum float64
		for i, k := range candidates {
			weights[i] = c.queueWeight(k.capacity, priority)
			sum += weights[i]
		}
		// The multiples of the golden ratio are spread evenly, also over few numbers.
		c.queueSequence = math.Mod(c.queueSequence+math.Phi, 1)
		chosen, x := 0, c.queueSequence*sum
		for chosen < len(candidates)-1 && x >= weights[chosen] {
			x -= weights[chosen]
			chosen++
		}
		candidates[chosen].capacity.addWaiting(priority, work)
		parts = addPart(parts, candidates[chosen].pool, 1)
	}
	return parts
}

// queueWeight returns the share of waiting tasks that a pool gets, relative to other pools.
// A pool without usable targets gets tasks only if no pool has any.
func (c *Coordinator) queueWeight(v *capacityView, priority int) float64 {
	rate := float64(v.usableRate())
	if rate == 0 {
		return 0
	}
	return rate / (v.workAhead(priority, c.scheduling.Order())/rate + float64(waitSpread))
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
