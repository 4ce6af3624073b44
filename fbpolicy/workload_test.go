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
	share    float64
	minTasks int
	maxTasks int
	shortest time.Duration
	longest  time.Duration
	long     bool
}

// mixes are the job kinds of the two users.
var mixes = map[string][]jobKind{
	"depot": {
		{share: 0.6, minTasks: 1, maxTasks: 4, shortest: 50 * time.Millisecond, longest: 150 * time.Millisecond},
		{share: 0.25, minTasks: 10, maxTasks: 60, shortest: 100 * time.Millisecond, longest: time.Second, long: true},
		{share: 0.15, minTasks: 1, maxTasks: 1, shortest: 50 * time.Millisecond, longest: 100 * time.Millisecond},
	},
	"atlas": {
		{share: 0.4, minTasks: 4, maxTasks: 12, shortest: 50 * time.Millisecond, longest: 300 * time.Millisecond},
		{share: 0.3, minTasks: 10, maxTasks: 40, shortest: 100 * time.Millisecond, longest: 800 * time.Millisecond, long: true},
		{share: 0.3, minTasks: 1, maxTasks: 1, shortest: 50 * time.Millisecond, longest: 150 * time.Millisecond},
	},
}

// unevenTargets returns targets of 8 slots whose factors lie between a half and
// three.
func unevenTargets(n int, seed uint64) []*rigTarget {
	rng := rand.New(rand.NewPCG(seed, 5))
	var out []*rigTarget
	for i := range n {
		f := 0.5 * math.Pow(6, rng.Float64())
		out = append(out, &rigTarget{id: filbertford.TargetID(fmt.Sprintf("t%d", i)), factor: f, slots: 8})
	}
	return out
}

// jobsOf returns the jobs of a mix that arrive until end (a Poisson process) and
// ask for the given share of the targets' capacity.
func jobsOf(mix string, targets []*rigTarget, load float64, seed uint64, end time.Duration) []*rigJob {
	rng := rand.New(rand.NewPCG(seed, 9))
	kinds := mixes[mix]
	work, n := 0.0, 2000
	for range n {
		work += boundJob(draw(rng, kinds)).Work().Seconds() / float64(n)
	}
	rate := load * fbbound.Capacity(rigService, boundTargets(targets)) / work
	var out []*rigJob
	for at := 0.0; ; {
		at += rng.ExpFloat64() / rate
		if at >= end.Seconds() {
			return out
		}
		j := draw(rng, kinds)
		j.id = fmt.Sprintf("job-%d", len(out))
		j.arrival = time.Duration(at * float64(time.Second))
		out = append(out, j)
	}
}

func draw(rng *rand.Rand, kinds []jobKind) *rigJob {
	x := rng.Float64()
	for _, k := range kinds {
		if x -= k.share; x < 0 {
			return k.draw(rng)
		}
	}
	return kinds[len(kinds)-1].draw(rng)
}

func (k jobKind) draw(rng *rand.Rand) *rigJob {
	j := &rigJob{}
	for range k.minTasks + rng.IntN(k.maxTasks-k.minTasks+1) {
		size := between(rng, k.shortest, k.longest)
		if k.long && rng.IntN(50) == 0 {
			size = between(rng, time.Second, 4*time.Second)
		}
		j.sizes = append(j.sizes, size)
		j.declared = append(j.declared, declare(rng, size))
	}
	return j
}

func between(rng *rand.Rand, low, high time.Duration) time.Duration {
	return time.Duration(float64(low) * math.Pow(float64(high)/float64(low), rng.Float64()))
}

// declare returns what a caller says of a task's run time: nothing for one in
// ten, ten times too much or too little for one in twenty, and mostly within a
// factor of two.
func declare(rng *rand.Rand, size time.Duration) time.Duration {
	switch x := rng.Float64(); {
	case x < 0.1:
		return 0
	case x < 0.125:
		return size * 10
	case x < 0.15:
		return size / 10
	default:
		return time.Duration(float64(size) * math.Exp(0.5*rng.NormFloat64()))
	}
}
