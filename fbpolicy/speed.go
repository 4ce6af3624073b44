package fbpolicy

import (
	"math"
	"math/bits"
	"time"

	"github.com/filbertford/filbertford"
)

// Parameters of the learning of run times. Logarithms are natural.
const (
	// usualRun is the expected run time of a task before anything is known.
	usualRun = 100 * time.Millisecond
	// sizeGain is the least weight of a new run time for its size class.
	sizeGain = 0.02
	// speedGain is the least weight of a new run time for its target.
	speedGain = 0.05
	// speedPrior is the weight, in run times, of the belief that a target is as
	// fast as the others.
	speedPrior = 2
	// greatestSurprise bounds the logarithm of a run time over the expected one,
	// so that a single wrong declaration can't do much.
	greatestSurprise = 2.0
	// forgetSpeed is the time constant with which the speed of a target that
	// isn't used returns to that of the others.
	forgetSpeed = 60 * time.Second
	// sizeClasses is the number of classes of declared sizes, a power of two
	// of milliseconds each; class 0 holds tasks without a declared size.
	sizeClasses = 24
)

// sizeClass is what is known of the tasks of similar declared size: the mean
// logarithm of the true run time over the declared one, or of the run time in
// seconds for tasks that declare none.
type sizeClass struct {
	mean   float64
	seen   float64
	factor float64
}

// speed is what is known of a target's run times for one service.
type speed struct {
	target  *target
	offset  float64
	seen    float64
	factor  float64
	learned time.Time
	failing float64
	judged  bool
}

// service is what is known of one service.
type service struct {
	speeds  map[filbertford.TargetID]*speed
	byIndex []*speed
	classes [sizeClasses]sizeClass
	run     time.Duration
	trip    time.Duration
	weight  float64

	failing   float64
	judged    int
	waitSince time.Time

	full     bool
	fullAt   time.Time
	fullEnds uint64
}

func newService() *service {
	s := &service{speeds: make(map[filbertford.TargetID]*speed), run: usualRun}
	for i := range s.classes {
		s.classes[i].factor = 1
	}
	s.classes[0].mean = math.Log(usualRun.Seconds())
	s.classes[0].factor = usualRun.Seconds()
	return s
}

// classOf returns the class of a declared size.
func classOf(size time.Duration) int {
	if size <= 0 {
		return 0
	}
	return min(1+bits.Len64(uint64(size/time.Millisecond)), sizeClasses-1)
}

// expect returns the expected run time on a target of middling speed.
func (s *service) expect(size time.Duration) time.Duration {
	c := &s.classes[classOf(size)]
	if size <= 0 {
		return time.Duration(c.factor * float64(time.Second))
	}
	return time.Duration(c.factor * float64(size))
}

// speed returns what is known of the target.
func (s *service) speed(t *target) *speed {
	sp, ok := s.speeds[t.id]
	if !ok {
		sp = &speed{target: t, factor: 1}
		s.speeds[t.id] = sp
	}
	return sp
}

func (s *service) forget(id filbertford.TargetID) {
	sp, ok := s.speeds[id]
	if !ok {
		return
	}
	s.unjudge(sp)
	delete(s.speeds, id)
	s.byIndex = s.byIndex[:0]
}

// learn takes in the true run time of a task. Both the size class and the
// target take a part of the surprise (least mean squares on the logarithm,
// with bounded steps).
func (s *service) learn(now time.Time, sp *speed, size, ran time.Duration) {
	ran = max(ran, time.Microsecond)
	s.run += time.Duration(sizeGain * float64(ran-s.run))
	expected := max(s.expect(size), time.Microsecond)
	x := math.Log(float64(ran)/float64(expected)) - sp.offset
	x = min(max(x, -greatestSurprise), greatestSurprise)
	s.classes[classOf(size)].learn(x)
	sp.seen = min(sp.seen+1, 1/speedGain-speedPrior)
	sp.offset += x / (sp.seen + speedPrior)
	sp.factor = math.Exp(sp.offset)
	sp.learned = now
}

// learnAtLeast takes in that a task had not ended after the given time.
func (s *service) learnAtLeast(now time.Time, sp *speed, size, ran time.Duration) {
	if float64(ran) > float64(s.expect(size))*sp.factor {
		s.learn(now, sp, size, ran)
	}
}

func (c *sizeClass) learn(x float64) {
	c.seen = min(c.seen+1, 1/sizeGain-1)
	c.mean += x / (c.seen + 1)
	c.factor = math.Exp(c.mean)
}

// sweep lets the speeds of targets that are not used return to the mean.
func (s *service) sweep(now time.Time, past time.Duration) {
	keep := math.Exp(-float64(past) / float64(forgetSpeed))
	for _, sp := range s.speeds {
		if now.Sub(sp.learned) < forgetSpeed/10 {
			continue
		}
		sp.offset *= keep
		sp.seen *= keep
		sp.factor = math.Exp(sp.offset)
	}
}
