package fbnode

import "testing"

// TestFleetRunsNoTaskTwiceOnPastSeeds plays seeds on which tasks had two runs, by their cause.
func TestFleetRunsNoTaskTwiceOnPastSeeds(t *testing.T) {
	tests := map[string]struct {
		newSim func(seed uint64, trace bool) *fleetSim
		only   string
		seed   uint64
	}{
		"successive owners keep runs of a lost coordinator":        {newResetSim, "", 310376},
		"successive owners keep runs while all daemons are killed": {newFleetSim, "kill-all", 320054},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			defer func(only string) { *fleetOnly = only }(*fleetOnly)
			*fleetOnly = tt.only
			play := func(trace bool) *fleetSim {
				s := tt.newSim(tt.seed, trace)
				s.advance(simRuntime)
				return s
			}
			reportViolations(t, tt.seed, play(false), play)
		})
	}
}
