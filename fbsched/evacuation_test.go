package fbsched

import (
	"slices"
	"testing"
	"time"

	"github.com/filbertford/filbertford"
)

const otherPool filbertford.PoolID = "sor"

// newEvacuationTest returns a coordinator with two owned pools and a job of the given number
// of tasks that it has placed.
func newEvacuationTest(now time.Duration, tasks int, stored bool) *Coordinator {
	c := NewCoordinator(testPool)
	c.SetOwner(now, testPool, "a", 1)
	c.SetOwner(now, otherPool, "b", 1)
	c.SetCapacities(testPool, 1, []Capacity{NewCapacity("ordering", []int{8000}, 8000, 0)})
	c.SetCapacities(otherPool, 1, []Capacity{NewCapacity("ordering", []int{8000}, 8000, 0)})
	route := filbertford.NewRoute("host", "/jobs/", "ordering").WithPolicy(0, 3).WithObjective(1.6, 60*time.Millisecond, 0)
	w := filbertford.NewWorkload("00000000000000aa", "", filbertford.NewStep(tasks, filbertford.NewResources(1000, 1, 0), 100*time.Millisecond))
	if stored {
		c.StartStored(now, route, w, func(int, int) Progress { return Progress{} }, false)
	} else {
		c.Submit(now, 1, route, w.WithBestEffort(true), time.Second)
	}
	return c
}

// batches returns the batches among the coordinator's actions.
func batches(c *Coordinator) []Batch {
	var out []Batch
	for _, a := range c.TakeActions() {
		if v, ok := a.(SendBatch); ok {
			out = append(out, v.Batch)
		}
	}
	return out
}

func releaseOf(b Batch, index int) Report {
	return NewReport(b.Pool(), b.Fence(), b.key(index), StatusReleased, 0).WithOfferNumber(b.OfferNumber())
}

// TestReleaseAnswersTheLastOffer guards against a second run of a task that a pool returned
// before it received the offer that the coordinator made on a new stream.
func TestReleaseAnswersTheLastOffer(t *testing.T) {
	for name, stored := range map[string]bool{"best effort": false, "stored": true} {
		t.Run(name, func(t *testing.T) {
			now := time.Minute
			c := newEvacuationTest(now, 1, stored)
			first := batches(c)[0]
			c.Resume(now, testPool)
			c.ResumeStored(now, testPool)
			second := batches(c)[0]
			c.HandleReport(now, releaseOf(first, 0))
			if b := batches(c); len(b) > 0 {
				t.Fatalf("the task is offered to %s although the pool has been offered it again", b[0].Pool())
			}
			c.HandleReport(now, releaseOf(second, 0))
			if b := batches(c); len(b) != 1 || b[0].Pool() != otherPool || b[0].Resume() {
				t.Errorf("batches after the release of the last offer are %v, want one to %s", b, otherPool)
			}
		})
	}
}

// TestReleasedTasksGoElsewhere guards against a job that is abandoned, or offered to the
// evacuated pool again, because the coordinator learns of evacuations from the pools only,
// and against an offer for each task that is returned.
func TestReleasedTasksGoElsewhere(t *testing.T) {
	now := time.Minute
	c := newEvacuationTest(now, 4, false)
	offered := batches(c)
	for range maxReturns + 2 {
		b := offered[0]
		for i := range 4 {
			c.HandleReport(now, releaseOf(b, i))
		}
		if offered = batches(c); len(offered) != 1 || offered[0].Pool() == b.Pool() || len(offered[0].Items()) != 4 {
			t.Fatalf("batches are %v, want one of 4 tasks to another pool than %s", offered, b.Pool())
		}
		c.SetCapacities(b.Pool(), 1, []Capacity{NewCapacity("ordering", []int{8000}, 8000, 0)}) // the evacuation has ended
	}
}

// TestAllPoolsEvacuated guards against jobs that wait for their timeout while nothing can
// start, and against a job that is answered as not run although a task has started.
func TestAllPoolsEvacuated(t *testing.T) {
	tests := map[string]struct {
		started bool
		want    []filbertford.AnswerKind
	}{
		"nothing has started": {want: []filbertford.AnswerKind{filbertford.AnswerNotRun}},
		"a task has started":  {started: true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			now := time.Minute
			c := newEvacuationTest(now, 2, false)
			b := batches(c)[0]
			if tt.started {
				c.HandleReport(now, NewReport(testPool, 1, b.key(1), StatusStarted, 0).WithStarted(true))
			} else {
				c.HandleReport(now, releaseOf(b, 1))
			}
			c.SetEvacuated(now, testPool, true)
			c.SetEvacuated(now, otherPool, true)
			c.HandleReport(now, releaseOf(b, 0))
			c.Tick(now)
			var got []filbertford.AnswerKind
			for _, a := range c.TakeActions() {
				if v, ok := a.(Answer); ok {
					got = append(got, v.Answer.Kind())
				}
			}
			if !slices.Equal(got, tt.want) {
				t.Errorf("answers are %v, want %v", got, tt.want)
			}
		})
	}
}

