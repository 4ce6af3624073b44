package fbshard

import (
	"testing"

	"github.com/filbertford/filbertford"
	"github.com/filbertford/filbertford/fbsched"
)

// TestFailedRunsSurviveOwners guards against failed runs whose numbers the next owner of the shard doesn't know.
func TestFailedRunsSurviveOwners(t *testing.T) {
	h := newTestHarness()
	o := New("jobs/0", "a", 1)
	h.collect(o)
	o.Submit(1, testRoute.WithPolicy(0, 5), testJob(1))
	h.completeAllCalls(o)
	key := filbertford.NewTaskKey(testJob(1).Key(), 0, 0, 1)
	for _, step := range []struct {
		recorded, want fbsched.Progress
	}{
		{fbsched.NewProgress(false, 2).WithFailedRun(9), fbsched.NewProgress(false, 2).WithFailedRun(9)},
		{fbsched.NewProgress(false, 1).WithFailedRun(7), fbsched.NewProgress(false, 2).WithFailedRun(9)},
		{fbsched.NewProgress(false, 3), fbsched.NewProgress(false, 3)}, // of an earlier version
		{fbsched.NewProgress(false, 3).WithFailedRun(11), fbsched.NewProgress(false, 3).WithFailedRun(11)},
		{fbsched.NewProgress(true, 3).WithFailedRun(11), fbsched.NewProgress(true, 3)}, // not needed any more
	} {
		o.RecordTask(key, step.recorded)
		h.completeAllCalls(o)
		next := New("jobs/0", "b", o.Fence()+1)
		h.collect(next)
		h.completeAllCalls(next)
		if got := next.jobs[key.Job()].progress(0, 1); got != step.want {
			t.Errorf("%+v is read after %+v was recorded, want %+v", got, step.recorded, step.want)
		}
		o = next
	}
}
