package fbsched

import (
	"testing"
	"time"

	"github.com/filbertford/filbertford"
)

// TestResumedOwnerStartsNothing pauses an owner until its successor, which can't reach t01,
// has started the task again. The owner resumes 100 ms before it learns of its successor.
func TestResumedOwnerStartsNothing(t *testing.T) {
	sim := newSimulation(2, 1)
	sim.taskDuration = time.Second
	a := sim.addOwner("a", 1)
	sim.advance(30 * time.Millisecond)
	sim.announceOwner(a)
	sim.submit(1, "00000000000000aa", 1)
	sim.advance(30 * time.Millisecond)
	a.paused = true
	sim.targets["t00"].restart("t00-1", 2)
	sim.linkDown = func(o *fakeOwner, address string) (request, reply bool) {
		return o != a && address == "t01:80", false
	}
	sim.advance(500 * time.Millisecond)
	sim.announceOwner(nil)
	b := sim.addOwner("b", 2)
	sim.announceOwner(b)
	sim.advance(earlierRunTimeout + 200*time.Millisecond)
	if sim.starts != 2 {
		t.Fatalf("%d starts before the owner resumes, want 2", sim.starts)
	}
	sim.resume(a)
	sim.advance(100 * time.Millisecond)
	a.stopped = true
	sim.advance(time.Second)
	if len(sim.violations) > 0 {
		t.Error(sim.violations)
	}
	if got := sim.answers[1]; got != filbertford.AnswerCompleted {
		t.Errorf("answer is %q, want completed", got)
	}
}
