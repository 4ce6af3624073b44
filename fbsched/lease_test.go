package fbsched

import (
	"testing"
	"time"

	"github.com/filbertford/filbertford"
)

// TestInheritedRunOutlivesLatePolls checks a new owner whose first polls of a target are
// answered late. The runs that it finds there hold a lease of the earlier owner, so that it
// must not start their tasks again while that may last, although it has sent no lease.
func TestInheritedRunOutlivesLatePolls(t *testing.T) {
	sim := newSimulation(2, 1)
	sim.taskDuration = 700 * time.Millisecond
	a := sim.addOwner("a", 1)
	sim.advance(30 * time.Millisecond)
	sim.announceOwner(a)
	sim.submit(1, "00000000000000aa", 1)
	sim.advance(50 * time.Millisecond)
	a.stopped = true
	sim.announceOwner(nil)
	replyDelay := 100 * time.Millisecond // later than the timeout of a call, but within that of a poll
	sim.delivery = func() delivery { return delivery{requestDelay: time.Millisecond, replyDelay: replyDelay} }
	b := sim.addOwner("b", 2)
	sim.advance(50 * time.Millisecond) // the first poll is replaced
	replyDelay = 5 * time.Second       // its reply comes, that of the next one doesn't
	sim.announceOwner(b)
	sim.advance(300 * time.Millisecond)
	replyDelay = time.Millisecond
	sim.advance(2 * time.Second)
	if len(sim.violations) > 0 {
		t.Error(sim.violations)
	}
	if got := sim.answers[1]; got != filbertford.AnswerCompleted || sim.starts != 1 {
		t.Errorf("answer is %q after %d starts, want completed after 1", got, sim.starts)
	}
}

// TestStartAtUnnoticedInstanceOutlivesEarlierClock checks a start that is carried out by a target that
// has just started again, all of whose replies are lost: by its clock, the lease ends later than
// by that of the earlier instance.
func TestStartAtUnnoticedInstanceOutlivesEarlierClock(t *testing.T) {
	sim := newSimulation(2, 1)
	sim.taskDuration = 5 * time.Second
	o := sim.addOwner("a", 1)
	sim.advance(30 * time.Millisecond)
	sim.announceOwner(o)
	sim.targets["t00"].restart("t00", 1000)
	repliesLost := true
	sim.linkDown = func(_ *fakeOwner, address string) (request, reply bool) {
		return false, repliesLost && address == sim.targets["t00"].rec.Address()
	}
	sim.submit(1, "00000000000000aa", 1)
	sim.advance(900 * time.Millisecond)
	if len(sim.violations) > 0 {
		t.Error(sim.violations)
	}
	repliesLost = false
	sim.advance(2 * time.Second)
	if len(sim.violations) > 0 {
		t.Error(sim.violations)
	}
}
