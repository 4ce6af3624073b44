package fbsched

import (
	"testing"
	"time"

	"github.com/filbertford/filbertford"
)

// heldBackRun plays a request that the network has held back: it reaches a daemon while another pool runs
// the caller's next attempt, and the end of its connection follows after a round trip. It returns the
// simulation, and for how long the task had two runs.
func heldBackRun(t *testing.T, roundTrip, stopTime time.Duration) (*simulation, time.Duration) {
	t.Helper()
	const otherPool filbertford.PoolID = "other"
	sim := newSimulation(2, 1)
	sim.taskDuration = time.Second
	for _, target := range sim.targets {
		target.stopTime = stopTime
	}
	records := sim.records()
	first, second := sim.addPoolOwner("n1", testPool, 1, records[:1]), sim.addPoolOwner("n2", otherPool, 1, records[1:])
	next := NewCoordinator(otherPool) // in another data centre
	sim.others["d"] = next
	sim.advance(50 * time.Millisecond)
	sim.announceOwner(first)
	next.SetOwner(sim.now, otherPool, second.node, 1)
	step := filbertford.NewStep(1, filbertford.NewResources(1000, 1, 0), sim.taskDuration)
	job := filbertford.NewWorkload("00000000000000aa", "spec", step).WithBestEffort(true)
	route := filbertford.NewRoute("host", "/jobs/", "ordering").WithPolicy(0, 3).WithObjective(1.6, 60*time.Millisecond, 0)
	next.Submit(sim.now, 2, route, job, 8*time.Second)
	sim.flush()
	sim.advance(100 * time.Millisecond)
	sim.submit(1, job.Key(), 1)
	sim.after(roundTrip, func() { sim.coordinator.CancelRequest(sim.now, 1) })
	var overlap time.Duration
	for range 500 {
		sim.advance(time.Millisecond)
		if sim.running[filbertford.NewTaskKey(job.Key(), 0, 0, 0)] > 1 {
			overlap += time.Millisecond
		}
	}
	return sim, overlap
}

// TestHeldBackRequestEndsSoon guards against runs of a held-back request that outlast the end of its
// connection by more than the messages and the stop take.
func TestHeldBackRequestEndsSoon(t *testing.T) {
	const hops, stopTime = 5 * time.Millisecond, 50 * time.Millisecond
	for _, roundTrip := range []time.Duration{time.Millisecond, 4 * time.Millisecond, 40 * time.Millisecond} {
		if _, overlap := heldBackRun(t, roundTrip, stopTime); overlap > roundTrip+hops+stopTime {
			t.Errorf("round trip %v: the task had two runs for %v", roundTrip, overlap)
		} else {
			t.Logf("round trip %v: the task had two runs for %v", roundTrip, overlap)
		}
	}
}

// TestHeldBackRequestIsNotBegun guards against two runs of a task whose caller sent its job again while the
// network held the first request back.
func TestHeldBackRequestIsNotBegun(t *testing.T) {
	if sim, _ := heldBackRun(t, 4*time.Millisecond, 50*time.Millisecond); len(sim.violations) > 0 {
		t.Error(sim.violations)
	}
}
