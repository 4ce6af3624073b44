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

// TestWithdrawnStoredTaskIsNotStartedElsewhere: the shard's earlier owner hasn't learned yet that it lost it.
func TestWithdrawnStoredTaskIsNotStartedElsewhere(t *testing.T) {
	const job = filbertford.JobKey("00000000000000aa")
	now := time.Minute
	pools := map[filbertford.PoolID]*Pool{"casa": NewPool("casa", 5, 1_000_000, now), "rabat": NewPool("rabat", 6, 1_000_000, now)}
	for id, target := range map[filbertford.PoolID]filbertford.TargetID{"casa": "t00", "rabat": "t01"} {
		pools[id].SetTargets(now, []filbertford.TargetRecord{recordOf(target, 1)})
		answerLists(pools[id], now, target, 1, 1000)
		pools[id].TakeActions(now)
	}
	s1 := NewCoordinator("casa")
	s1.SetOwner(now, "casa", "p", 5)
	s1.SetOwner(now, "rabat", "q", 6)
	s1.SetCapacities("casa", 5, pools["casa"].Capacities(now))
	s1.SetCapacities("rabat", 6, pools["rabat"].Capacities(now))
	route := filbertford.NewRoute("host", "/jobs/", "ordering").WithPolicy(0, 3).WithObjective(1.6, 60*time.Millisecond, 0)
	step := filbertford.NewStep(1, filbertford.NewResources(1000, 1, 0), time.Second)
	s1.StartStored(now, route, filbertford.NewWorkload(job, "spec", step), func(_, _ int) Progress { return Progress{} }, false)
	starts := 0
	exchange := func() {
		for range 5 {
			for _, a := range s1.TakeActions() {
				if b, ok := a.(SendBatch); ok {
					pools[b.Batch.Pool()].Offer(now, "s1", b.Batch)
				}
			}
			for _, p := range pools {
				for _, a := range p.TakeActions(now) {
					switch v := a.(type) {
					case SendReport:
						if v.To == "s1" {
							s1.HandleReport(now, v.Report)
						}
					case StartCall:
						starts++
						p.HandleStartReply(now, v.Request, filbertford.NewCallReply(filbertford.CallDone, 1000), now, now)
					}
				}
			}
		}
	}
	exchange()
	if starts != 1 {
		t.Fatalf("%d starts", starts)
	}
	now += 100 * time.Millisecond
	s1.SetCapacities("casa", 5, []Capacity{NewCapacity("ordering", nil, 4000, 10*time.Second)})
	for _, p := range pools {
		p.Withdraw(now, "s2", job) // the job's end is stored
	}
	exchange()
	if starts != 1 {
		t.Errorf("%d starts, want 1: the job has ended, and its first run is still being stopped", starts)
	}
}
