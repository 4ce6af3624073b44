package fbsched

import (
	"testing"
	"time"

	"github.com/filbertford/filbertford"
)

// TestTargetOfNewKindGetsNoTaskOfEarlierKind guards against a task that is started on a target by the labels
// that it had before it started again under its ID.
func TestTargetOfNewKindGetsNoTaskOfEarlierKind(t *testing.T) {
	now := time.Minute
	p := NewPool(testPool, 1, 1_000_000, now)
	p.SetTargets(now, []filbertford.TargetRecord{rareRecord("t00")})
	answerLists(p, now, "t00", 1, 500_000)
	now += time.Second
	answerLists(p, now, "t00", 2, 30)
	p.Offer(now, "c", rareBatch("00000000000000aa", 7, NewItem(0, 0)))
	common := NewBatch(testPool, "00000000000000bb", 0, 0, filbertford.NewStep(1, filbertford.NewResources(1000, 1, 0), time.Second), []Item{NewItem(0, 0)}).
		WithWork("", "ordering", 3).WithTimes(time.Second, time.Minute).WithFence(1)
	p.Offer(now, "c", common)
	p.SetTargets(now, []filbertford.TargetRecord{rareRecord("t00")}) // the store doesn't have the new record yet
	if started := startCalls(p.TakeActions(now)); len(started) != 0 {
		t.Fatalf("%v was started before the record of the new instance was read", started[0].Task())
	}
	now += 300 * time.Millisecond
	p.SetTargets(now, []filbertford.TargetRecord{recordOf("t00", 2)})
	started := startCalls(p.TakeActions(now))
	if len(started) != 1 || started[0].Task().Job() != common.Job() {
		t.Errorf("starts are %v, want one of the task that requires no label", started)
	}
}
