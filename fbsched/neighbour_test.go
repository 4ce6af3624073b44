package fbsched

import (
	"fmt"
	"testing"
	"time"

	"github.com/filbertford/filbertford"
)

// TestAdoptedRunOutlivesUnclaimedOne checks that the runs that a new owner adopts go on while one
// beside them, which nobody claims, is stopped.
func TestAdoptedRunOutlivesUnclaimedOne(t *testing.T) {
	for _, left := range []time.Duration{100 * time.Millisecond, 300 * time.Millisecond, 600 * time.Millisecond} {
		t.Run(fmt.Sprint(left, " of the lease left"), func(t *testing.T) {
			sim := newSimulation(1, 4)
			sim.taskDuration = 2 * time.Second
			a := sim.addOwner("a", 1)
			sim.advance(30 * time.Millisecond)
			sim.announceOwner(a)
			target := sim.targets["t00"]
			target.stopTime = 50 * time.Millisecond
			sim.submit(1, "00000000000000aa", 1)
			sim.advance(100 * time.Millisecond)
			unclaimed := filbertford.NewTaskKey("00000000000000bb", 0, 0, 0)
			target.runs[unclaimed] = &fakeRun{number: 7, endsAt: sim.now + 2*time.Second, outcome: filbertford.RunDone}
			sim.started(unclaimed, target)
			a.stopped = true
			target.lease = target.clock() + left
			b := sim.addOwner("b", 2)
			sim.advance(30 * time.Millisecond)
			sim.announceOwner(b)
			sim.advance(time.Second)
			if target.runs[unclaimed] != nil {
				t.Error("the unclaimed run was not stopped")
			}
			sim.advance(2 * time.Second)
			if sim.starts != 2 || sim.answers[1] != filbertford.AnswerCompleted {
				t.Errorf("%d starts, answer %q, want 2 and completed", sim.starts, sim.answers[1])
			}
		})
	}
}
