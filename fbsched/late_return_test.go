package fbsched

import (
	"testing"
	"time"

	"github.com/filbertford/filbertford"
)

// TestLateReturnOfEarlierAttemptDoesNotCount guards against a task that is offered to another pool while it
// runs, because the return of an earlier attempt at its job counts as its own.
func TestLateReturnOfEarlierAttemptDoesNotCount(t *testing.T) {
	c, p, now, key := NewCoordinator("home"), NewPool("home", 1, testWallOffset, time.Minute), time.Minute, filbertford.JobKey("00000000000000aa")
	for _, pool := range []filbertford.PoolID{"home", "other"} {
		c.SetOwner(now, pool, "a", 1)
		c.SetCapacities(pool, 1, freePool)
	}
	step := filbertford.NewStep(1, filbertford.NewResources(1000, 1, 0), 3*time.Second)
	route := filbertford.NewRoute("h", "/p/", "ordering").WithPolicy(0, 3).WithObjective(1.6, 60*time.Millisecond, 0)
	w := filbertford.NewWorkload(key, "", step).WithBestEffort(true)
	c.Submit(now, 1, route, w, 8*time.Second)
	c.CancelRequest(now, 1)
	c.Submit(now, 2, route, w, 8*time.Second)
	var reports []Report
	for _, a := range c.TakeActions() {
		switch v := a.(type) {
		case SendBatch:
			p.Offer(now, "c", v.Batch)
		case SendWithdrawal:
			p.Withdraw(now, "c", v.Withdrawal.Job())
		}
	}
	for _, a := range p.TakeActions(now) {
		if v, ok := a.(SendReport); ok {
			reports = append(reports, v.Report)
		}
	}
	c.SetOwner(now, "home", "", 0) // the next owner learns from the coordinator that the task may run
	for _, r := range reports {
		c.HandleReport(now, r)
	}
	now += attemptTimeout
	c.Tick(now)
	for _, a := range c.TakeActions() {
		if v, ok := a.(SendBatch); ok {
			t.Errorf("the task is offered to the pool %s", v.Batch.Pool())
		}
	}
	if len(reports) != 1 || p.Queued() != 1 {
		t.Errorf("reports of the pool: %v, queued tasks: %d, want one return and one task", reports, p.Queued())
	}
}

// TestLateExpiryOfEarlierAttemptDoesNotCount guards against a job that is given up because a task of an
// earlier attempt at it has expired.
func TestLateExpiryOfEarlierAttemptDoesNotCount(t *testing.T) {
	c, now, key := NewCoordinator("home"), time.Minute, filbertford.JobKey("00000000000000aa")
	c.SetOwner(now, "home", "a", 1)
	c.SetCapacities("home", 1, freePool)
	step := filbertford.NewStep(1, filbertford.NewResources(1000, 1, 0), 3*time.Second)
	route := filbertford.NewRoute("h", "/p/", "ordering").WithPolicy(0, 3).WithObjective(1.6, 60*time.Millisecond, 0)
	w := filbertford.NewWorkload(key, "", step).WithBestEffort(true)
	c.Submit(now, 1, route, w, 8*time.Second)
	var first Batch
	for _, a := range c.TakeActions() {
		if v, ok := a.(SendBatch); ok {
			first = v.Batch
		}
	}
	c.CancelRequest(now, 1)
	c.Submit(now, 2, route, w, 8*time.Second)
	c.TakeActions()
	c.HandleReport(now, NewReport("home", 1, first.key(0), StatusExpired, 0).WithOfferNumber(first.OfferNumber()))
	for _, a := range c.TakeActions() {
		if _, ok := a.(SendWithdrawal); ok {
			t.Error("the job was withdrawn")
		}
	}
}
