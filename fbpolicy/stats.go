package fbpolicy

import (
	"math"
	"math/bits"
	"time"

	"github.com/filbertford/filbertford"
)

// Parameters of the learning of run times. Logarithms are natural.
const (
	// initialRunTime is the expected run time of a task before anything is known.
	initialRunTime = 100 * time.Millisecond
	// minClassGain is the least weight of a new run time for its size class.
	minClassGain = 0.02
	// minTargetGain is the least weight of a new run time for its target.
	minTargetGain = 0.05
	// speedPrior is the weight, in run times, of the belief that a target is as
	// fast as the others.
	speedPrior = 2
	// maxResidual bounds the logarithm of a run time over the expected one,
	// so that a single wrong declaration can't do much.
	maxResidual = 2.0
	// speedDecayTime is the time constant with which the speed of a target that
	// isn't used returns to that of the others.
	speedDecayTime = 60 * time.Second
	// numSizeClasses is the number of classes of declared sizes, a power of two
	// of milliseconds each; class 0 holds tasks without a declared size.
	numSizeClasses = 24
)

// sizeClass is what is known of the tasks of similar declared size: the mean
// logarithm of the true run time over the declared one, or of the run time in
// seconds for tasks that declare none.
type sizeClass struct {
	meanLog float64
	samples float64
	factor  float64
}

// targetStats is what is known of a target's run times for one service.
type targetStats struct {
	target      *targetState
	logFactor   float64
	samples     float64
	factor      float64
	updated     time.Time
	failureRate float64
	rated       bool
}

// serviceStats is what is known of one service.
type serviceStats struct {
	targets       map[filbertford.TargetID]*targetStats
	byIndex       []*targetStats
	classes       [numSizeClasses]sizeClass
	meanRunTime   time.Duration
	trip          time.Duration
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

// expectedRunTime returns the expected run time on a target of middling speed.
func (s *serviceStats) expectedRunTime(size time.Duration) time.Duration {
	c := &s.classes[classOf(size)]
	if size <= 0 {
		return time.Duration(c.factor * float64(time.Second))
	}
	return time.Duration(c.factor * float64(size))
}

// statsFor returns what is known of the target.
func (s *serviceStats) statsFor(t *targetState) *targetStats {
	ts, ok := s.targets[t.id]
	if !ok {
		ts = &targetStats{target: t, factor: 1}
		s.targets[t.id] = ts
	}
	return ts
}

func (s *serviceStats) forget(id filbertford.TargetID) {
	ts, ok := s.targets[id]
	if !ok {
		return
	}
	s.removeFailureRate(ts)
	delete(s.targets, id)
	s.byIndex = s.byIndex[:0]
}

// recordRunTime takes in the true run time of a task. Both the size class and the
// target take a part of the surprise (least mean squares on the logarithm,
// with bounded steps).
func (s *serviceStats) recordRunTime(now time.Time, ts *targetStats, size, ran time.Duration) {
	ran = max(ran, time.Microsecond)
	s.meanRunTime += time.Duration(minClassGain * float64(ran-s.meanRunTime))
	expected := max(s.expectedRunTime(size), time.Microsecond)
	residual := math.Log(float64(ran)/float64(expected)) - ts.logFactor
	residual = min(max(residual, -maxResidual), maxResidual)
	s.classes[classOf(size)].update(residual)
	ts.samples = min(ts.samples+1, 1/minTargetGain-speedPrior)
	ts.logFactor += residual / (ts.samples + speedPrior)
	ts.factor = math.Exp(ts.logFactor)
	ts.updated = now
}

// recordMinRunTime takes in that a task had not ended after the given time.
func (s *serviceStats) recordMinRunTime(now time.Time, ts *targetStats, size, ran time.Duration) {
	if float64(ran) > float64(s.expectedRunTime(size))*ts.factor {
		s.recordRunTime(now, ts, size, ran)
	}
}

func (c *sizeClass) update(residual float64) {
	c.samples = min(c.samples+1, 1/minClassGain-1)
	c.meanLog += residual / (c.samples + 1)
	c.factor = math.Exp(c.meanLog)
}

// decaySpeeds lets the speeds of targets that are not used return to the mean.
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
