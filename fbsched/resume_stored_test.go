package fbsched

import (
	"testing"
	"time"

	"github.com/filbertford/filbertford"
)

// newStoredCoordinator returns a coordinator with a stored job of one task, in a pool whose owner
// "a" has the fencing token 5. A resumed job is searched for.
func newStoredCoordinator(now time.Duration, resumed bool) *Coordinator {
	c := NewCoordinator(testPool)
	c.SetOwner(now, testPool, "a", 5)
	w := filbertford.NewWorkload(deadlyJob, "", filbertford.NewStep(1, filbertford.NewResources(1000, 1, 0), 100*time.Millisecond))
	c.StartStored(now, crashRoute, w, func(int, int) Progress { return Progress{} }, resumed)
	return c
}

// offersTo returns the items that the coordinator's actions offer to a daemon, searches left out.
// As a daemon whose claims to the shards are verified, it resumes the stored jobs of pools whose
// owner has been accepted.
func offersTo(now time.Duration, c *Coordinator, node filbertford.NodeID) []Item {
	var out []Item
	for actions := c.TakeActions(); len(actions) > 0; actions = c.TakeActions() {
		for _, a := range actions {
			switch v := a.(type) {
			case OwnerAccepted:
				c.ResumeStored(now, v.Pool)
			case SendBatch:
				if v.To == node && !v.Batch.Search() {
					out = append(out, v.Batch.Items()...)
				}
			}
		}
	}
	return out
}

// TestStoredTasksAreOfferedToHeldOwner checks that an owner with a lower fencing token than its
// predecessor, which gets no tasks at first, is offered the tasks of stored jobs later. They
// would stay in a pool whose owner doesn't know them.
func TestStoredTasksAreOfferedToHeldOwner(t *testing.T) {
	tests := map[string]struct {
		lost bool // the last owner is lost before the earlier one is heard
	}{
		"after the last owner was lost": {lost: true},
		"instead of the last owner":     {},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			now := time.Minute
			c := newStoredCoordinator(now, false)
			if tt.lost {
				c.SetOwner(now, testPool, "", 0)
			}
			c.TakeActions()
			c.SetOwner(now, testPool, "b", 4)
			c.ResumeStored(now, testPool) // as a daemon does for each new owner
			if items := offersTo(now, c, "b"); len(items) > 0 {
				t.Fatalf("the owner is offered %+v at once", items)
			}
			for range 110 {
				now += 20 * time.Millisecond
				c.Tick(now)
			}
			if items := offersTo(now, c, "b"); len(items) != 1 {
				t.Errorf("the owner is offered %+v after %v, want the task", items, now-time.Minute)
			}
		})
	}
}

// TestReportOfProgressDoesNotEndSearch checks a search for a task that a pool doesn't have, but
// of which it knows a target that is shown to have crashed during the search. The coordinator
// would take the task for one in the pool, which answers that it isn't there.
func TestReportOfProgressDoesNotEndSearch(t *testing.T) {
	for _, status := range []Status{StatusRetried, StatusReassigned} {
		t.Run(string(status), func(t *testing.T) {
			now := time.Minute
			c := newStoredCoordinator(now, true)
			c.TakeActions()
			c.HandleReport(now, NewReport(testPool, 5, deadlyTask, status, 0).WithStarted(true).WithCrashes(1))
			c.HandleReport(now, NewReport(testPool, 5, deadlyTask, StatusAbsent, 0).WithCrashes(1))
			for range 10 {
				now += 20 * time.Millisecond
				c.Tick(now)
			}
			items := offersTo(now, c, "a")
			if len(items) != 1 || items[0].Crashes() != 1 {
				t.Errorf("the pool is offered %+v, want the task with one crash", items)
			}
		})
	}
}

// TestResumedTaskDoesNotWaitForReplacedTarget checks a stored task whose target has crashed and
// is back under another ID when the pool has a new owner, which never lists the first one. The
// task would wait for ten seconds at each new owner, and for good if owners change more often.
func TestResumedTaskDoesNotWaitForReplacedTarget(t *testing.T) {
	tests := map[string]struct {
		startedAt int64 // of the target that is listed at the address
		known     bool  // the record of the first one is removed after the owner has read it
		waits     bool
	}{
		"record was removed before":  {startedAt: 2},
		"record is removed later":    {startedAt: 2, known: true},
		"target has started earlier": {startedAt: 1, waits: true},
		"another target, as unknown": {waits: true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			sim := newSimulation(1, 2)
			sim.crashUnder(func(filbertford.TaskKey) bool { return false })
			old := recordOf("t00", 1)
			target := sim.targets["t00"]
			target.restart("t00-1", tt.startedAt)
			o := &fakeOwner{node: "b", pool: NewPool(testPool, 2, testWallOffset, sim.now), wallOffset: testWallOffset}
			sim.linkDown = func(*fakeOwner, string) (bool, bool) { return tt.known && sim.now < time.Minute+time.Second, false }
			if tt.known {
				o.pool.SetTargets(sim.now, []filbertford.TargetRecord{old})
			} else {
				o.pool.SetDeparted([]filbertford.TargetRecord{old})
			}
			sim.owners = append(sim.owners, o)
			sim.scheduleTick(o)
			sim.advance(500 * time.Millisecond)
			o.pool.SetTargets(sim.now, []filbertford.TargetRecord{target.rec})
			sim.coordinator.SetOwner(sim.now, testPool, "a", 1)
			sim.startStored(deadlyJob, 1, false)
			sim.announceOwner(o)
			sim.coordinator.ResumeStored(sim.now, testPool)
			began := sim.now
			for sim.starts == 0 && sim.now < began+20*time.Second {
				sim.advance(100 * time.Millisecond)
			}
			limit := time.Second
			if tt.waits {
				limit = listTimeout
			}
			if waited := sim.now - began; waited > limit || tt.waits && waited < limit-time.Second {
				t.Errorf("the task is started after %v, want %v", waited, limit)
			}
		})
	}
}
