package fbshard

import (
	"testing"

	"github.com/filbertford/filbertford"
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
