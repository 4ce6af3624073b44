package fbbound

import (
	"slices"
	"time"
)

// Job is a job of a recorded workload.
type Job struct {
	arrival time.Duration
	service string
	tasks   []time.Duration
}

// NewJob returns a job that arrives at the given time since the start of the
// workload. Tasks are the true run times of its tasks on a target of factor 1.
func NewJob(arrival time.Duration, service string, tasks ...time.Duration) Job {
	return Job{arrival: arrival, service: service, tasks: slices.Clone(tasks)}
}

// Arrival returns the time from the start of the workload to the job's arrival.
func (j Job) Arrival() time.Duration { return j.arrival }

// Service returns the service that runs the job.
func (j Job) Service() string { return j.service }

// Tasks returns the true run times of the tasks on a target of factor 1. The
// caller must not change them.
func (j Job) Tasks() []time.Duration { return j.tasks }

// Work returns the sum of the tasks' run times on a target of factor 1.
func (j Job) Work() time.Duration {
	var sum time.Duration
	for _, d := range j.tasks {
		sum += d
	}
	return sum
}

// longest returns the run time of the longest task on a target of factor 1, or 0
// if the job has no tasks.
func (j Job) longest() time.Duration {
	if len(j.tasks) == 0 {
		return 0
	}
	return slices.Max(j.tasks)
}

// Target is a target of a recorded workload.
type Target struct {
	factor   float64
	slots    int
	services []string
}

// NewTarget returns a target that runs slots tasks at a time and on which run times
// are multiplied by the factor, which must be positive: a target of factor 2 is
// half as fast as one of factor 1. Without services it runs all.
func NewTarget(factor float64, slots int, services ...string) Target {
	return Target{factor: factor, slots: slots, services: slices.Clone(services)}
}

// Factor returns the factor by which run times are multiplied.
func (t Target) Factor() float64 { return t.factor }

// Slots returns how many tasks the target runs at a time.
func (t Target) Slots() int { return t.slots }

// Serves reports whether the target runs the service.
func (t Target) Serves(service string) bool {
	return len(t.services) == 0 || slices.Contains(t.services, service)
}

// runTime returns the time that a task of the given size, its run time at factor
// 1, runs on the target.
func (t Target) runTime(size time.Duration) time.Duration {
	return time.Duration(float64(size) * t.factor)
}

// Capacity returns the work that the targets can do for the service, in seconds
// of run time on a target of factor 1 per second.
func Capacity(service string, targets []Target) float64 {
	var sum float64
	for _, t := range targets {
		if t.Serves(service) {
			sum += float64(t.slots) / t.factor
		}
	}
	return sum
}
