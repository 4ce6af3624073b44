package fbload

import (
	"math/rand/v2"
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

// Workload draws the jobs of a load that lasts for the given time: arrivals are
// a Poisson process, with bursts on top if wanted. The rate is in jobs a second
// at each moment since the start.
func Workload(m Mix, seed uint64, length time.Duration, bursts bool, rate func(time.Duration) float64) []Job {
	r := rand.New(rand.NewPCG(seed, 2))
	shape := newShape(rand.New(rand.NewPCG(seed, 3)), length, bursts)
	var jobs []Job
	at := time.Duration(0)
	for {
		now := rate(at) * shape.at(at)
		if now <= 0 {
			at += time.Millisecond
		} else {
			at += time.Duration(r.ExpFloat64() / now * float64(time.Second))
		}
		if at >= length {
			return jobs
		}
		if now <= 0 {
			continue
		}
		kind, tasks := m.draw(r)
		jobs = append(jobs, Job{due: at, kind: kind, tasks: tasks})
	}
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
