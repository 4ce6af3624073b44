package fbshard

import (
	"encoding/json"
	"math"
	"time"

	"github.com/rotisserie/eris"

	"github.com/filbertford/filbertford"
	"github.com/filbertford/filbertford/fbsched"
)

// maxRunNumber is the highest run number that is taken from a row: run numbers grow by two per millisecond,
// and the next one must be higher.
const maxRunNumber = math.MaxUint64 / 2

// State is the state of a stored job.
type State string

// The states of stored jobs.
const (
	StateQueued    State = "queued"
	StateRunning   State = "running"
	StateCompleted State = "completed"
	StateFailed    State = "failed"
	StateCancelled State = "cancelled"
	StateRemoved   State = "gone"
	// StateRefused is the reply to a job that is not stored for lack of memory.
	StateRefused State = "refused"
)

// final reports whether a job in the state has ended.
func (s State) final() bool {
	return s == StateCompleted || s == StateFailed || s == StateCancelled
}

// job is a stored job.
type job struct {
	workload filbertford.Workload
	route    filbertford.Route
	state    State
	done     [][]bool
	failures map[string]int // failed runs by task key
	// failedRuns are the run numbers up to which failures counts them, by key of the tasks that aren't done.
	// Rows of earlier versions have none.
	failedRuns map[string]uint64
	crashes    map[string]int // targets that have counted as crashed, by task key
	refuted    map[string]int // those that have turned out not to have crashed
	version    uint64         // of the row, 0 if not committed
	started    bool           // a run was started; not stored
	records    []taskRecord   // to report after the next commit
	// finalUncommitted is set while the job's final state is not committed.
	finalUncommitted bool
	endedAt          time.Duration
	counted          int // memory with which the job is counted, in bytes
}

func newJob(r filbertford.Route, w filbertford.Workload) *job {
	j := &job{workload: w, route: r, state: StateQueued, failures: make(map[string]int), failedRuns: make(map[string]uint64), crashes: make(map[string]int), refuted: make(map[string]int)}
	for _, s := range w.Steps() {
		j.done = append(j.done, make([]bool, s.Count()))
	}
	return j
}

// progress returns the recorded progress of a task.
func (j *job) progress(step, index int) fbsched.Progress {
	key := filbertford.NewTaskKey(j.workload.Key(), 0, step, index)
	name := key.String()
	p := fbsched.NewProgress(j.done[step][index], j.failures[name]).WithFailedRun(j.failedRuns[name]).
		WithCrashes(j.crashes[name]).WithRefutedCrashes(j.refuted[name])
	if j.state == StateFailed {
		return p.WithFailed()
	}
	return p
}

// The encoding of rows in the store.

type claimRow struct {
	Node  string `json:"node"`
	Fence uint64 `json:"fence"`
}

type stepRow struct {
	Count        int    `json:"count"`
	CPU          int    `json:"cpu"`
	Memory       int    `json:"memory"`
	GPU          int    `json:"gpu,omitempty"`
	EstimateUS   int64  `json:"estimate_us"`
	After        []int  `json:"after,omitempty"`
	Label        string `json:"label,omitempty"`
	Rack         string `json:"rack,omitempty"`
	MaxPerTarget int    `json:"max_per_target,omitempty"`
	Done         []int  `json:"done,omitempty"`
}

type jobRow struct {
	State    State          `json:"state"`
	Host     string         `json:"host"`
	Prefix   string         `json:"prefix"`
	Service  string         `json:"service"`
	Priority int            `json:"priority"`
	Attempts int            `json:"attempts"`
	Stretch  float64        `json:"stretch"`
	SlackUS  int64          `json:"slack_us"`
	Spec     string         `json:"spec"`
	Steps    []stepRow      `json:"steps"`
	Failures map[string]int `json:"failures,omitempty"`
	// FailedRuns are the run numbers up to which the failed runs are counted.
	FailedRuns map[string]uint64 `json:"failed_runs,omitempty"`
	Crashes    map[string]int    `json:"crashes,omitempty"`
	// RefutedCrashes are how many of the crashes have turned out not to be any.
	RefutedCrashes map[string]int `json:"refuted_crashes,omitempty"`
}

