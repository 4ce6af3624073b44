package fbsched

import (
	"testing"
	"time"

	"github.com/filbertford/filbertford"
)

const rareLabel = "b"

// rareRecord returns the record of a target with the label that rareStep requires.
func rareRecord(id filbertford.TargetID) filbertford.TargetRecord {
	return filbertford.NewTargetRecord(filbertford.NewTargetInstance(id, 1), "ordering", string(id)+":80", "nordnes",
		filbertford.NewResources(4000, 1000, 0), rareLabel, "r1")
}

func rareStep(tasks int) filbertford.Step {
	return filbertford.NewStep(tasks, filbertford.NewResources(4000, 1, 0), time.Second).WithPlacement(rareLabel, "", 0)
}

func rareBatch(job filbertford.JobKey, offer uint64, items ...Item) Batch {
	return NewBatch(testPool, job, 0, 0, rareStep(len(items)), items).WithWork("", "ordering", 3).WithTimes(time.Second, storedTimeout).
		WithFence(1).WithStored(true, false).WithOfferNumber(offer)
}

// unfitReports returns the numbers of the offers whose tasks the pool has returned as unfit.
func unfitReports(p *Pool, now time.Duration) []uint64 {
	var out []uint64
	for _, a := range p.TakeActions(now) {
		if r, ok := a.(SendReport); ok && r.Report.Status() == StatusUnfit {
			out = append(out, r.Report.OfferNumber())
		}
	}
	return out
}

// TestStoredTasksLeavePoolWithoutTarget guards against tasks of stored jobs that wait for ever after the last
// target that could hold them was lost, and against their return while a run of them may be executing.
func TestStoredTasksLeavePoolWithoutTarget(t *testing.T) {
	now := time.Minute
	p := NewPool(testPool, 1, 1_000_000, now)
	p.SetTargets(now, []filbertford.TargetRecord{recordOf("t00", 1), rareRecord("t01")})
	answerLists(p, now, "t00", 1, 1000)
	answerLists(p, now, "t01", 1, 1000)
	p.Tick(now, 1_000_000)
	p.Offer(now, "c", rareBatch("00000000000000aa", 7, NewItem(0, 0), NewItem(1, 0)))
	if n := len(startCalls(p.TakeActions(now))); n != 1 {
		t.Fatalf("%d starts, want 1", n)
	}
	running := p.targets["t01"]
	var returned []time.Duration
	lost := now
	for now < lost+10*time.Second && len(returned) < 2 {
		now += 20 * time.Millisecond
		if now-lost == 200*time.Millisecond {
			p.SetTargets(now, []filbertford.TargetRecord{recordOf("t00", 1)})
		}
		p.Tick(now, 1_000_000)
		for range unfitReports(p, now) {
			returned = append(returned, now-lost)
		}
		if len(returned) > 0 && returned[0] < 200*time.Millisecond+unfitTimeout {
			t.Fatalf("a task is returned after %v, before the target counts as lost", returned[0])
		}
		if len(returned) == 2 && len(running.runs) > 0 {
			t.Fatal("the task is returned while its run may be executing")
		}
	}
	if len(returned) != 2 {
		t.Fatalf("%d tasks are returned, want 2", len(returned))
	}
	p.Offer(now, "c", rareBatch("00000000000000bb", 8, NewItem(0, 0)))
	if got := unfitReports(p, now); len(got) != 1 || got[0] != 8 {
		t.Errorf("offers returned at once are %v, want that with the number 8", got)
	}
	p.SetTargets(now, []filbertford.TargetRecord{recordOf("t00", 1), rareRecord("t02")})
	answerLists(p, now, "t02", 1, 1000)
	now += unfitCheckPeriod
	p.Tick(now, 1_000_000)
	p.Offer(now, "c", rareBatch("00000000000000cc", 9, NewItem(0, 0)))
	if n := len(startCalls(p.TakeActions(now))); n != 1 {
		t.Errorf("%d starts after another target has come, want 1", n)
	}
}

// TestUnfitTasksGoToOtherPool guards against tasks that go back to a pool that can't hold them, against an
// offer for each waiting task while no pool can, and against tasks that wait after a pool can again.
func TestUnfitTasksGoToOtherPool(t *testing.T) {
	now := time.Minute
	c, first := newEvacuationTest(now, true)
	unfit := func(b Batch) {
		for _, i := range b.Items() {
			c.HandleReport(now, NewReport(b.Pool(), b.Fence(), b.key(i.Index()), StatusUnfit, 0).WithOfferNumber(b.OfferNumber()))
		}
	}
	unfit(first)
	next := actionsOf[SendBatch](c)
	if len(next) != 1 || next[0].Batch.Pool() != otherPool || len(next[0].Batch.Items()) != 4 {
		t.Fatalf("offers are %v, want one of 4 tasks to %s", next, otherPool)
	}
	if !c.pools[testPool].accepts() {
		t.Error("the pool that could not hold the tasks gets no others")
	}
	unfit(next[0].Batch)
	offered, end := 0, now+10*probeInterval
	for now < end {
		now += 20 * time.Millisecond
		c.Tick(now)
		for _, a := range actionsOf[SendBatch](c) {
			offered += len(a.Batch.Items())
			unfit(a.Batch)
		}
	}
	if offered < 10 || offered > 22 {
		t.Errorf("%d tasks were offered to two pools in 10 intervals, want one to each of them in each", offered)
	}
	waiting := 4
	for end := now + 2*probeInterval; now < end && waiting > 0; now += 20 * time.Millisecond {
		c.Tick(now)
		for _, a := range actionsOf[SendBatch](c) {
			if a.Batch.Pool() == testPool {
				unfit(a.Batch)
				continue
			}
			for _, i := range a.Batch.Items() {
				waiting--
				c.HandleReport(now, NewReport(otherPool, 1, a.Batch.key(i.Index()), StatusStarted, 0).WithStarted(true).WithTarget("t09"))
			}
		}
	}
	if waiting > 0 {
		t.Errorf("%d tasks still wait after a pool can hold them", waiting)
	}
}

