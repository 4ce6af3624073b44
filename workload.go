package filbertford

import (
	"cmp"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"
)

// JobKey is the ID that a caller of the platform gives a job.
type JobKey string

// NodeID names a daemon of the fleet.
type NodeID string

// PoolID names a pool of targets that one daemon at a time owns.
type PoolID string

// TaskKey names a task of a job: an occurrence of the job, a step and the
// task's index within the step, all counted from 0.
type TaskKey struct {
	job        JobKey
	occurrence int
	step       int
	index      int
}

// NewTaskKey returns the key of a task.
func NewTaskKey(job JobKey, occurrence, step, index int) TaskKey {
	return TaskKey{job: job, occurrence: occurrence, step: step, index: index}
}

// ParseTaskKey parses the form that String returns.
func ParseTaskKey(s string) (TaskKey, error) {
	parts := strings.Split(s, ".")
	if len(parts) != 4 || parts[0] == "" {
		return TaskKey{}, eris.Errorf("task key %q has not the form JOB.OCCURRENCE.STEP.INDEX", s)
	}
	var numbers [3]int
	for i, p := range parts[1:] {
		n, err := strconv.Atoi(p)
		if err != nil || n < 0 {
			return TaskKey{}, eris.Errorf("task key %q: %q is not a number", s, p)
		}
		numbers[i] = n
	}
	return NewTaskKey(JobKey(parts[0]), numbers[0], numbers[1], numbers[2]), nil
}

// Compare orders keys by job, occurrence, step and index.
func (k TaskKey) Compare(o TaskKey) int {
	if c := cmp.Compare(k.job, o.job); c != 0 {
		return c
	}
	if c := cmp.Compare(k.occurrence, o.occurrence); c != 0 {
		return c
	}
	if c := cmp.Compare(k.step, o.step); c != 0 {
		return c
	}
	return cmp.Compare(k.index, o.index)
}

// Job returns the key of the task's job.
func (k TaskKey) Job() JobKey { return k.job }

// Occurrence returns the number of the job's occurrence.
func (k TaskKey) Occurrence() int { return k.occurrence }

// Step returns the number of the step.
func (k TaskKey) Step() int { return k.step }

// Index returns the task's index within its step.
func (k TaskKey) Index() int { return k.index }

// String returns the key in the form JOB.OCCURRENCE.STEP.INDEX.
func (k TaskKey) String() string {
	return string(k.job) + "." + strconv.Itoa(k.occurrence) + "." + strconv.Itoa(k.step) + "." + strconv.Itoa(k.index)
}

// Resources is what a task takes of a target, or what a target offers.
type Resources struct {
	cpu    int
	memory int
	gpu    int
}

// NewResources returns a demand of thousandths of a core, megabytes of memory and
// accelerators.
func NewResources(cpu, memory, gpu int) Resources {
	return Resources{cpu: cpu, memory: memory, gpu: gpu}
}

// CPU returns the demand in thousandths of a core.
func (r Resources) CPU() int { return r.cpu }

// Memory returns the demand in megabytes.
func (r Resources) Memory() int { return r.memory }

// GPU returns the number of accelerators.
func (r Resources) GPU() int { return r.gpu }

// Max returns the larger of d and o in each part.
func (r Resources) Max(o Resources) Resources {
	return NewResources(max(r.cpu, o.cpu), max(r.memory, o.memory), max(r.gpu, o.gpu))
}

// Fits reports whether the demand is covered by what is free.
func (r Resources) Fits(free Resources) bool {
	return r.cpu <= free.cpu && r.memory <= free.memory && r.gpu <= free.gpu
}

// Add returns the sum of both demands.
func (r Resources) Add(o Resources) Resources {
	return Resources{cpu: r.cpu + o.cpu, memory: r.memory + o.memory, gpu: r.gpu + o.gpu}
}

// Sub returns what remains of d without o.
func (r Resources) Sub(o Resources) Resources {
	return Resources{cpu: r.cpu - o.cpu, memory: r.memory - o.memory, gpu: r.gpu - o.gpu}
}

