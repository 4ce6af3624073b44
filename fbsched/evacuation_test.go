package fbsched

import (
	"testing"
	"time"

	"github.com/filbertford/filbertford"
)

const otherPool filbertford.PoolID = "sor"

var freePool = []Capacity{NewCapacity("ordering", []int{8000}, 8000, 0)}

// newEvacuationTest returns a coordinator with two owned pools and the batch of a job of four
// tasks that it has offered to the first.
func newEvacuationTest(now time.Duration, stored bool) (*Coordinator, Batch) {
	c := NewCoordinator(testPool)
	for _, pool := range []filbertford.PoolID{testPool, otherPool} {
		c.SetOwner(now, pool, filbertford.NodeID(pool), 1)
		c.SetCapacities(pool, 1, freePool)
	}
	route := filbertford.NewRoute("host", "/jobs/", "ordering").WithPolicy(0, 3).WithObjective(1.6, 60*time.Millisecond, 0)
	w := filbertford.NewWorkload("00000000000000aa", "", filbertford.NewStep(4, filbertford.NewResources(1000, 1, 0), 100*time.Millisecond))
	if stored {
		c.StartStored(now, route, w, func(int, int) Progress { return Progress{} }, false)
	} else {
		c.Submit(now, 1, route, w.WithBestEffort(true), time.Second)
	}
	return c, actionsOf[SendBatch](c)[0].Batch
}

// actionsOf returns the actions of a type that the coordinator emits.
func actionsOf[T Action](c *Coordinator) []T {
	var out []T
	for _, a := range c.TakeActions() {
		if v, ok := a.(T); ok {
			out = append(out, v)
		}
	}
	return out
}

// release returns the tasks of a batch to the coordinator.
func release(c *Coordinator, now time.Duration, b Batch) {
	for _, i := range b.Items() {
		c.HandleReport(now, NewReport(b.Pool(), b.Fence(), b.key(i.Index()), StatusReleased, 0).WithOfferNumber(b.OfferNumber()))
	}
}

// TestReleaseAnswersTheLastOffer guards against a second run of a task that a pool returned
// before it received the offer that the coordinator made on a new stream, and against a target
// that keeps the outcome of a failed run, because its pool isn't told that it is recorded.
func TestReleaseAnswersTheLastOffer(t *testing.T) {
	for name, stored := range map[string]bool{"best effort": false, "stored": true} {
		t.Run(name, func(t *testing.T) {
			now := time.Minute
			c, first := newEvacuationTest(now, stored)
			c.Resume(now, testPool)
			c.ResumeStored(now, testPool)
			second := actionsOf[SendBatch](c)[0].Batch
			release(c, now, first)
			if b := actionsOf[SendBatch](c); len(b) > 0 {
				t.Fatalf("the tasks are offered to %s although the pool has been offered them again", b[0].To)
			}
			release(c, now, second)
			if b := actionsOf[SendBatch](c); len(b) != 1 || b[0].Batch.Pool() != otherPool || b[0].Batch.Resume() {
				t.Errorf("offers after the release of the last one are %v, want one to %s", b, otherPool)
			}
			c.HandleRecorded(now, first.key(0), NewProgress(false, 1))
			if got := actionsOf[SendConfirm](c); stored && (len(got) != 2 || got[1].Confirm.Pool() != testPool) {
				t.Errorf("confirmations are %v, want one to each pool", got)
			}
		})
	}
}

// TestReleasedTasksGoElsewhere guards against a job that is abandoned, or offered to the
// evacuated pool again, while the coordinator learns of evacuations from the pools only, and
// against an offer for each single task.
func TestReleasedTasksGoElsewhere(t *testing.T) {
	now := time.Minute
	c, b := newEvacuationTest(now, false)
	for range maxReturns + 2 {
		release(c, now, b)
		next := actionsOf[SendBatch](c)
		if len(next) != 1 || next[0].Batch.Pool() == b.Pool() || len(next[0].Batch.Items()) != 4 {
			t.Fatalf("offers are %v, want one of 4 tasks to another pool than %s", next, b.Pool())
		}
		c.SetCapacities(b.Pool(), 1, freePool) // the evacuation has ended
		b = next[0].Batch
	}
}

