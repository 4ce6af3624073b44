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

// TestLateExpiryOfEarlierAttemptDoesNotCount guards against a job that is given up when it comes again, because
// a task of its earlier attempt has expired.
func TestLateExpiryOfEarlierAttemptDoesNotCount(t *testing.T) {
	c, now := NewCoordinator("home"), time.Minute
	c.SetOwner(now, "home", "a", 1)
	c.SetCapacities("home", 1, freePool)
	step := filbertford.NewStep(1, filbertford.NewResources(1000, 1, 0), 3*time.Second)
	route := filbertford.NewRoute("h", "/p/", "ordering").WithPolicy(0, 3).WithObjective(1.6, 60*time.Millisecond, 0)
	w := filbertford.NewWorkload("00000000000000aa", "", step).WithBestEffort(true)
	submit := func(request uint64) (offers []Batch) {
		c.Submit(now, request, route, w, 8*time.Second)
		for _, a := range c.TakeActions() {
			if v, ok := a.(SendBatch); ok {
				offers = append(offers, v.Batch)
			}
		}
		return offers
	}
	first := submit(1)
	c.CancelRequest(now, 1)
	second := submit(2)
	if len(first) != 1 || len(second) != 1 {
		t.Fatalf("%d and %d offers, want one for each attempt", len(first), len(second))
	}
	expiry := func(b Batch) Report {
		return NewReport("home", 1, b.key(0), StatusExpired, 0).WithOfferNumber(b.OfferNumber())
	}
	c.HandleReport(now, expiry(first[0]))
	if c.TakeActions(); c.Jobs() != 1 || c.jobs[w.Key()].returnDeadline != 0 {
		t.Error("the job is given up because a task of its earlier attempt has expired")
	}
	c.HandleReport(now, expiry(second[0]))
	if c.Jobs() != 0 {
		t.Error("the job goes on though its own task has expired")
	}
}
