package fbsched

import (
	"testing"
	"time"

	"github.com/filbertford/filbertford"
)

// TestReportCrossesResumedOffer delivers a report that the pool sent before it got the task again.
func TestReportCrossesResumedOffer(t *testing.T) {
	const now = time.Minute
	c := NewCoordinator(testPool)
	c.SetOwner(now, testPool, "owner", 1)
	step := filbertford.NewStep(1, filbertford.NewResources(1000, 1, 0), 100*time.Millisecond)
	route := filbertford.NewRoute("host", "/jobs/", "ordering").WithPolicy(0, 3).WithObjective(1.6, 60*time.Millisecond, 0)
	c.SetCapacities(testPool, 1, []Capacity{NewCapacity("ordering", []int{4000}, 4000, 0)})
	c.Submit(now, 1, route, filbertford.NewWorkload("job", "spec", step).WithBestEffort(true), 8*time.Second)
	c.TakeActions()
	c.Resume(now, testPool)
	offered := 0
	for _, a := range c.TakeActions() {
		if b, ok := a.(SendBatch); ok && b.Batch.Resume() {
			offered++
		}
	}
	if offered != 1 {
		t.Fatalf("%d batches are offered again, want 1", offered)
	}
	c.HandleReport(now, NewReport(testPool, 1, filbertford.NewTaskKey("job", 0, 0, 0), StatusExpired, 0))
	answered, withdrawn := false, false
	for _, a := range c.TakeActions() {
		switch a.(type) {
		case Answer:
			answered = true
		case SendWithdrawal:
			withdrawn = true
		}
	}
	if answered && !withdrawn {
		t.Errorf("the job is answered, and the pool keeps the task that it got after its report")
	}
}
