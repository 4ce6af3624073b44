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

// Run returns the true run time on a target of factor 1.
func (t Task) Run() time.Duration { return t.run }

// Declared returns the run time that the caller declares.
func (t Task) Declared() time.Duration { return t.declared }

// Job is a job of a workload.
type Job struct {
	due   time.Duration
	kind  int
	tasks []Task
}

// Due returns when the job is to be sent, since the start of the load.
func (j Job) Due() time.Duration { return j.due }

// Kind returns the index of the job's kind in its mix.
func (j Job) Kind() int { return j.kind }

// Tasks returns the tasks. The caller must not change them.
func (j Job) Tasks() []Task { return j.tasks }

// bound returns the job as package fbbound takes it.
func (j Job) bound(service string) fbbound.Job {
	runs := make([]time.Duration, len(j.tasks))
	for i, t := range j.tasks {
		runs[i] = t.run
	}
	return fbbound.NewJob(j.due, service, runs...)
}

// work returns the job's work on a target of factor 1.
func (j Job) work() time.Duration {
	var sum time.Duration
	for _, t := range j.tasks {
		sum += t.run
	}
	return sum
}

// Bursts of a workload. The mean rate over burst and calm is the one asked for.
const (
	// burstEvery is the mean time from one burst to the next.
	burstEvery = 4 * time.Second
	// burstLength is the length of a burst.
	burstLength = 300 * time.Millisecond
	// burstFactor is the rate in a burst over the mean rate.
	burstFactor = 2.5
)

// gridStep is the step in which the arrival rate is taken as constant.
const gridStep = 10 * time.Millisecond

// Workload draws the jobs of a load that lasts for the given time. The load is
// in seconds of work that arrive in a second, at each moment since the start.
// Jobs are drawn until their work makes up that load over the whole time, so
// that a few long jobs don't change it; they arrive as a Poisson process of
// that many jobs, with bursts on top if wanted.
func Workload(m Mix, seed uint64, length time.Duration, bursts bool, load func(time.Duration) float64) []Job {
	shape := newShape(rand.New(rand.NewPCG(seed, 3)), length, bursts)
	arrivals := newArrivals(length, func(at time.Duration) float64 { return load(at) * shape.at(at) })
	var total float64
	for at := time.Duration(0); at < length; at += gridStep {
		total += load(at) * gridStep.Seconds()
	}
	r := rand.New(rand.NewPCG(seed, 2))
	var jobs []Job
	for total > 0 {
		kind, tasks := m.draw(r)
		j := Job{due: arrivals.draw(r), kind: kind, tasks: tasks}
		if total -= j.work().Seconds(); total > 0 {
			jobs = append(jobs, j)
		}
	}
	slices.SortStableFunc(jobs, func(a, b Job) int { return cmp.Compare(a.due, b.due) })
	return jobs
}

// arrivals draws moments whose density is proportional to a rate.
type arrivals struct {
	sums []float64
}

func newArrivals(length time.Duration, rate func(time.Duration) float64) arrivals {
	var a arrivals
	var sum float64
	for at := time.Duration(0); at < length; at += gridStep {
		sum += max(rate(at), 0)
		a.sums = append(a.sums, sum)
	}
	return a
}

func (a arrivals) draw(r *rand.Rand) time.Duration {
	at := r.Float64() * a.sums[len(a.sums)-1]
	i := min(sort.SearchFloat64s(a.sums, at), len(a.sums)-1)
	return time.Duration(i)*gridStep + time.Duration(r.Float64()*float64(gridStep))
}

// shape is the factor of the arrival rate over time.
type shape struct {
	bursts []time.Duration
	calm   float64
}

// newShape draws the beginnings of bursts, and the factor between them that
// keeps the mean at one.
func newShape(r *rand.Rand, length time.Duration, bursts bool) *shape {
	s := &shape{calm: 1}
	if !bursts {
		return s
	}
	at := time.Duration(r.ExpFloat64() * float64(burstEvery))
	for at < length {
		s.bursts = append(s.bursts, at)
		at += burstLength + time.Duration(r.ExpFloat64()*float64(burstEvery))
	}
	inBurst := float64(len(s.bursts)) * burstLength.Seconds()
	total := length.Seconds()
	if inBurst*burstFactor < total {
		s.calm = (total - inBurst*burstFactor) / (total - inBurst)
	}
	return s
}

func (s *shape) at(t time.Duration) float64 {
	for len(s.bursts) > 0 && t >= s.bursts[0]+burstLength {
		s.bursts = s.bursts[1:]
	}
	if len(s.bursts) > 0 && t >= s.bursts[0] {
		return burstFactor
	}
	return s.calm
}