func encodeJob(j *job) ([]byte, error) {
	r := j.route
	row := jobRow{
		State: j.state, Host: r.Host(), Prefix: r.Prefix(), Service: r.Service(), Priority: r.Priority(),
		Attempts: r.Attempts(), Stretch: r.Stretch(), SlackUS: r.Slack().Microseconds(), Spec: j.workload.Spec(), Failures: j.failures, FailedRuns: j.failedRuns, Crashes: j.crashes,
		RefutedCrashes: j.refuted,
	}
	for i, s := range j.workload.Steps() {
		step := stepRow{
			Count: s.Count(), CPU: s.Demand().CPU(), Memory: s.Demand().Memory(), GPU: s.Demand().GPU(),
			EstimateUS: s.Estimate().Microseconds(), After: s.After(), Label: s.Label(), Rack: s.Rack(), MaxPerTarget: s.MaxPerTarget(),
		}
		for index, done := range j.done[i] {
			if done {
				step.Done = append(step.Done, index)
			}
		}
		row.Steps = append(row.Steps, step)
	}
	return json.Marshal(row)
}

const (
	// maxRowBytes is the largest value of a row that the platform's store takes.
	maxRowBytes = 64 << 10
	// doneBytes is the size in a row of a task that is done.
	doneBytes = 5
)

// FitsRow reports whether the row of a job fits into the store, with all its tasks done. The
// store refuses a transaction with a larger one, and with it all other jobs of the shard.
func FitsRow(r filbertford.Route, w filbertford.Workload) bool {
	value, err := encodeJob(newJob(r, w))
	if err != nil {
		return false
	}
	size := len(value)
	for _, s := range w.Steps() {
		size += s.Count() * doneBytes
	}
	return size <= maxRowBytes
}

func decodeJob(key filbertford.JobKey, value []byte) (*job, error) {
	var row jobRow
	if err := json.Unmarshal(value, &row); err != nil {
		return nil, eris.Errorf("decoding a stored job: %.200s", err)
	}
	if row.State != StateQueued && row.State != StateRunning && !row.State.final() {
		return nil, eris.Errorf("stored job has unknown state %.40q", row.State)
	}
	steps := make([]filbertford.Step, len(row.Steps))
	for i, s := range row.Steps {
		steps[i] = filbertford.NewStep(s.Count, filbertford.NewResources(s.CPU, s.Memory, s.GPU), microseconds(s.EstimateUS)).
			WithAfter(s.After...).WithPlacement(s.Label, s.Rack, s.MaxPerTarget)
	}
	w := filbertford.NewWorkload(key, row.Spec, steps...)
	if err := w.Validate(); err != nil {
		return nil, eris.Wrap(err, "validating a stored job")
	}
	route := filbertford.NewRoute(row.Host, row.Prefix, row.Service).WithPolicy(row.Priority, row.Attempts).
		WithObjective(row.Stretch, microseconds(row.SlackUS), 0)
	j := newJob(route, w)
	j.state = row.State
	for name, n := range row.Failures {
		j.failures[name] = max(0, n)
	}
	for name, number := range row.FailedRuns {
		if number <= maxRunNumber {
			j.failedRuns[name] = number
		}
	}
	for name, n := range row.Crashes {
		j.crashes[name] = max(0, n)
	}
	for name, n := range row.RefutedCrashes {
		j.refuted[name] = max(0, n)
	}
	for i, s := range row.Steps {
		for _, index := range s.Done {
			if index < 0 || index >= len(j.done[i]) {
				return nil, eris.Errorf("stored job has no task %d in step %d", index, i)
			}
			j.done[i][index] = true
		}
	}
	return j, nil
}

// microseconds returns n microseconds, or the longest duration if that is shorter.
func microseconds(n int64) time.Duration {
	const longest = math.MaxInt64 / int64(time.Microsecond)
	return time.Duration(min(max(n, -longest), longest)) * time.Microsecond
}
