package fbsched

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/filbertford/filbertford"
)

// loadClass is a class of jobs that arrive at random times.
type loadClass struct {
	priority       int
	tasks          int
	duration       time.Duration
	minCPU, maxCPU int     // in thousandths of a core, of each task; all tasks of a job have the same
	load           float64 // CPU time that arrives, as a multiple of the targets' CPU
}

// poolLoad offers jobs to a pool without admission control.
type poolLoad struct {
	targets, cpu  int // in thousandths of a core
	scheduling    filbertford.Scheduling
	classes       []loadClass
	duration      time.Duration
	estimateError float64 // an estimate is too long or too short by up to this factor, 1.4 by default
}

// offeredJob is a job that was offered to the pool.
type offeredJob struct {
	class                 int
	cpu                   int
	at                    time.Duration
	due                   time.Duration // after at
	duration              time.Duration // of each task
	firstStart, lastStart time.Duration // after at, 0 for none
	served                bool          // all tasks ended within the objective
}

// objectiveOf returns the objective of a job of one step whose tasks take the given time.
func objectiveOf(d time.Duration) time.Duration { return d*16/10 + 60*time.Millisecond }

// run returns the jobs that were offered.
func (l poolLoad) run(seed uint64) (*simulation, []*offeredJob) {
	sim, random := newSimulation(l.targets, l.cpu/1000), rand.New(rand.NewPCG(seed, 1))
	sim.eachTarget(func(t *fakeTarget) { t.setCapacity(filbertford.NewResources(l.cpu, 64_000, 0)) })
	o := sim.addOwner("a", 1)
	o.pool.SetScheduling(l.scheduling)
	sim.advance(300 * time.Millisecond)
	sim.announceOwner(o)
	estimateError := max(l.estimateError, 1.4)
	byKey := make(map[filbertford.JobKey]*offeredJob)
	var jobs []*offeredJob
	for i, class := range l.classes {
		work := float64(class.tasks) * class.duration.Seconds() * float64(class.minCPU+class.maxCPU) / 2
		gap := work / (class.load * float64(l.targets*l.cpu)) // in seconds
		for at := random.ExpFloat64() * gap; at < l.duration.Seconds(); at += random.ExpFloat64() * gap {
			key := filbertford.JobKey(fmt.Sprintf("%08x%08x", i, len(jobs)))
			d := time.Duration(float64(class.duration) * (0.6 + 0.8*random.Float64()))
			estimate := d
			if e := 1 + random.Float64()*(estimateError-1); random.IntN(2) == 0 {
				estimate = time.Duration(float64(d) * e)
			} else {
				estimate = time.Duration(float64(d) / e)
			}
			j := &offeredJob{class: i, at: time.Duration(at * float64(time.Second)), duration: d, cpu: class.minCPU + random.IntN(class.maxCPU-class.minCPU+1)}
			j.due = objectiveOf(d)
			jobs, byKey[key], sim.works[key] = append(jobs, j), j, d
			step := filbertford.NewStep(class.tasks, filbertford.NewResources(j.cpu, 1, 0), estimate)
			var items []Item
			for index := range class.tasks {
				items = append(items, NewItem(index, 0))
			}
			batch := NewBatch(testPool, key, 0, 0, step, items).WithWork("", "ordering", 3).WithPriority(class.priority).WithTimes(objectiveOf(estimate), 3*objectiveOf(estimate)-estimate)
			sim.after(j.at, func() { o.pool.Offer(sim.now, sim.node, batch.WithFence(1)) })
		}
	}
	sim.advance(l.duration + 6*time.Second)
	for _, event := range sim.poolEvents {
		if event.Kind == EventRunStarted {
			j := byKey[event.Task.Job()]
			if j.firstStart == 0 {
				j.firstStart = max(event.Age, 1)
			}
			j.lastStart = max(j.lastStart, event.Age)
		}
	}
	for key, j := range byKey {
		done := 0
		for index := range l.classes[j.class].tasks {
			done += min(1, sim.done[filbertford.NewTaskKey(key, 0, 0, index)])
		}
		j.served = done == l.classes[j.class].tasks && j.lastStart+j.duration <= j.due
	}
	return sim, jobs
}

// servedShare returns the share of the matching jobs that were served within their objective.
func servedShare(jobs []*offeredJob, match func(*offeredJob) bool) float64 {
	served, all := 0, 0
	for _, j := range jobs {
		if match(j) {
			all++
			if j.served {
				served++
			}
		}
	}
	return float64(served) / float64(max(1, all))
}
