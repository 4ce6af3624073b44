package fbnode

import (
	"testing"
	"time"

	"github.com/filbertford/filbertford"
	"github.com/filbertford/filbertford/fbsched"
)

// TestReturnedBatchNamesItsOffer guards against the return of a batch by a daemon that doesn't own the pool
// which counts as the answer to a later offer of the same tasks.
func TestReturnedBatchNamesItsOffer(t *testing.T) {
	step := filbertford.NewStep(2, filbertford.NewResources(1000, 1, 0), time.Second)
	items := []fbsched.Item{fbsched.NewItem(0, 0), fbsched.NewItem(1, 2)}
	b := fbsched.NewBatch(testDataCentre, "00000000000000aa", 0, 0, step, items).WithFence(3).WithOfferNumber(17)
	reports := returnsOf(b)
	if len(reports) != len(items) {
		t.Fatalf("%d reports, want %d", len(reports), len(items))
	}
	for i, r := range reports {
		if r.Status() != fbsched.StatusReturned || r.Fence() != 3 || r.Task().Index() != i || r.OfferNumber() != 17 {
			t.Errorf("report %d is %+v, want a return that answers the offer 17 under the token 3", i, r)
		}
	}
	if reports := returnsOf(b.WithResume(0)); len(reports) != 0 {
		t.Errorf("%d reports on tasks that may be running, want none", len(reports))
	}
}
