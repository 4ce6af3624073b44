package fbsched

import (
	"time"
)

// Parameters of the run time factors of machine kinds and targets.
const (
	// kindWeight is the weight of one run in the factor of its machine kind.
	kindWeight = 0.03
	// targetWeight is the weight of one run in the slowdown of its target.
	targetWeight = 0.25
	// slowFactor is how many times slower than its machine kind a target must be to
	// be used only when no other target is free. Callers' estimates vary by less.
	slowFactor = 2.5
	// slowdownHalfLife is the time in which a target's slowdown estimate decays by
	// half.
	slowdownHalfLife = 3 * time.Second
)

// kindFactors holds, by machine kind, the factor by which runs take longer than
// estimated.
type kindFactors struct {
	byKind map[string]float64
}

func newKindFactors() *kindFactors { return &kindFactors{byKind: make(map[string]float64)} }

// factor returns the factor by which runs on targets of the machine kind take longer
// than estimated, 1 if unknown.
func (s *kindFactors) factor(machineKind string) float64 {
	if f, ok := s.byKind[machineKind]; ok {
		return f
	}
	return 1
}

// observe records a run that took factor times its estimate.
func (s *kindFactors) observe(machineKind string, factor float64) {
	old, ok := s.byKind[machineKind]
	if !ok {
		s.byKind[machineKind] = factor
		return
	}
	s.byKind[machineKind] = old + kindWeight*(factor-old)
}

// factorOf returns the factor by which a run on the target takes longer than
// estimated. A target that is not known to be slow has the factor of its machine
// kind.
func (p *Pool) factorOf(t *target) float64 {
	kindFactor := p.kindFactors.factor(t.rec.MachineKind())
	if t.health.slowdown > slowFactor {
		return kindFactor * t.health.slowdown
	}
	return kindFactor
}
