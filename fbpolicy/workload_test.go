package fbpolicy_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/filbertford/filbertford"
	"github.com/filbertford/filbertford/fbbound"
)

// jobKind is a part of a mix: share of the jobs, numbers of tasks and run times
// (log-uniform between the bounds; one task in fifty runs for up to 4 s if long
// is set).
type jobKind struct {
	share      float64
	minTasks   int
	maxTasks   int
	minRunTime time.Duration
	maxRunTime time.Duration
	longTail   bool
}

// mixes are the job kinds of the two users.
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

// newTargets returns targets of 8 slots whose factors lie between a half and
// three.
func newTargets(n int, seed uint64) []*simTarget {
	rng := rand.New(rand.NewPCG(seed, 5))
	var out []*simTarget
	for i := range n {
		f := 0.5 * math.Pow(6, rng.Float64())
		out = append(out, &simTarget{id: filbertford.TargetID(fmt.Sprintf("t%d", i)), factor: f, slots: 8})
	}
	return out
}

// generateJobs returns the jobs of a mix that arrive until end (a Poisson process) and
// ask for the given share of the targets' capacity.
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

// declaredSize returns what a caller says of a task's run time: nothing for one in
// ten, ten times too much or too little for one in twenty, and mostly within a
// factor of two.
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
