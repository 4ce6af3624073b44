package fbshard

import (
	"testing"

	"github.com/filbertford/filbertford"
	"github.com/filbertford/filbertford/fbsched"
)

// TestOwnerWithEndedJobsLosesShard checks an owner all of whose jobs have ended and that was cut
// off while another daemon owned the shard, stored a job and ended. The other daemons take the
// first one for the owner again, and nobody would run that job until the next submission.
func TestOwnerWithEndedJobsLosesShard(t *testing.T) {
	h := newTestHarness()
	o := New("jobs/0", "a", 1)
	h.collect(o)
	h.completeAllCalls(o)
	o.Submit(1, testRoute, testJob(1))
	h.collect(o)
	h.completeAllCalls(o)
	for _, key := range o.JobKeys() {
		for step, tasks := range o.jobs[key].done {
			for index := range tasks {
				o.RecordTask(filbertford.NewTaskKey(key, 0, step, index), fbsched.NewProgress(true, 0))
			}
		}
	}
	h.collect(o)
	h.completeAllCalls(o)
	other := New("jobs/0", "b", 2)
	h.collect(other)
	h.completeAllCalls(other)
	other.Submit(2, testRoute, testJob(2))
	h.collect(other)
	h.completeAllCalls(other)
	o.VerifyClaim("nordnes")
	h.collect(o)
	h.completeAllCalls(o)
	if !h.lost[o] {
		t.Errorf("the owner keeps the shard with the jobs %v; %d are stored", o.JobKeys(), len(other.jobs))
	}
}