// Step is a step of a workload: a number of like tasks.
type Step struct {
	count        int
	demand       Resources
	estimate     time.Duration
	after        []int
	label        string
	rack         string
	maxPerTarget int
}

// NewStep returns a step of count tasks. The estimate is what the caller thinks
// that one task takes.
func NewStep(count int, demand Resources, estimate time.Duration) Step {
	return Step{count: count, demand: demand, estimate: estimate}
}

// WithAfter returns a copy of s that begins when all tasks of the given earlier
// steps are done.
func (s Step) WithAfter(steps ...int) Step {
	s.after = slices.Clone(steps)
	return s
}

// WithPlacement returns a copy of s whose tasks need a target with the label,
// are faster in the rack, and of which a target takes up to maxPerTarget at a
// time. Empty values put no condition.
func (s Step) WithPlacement(label, rack string, maxPerTarget int) Step {
	s.label, s.rack, s.maxPerTarget = label, rack, maxPerTarget
	return s
}

// Count returns the number of tasks.
func (s Step) Count() int { return s.count }

// Demand returns what each task takes of a target.
func (s Step) Demand() Resources { return s.demand }

// Estimate returns what the caller thinks that a task takes.
func (s Step) Estimate() time.Duration { return s.estimate }

// After returns the numbers of the steps that must be done before.
func (s Step) After() []int { return s.after }

// Label returns the label that a target must have, empty for any.
func (s Step) Label() string { return s.label }

// Rack returns the rack where the tasks are fastest, empty for any.
func (s Step) Rack() string { return s.rack }

// MaxPerTarget returns how many of the tasks a target may run at a time, 0 for
// any number.
func (s Step) MaxPerTarget() int { return s.maxPerTarget }

// Workload is a job as a caller of the platform submits it.
type Workload struct {
	key        JobKey
	spec       string
	steps      []Step
	bestEffort bool
}

// NewWorkload returns a workload that is to be stored before it is accepted.
func NewWorkload(key JobKey, spec string, steps ...Step) Workload {
	return Workload{key: key, spec: spec, steps: steps}
}

// WithBestEffort returns a copy of w that is answered at its end and is kept in
// memory only.
func (w Workload) WithBestEffort(bestEffort bool) Workload {
	w.bestEffort = bestEffort
	return w
}

// Key returns the job's ID.
func (w Workload) Key() JobKey { return w.key }

// Spec returns the text that each task is started with.
func (w Workload) Spec() string { return w.spec }

// Steps returns the steps.
func (w Workload) Steps() []Step { return w.steps }

// BestEffort reports whether the job is answered at its end and never stored.
func (w Workload) BestEffort() bool { return w.bestEffort }

// Limits of a workload.
const (
	// MaxSpec is the length of the longest spec in bytes.
	MaxSpec = 4000
	// MaxSteps is the largest number of steps.
	MaxSteps = 64
	// MaxTasks is the largest number of tasks of a step.
	MaxTasks = 4096
)

// Validate returns an error that names the first thing wrong with the workload.
func (w Workload) Validate() error {
	switch {
	case len(w.spec) > MaxSpec:
		return eris.Errorf("spec has %d bytes, at most %d are taken", len(w.spec), MaxSpec)
	case len(w.steps) == 0:
		return eris.New("the job has no steps")
	case len(w.steps) > MaxSteps:
		return eris.Errorf("the job has %d steps, at most %d are taken", len(w.steps), MaxSteps)
	}
	for i, s := range w.steps {
		if err := s.validate(i); err != nil {
			return eris.Wrapf(err, "step %d", i)
		}
	}
	return nil
}

func (s Step) validate(number int) error {
	if s.count < 1 || s.count > MaxTasks {
		return eris.Errorf("count is %d, allowed are 1 to %d", s.count, MaxTasks)
	}
	if s.demand.cpu < 0 || s.demand.memory < 0 || s.demand.gpu < 0 || s.estimate < 0 || s.maxPerTarget < 0 {
		return eris.New("a size is negative")
	}
	for _, a := range s.after {
		if a < 0 || a >= number {
			return eris.Errorf("after names step %d, which is not an earlier one", a)
		}
	}
	return nil
}
