package fbsched

import (
	"time"
)

// Parameters of the speed estimates.
const (
	// kindWeight is the weight of one run in the estimate for a machine kind.
	kindWeight = 0.03
	// targetWeight is the weight of one run in the estimate for a target.
	targetWeight = 0.25
	// slowFactor is how many times slower than its machine kind a target must be to
	// be used only when no other target is free. Callers' estimates vary by less.
	slowFactor = 2.5
	// slowdownHalfLife is the time in which a target's slowdown estimate decays by
	// half.
	slowdownHalfLife = 3 * time.Second
)

// speeds holds the ratio of the duration of runs to their estimates, by machine
// kind.
type speeds struct {
	kinds map[string]float64
}

func newSpeeds() *speeds { return &speeds{kinds: make(map[string]float64)} }

// kind returns the factor by which runs on targets of the machine kind take longer
// than estimated, 1 if unknown.
func (s *speeds) kind(kind string) float64 {
	if f, ok := s.kinds[kind]; ok {
		return f
	}
	return 1
}

// observe records a run that took factor times its estimate.
func (s *speeds) observe(kind string, factor float64) {
	old, ok := s.kinds[kind]
	if !ok {
		s.kinds[kind] = factor
		return
	}
	s.kinds[kind] = old + kindWeight*(factor-old)
}

// factorOf returns the factor by which a run on the target takes longer than
// estimated. A target that is not known to be slow has the factor of its machine
// kind.
func (p *Pool) factorOf(t *target) float64 {
	kind := p.speeds.kind(t.rec.MachineKind())
	if t.health.slowdown > slowFactor {
		return kind * t.health.slowdown
	}
	return kind
}
