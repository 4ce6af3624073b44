package fbsched

import (
	"math/rand/v2"
	"testing"
	"time"
)

// faultReset breaks connections to targets after a call was sent: the owner learns at once that no
// reply comes, and the target may carry the call out nevertheless.
const faultReset faultKind = "connections to targets are reset"

// connectionFaults draws how connections behave in scenarios that ask for it.
type connectionFaults struct {
	random *rand.Rand
	resets int // faults in force
}

// breakConnection draws after how long the connection of a call breaks, 0 for never.
func (r *overlapRun) breakConnection() time.Duration {
	if r.connections.resets == 0 || r.connections.random.IntN(100) >= 40 {
		return 0
	}
	r.count("calls whose connection breaks")
	return time.Duration(1 + r.connections.random.Int64N(int64(8*time.Millisecond)))
}

// writeLate draws whether a target reads its clock some time after the runs that it lists.
func (r *overlapRun) writeLate() bool {
	late := r.plan.scenario.lateClocks && r.connections.random.IntN(3) == 0
	if late {
		r.count("lists older than the clock in their reply")
	}
	return late
}

// TestRunsDoNotOverlapUnderResets plays randomised runs in which connections break, so that several
// polls of a target are under way and their replies overtake each other.
func TestRunsDoNotOverlapUnderResets(t *testing.T) {
	playScenarios(t, map[string]scenario{
		"resets":                      {kinds: []faultKind{faultReset}, crowded: true},
		"clocks read after the runs":  {kinds: []faultKind{faultReset, faultCutReplies}, crowded: true, lateClocks: true},
		"late clocks, several owners": {kinds: append([]faultKind{faultReset, faultSameID, faultGiveUp}, ownerFaults...), crowded: true, lateClocks: true},
	})
}
