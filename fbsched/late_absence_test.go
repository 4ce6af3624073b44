package fbsched

import (
	"testing"
	"time"

	"github.com/filbertford/filbertford"
)

// TestLateAbsenceOfEarlierSearchDoesNotCount guards against a stored task that is started in another pool while
// it runs, because its absence in an earlier search counts as the answer to a later one.
func TestLateAbsenceOfEarlierSearchDoesNotCount(t *testing.T) {
	c, now := NewCoordinator("home"), time.Minute
	c.SetOwner(now, "home", "a", 1)
	c.SetCapacities("home", 1, freePool)
	route := filbertford.NewRoute("h", "/p/", "ordering").WithPolicy(0, 3)
	w := filbertford.NewWorkload("00000000000000aa", "", filbertford.NewStep(1, filbertford.NewResources(1000, 1, 0), time.Second))
	offers := func() (searches, others []Batch) {
		for _, a := range c.TakeActions() {
			switch v, ok := a.(SendBatch); {
			case ok && v.Batch.Search():
				searches = append(searches, v.Batch)
			case ok:
				others = append(others, v.Batch)
			}
		}
		return searches, others
	}
	resume := func() Batch {
		c.StartStored(now, route, w, func(int, int) Progress { return Progress{} }, true)
		searches, _ := offers()
		if len(searches) != 1 {
			t.Fatalf("%d searches, want one", len(searches))
		}
		return searches[0]
	}
	absence := func(b Batch) Report {
		return NewReport("home", 1, b.key(0), StatusAbsent, 0).WithOfferNumber(b.OfferNumber())
	}
	first := resume()
	c.DropStored(w.Key()) // the shard has another owner for a time, which may have started the task
	second := resume()
	c.HandleReport(now, absence(first))
	if _, others := offers(); len(others) != 0 {
		t.Errorf("the task is offered to %s before the pool has answered the later search", others[0].Pool())
	}
	c.HandleReport(now, absence(second))
	if _, others := offers(); len(others) != 1 {
		t.Errorf("%d offers after the answer, want one", len(others))
	}
}

// TestAbsenceWithoutOfferNumberCounts guards against stored tasks that wait for the end of their search beside
// pool owners of an earlier version.
func TestAbsenceWithoutOfferNumberCounts(t *testing.T) {
	c, now := NewCoordinator("home"), time.Minute
	c.SetOwner(now, "home", "a", 1)
	c.SetCapacities("home", 1, freePool)
	route := filbertford.NewRoute("h", "/p/", "ordering").WithPolicy(0, 3)
	w := filbertford.NewWorkload("00000000000000aa", "", filbertford.NewStep(1, filbertford.NewResources(1000, 1, 0), time.Second))
	c.StartStored(now, route, w, func(int, int) Progress { return Progress{} }, true)
	c.TakeActions()
	c.HandleReport(now, NewReport("home", 1, filbertford.NewTaskKey(w.Key(), 0, 0, 0), StatusAbsent, 0))
	for _, a := range c.TakeActions() {
		if v, ok := a.(SendBatch); ok && !v.Batch.Search() {
			return
		}
	}
	t.Error("the task isn't offered")
}
