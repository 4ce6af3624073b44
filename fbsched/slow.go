package fbsched

import (
	"time"
)

// Parameters of the detection of slow targets.
const (
	// minSlowBackoff and maxSlowBackoff bound the time in which a slow target gets no
	// tasks. It doubles with each further slow run.
	minSlowBackoff = 500 * time.Millisecond
	maxSlowBackoff = 4 * time.Second
	// medianStep is the change of the median of run time ratios with each run, as a share
	// of its value.
	medianStep = 0.02
)

// slowness is what the last runs on a target say about its speed. A target on which a run
// took far longer than usual gets one task at a time. From the second such run in a row, it
// gets none for a while, and then one as a probe.
type slowness struct {
	slowRuns int // in a row
	until    time.Duration
}

// accepts reports whether a target with the given number of runs may get another task.
func (s *slowness) accepts(now time.Duration, running int) bool {
	return s.slowRuns == 0 || now >= s.until && running == 0
}

// observe records a run that was slow or not, and reports whether the target is put aside.
func (s *slowness) observe(now time.Duration, slow bool) bool {
	if !slow {
		*s = slowness{}
		return false
	}
	if now < s.until {
		return false // the run was started before the target was put aside
	}
	if s.slowRuns++; s.slowRuns == 1 {
		return false
	}
	backoff := min(minSlowBackoff<<min(s.slowRuns-2, 10), maxSlowBackoff)
	s.until = now + backoff
	return true
}

// median follows the median of a series of positive values.
type median struct {
	value float64
}

func (m *median) observe(v float64) {
	switch {
	case m.value == 0:
		m.value = v
	case v > m.value:
		m.value *= 1 + medianStep
	case v < m.value:
		m.value /= 1 + medianStep
	}
}

// observeSpeed records how a run compares with the expected run time on targets of its
// machine kind. The comparison is with the pool's median, because an owner that is short of
// processor time sees all runs end late.
func (p *Pool) observeSpeed(now time.Duration, t *target, r *run, ratio float64) {
	if !p.putsSlowAside() {
		return
	}
	slow := ratio > slowFactor*max(1, p.runTimeRatios.value)
	p.runTimeRatios.observe(ratio)
	if t.health.slowness.observe(now, slow) {
		p.emitEvent(Event{
			Kind: EventTargetSlow, Target: t.id(), Task: r.key, Run: r.number, Age: t.health.slowness.until - now,
			Reason: "runs take far longer than on other targets",
		})
		p.capacityChanged = true
	}
}
