package fbpolicy_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/filbertford/filbertford"
	"github.com/filbertford/filbertford/fbbound"
)

// jobKind is a kind of job in a mix. Share is its share of the jobs. Run times
// are log-uniform between minRunTime and maxRunTime; if longTail is set, one task
// in fifty runs for 1 s to 4 s instead.
type jobKind struct {
	share      float64
	minTasks   int
	maxTasks   int
	minRunTime time.Duration
	maxRunTime time.Duration
	longTail   bool
}

// mixes holds the job kinds of the workloads of the two users.
var mixes = map[string][]jobKind{
	"depot": {
		{share: 0.6, minTasks: 1, maxTasks: 4, minRunTime: 50 * time.Millisecond, maxRunTime: 150 * time.Millisecond},
		{share: 0.25, minTasks: 10, maxTasks: 60, minRunTime: 100 * time.Millisecond, maxRunTime: time.Second, longTail: true},
		{share: 0.15, minTasks: 1, maxTasks: 1, minRunTime: 50 * time.Millisecond, maxRunTime: 100 * time.Millisecond},
	},
	"atlas": {
		{share: 0.4, minTasks: 4, maxTasks: 12, minRunTime: 50 * time.Millisecond, maxRunTime: 300 * time.Millisecond},
		{share: 0.3, minTasks: 10, maxTasks: 40, minRunTime: 100 * time.Millisecond, maxRunTime: 800 * time.Millisecond, longTail: true},
		{share: 0.3, minTasks: 1, maxTasks: 1, minRunTime: 50 * time.Millisecond, maxRunTime: 150 * time.Millisecond},
	},
}

// newTargets returns n targets of 8 slots with random factors between 0.5 and 3.
func newTargets(n int, seed uint64) []*simTarget {
	rng := rand.New(rand.NewPCG(seed, 5))
	var out []*simTarget
	for i := range n {
		f := 0.5 * math.Pow(6, rng.Float64())
		out = append(out, &simTarget{id: filbertford.TargetID(fmt.Sprintf("t%d", i)), factor: f, slots: 8})
	}
	return out
}

// generateJobs returns jobs of a mix that arrive until end as a Poisson process
// and take the given share of the targets' capacity.
func generateJobs(mix string, targets []*simTarget, load float64, seed uint64, end time.Duration) []*simJob {
	rng := rand.New(rand.NewPCG(seed, 9))
	kinds := mixes[mix]
	work, n := 0.0, 2000
	for range n {
		work += boundJob(drawJob(rng, kinds)).Work().Seconds() / float64(n)
	}
	rate := load * fbbound.Capacity(simService, boundTargets(targets)) / work
	var out []*simJob
	for at := 0.0; ; {
		at += rng.ExpFloat64() / rate
		if at >= end.Seconds() {
			return out
		}
		j := drawJob(rng, kinds)
		j.id = fmt.Sprintf("job-%d", len(out))
		j.arrival = time.Duration(at * float64(time.Second))
		out = append(out, j)
	}
}

func drawJob(rng *rand.Rand, kinds []jobKind) *simJob {
	x := rng.Float64()
	for _, k := range kinds {
		if x -= k.share; x < 0 {
			return k.draw(rng)
		}
	}
	return kinds[len(kinds)-1].draw(rng)
}

func (k jobKind) draw(rng *rand.Rand) *simJob {
	j := &simJob{}
	for range k.minTasks + rng.IntN(k.maxTasks-k.minTasks+1) {
		runTime := logUniform(rng, k.minRunTime, k.maxRunTime)
		if k.longTail && rng.IntN(50) == 0 {
			runTime = logUniform(rng, time.Second, 4*time.Second)
		}
		j.runTimes = append(j.runTimes, runTime)
		j.declared = append(j.declared, declaredSize(rng, runTime))
	}
	return j
}

func logUniform(rng *rand.Rand, low, high time.Duration) time.Duration {
	return time.Duration(float64(low) * math.Pow(float64(high)/float64(low), rng.Float64()))
}

// declaredSize returns the size that a caller declares for a task: none for one
// task in ten, ten times too much or too little for one in twenty, and mostly
// within a factor of two of the run time.
func declaredSize(rng *rand.Rand, runTime time.Duration) time.Duration {
	switch x := rng.Float64(); {
	case x < 0.1:
		return 0
	case x < 0.125:
		return runTime * 10
	case x < 0.15:
		return runTime / 10
	default:
		return time.Duration(float64(runTime) * math.Exp(0.5*rng.NormFloat64()))
	}
}