// TestReleasedFailureIsConfirmed guards against a target that keeps the outcome of a failed run
// for ever, and is polled for it all the time, because the task has left the pool before the
// failure was recorded.
func TestReleasedFailureIsConfirmed(t *testing.T) {
	now := time.Minute
	c := newEvacuationTest(now, 1, true)
	b := batches(c)[0]
	c.HandleReport(now, NewReport(testPool, 1, b.key(0), StatusRetried, 1).WithStarted(true))
	c.HandleReport(now, releaseOf(b, 0))
	c.TakeActions()
	c.HandleRecorded(now, b.key(0), NewProgress(false, 1))
	confirmed := false
	for _, a := range c.TakeActions() {
		v, ok := a.(SendConfirm)
		confirmed = confirmed || ok && v.Confirm.Pool() == testPool && v.Confirm.Failures() == 1
	}
	if !confirmed {
		t.Error("the pool that returned the task isn't told that its failure is recorded")
	}
}

// TestEvacuatedPoolReturnsTasks checks when a pool returns its waiting tasks. It guards against
// a task that is returned while an earlier run of it may be executing, and against one that
// waits in vain.
func TestEvacuatedPoolReturnsTasks(t *testing.T) {
	tests := map[string]struct {
		resume bool
		listed bool
		offer  uint64
		after  time.Duration
		want   Status
	}{
		"never started":                    {offer: 7, want: StatusReleased},
		"resumed, targets not listed":      {resume: true, offer: 7},
		"resumed, targets listed":          {resume: true, listed: true, offer: 7, want: StatusReleased},
		"resumed, earlier runs have ended": {resume: true, offer: 7, after: earlierRunTimeout, want: StatusReleased},
		"earlier version of coordinator":   {want: StatusReturned},
		"earlier version, resumed":         {resume: true, listed: true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			now := time.Minute
			p := NewPool(testPool, 1, 1_000_000, now)
			p.HoldUntilEvacuationsKnown()
			p.SetTargets(now, []filbertford.TargetRecord{recordOf("t00", 1)})
			if tt.listed {
				answerLists(p, now, "t00", 1, 1000)
			}
			step := filbertford.NewStep(1, filbertford.NewResources(1000, 1, 0), time.Second)
			b := NewBatch(testPool, "00000000000000aa", 0, 0, step, []Item{NewItem(0, 0)}).
				WithWork("", "ordering", 3).WithTimes(time.Minute, time.Minute).WithFence(1).WithOfferNumber(tt.offer)
			if tt.resume {
				b = b.WithResume(0)
			}
			p.Offer(now, "c", b)
			if n := len(startCalls(p.TakeActions(now))); n != 0 {
				t.Fatalf("%d starts before the evacuations are known", n)
			}
			p.SetEvacuated(now, true)
			now += tt.after
			var got Status
			for _, a := range p.TakeActions(now) {
				if v, ok := a.(SendReport); ok && v.Report.OfferNumber() == tt.offer {
					got = v.Report.Status()
				}
			}
			if got != tt.want || (p.Queued() == 0) != (tt.want != "") {
				t.Errorf("reported %q, %d tasks wait, want %q", got, p.Queued(), tt.want)
			}
			for _, capacity := range p.Capacities(now) {
				if capacity.Total() != 0 || len(capacity.Free()) > 0 {
					t.Errorf("the pool reports the capacity %v", capacity)
				}
			}
		})
	}
}

// TestLoadGrowsAfterEvacuation guards against a cold target that gets its whole load at once
// when an evacuation ends, and against a load that stays low.
func TestLoadGrowsAfterEvacuation(t *testing.T) {
	now := time.Minute
	p := NewPool(testPool, 1, 1_000_000, now)
	rec := recordOf("t00", 1)
	rec = filbertford.NewTargetRecord(rec.Instance(), rec.Service(), rec.Address(), rec.DataCentre(), filbertford.NewResources(8000, 1000, 0)).WithColdFor(4 * time.Second)
	p.SetTargets(now, []filbertford.TargetRecord{rec})
	answerLists(p, now, "t00", 1, 1000)
	p.SetEvacuated(now, true)
	p.SetEvacuated(now, false)
	var items []Item
	for i := range 8 {
		items = append(items, NewItem(i, 0))
	}
	step := filbertford.NewStep(8, filbertford.NewResources(1000, 1, 0), time.Minute)
	p.Offer(now, "c", NewBatch(testPool, "00000000000000aa", 0, 0, step, items).
		WithWork("", "ordering", 3).WithTimes(time.Hour, time.Hour).WithFence(1))
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
