package fbsched

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/filbertford/filbertford"
)

// TestJobOfBrokenConnectionReturnsToItsPool guards against two runs of a task of a job that its
// caller sends to this daemon while the pools stop the runs of an attempt at another daemon.
func TestJobOfBrokenConnectionReturnsToItsPool(t *testing.T) {
	tests := map[string]struct {
		withdrawnFrom []filbertford.PoolID
		after         time.Duration
		offeredTo     []filbertford.PoolID
		rejected      bool
	}{
		"not seen before":                 {offeredTo: []filbertford.PoolID{"home"}},
		"withdrawn from another pool":     {withdrawnFrom: []filbertford.PoolID{"other"}, offeredTo: []filbertford.PoolID{"other"}},
		"withdrawn long ago":              {withdrawnFrom: []filbertford.PoolID{"other"}, after: attemptTimeout, offeredTo: []filbertford.PoolID{"home"}},
		"withdrawn from several pools":    {withdrawnFrom: []filbertford.PoolID{"other", "home"}, rejected: true},
		"several pools, runs end in time": {withdrawnFrom: []filbertford.PoolID{"other", "home"}, after: attemptTimeout - 10*time.Millisecond},
		"several pools, the runs have ended": {
			withdrawnFrom: []filbertford.PoolID{"other", "home"}, after: attemptTimeout, offeredTo: []filbertford.PoolID{"home"},
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			c, now, key := NewCoordinator("home"), time.Minute, filbertford.JobKey("00000000000000aa")
			for _, pool := range []filbertford.PoolID{"home", "other"} {
				c.SetOwner(now, pool, "a", 1)
				c.SetCapacities(pool, 1, freePool)
			}
			for _, pool := range tt.withdrawnFrom {
				c.HandleWithdrawal(now, NewWithdrawal(pool, key))
			}
			now += tt.after
			step := filbertford.NewStep(1, filbertford.NewResources(1000, 1, 0), 100*time.Millisecond)
			route := filbertford.NewRoute("h", "/p/", "ordering").WithPolicy(0, 3).WithObjective(1.6, 60*time.Millisecond, 0)
			c.Submit(now, 1, route, filbertford.NewWorkload(key, "", step).WithBestEffort(true), 2*time.Second)
			var offeredTo []filbertford.PoolID
			rejected := false
			for _, a := range c.TakeActions() {
				switch v := a.(type) {
				case SendBatch:
					offeredTo = append(offeredTo, v.Batch.Pool())
				case Answer:
					rejected = v.Answer.Kind() == filbertford.AnswerNotRun
				}
			}
			if diff := cmp.Diff(tt.offeredTo, offeredTo); diff != "" || rejected != tt.rejected {
				t.Errorf("rejected: %v, want %v; offered to (-want +got):\n%s", rejected, tt.rejected, diff)
			}
		})
	}
}
