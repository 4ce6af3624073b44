package fbshard

import (
	"testing"
	"time"

	"github.com/filbertford/filbertford"
	"github.com/filbertford/filbertford/fbsched"
)

// overwriteJob replaces the row of a job, as another writer does.
func (h *testHarness) overwriteJob(i int, value string) {
	h.store.version++
	key := string(testJob(i).Key())
	h.store.rows[filbertford.TableJobs][key] = filbertford.NewRow(key, []byte(value), h.store.version)
}

// completeCalls lets the store answer up to limit calls in 10 s, and reports whether that were all.
func (h *testHarness) completeCalls(o *Owner, limit int) bool {
	for range 100 {
		h.now += retryDelay
		o.Tick(h.now)
		h.collect(o)
		for h.completeCall(o, callAnswered) {
			if limit--; limit < 0 {
				return false
			}
		}
	}
	return true
}

// TestOverwrittenRowOfJobDoesNotStopShard guards against a shard that accepts, ends and cancels no jobs
// any more, since another writer has left a row in the place of one of its jobs.
func TestOverwrittenRowOfJobDoesNotStopShard(t *testing.T) {
	h := newTestHarness()
	o := New("jobs/0", "n1", 5)
	h.collect(o)
	o.Submit(1, testRoute, testJob(1))
	o.Submit(2, testRoute, testJob(2))
	h.completeAllCalls(o)
	h.overwriteJob(1, "{")
	for index := range 2 {
		o.RecordTask(filbertford.NewTaskKey(testJob(1).Key(), 0, 0, index), fbsched.NewProgress(true, 0))
	}
	o.Cancel(3, testJob(2).Key())
	o.Submit(4, testRoute, testJob(4))
	if !h.completeCalls(o, 100) {
		t.Fatal("more than 100 calls in 10 s")
	}
	o.State(5, testJob(1).Key())
	h.collect(o)
	if h.replies[3].State != StateCancelled || !h.replies[4].Accepted || h.replies[5].State != StateCompleted {
		t.Errorf("replies are %+v", h.replies)
	}
	row := h.store.rows[filbertford.TableJobs][string(testJob(1).Key())]
	if j, err := decodeJob(testJob(1).Key(), row.Value()); err != nil || j.state != StateCompleted {
		t.Errorf("the row of the job is %q, error %v", row.Value(), err)
	}
}

// TestSubmissionOverOddRowDoesNotStopShard guards against a shard that accepts no jobs any more, since
// a job is submitted whose row can't be decoded. The row may be that of the same job, so it stays.
func TestSubmissionOverOddRowDoesNotStopShard(t *testing.T) {
	h := newTestHarness()
	h.overwriteJob(1, "{")
	o := New("jobs/0", "n1", 5)
	h.completeAllCalls(o)
	o.Submit(1, testRoute, testJob(1))
	o.Submit(2, testRoute, testJob(2))
	if !h.completeCalls(o, 100) {
		t.Fatal("more than 100 calls in 10 s")
	}
	o.Submit(3, testRoute, testJob(1))
	o.Submit(4, testRoute, testJob(4))
	if !h.completeCalls(o, 100) {
		t.Fatal("more than 100 calls in 10 s after the second submission")
	}
	if h.replies[1].Accepted || h.replies[3].Accepted || !h.replies[2].Accepted || !h.replies[4].Accepted || h.started[testJob(1).Key()] != 0 {
		t.Errorf("replies are %+v, started %v", h.replies, h.started)
	}
	if row := h.store.rows[filbertford.TableJobs][string(testJob(1).Key())]; string(row.Value()) != "{" {
		t.Errorf("the row that can't be decoded is now %q", row.Value())
	}
	o.State(5, testJob(1).Key())
	h.completeCalls(o, 100)
	h.now += time.Minute
	o.Tick(h.now)
	h.collect(o)
	if len(o.requests) > 0 {
		t.Errorf("%d requests are kept", len(o.requests))
	}
}
