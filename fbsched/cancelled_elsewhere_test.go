package fbsched

import (
	"testing"
	"time"

	"github.com/filbertford/filbertford"
)

// TestCancelledJobOfEarlierShardOwnerEnds: a stored job is cancelled at a new shard owner, whose offer
// of the job was lost; the pool still hears the earlier one.
func TestCancelledJobOfEarlierShardOwnerEnds(t *testing.T) {
	const job = filbertford.JobKey("00000000000000aa")
	now := time.Minute
	p := NewPool(testPool, 1, 1_000_000, now)
	p.SetTargets(now, []filbertford.TargetRecord{recordOf("t00", 1)})
	answerLists(p, now, "t00", 1, 1000)
	p.TakeActions(now)
	step := filbertford.NewStep(9, filbertford.NewResources(1000, 1, 0), time.Second)
	items := []Item{NewItem(0, 0), NewItem(1, 0), NewItem(2, 0), NewItem(3, 0), NewItem(4, 0), NewItem(5, 0), NewItem(6, 0), NewItem(7, 0), NewItem(8, 0)}
	p.Offer(now, "c", NewBatch(testPool, job, 0, 0, step, items).
		WithWork("", "ordering", 3).WithTimes(time.Minute, time.Minute).WithFence(1).WithStored(true, false))
	if started := startCalls(p.TakeActions(now)); len(started) == 0 || p.Queued() == 0 {
		t.Fatalf("%d tasks are started and %d wait, want some of both", len(started), p.Queued())
	}
	p.Withdraw(now, "d", job)
	stops := 0
	for _, a := range p.TakeActions(now) {
		if _, ok := a.(StopCall); ok {
			stops++
		}
	}
	if stops != p.Running() || p.Queued() > 0 {
		t.Errorf("%d of %d runs are stopped and %d tasks wait, want all and none", stops, p.Running(), p.Queued())
	}
}
