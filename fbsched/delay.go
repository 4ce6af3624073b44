package fbsched

import (
	"math"
	"time"

	"github.com/filbertford/filbertford"
)

const (
	// delayWeight is the weight of one run in the delay that the owner adds to runs.
	delayWeight = 0.05
	// delayHalfLife is the time in which the delay decays by half without runs. An owner
	// whose jobs are all rejected because of its delay must get jobs again.
	delayHalfLife = 100 * time.Millisecond
)

// ownerDelay is the time that passes between the start and the end of a run beyond the time
// that the target takes for it: calls on their way, and replies that wait until the owner
// handles them. It grows when the owner is short of processor time.
type ownerDelay struct {
	value time.Duration
	at    time.Duration
}

// observe records the delay of a run.
func (d *ownerDelay) observe(now, delay time.Duration) {
	d.value += time.Duration(delayWeight * float64(delay-d.value))
	d.at = now
}

// estimate returns the delay that the next run is expected to have.
func (d *ownerDelay) estimate(now time.Duration) time.Duration {
	return time.Duration(float64(d.value) * math.Exp2(-float64(now-d.at)/float64(delayHalfLife)))
}

// runTime returns how long a run took whose end the target listed at the given time of its
// clock. With admission by objective, the target's clock counts from the start to the list:
// a target holds polls until a run ends. The rest is the owner's delay. Otherwise all the
// time until the end is handled counts.
func (p *Pool) runTime(now time.Duration, r *run, listedClock int64) time.Duration {
	elapsed := now - r.startedAt
	if p.scheduling.Admission() != filbertford.AdmitByObjective || r.startClock == 0 || listedClock <= r.startClock {
		return elapsed
	}
	onTarget := min(elapsed, time.Duration(listedClock-r.startClock)*time.Millisecond)
	p.delay.observe(now, elapsed-onTarget)
	return onTarget
}
