package fbload

import (
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// Kind describes a job kind of a mix.
type Kind struct {
	name       string
	share      float64
	minTasks   int
	maxTasks   int
	minRunTime time.Duration
	maxRunTime time.Duration
	slowShare  float64
	timeout    time.Duration
	idempotent bool
}

// Name returns the job kind's name in the settings tree.
func (k Kind) Name() string { return k.name }

// Timeout returns the timeout of the kind's jobs.
func (k Kind) Timeout() time.Duration { return k.timeout }

// Idempotent reports whether the kind's jobs are marked as idempotent.
func (k Kind) Idempotent() bool { return k.idempotent }

// Mix is the mixture of job kinds that a team submits. Most tasks take 50 ms to
// 1 s and a few take several seconds.
type Mix struct {
	name    string
	team    string
	service string
	kinds   []Kind
}

// Name returns the mix's name.
func (m Mix) Name() string { return m.name }

// Team returns the team that submits the jobs.
func (m Mix) Team() string { return m.team }

// Service returns the service that runs the jobs.
func (m Mix) Service() string { return m.service }

// Kinds returns the job kinds. The caller must not change them.
func (m Mix) Kinds() []Kind { return m.kinds }

// Parameters of random run times and declared sizes.
const (
	// minSlowRunTime and maxSlowRunTime bound the run times of the few slow tasks.
	minSlowRunTime = 2 * time.Second
	maxSlowRunTime = 5 * time.Second
	// declaredLogStdDev is the standard deviation of the logarithm of the ratio
	// of the declared size to the true run time.
	declaredLogStdDev = 0.5
	// outlierShare is the share of declared sizes that are too large or too small
	// by outlierFactor.
	outlierShare  = 0.05
	outlierFactor = 10
)

var mixes = map[string]Mix{
	"depot": {
		name: "depot", team: "depot", service: "ordering",
		kinds: []Kind{
			{"stock-check", 0.60, 1, 6, 50 * time.Millisecond, 300 * time.Millisecond, 0, 5 * time.Second, true},
			{"pigment-match", 0.30, 4, 16, 100 * time.Millisecond, time.Second, 0.01, 20 * time.Second, true},
			{"label-print", 0.10, 1, 1, 50 * time.Millisecond, 150 * time.Millisecond, 0, 5 * time.Second, false},
		},
	},
	"atlas": {
		name: "atlas", team: "atlas", service: "orders",
		kinds: []Kind{
			{"menu-check", 0.50, 2, 10, 50 * time.Millisecond, 400 * time.Millisecond, 0, 5 * time.Second, true},
			{"event-quote", 0.35, 4, 20, 100 * time.Millisecond, time.Second, 0.01, 20 * time.Second, true},
			{"slot-confirm", 0.15, 1, 1, 50 * time.Millisecond, 200 * time.Millisecond, 0, 5 * time.Second, false},
		},
	},
}

// MixByName returns the mix with the name, and whether there is one.
func MixByName(name string) (Mix, bool) {
	m, ok := mixes[name]
	return m, ok
}

// MixNames returns the names of all mixes in alphabetical order.
func MixNames() []string { return slices.Sorted(maps.Keys(mixes)) }

// drawJob draws a job and returns the index of its kind and its tasks.
func (m Mix) drawJob(r *rand.Rand) (int, []Task) {
	x := r.Float64()
	kind := 0
	for x >= m.kinds[kind].share && kind < len(m.kinds)-1 {
		x -= m.kinds[kind].share
		kind++
	}
	k := m.kinds[kind]
	tasks := make([]Task, k.minTasks+r.IntN(k.maxTasks-k.minTasks+1))
	for i := range tasks {
		tasks[i] = k.drawTask(r)
	}
	return kind, tasks
}

func (k Kind) drawTask(r *rand.Rand) Task {
	run := logUniform(r, k.minRunTime, k.maxRunTime)
	if r.Float64() < k.slowShare {
		run = logUniform(r, minSlowRunTime, maxSlowRunTime)
	}
	run = run.Round(time.Millisecond)
	factor := math.Exp(declaredLogStdDev * r.NormFloat64())
	if r.Float64() < outlierShare {
		factor = outlierFactor
		if r.IntN(2) == 0 {
			factor = 1.0 / outlierFactor
		}
	}
	declared := time.Duration(float64(run) * factor).Round(time.Millisecond)
	return Task{run: run, declared: max(declared, time.Millisecond)}
}

// logUniform draws a duration from low to high whose logarithm is uniformly
// distributed.
func logUniform(r *rand.Rand, low, high time.Duration) time.Duration {
	return time.Duration(float64(low) * math.Exp(r.Float64()*math.Log(float64(high)/float64(low))))
}
