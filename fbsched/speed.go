package fbsched

import (
	"time"
)

// Weights of the estimates of speed.
const (
	// kindWeight is the weight of one run in the estimate for a kind of target.
	kindWeight = 0.03
	// targetWeight is the weight of one run in the estimate for a target.
	targetWeight = 0.25
	// slowFactor is how many times slower than its kind a target must be to be
	// used only when nothing else is free. Estimates of callers scatter by less.
	slowFactor = 2.5
	// slowdownHalfLife is the time in which half of what is known of a slow target is
	// forgotten.
	slowdownHalfLife = 3 * time.Second
)

// speeds keeps how long runs take against their estimates, by kind of target.
type speeds struct {
	kinds map[string]float64
}

func newSpeeds() *speeds { return &speeds{kinds: make(map[string]float64)} }

// kind returns the factor by which runs on targets of the kind take longer than
// estimated.
func (s *speeds) kind(kind string) float64 {
	if f, ok := s.kinds[kind]; ok {
		return f
	}
	return 1
}

// observe takes in a run that took the factor of its estimate.
func (s *speeds) observe(kind string, factor float64) {
	old, ok := s.kinds[kind]
	if !ok {
		s.kinds[kind] = factor
		return
	}
	s.kinds[kind] = old + kindWeight*(factor-old)
}

// factorOf returns the factor by which a run on the target takes longer than
// estimated. A target that is not known to be slow has the factor of its kind.
func (p *Pool) factorOf(t *target) float64 {
	kind := p.speeds.kind(t.rec.MachineKind())
	if t.health.slowdown > slowFactor {
		return kind * t.health.slowdown
	}
	return kind
}
