package fbsched

import (
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// faultKind is a kind of disturbance in a randomised run.
type faultKind string

// fault is a planned disturbance. What it doesn't state is derived from its seed.
type fault struct {
	kind     faultKind
	at       time.Duration
	duration time.Duration
	seed     uint64
	random   *rand.Rand
}

// between returns a time between two numbers of milliseconds.
func between(r *rand.Rand, low, high int) time.Duration {
	return time.Duration(low+r.IntN(high-low+1)) * time.Millisecond
}

// detect returns the time until the fleet notices the loss of a daemon.
func (f fault) detect() time.Duration { return between(f.random, 300, 700) }

// learn returns the time until an owner learns that it is replaced.
func (f fault) learn() time.Duration { return between(f.random, 0, 200) }

// plannedJob is a job that a caller submits.
type plannedJob struct {
	at      time.Duration
	tasks   int
	work    time.Duration
	timeout time.Duration
	deadly  bool // the first task crashes its targets
}

// overlapPlan is a randomised run.
type overlapPlan struct {
	seed                     uint64
	pools, targets, slots    int
	latePercent, slowPercent int // of the calls
	resetPercent             int // of the late calls, whose owner learns at once that they are lost
	earliestLate             time.Duration
	maxDelay                 time.Duration
	drift                    int // of the targets' clocks, at most, in thousandths
	stopTime                 time.Duration
	maxWork                  time.Duration
	jobs                     []plannedJob
	faults                   []fault
	scenario                 scenario
	prepare                  func(*overlapRun)          // before the run, nil for nothing
	finish                   func(*overlapRun) []string // returns further broken rules after it
}

// scenario is what a plan may contain.
type scenario struct {
	kinds []faultKind
	// keepLateCalls lets late calls reach a target that has started again under its ID.
	keepLateCalls bool
	// resend lets callers that got no definite answer send their jobs again.
	resend bool
	// resendAtOnce lets callers whose connection breaks send their jobs again within milliseconds.
	resendAtOnce bool
	pools        int
	// peer adds a second coordinator, for jobs that are withdrawn and offered again.
	peer bool
	// unguarded targets start runs beyond their capacity.
	unguarded bool
	// stored jobs are kept by their coordinator's successor. Some of their tasks are deadly.
	stored bool
	// recalls lets the coordinator recall waiting tasks at random.
	recalls bool
	// long spreads the jobs over a time in which a target's capacity may have shrunk for long.
	long bool
	// lateClocks lets targets read their clock later than the runs that they list.
	lateClocks bool
	// crowded plans have more jobs, whose tasks are short in half of the plans.
	crowded bool
}

// drawPlan draws a plan.
func drawPlan(rt *rapid.T, s scenario) overlapPlan {
	seed := rapid.Uint64().Draw(rt, "seed")
	random := rand.New(rand.NewPCG(seed, 0))
	p := overlapPlan{
		seed: seed, scenario: s, pools: max(1, s.pools),
		targets: 1 + random.IntN(6), slots: 1 + random.IntN(3),
		latePercent: random.IntN(51), slowPercent: random.IntN(51), resetPercent: random.IntN(101),
		earliestLate: []time.Duration{2 * time.Second, 20 * time.Millisecond}[random.IntN(2)],
		maxDelay:     between(random, 2, 600), drift: random.IntN(21), stopTime: between(random, 0, 200),
		maxWork: between(random, 20, 2000),
	}
	if rapid.IntRange(0, 3).Draw(rt, "calm calls") == 0 {
		p.latePercent, p.slowPercent = 0, 0
	}
	p.targets = max(p.targets, p.pools)
	lastJob := 6000
	if s.long {
		lastJob = 15_000
	}
	crisis := between(random, 500, 5500) // when most faults begin
	jobs := rapid.IntRange(1, 12).Draw(rt, "jobs")
	if s.long || s.crowded {
		jobs *= 3
	}
	if s.crowded && random.IntN(2) == 0 {
		p.maxWork = between(random, 20, 100)
	}
	for range jobs {
		p.jobs = append(p.jobs, plannedJob{
			at: between(random, 0, lastJob), tasks: 1 + random.IntN(6), work: between(random, 20, int(p.maxWork.Milliseconds())), timeout: between(random, 500, 8000),
			deadly: s.stored && random.IntN(4) == 0,
		})
	}
	faults := 0
	if len(s.kinds) > 0 {
		faults = rapid.IntRange(0, 16).Draw(rt, "faults")
	}
	for range faults {
		f := fault{kind: rapid.SampledFrom(s.kinds).Draw(rt, "kind"), seed: rapid.Uint64().Draw(rt, "fault seed")}
		f.random = rand.New(rand.NewPCG(f.seed, 2))
		f.at, f.duration = between(f.random, 0, 7000), between(f.random, 100, 3000)
		if f.random.IntN(3) > 0 {
			f.at = crisis + between(f.random, 0, 1500)
		}
		p.faults = append(p.faults, f)
	}
	return p
}

// playScenarios plays randomised runs of each scenario.
func playScenarios(t *testing.T, tests map[string]scenario) {
	t.Helper()
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			counts := make(map[string]int)
			rapid.Check(t, func(rt *rapid.T) {
				p := drawPlan(rt, tt)
				if violations := p.run(counts, nil); len(violations) > 0 {
					p.run(make(map[string]int), func(format string, args ...any) { rt.Logf(format, args...) })
					rt.Fatal(violations)
				}
			})
			for _, what := range slices.Sorted(maps.Keys(counts)) {
				t.Logf("%8d %s", counts[what], what)
			}
			for _, kind := range tt.kinds {
				if counts[string(kind)] == 0 && !t.Failed() {
					t.Errorf("never happened: %s", kind)
				}
			}
		})
	}
}
