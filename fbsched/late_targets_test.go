package fbsched

import (
	"testing"
	"time"
)

// TestLateTargetsAreSurveyed checks that an owner which learns of its targets long after it has
// claimed the pool lists them before it starts a task, as an owner that knows them at once does.
func TestLateTargetsAreSurveyed(t *testing.T) {
	sim := newSimulation(2, 2)
	o := &fakeOwner{node: "a", pool: NewPool(testPool, 1, 1_000_000, sim.now)}
	sim.advance(2 * surveyTimeout)
	o.pool.SetTargets(sim.now, sim.records())
	o.pool.Tick(sim.now, 1_000_000)
	if o.pool.surveyed {
		t.Error("the pool counts as surveyed before any target has been listed")
	}
	sim.advance(surveyTimeout + time.Millisecond)
	o.pool.Tick(sim.now, 1_000_000)
	if !o.pool.surveyed {
		t.Errorf("the pool doesn't count as surveyed %v after its first targets", surveyTimeout)
	}
	o.pool.SetTargets(sim.now, sim.records())
	if !o.pool.surveyed {
		t.Error("the next records begin the survey again")
	}
}
