package fbload

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"sort"
	"time"

	"github.com/filbertford/filbertford/fbbound"
)

// Task is a task of a workload.
type Task struct {
	run      time.Duration
	declared time.Duration
}

// Run returns the task's true run time on a target of factor 1.
func (t Task) Run() time.Duration { return t.run }

// Declared returns the size that the caller declares, an estimate of the run time.
func (t Task) Declared() time.Duration { return t.declared }

// Job is a job of a workload.
type Job struct {
	due   time.Duration
	kind  int
	tasks []Task
}

// Due returns the time, since the start of the load, at which the job is sent.
func (j Job) Due() time.Duration { return j.due }

// Kind returns the index of the job's kind in its mix.
func (j Job) Kind() int { return j.kind }

// Tasks returns the tasks. The caller must not change them.
func (j Job) Tasks() []Task { return j.tasks }

// toBound returns the job as a job of package fbbound.
func (j Job) toBound(service string) fbbound.Job {
	runs := make([]time.Duration, len(j.tasks))
	for i, t := range j.tasks {
		runs[i] = t.run
	}
	return fbbound.NewJob(j.due, service, runs...)
}

// work returns the sum of the tasks' run times on a target of factor 1.
func (j Job) work() time.Duration {
	var sum time.Duration
	for _, t := range j.tasks {
		sum += t.run
	}
	return sum
}

// Parameters of bursts. The mean rate over the whole load, with bursts and the
// time between them, is the requested rate.
const (
	// meanBurstInterval is the mean time from the end of one burst to the start of
	// the next.
	meanBurstInterval = 4 * time.Second
	// burstDuration is the duration of a burst.
	burstDuration = 300 * time.Millisecond
	// burstFactor is the ratio of the rate in a burst to the mean rate.
	burstFactor = 2.5
)

// rateStep is the length of the intervals in which the arrival rate is constant.
const rateStep = 10 * time.Millisecond

// GenerateJobs draws the jobs of a load of the given duration, in the order in
// which they are due. The function loadAt returns the load at a time since the
// start, in seconds of work that arrive per second. Jobs are drawn until their
// work adds up to the load over the whole duration, so that a few long jobs don't
// increase the load. Their arrival times are those of a Poisson process of that
// many jobs, with bursts if requested.
func GenerateJobs(m Mix, seed uint64, duration time.Duration, bursts bool, loadAt func(time.Duration) float64) []Job {
	profile := newRateProfile(rand.New(rand.NewPCG(seed, 3)), duration, bursts)
	arrivals := newArrivals(duration, func(at time.Duration) float64 { return loadAt(at) * profile.factorAt(at) })
	var remaining float64
	for at := time.Duration(0); at < duration; at += rateStep {
		remaining += loadAt(at) * rateStep.Seconds()
	}
	r := rand.New(rand.NewPCG(seed, 2))
	var jobs []Job
	for remaining > 0 {
		kind, tasks := m.drawJob(r)
		j := Job{due: arrivals.draw(r), kind: kind, tasks: tasks}
		if remaining -= j.work().Seconds(); remaining > 0 {
			jobs = append(jobs, j)
		}
	}
	slices.SortStableFunc(jobs, func(a, b Job) int { return cmp.Compare(a.due, b.due) })
	return jobs
}

// arrivals draws arrival times whose density is proportional to a rate.
type arrivals struct {
	cumulativeRates []float64
}

func newArrivals(duration time.Duration, rateAt func(time.Duration) float64) arrivals {
	var a arrivals
	var sum float64
	for at := time.Duration(0); at < duration; at += rateStep {
		sum += max(rateAt(at), 0)
		a.cumulativeRates = append(a.cumulativeRates, sum)
	}
	return a
}

func (a arrivals) draw(r *rand.Rand) time.Duration {
	x := r.Float64() * a.cumulativeRates[len(a.cumulativeRates)-1]
	i := min(sort.SearchFloat64s(a.cumulativeRates, x), len(a.cumulativeRates)-1)
	return time.Duration(i)*rateStep + time.Duration(r.Float64()*float64(rateStep))
}

// rateProfile is the factor by which bursts change the arrival rate over time. Its
// factorAt must be called with ascending times.
type rateProfile struct {
	burstStarts []time.Duration
	calmFactor  float64
}

// newRateProfile draws the start times of bursts, and sets the factor between
// bursts so that the mean factor is one.
func newRateProfile(r *rand.Rand, duration time.Duration, bursts bool) *rateProfile {
	p := &rateProfile{calmFactor: 1}
	if !bursts {
		return p
	}
	at := time.Duration(r.ExpFloat64() * float64(meanBurstInterval))
	for at < duration {
		p.burstStarts = append(p.burstStarts, at)
		at += burstDuration + time.Duration(r.ExpFloat64()*float64(meanBurstInterval))
	}
	inBurst := float64(len(p.burstStarts)) * burstDuration.Seconds()
	total := duration.Seconds()
	if inBurst*burstFactor < total {
		p.calmFactor = (total - inBurst*burstFactor) / (total - inBurst)
	}
	return p
}

func (p *rateProfile) factorAt(t time.Duration) float64 {
	for len(p.burstStarts) > 0 && t >= p.burstStarts[0]+burstDuration {
		p.burstStarts = p.burstStarts[1:]
	}
	if len(p.burstStarts) > 0 && t >= p.burstStarts[0] {
		return burstFactor
	}
	return p.calmFactor
}
