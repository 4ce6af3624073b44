package fbpolicy

import (
	"math"
	"math/bits"
	"time"

	"github.com/filbertford/filbertford"
)

// Parameters of the run time estimates. Logarithms are natural.
const (
	// initialRunTime is the expected run time of a task before the first
	// observation.
	initialRunTime = 100 * time.Millisecond
	// minClassGain is the minimum weight of a new run time in the estimate for its
	// size class.
	minClassGain = 0.02
	// minTargetGain is the minimum weight of a new run time in the estimate for its
	// target.
	minTargetGain = 0.05
	// speedPrior is the weight, in run times, of the prior that a target is as fast
	// as the others.
	speedPrior = 2
	// maxResidual bounds the logarithm of a run time over the expected one, so that
	// a single wrong declared size has little effect.
	maxResidual = 2.0
	// speedDecayTime is the time constant with which the estimated speed of a target
	// that runs no tasks returns to that of the others.
	speedDecayTime = 60 * time.Second
	// numSizeClasses is the number of classes of declared sizes. Each class covers
	// a power of two of milliseconds; class 0 holds tasks without a declared size.
	numSizeClasses = 24
)

// sizeClass holds the run time estimate for tasks of similar declared size: the
// mean logarithm of the actual run time over the declared one, or of the run time
// in seconds for tasks that declare none. The factor is its exponential.
type sizeClass struct {
	meanLog float64
	samples float64
	factor  float64
}

// targetStats holds the estimates for one service's tasks at one target. The
// factor is the run time over that on a target of average speed, and logFactor
// its logarithm. The failure rate is valid if rated is set.
type targetStats struct {
	target      *targetState
	logFactor   float64
	samples     float64
	factor      float64
	updated     time.Time
	failureRate float64
	rated       bool
}

// serviceStats holds the estimates for one service. byIndex caches the statistics
// of the targets by their index among the candidates. full is set while the last
// search found no available target.
type serviceStats struct {
	targets       map[filbertford.TargetID]*targetStats
	byIndex       []*targetStats
	classes       [numSizeClasses]sizeClass
	meanRunTime   time.Duration
	messageWeight float64

	failureRateSum float64
	ratedTargets   int
	waitingSince   time.Time

	full             bool
	fullAt           time.Time
	fullObservations uint64
}

func newServiceStats() *serviceStats {
	s := &serviceStats{targets: make(map[filbertford.TargetID]*targetStats), meanRunTime: initialRunTime}
	for i := range s.classes {
		s.classes[i].factor = 1
	}
	s.classes[0].meanLog = math.Log(initialRunTime.Seconds())
	s.classes[0].factor = initialRunTime.Seconds()
	return s
}

// classOf returns the class of a declared size.
func classOf(size time.Duration) int {
	if size <= 0 {
		return 0
	}
	return min(1+bits.Len64(uint64(size/time.Millisecond)), numSizeClasses-1)
}

// expectedRunTime returns the expected run time on a target of average speed.
func (s *serviceStats) expectedRunTime(size time.Duration) time.Duration {
	c := &s.classes[classOf(size)]
	if size <= 0 {
		return time.Duration(c.factor * float64(time.Second))
	}
	return time.Duration(c.factor * float64(size))
}

// statsFor returns the statistics of the target and creates them if needed.
func (s *serviceStats) statsFor(t *targetState) *targetStats {
	ts, ok := s.targets[t.id]
	if !ok {
		ts = &targetStats{target: t, factor: 1}
		s.targets[t.id] = ts
	}
	return ts
}

func (s *serviceStats) remove(id filbertford.TargetID) {
	ts, ok := s.targets[id]
	if !ok {
		return
	}
	s.removeFailureRate(ts)
	delete(s.targets, id)
	s.byIndex = s.byIndex[:0]
}

// recordRunTime updates the estimates with the actual run time of a task. The
// residual, the logarithm of the actual over the expected run time, corrects both
// the size class and the target (least mean squares with bounded steps).
func (s *serviceStats) recordRunTime(now time.Time, ts *targetStats, size, runTime time.Duration) {
	runTime = max(runTime, time.Microsecond)
	s.meanRunTime += time.Duration(minClassGain * float64(runTime-s.meanRunTime))
	expected := max(s.expectedRunTime(size), time.Microsecond)
	residual := math.Log(float64(runTime)/float64(expected)) - ts.logFactor
	residual = min(max(residual, -maxResidual), maxResidual)
	s.classes[classOf(size)].update(residual)
	ts.samples = min(ts.samples+1, 1/minTargetGain-speedPrior)
	ts.logFactor += residual / (ts.samples + speedPrior)
	ts.factor = math.Exp(ts.logFactor)
	ts.updated = now
}

// recordMinRunTime updates the estimates with the run time of a task that was
// stopped, which is only a lower bound: it counts if it exceeds the expected one.
func (s *serviceStats) recordMinRunTime(now time.Time, ts *targetStats, size, runTime time.Duration) {
	if float64(runTime) > float64(s.expectedRunTime(size))*ts.factor {
		s.recordRunTime(now, ts, size, runTime)
	}
}

func (c *sizeClass) update(residual float64) {
	c.samples = min(c.samples+1, 1/minClassGain-1)
	c.meanLog += residual / (c.samples + 1)
	c.factor = math.Exp(c.meanLog)
}

// decaySpeeds moves the estimated speeds of targets without recent run times
// towards the average.
func (s *serviceStats) decaySpeeds(now time.Time, elapsed time.Duration) {
	decay := math.Exp(-float64(elapsed) / float64(speedDecayTime))
	for _, ts := range s.targets {
		if now.Sub(ts.updated) < speedDecayTime/10 {
			continue
		}
		ts.logFactor *= decay
		ts.samples *= decay
		ts.factor = math.Exp(ts.logFactor)
	}
}
