package fbsched

import (
	"strings"
	"testing"
	"time"

	"github.com/filbertford/filbertford"
)

// TestReturnedJobWaitsForRunOfEarlierOwner guards against a job that comes again after its pool's owner
// was lost, and is started while the new owner can't reach the target that still runs the first attempt.
func TestReturnedJobWaitsForRunOfEarlierOwner(t *testing.T) {
	sim := newSimulation(2, 1)
	sim.taskDuration = 3 * time.Second
	first := sim.addOwner("n1", 1)
	sim.advance(50 * time.Millisecond)
	sim.announceOwner(first)
	sim.submit(1, "00000000000000aa", 1)
	sim.advance(100 * time.Millisecond)
	used := ""
	for id, target := range sim.targets {
		if target.running() > 0 {
			used = string(id)
		}
	}
	if used == "" {
		t.Fatal("no target runs the task")
	}
	first.stopped = true
	sim.linkDown = func(o *fakeOwner, address string) (request, reply bool) {
		cut := o.node == "n2" && strings.HasPrefix(address, used)
		return cut, cut
	}
	sim.announceOwner(nil)
	sim.coordinator.CancelRequest(sim.now, 1)
	sim.submit(2, "00000000000000aa", 1)
	sim.announceOwner(sim.addOwner("n2", 2))
	sim.advance(3 * time.Second)
	if len(sim.violations) > 0 || sim.starts != 2 {
		t.Errorf("%d starts, want 2; broken rules: %v", sim.starts, sim.violations)
	}
}

// TestReturnedJobIsNotRecalled guards against recalls of a job that comes again: its tasks may be running, so that
// its pool doesn't return them, and the job would wait for the answer.
func TestReturnedJobIsNotRecalled(t *testing.T) {
	c, now := NewCoordinator("home"), time.Minute
	c.SetScheduling(filbertford.Scheduling{}.WithAdmission(filbertford.AdmitByObjective))
	c.SetOwner(now, "home", "a", 1)
	c.SetCapacities("home", 1, freePool)
	step := filbertford.NewStep(1, filbertford.NewResources(1000, 1, 0), 200*time.Millisecond)
	route := filbertford.NewRoute("h", "/p/", "ordering").WithPolicy(0, 3).WithObjective(1.6, 60*time.Millisecond, 0)
	w := filbertford.NewWorkload("00000000000000aa", "", step).WithBestEffort(true)
	c.Submit(now, 1, route, w, 8*time.Second)
	c.CancelRequest(now, 1)
	c.Submit(now, 2, route, w, 8*time.Second)
	c.TakeActions()
	for end := now + lateFactor*route.Objective(200*time.Millisecond); now < end; now += 5 * time.Millisecond {
		c.Tick(now)
		for _, a := range c.TakeActions() {
			if _, ok := a.(SendRecall); ok {
				t.Fatalf("the job is recalled %v after it came", now-time.Minute)
			}
		}
	}
}

// TestReturnedJobDoesNotWaitForUnreachableTarget guards against a job that comes again and waits for a target
// that can't be reached, though the pool's owner has started all runs of the first attempt itself.
func TestReturnedJobDoesNotWaitForUnreachableTarget(t *testing.T) {
	sim := newSimulation(3, 1)
	sim.taskDuration = 3 * time.Second
	sim.linkDown = func(_ *fakeOwner, address string) (request, reply bool) {
		cut := strings.HasPrefix(address, "t02")
		return cut, cut
	}
	owner := sim.addOwner("n1", 1)
	sim.advance(50 * time.Millisecond)
	sim.announceOwner(owner)
	sim.advance(time.Second)
	sim.submit(1, "00000000000000aa", 1)
	sim.advance(100 * time.Millisecond)
	if sim.starts != 1 {
		t.Fatalf("%d starts, want 1", sim.starts)
	}
	sim.coordinator.CancelRequest(sim.now, 1)
	sim.submit(2, "00000000000000aa", 1)
	sim.advance(200 * time.Millisecond)
	if sim.starts != 2 || len(sim.violations) > 0 {
		t.Errorf("%d starts, want 2 within 200 ms; broken rules: %v", sim.starts, sim.violations)
	}
}
