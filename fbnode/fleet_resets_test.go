package fbnode

import (
	"math/rand/v2"
	"testing"
	"time"
)

// resetCall calls reset within 8 ms, or the timeout, for two of five calls if connections to targets
// break. The target may carry the call out nevertheless.
func (s *fleetSim) resetCall(timeout time.Duration, reset func()) {
	if s.resets != nil && s.resets.IntN(5) < 2 {
		s.after(min(timeout, time.Duration(s.resets.Int64N(int64(8*time.Millisecond)))), reset)
	}
}

// TestFleetRunsNoTaskTwiceUnderResets plays whole fleets whose connections to targets break right
// after a call was sent, beside the other faults.
func TestFleetRunsNoTaskTwiceUnderResets(t *testing.T) {
	for seed := *fleetSeed; seed < *fleetSeed+*fleetSeeds; seed++ {
		play := func(trace bool) *fleetSim {
			s := newFleetSim(seed, trace)
			s.resets = rand.New(rand.NewPCG(seed, 9))
			s.advance(simRuntime)
			return s
		}
		reportViolations(t, seed, play(*fleetTrace), play)
	}
}
