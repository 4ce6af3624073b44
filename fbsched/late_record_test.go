package fbsched

import (
	"testing"
	"time"

	"github.com/filbertford/filbertford"
)

// TestResumedTaskWaitsForLateRecord checks a new owner that learns of a target after it has listed
// all others: a task that an earlier owner may have started there waits for its lists too.
func TestResumedTaskWaitsForLateRecord(t *testing.T) {
	now := time.Minute
	p := NewPool(testPool, 2, 1_000_000, now)
	p.SetTargets(now, []filbertford.TargetRecord{recordOf("t00", 1)})
	answerLists(p, now, "t00", 1, 1000)
	now += 50 * time.Millisecond
	p.SetTargets(now, []filbertford.TargetRecord{recordOf("t00", 1), recordOf("t01", 1)})
	step := filbertford.NewStep(1, filbertford.NewResources(1000, 1, 0), time.Second)
	p.Offer(now, "c", NewBatch(testPool, "00000000000000aa", 0, 0, step, []Item{NewItem(0, 0)}).
		WithWork("", "ordering", 3).WithTimes(time.Minute, time.Minute).WithFence(2).WithResume(0))
	if started := startCalls(p.TakeActions(now)); len(started) > 0 {
		t.Fatalf("the task was started on %s before t01 was listed", started[0].Instance().ID())
	}
	key := filbertford.NewTaskKey("00000000000000aa", 0, 0, 0)
	answerLists(p, now, "t01", 1, 1000, filbertford.NewRunStatus(key, 7, 10))
	if task := p.tasks[key]; task == nil || task.run == nil || task.run.target.id() != "t01" {
		t.Error("the run on t01 was not adopted")
	}
}
