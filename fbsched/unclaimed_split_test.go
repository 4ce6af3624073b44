package fbsched

import (
	"strings"
	"testing"
	"time"

	"github.com/filbertford/filbertford"
)

// TestSuccessorOfSplitOwnerDoesNotProlongRun: an owner and its successor reach different targets, and the coordinator
// hears only the first.
func TestSuccessorOfSplitOwnerDoesNotProlongRun(t *testing.T) {
	for name, stored := range map[string]bool{"best-effort": false, "stored": true} {
		t.Run(name, func(t *testing.T) {
			for delay := 400 * time.Millisecond; delay < 800*time.Millisecond; delay += 50 * time.Millisecond {
				sim := newSimulation(2, 1)
				sim.taskDuration = 4 * time.Second
				sim.jobFences = map[filbertford.NodeID]uint64{"c": 1}
				a := sim.addOwner("a", 1)
				sim.advance(100 * time.Millisecond)
				sim.announceOwner(a)
				if stored {
					route := filbertford.NewRoute("host", "/jobs/", "ordering").WithPolicy(0, 3).WithObjective(1.6, 60*time.Millisecond, 0)
					step := filbertford.NewStep(1, filbertford.NewResources(1000, 1, 0), sim.taskDuration)
					sim.coordinator.StartStored(sim.now, route, filbertford.NewWorkload("00000000000000aa", "spec", step), func(_, _ int) Progress { return Progress{} }, false)
					sim.flush()
				} else {
					sim.submit(1, "00000000000000aa", 1)
				}
				sim.advance(500 * time.Millisecond)
				key := filbertford.NewTaskKey("00000000000000aa", 0, 0, 0)
				if sim.running[key] != 1 {
					t.Fatal("the task doesn't run")
				}
				on := "t01"
				if len(sim.targets["t00"].runs) == 1 {
					on = "t00"
				}
				sim.linkDown = func(o *fakeOwner, address string) (bool, bool) {
					down := strings.HasPrefix(address, on) == (o.node == "a")
					return down, down
				}
				sim.advance(delay)
				b := sim.addOwner("b", 2)
				b.isolated = true
				sim.advance(2 * time.Second)
				for _, v := range sim.violations {
					t.Errorf("successor %v after the cut: %s", delay, v)
				}
			}
		})
	}
}