// TestBestEffortTaskIsNoProbe guards against a pool that counts as able to hold the tasks of stored jobs since
// it has returned one of a best-effort job.
func TestBestEffortTaskIsNoProbe(t *testing.T) {
	now := time.Minute
	c, first := newEvacuationTest(now, true)
	c.SetOwner(now, otherPool, "", 0)
	for _, i := range first.Items() {
		c.HandleReport(now, NewReport(testPool, 1, first.key(i.Index()), StatusUnfit, 0).WithOfferNumber(first.OfferNumber()))
	}
	now += probeInterval
	route := filbertford.NewRoute("host", "/jobs/", "ordering").WithPolicy(0, 3).WithObjective(1.6, 60*time.Millisecond, 0)
	c.Submit(now, 1, route, filbertford.NewWorkload("00000000000000bb", "", first.Step()).WithBestEffort(true), time.Second)
	stored := 0
	for _, a := range actionsOf[SendBatch](c) {
		if a.Batch.Stored() {
			stored += len(a.Batch.Items())
			continue
		}
		for _, i := range a.Batch.Items() {
			c.HandleReport(now, NewReport(testPool, 1, a.Batch.key(i.Index()), StatusReturned, 0))
		}
	}
	now += probeInterval
	c.Tick(now)
	for _, a := range actionsOf[SendBatch](c) {
		if a.Batch.Stored() {
			stored += len(a.Batch.Items())
		}
	}
	if stored != 1 {
		t.Errorf("%d tasks of the stored job were offered, want 1", stored)
	}
}

// TestUnfitReportAnswersTheLastOffer guards against a second run of a task that a pool returned before it
// received the offer that the coordinator made on a new stream.
func TestUnfitReportAnswersTheLastOffer(t *testing.T) {
	now := time.Minute
	c, first := newEvacuationTest(now, true)
	c.ResumeStored(now, testPool)
	c.TakeActions()
	c.HandleReport(now, NewReport(testPool, 1, first.key(0), StatusUnfit, 0).WithOfferNumber(first.OfferNumber()))
	if b := actionsOf[SendBatch](c); len(b) > 0 {
		t.Errorf("the task is offered to %s although its pool has been offered it again", b[0].To)
	}
}

// TestTaskReturnsToTargetsWhereItFailed guards against a stored task that is never started again
// after it has failed once on each target that can hold it, while the pool has others.
func TestTaskReturnsToTargetsWhereItFailed(t *testing.T) {
	now := time.Minute
	p := NewPool(testPool, 1, 1_000_000, now)
	p.SetTargets(now, []filbertford.TargetRecord{recordOf("t00", 1), recordOf("t01", 1), rareRecord("t02"), rareRecord("t03")})
	for _, id := range []filbertford.TargetID{"t00", "t01", "t02", "t03"} {
		answerLists(p, now, id, 1, 1000)
	}
	p.Tick(now, 1_000_000)
	batch := rareBatch("00000000000000aa", 7, NewItem(0, 0)).WithWork("", "ordering", 4)
	p.Offer(now, "c", batch)
	starts := make(map[filbertford.TargetID]int)
	for end := now + 20*time.Second; now < end; now += 20 * time.Millisecond {
		for _, c := range startCalls(p.TakeActions(now)) {
			id := c.Instance().ID()
			starts[id]++
			p.HandleStartReply(now, c, filbertford.NewCallReply(filbertford.CallDone, now.Milliseconds()), now, now)
			ended := filbertford.NewEndedRun(uint64(starts[id]), c.Task(), c.Run(), filbertford.RunFailed)
			reply := filbertford.NewCallReply(filbertford.CallDone, now.Milliseconds()).WithStartedAt(1)
			answerPoll(p, now, pollOf(p, id), reply.WithRuns(nil, []filbertford.EndedRun{ended}))
		}
		for id := range p.targets {
			answerPoll(p, now, pollOf(p, id), filbertford.NewCallReply(filbertford.CallDone, now.Milliseconds()).WithStartedAt(1))
		}
		p.Tick(now, 1_000_000)
	}
	if starts["t02"]+starts["t03"] != 4 || starts["t03"] == 0 {
		t.Errorf("the task was started %v times, want its 4 attempts on t02 and t03", starts)
	}
}