// TestAllPoolsEvacuated guards against jobs that wait although nothing can start, and against a
// job that is answered as not run, or whose runs are stopped, although a task has started.
func TestAllPoolsEvacuated(t *testing.T) {
	for name, started := range map[string]bool{"nothing has started": false, "a task has started": true} {
		t.Run(name, func(t *testing.T) {
			now := time.Minute
			c, b := newEvacuationTest(now, false)
			if started {
				c.HandleReport(now, NewReport(testPool, 1, b.key(0), StatusStarted, 0).WithStarted(true))
				b.items = b.items[1:]
			}
			c.SetEvacuated(now, testPool, true)
			c.SetEvacuated(now, otherPool, true)
			release(c, now, b)
			c.Tick(now)
			var answer filbertford.AnswerKind
			for _, a := range c.TakeActions() {
				switch v := a.(type) {
				case Answer:
					answer = v.Answer.Kind()
				case SendWithdrawal:
					if started {
						t.Error("the job's run is stopped")
					}
				}
			}
			if !started && answer != filbertford.AnswerNotRun || started && answer != "" {
				t.Errorf("answer is %q", answer)
			}
		})
	}
}

// TestEvacuatedPoolReturnsTasks guards against a task that is returned while an earlier run of it
// may be executing, and against one that waits in vain.
func TestEvacuatedPoolReturnsTasks(t *testing.T) {
	tests := map[string]struct {
		resume, listed bool
		offer          uint64
		after          time.Duration
		want           Status
	}{
		"never started":                    {offer: 7, want: StatusReleased},
		"resumed, targets not listed":      {resume: true, offer: 7},
		"resumed, targets listed":          {resume: true, listed: true, offer: 7, want: StatusReleased},
		"resumed, earlier runs have ended": {resume: true, offer: 7, after: earlierRunTimeout, want: StatusReleased},
		"earlier version":                  {want: StatusReturned},
		"earlier version, resumed":         {resume: true, listed: true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			now := time.Minute
			p := NewPool(testPool, 1, 1_000_000, now)
			p.SetTargets(now, []filbertford.TargetRecord{recordOf("t00", 1)})
			if tt.listed {
				answerLists(p, now, "t00", 1, 1000)
			}
			b := longTasks(1).WithOfferNumber(tt.offer)
			if tt.resume {
				b = b.WithResume(0)
			}
			p.SetEvacuated(now, true)
			p.Offer(now, "c", b)
			now += tt.after
			var got Status
			for _, a := range p.TakeActions(now) {
				if v, ok := a.(SendReport); ok && v.Report.OfferNumber() == tt.offer {
					got = v.Report.Status()
				}
			}
			if got != tt.want || (p.Queued() == 0) != (tt.want != "") || p.Capacities(now)[0].Total() != 0 {
				t.Errorf("reported %q, %d tasks wait, capacity %v, want %q", got, p.Queued(), p.Capacities(now), tt.want)
			}
		})
	}
}

// longTasks returns an offer of tasks that take a minute.
func longTasks(n int) Batch {
	items := make([]Item, n)
	for i := range items {
		items[i] = NewItem(i, 0)
	}
	step := filbertford.NewStep(n, filbertford.NewResources(1000, 1, 0), time.Minute)
	return NewBatch(testPool, "00000000000000aa", 0, 0, step, items).WithWork("", "ordering", 3).WithTimes(time.Hour, time.Hour).WithFence(1)
}

// TestLoadGrowsAfterEvacuation guards against a cold target that gets its whole load at once
// when an evacuation ends, and against a load that stays low.
func TestLoadGrowsAfterEvacuation(t *testing.T) {
	now := time.Minute
	p := NewPool(testPool, 1, 1_000_000, now)
	rec := recordOf("t00", 1)
	rec = filbertford.NewTargetRecord(rec.Instance(), rec.Service(), rec.Address(), rec.DataCentre(), filbertford.NewResources(8000, 1000, 0))
	p.SetTargets(now, []filbertford.TargetRecord{rec.WithColdFor(4 * time.Second)})
	answerLists(p, now, "t00", 1, 1000)
	p.SetEvacuated(now, true)
	p.SetEvacuated(now, false)
	p.Offer(now, "c", longTasks(8))
	started := 0
	for _, want := range []int{2, 5, 8} { // a quarter at once, the rest over the time it is cold
		for range 8 {
			p.dispatchDue = true
			started += len(startCalls(p.TakeActions(now)))
		}
		if started != want {
			t.Errorf("%d runs %v after the evacuation, want %d", started, now-time.Minute, want)
		}
		now += 2 * time.Second
	}
}
