package filbertford

import (
	"cmp"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"
)

// JobKey is the ID of a job, chosen by the caller.
type JobKey string

// NodeID is the name of a daemon of the fleet.
type NodeID string

// PoolID is the name of a pool of targets, which one daemon at a time owns.
type PoolID string

// TaskKey identifies a task of a job by the occurrence of the job, the step and
// the task's index within the step, all counted from 0.
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

// ParseTaskKey parses the form that TaskKey.String returns.
func ParseTaskKey(s string) (TaskKey, error) {
	parts := strings.Split(s, ".")
	if len(parts) != 4 || parts[0] == "" {
		return TaskKey{}, eris.Errorf("task key %q is not of the form JOB.OCCURRENCE.STEP.INDEX", s)
	}
	var numbers [3]int
	for i, p := range parts[1:] {
		n, err := strconv.Atoi(p)
		if err != nil || n < 0 {
			return TaskKey{}, eris.Errorf("task key %q: %q is not a non-negative integer", s, p)
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

// Resources are the resources that a task needs or that a target offers.
type Resources struct {
	cpu    int
	memory int
	gpu    int
}

// NewResources returns resources of cpu thousandths of a core, memory megabytes
// and gpu accelerators.
func NewResources(cpu, memory, gpu int) Resources {
	return Resources{cpu: cpu, memory: memory, gpu: gpu}
}

// CPU returns the processor capacity in thousandths of a core.
func (r Resources) CPU() int { return r.cpu }

// Memory returns the memory in megabytes.
func (r Resources) Memory() int { return r.memory }

// GPU returns the number of accelerators.
func (r Resources) GPU() int { return r.gpu }

// Max returns the larger of r and o for each resource.
func (r Resources) Max(o Resources) Resources {
	return NewResources(max(r.cpu, o.cpu), max(r.memory, o.memory), max(r.gpu, o.gpu))
}

// Fits reports whether the free resources cover r.
func (r Resources) Fits(free Resources) bool {
	return r.cpu <= free.cpu && r.memory <= free.memory && r.gpu <= free.gpu
}

// Add returns the sum of r and o.
func (r Resources) Add(o Resources) Resources {
	return Resources{cpu: r.cpu + o.cpu, memory: r.memory + o.memory, gpu: r.gpu + o.gpu}
}

// Sub returns r less o.
func (r Resources) Sub(o Resources) Resources {
	return Resources{cpu: r.cpu - o.cpu, memory: r.memory - o.memory, gpu: r.gpu - o.gpu}
}

// Clamp returns r with each resource from 0 to the limit.
func (r Resources) Clamp(limit int) Resources {
	return NewResources(min(max(0, r.cpu), limit), min(max(0, r.memory), limit), min(max(0, r.gpu), limit))
}

// Step is a step of a workload: a number of tasks with the same requirements.
type Step struct {
	count        int
	demand       Resources
	estimate     time.Duration
	after        []int
	label        string
	rack         string
	maxPerTarget int
}

// NewStep returns a step of count tasks, each of which needs the resources demand.
// The estimate is the caller's estimate of a task's run time.
func NewStep(count int, demand Resources, estimate time.Duration) Step {
	return Step{count: count, demand: demand, estimate: estimate}
}

// WithAfter returns a copy of s that starts when all tasks of the given earlier
// steps are done.
func (s Step) WithAfter(steps ...int) Step {
	s.after = slices.Clone(steps)
	return s
}

// WithPlacement returns a copy of s whose tasks require a target with the label,
// run faster in the rack, and of which a target may run up to maxPerTarget at a
// time. Zero values set no condition.
func (s Step) WithPlacement(label, rack string, maxPerTarget int) Step {
	s.label, s.rack, s.maxPerTarget = label, rack, maxPerTarget
	return s
}

// Count returns the number of tasks.
func (s Step) Count() int { return s.count }

// Demand returns the resources that each task needs.
func (s Step) Demand() Resources { return s.demand }

// Estimate returns the caller's estimate of a task's run time.
func (s Step) Estimate() time.Duration { return s.estimate }

// After returns the numbers of the steps that must be done before this one.
func (s Step) After() []int { return s.after }

// Label returns the label that a target must have, empty for any.
func (s Step) Label() string { return s.label }

// Rack returns the rack where the tasks run fastest, empty for any.
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

// NewWorkload returns a workload that must be stored before it is accepted.
func NewWorkload(key JobKey, spec string, steps ...Step) Workload {
	return Workload{key: key, spec: spec, steps: steps}
}

// WithBestEffort returns a copy of w that, if bestEffort is true, is answered when
// it ends and kept in memory only.
func (w Workload) WithBestEffort(bestEffort bool) Workload {
	w.bestEffort = bestEffort
	return w
}

// Key returns the job's ID.
func (w Workload) Key() JobKey { return w.key }

// Spec returns the text that targets pass to each task.
func (w Workload) Spec() string { return w.spec }

// Steps returns the steps.
func (w Workload) Steps() []Step { return w.steps }

// BestEffort reports whether the job is answered when it ends and never stored.
func (w Workload) BestEffort() bool { return w.bestEffort }

// Limits of a workload.
const (
	// MaxSpec is the maximum length of a spec in bytes.
	MaxSpec = 4000
	// MaxSteps is the maximum number of steps.
	MaxSteps = 64
	// MaxTasks is the maximum number of tasks of a step.
	MaxTasks = 4096
	// MaxSize is the maximum of each resource that a task needs, which messages between daemons
	// can hold. No target has as much.
	MaxSize = math.MaxInt32
	// MaxEstimate is the maximum estimate of a task's run time. Sums of estimates don't overflow.
	MaxEstimate = 366 * 24 * time.Hour
)

// Memory that a daemon needs for a job in progress, in bytes: in all, and for each of its tasks.
const (
	jobBytes  = 8 << 10
	taskBytes = 512
)

// MemoryBytes returns an estimate of the memory that a daemon needs for the job while it is in
// progress, in bytes.
func (w Workload) MemoryBytes() int {
	n := jobBytes + w.TextBytes()
	for _, s := range w.steps {
		n += s.count * taskBytes
	}
	return n
}

// TextBytes returns the size of the job's texts in bytes.
func (w Workload) TextBytes() int {
	n := len(w.spec)
	for _, s := range w.steps {
		n += len(s.label) + len(s.rack)
	}
	return n
}

// Validate returns an error that describes the first invalid property of the
// workload, or nil.
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
	if max(s.demand.cpu, s.demand.memory, s.demand.gpu) > MaxSize || s.estimate > MaxEstimate {
		return eris.Errorf("a size is above %d or the estimate above %v", MaxSize, MaxEstimate)
	}
	for _, a := range s.after {
		if a < 0 || a >= number {
			return eris.Errorf("after names step %d, which is not an earlier one", a)
		}
	}
	return nil
}
