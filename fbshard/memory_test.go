package fbshard

import (
	"strings"
	"testing"
	"time"

	"github.com/filbertford/filbertford"
	"github.com/filbertford/filbertford/fbsched"
)

// TestJobsAreCountedUntilTheyEnd checks that a job beyond the limit is refused and can be stored
// once another has ended, and that a lost shard counts for nothing.
func TestJobsAreCountedUntilTheyEnd(t *testing.T) {
	h := newTestHarness()
	job := testJob(1)
	memory := NewMemory(job.MemoryBytes() + endedBytes + job.TextBytes())
	o := New("shard-0", "n1", 5).WithMemory(memory)
	h.completeAllCalls(o)
	submit := func(id uint64, w filbertford.Workload) Reply {
		o.Submit(id, filbertford.NewRoute("h", "/p/", "s"), w)
		h.completeAllCalls(o)
		return h.replies[id]
	}
	if r := submit(1, job); !r.Accepted {
		t.Errorf("first job: got reply %+v, want it accepted", r)
	}
	if r := submit(2, testJob(2)); r.Accepted || r.State != StateRefused {
		t.Errorf("second job: got reply %+v, want it refused", r)
	}
	if r := submit(3, job); !r.Accepted {
		t.Errorf("copy of the first job: got reply %+v, want it accepted", r)
	}
	o.Cancel(4, job.Key())
	h.completeAllCalls(o)
	if r := submit(5, testJob(2)); !r.Accepted {
		t.Errorf("second job after the end of the first: got reply %+v, want it accepted", r)
	}
	if o.Release(); memory.Used() != 0 {
		t.Errorf("%d bytes are counted after the loss of the shard, want 0", memory.Used())
	}
}

// TestRowOfFailedTasksFits checks that a job whose tasks fail again and again is stored, and that one
// that can't be stored doesn't keep the others of the shard from it.
func TestRowOfFailedTasksFits(t *testing.T) {
	h := newTestHarness()
	o := New("shard-0", "n1", 5)
	h.completeAllCalls(o)
	step := filbertford.NewStep(2000, filbertford.NewResources(1, 1, 0), time.Second)
	many := filbertford.NewWorkload("00000000000000aa", "spec", step)
	o.Submit(1, testRoute.WithPolicy(0, 9), many)
	h.completeAllCalls(o)
	for i := range 2000 {
		o.RecordTask(filbertford.NewTaskKey(many.Key(), 0, 0, i), fbsched.NewProgress(false, 1).WithFailedRun(1<<50).WithCrashes(1))
		h.completeAllCalls(o)
	}
	huge := filbertford.NewWorkload("00000000000000ab", "spec", step.WithPlacement(strings.Repeat("x", maxRowBytes), "", 0))
	o.Submit(2, testRoute, huge)
	o.Submit(3, testRoute, testJob(1))
	h.completeAllCalls(o)
	if h.replies[2].Accepted || !h.replies[3].Accepted {
		t.Errorf("got replies %+v to a job that doesn't fit and %+v to the next one, want only the second accepted", h.replies[2], h.replies[3])
	}
	for key, row := range h.store.rows[filbertford.TableJobs] {
		if n := len(row.Value()); n > maxRowBytes {
			t.Errorf("the row of job %s has %d bytes, want at most %d", key, n, maxRowBytes)
		}
	}
	if len(h.store.rows[filbertford.TableJobs]) != 2 {
		t.Errorf("%d jobs are stored, want 2", len(h.store.rows[filbertford.TableJobs]))
	}
}
