package fbsched

import (
	"testing"
	"time"

	"github.com/filbertford/filbertford"
)

// TestCoordinatorDoesNotReturnToEarlierOwner checks a coordinator that hears of an earlier owner
// after it has offered a task to its successor, as when it was suspended and reads old messages.
// Neither the old claim nor the old answer to its first offer places the task a second time.
func TestCoordinatorDoesNotReturnToEarlierOwner(t *testing.T) {
	now := time.Minute
	c := NewCoordinator("p")
	c.SetOwner(now, "p", "a", 1)
	c.SetOwner(now, "q", "d", 9)
	step := filbertford.NewStep(1, filbertford.NewResources(1000, 1, 0), time.Second)
	route := filbertford.NewRoute("h", "/p/", "ordering").WithPolicy(0, 3).WithObjective(10, time.Second, 0)
	c.Submit(now, 1, route, filbertford.NewWorkload("00000000000000aa", "", step).WithBestEffort(true), 30*time.Second)
	offers := func() map[filbertford.NodeID]int {
		out := make(map[filbertford.NodeID]int)
		for _, a := range c.TakeActions() {
			if b, ok := a.(SendBatch); ok {
				out[b.To]++
			}
		}
		return out
	}
	if n := offers(); n["a"] != 1 {
		t.Fatalf("offers are %v, want one to a", n)
	}
	now += 300 * time.Millisecond
	c.SetOwner(now, "p", "b", 2)
	if n := offers(); n["b"] != 1 {
		t.Fatalf("offers are %v, want one to b", n)
	}
	now += 600 * time.Millisecond
	c.SetOwner(now, "p", "", 0)
	c.SetOwner(now, "p", "a", 1)
	returned := NewReport("p", 1, filbertford.NewTaskKey("00000000000000aa", 0, 0, 0), StatusReturned, 0)
	c.HandleReport(now, returned)
	c.Tick(now)
	if n := offers(); len(n) > 0 {
		t.Fatalf("the task was offered again: %v", n)
	}
	now += earlierRunTimeout - time.Millisecond
	c.Tick(now)
	if n := offers(); len(n) > 0 {
		t.Fatalf("the task was offered again while b may run it: %v", n)
	}
	now += 2 * time.Millisecond
	c.Tick(now)
	if n := offers(); n["a"] != 1 || len(n) != 1 {
		t.Errorf("offers are %v, want one to a, which still claims the pool", n)
	}
	c.HandleReport(now, returned)
	if n := offers(); len(n) > 0 {
		t.Errorf("the old answer to the first offer placed the task again: %v", n)
	}
	now += 10 * time.Millisecond
	c.SetOwner(now, "p", "b", 2)
	if n := offers(); n["b"] != 1 {
		t.Errorf("offers are %v, want one to b", n)
	}
}

// TestTaskOfferedAgainAsResumedWaits checks a queued task that its coordinator offers again after
// it has offered it to another owner: it waits for the target on which that one has started it.
func TestTaskOfferedAgainAsResumedWaits(t *testing.T) {
	now := time.Minute
	p := NewPool(testPool, 2, 1_000_000, now)
	p.SetTargets(now, []filbertford.TargetRecord{recordOf("t00", 1), recordOf("t01", 1)})
	answerLists(p, now, "t00", 1, 1000)
	step := filbertford.NewStep(1, filbertford.NewResources(1000, 1, 0), time.Second)
	batch := NewBatch(testPool, "00000000000000aa", 0, 0, step, []Item{NewItem(0, 0)}).
		WithWork("", "ordering", 3).WithTimes(time.Minute, time.Minute).WithFence(2)
	p.Offer(now, "c", batch)
	batch.items = []Item{NewItem(0, 0).WithTarget("t01")}
	p.Offer(now, "c", batch.WithResume(0))
	now += surveyTimeout
	p.Tick(now, 1_000_000)
	if started := startCalls(p.TakeActions(now)); len(started) > 0 {
		t.Fatalf("the task was started on %s before t01 was listed", started[0].Instance().ID())
	}
	key := filbertford.NewTaskKey("00000000000000aa", 0, 0, 0)
	answerLists(p, now, "t01", 1, 1000, filbertford.NewRunStatus(key, 7, 10))
	if task := p.tasks[key]; task == nil || task.run == nil || task.run.target.id() != "t01" {
		t.Error("the run on t01 was not adopted")
	}
}
