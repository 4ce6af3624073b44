package fbsched

import (
	"testing"
	"time"

	"github.com/filbertford/filbertford"
)

// TestRunEndsWhileItsCoordinatorIsSilent checks that the lease of a run whose coordinator is
// lost ends before the coordinator's callers send their jobs again, although no stop gets
// through and the owner is suspended before or after it notices the loss.
func TestRunEndsWhileItsCoordinatorIsSilent(t *testing.T) {
	const never = time.Hour
	// The times count from the loss of the coordinator.
	tests := map[string]struct {
		pausesAt, resumesAt, noticesAt time.Duration
	}{
		"owner notices the loss":              {pausesAt: never, resumesAt: never, noticesAt: time.Second},
		"owner pauses after it notices":       {pausesAt: 1001 * time.Millisecond, resumesAt: never, noticesAt: time.Second},
		"owner pauses before it notices":      {pausesAt: 750 * time.Millisecond, resumesAt: never, noticesAt: never},
		"owner resumes before it notices":     {pausesAt: 100 * time.Millisecond, resumesAt: 600 * time.Millisecond, noticesAt: time.Second},
		"last messages arrive during a pause": {pausesAt: -150 * time.Millisecond, resumesAt: 650 * time.Millisecond, noticesAt: 1050 * time.Millisecond},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			sim := newSimulation(1, 2)
			sim.taskDuration = 6 * time.Second
			a := sim.addOwner("a", 1)
			sim.advance(100 * time.Millisecond)
			sim.announceOwner(a)
			sim.submit(1, "00000000000000aa", 1)
			sim.advance(time.Second)
			key := filbertford.NewTaskKey("00000000000000aa", 0, 0, 0)
			if sim.running[key] != 1 {
				t.Fatal("the task doesn't run")
			}
			lostAt := sim.now + 200*time.Millisecond
			at := func(d time.Duration, do func()) { sim.after(lostAt+d-sim.now, do) }
			at(0, func() { sim.coordinatorPaused = true })
			at(tt.pausesAt, func() { a.paused = true })
			at(tt.resumesAt, func() { sim.resume(a) })
			at(tt.noticesAt, func() {
				sim.linkDown = func(*fakeOwner, string) (request, reply bool) { return true, false }
				a.pool.CoordinatorUnreachable(sim.now, sim.node)
			})
			for sim.advance(200 * time.Millisecond); sim.running[key] > 0 && sim.now < lostAt+5*time.Second; {
				sim.advance(10 * time.Millisecond)
			}
			if d := sim.now - lostAt; d > resendDelay {
				t.Errorf("the run ends %v after its coordinator was lost, want %v at most", d, resendDelay)
			}
			if sim.running[key] > 0 {
				t.Error("the run doesn't end")
			}
		})
	}
}
