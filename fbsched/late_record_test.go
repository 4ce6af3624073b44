package fbsched

import (
	"testing"
	"time"

	"github.com/filbertford/filbertford"
)

// TestLateRecordOfMovedTargetRepeatsNoRun guards against a new owner that takes a target for ended because
// another one replies at the address in its record, which is that of an earlier instance.
func TestLateRecordOfMovedTargetRepeatsNoRun(t *testing.T) {
	now := time.Minute
	at := func(id filbertford.TargetID, startedAt int64, address string) filbertford.TargetRecord {
		return recordOf(id, startedAt).WithAddress(address)
	}
	p := NewPool(testPool, 2, 1_000_000, now)
	p.SetTargets(now, []filbertford.TargetRecord{at("t00", 1, "t00:80"), at("t01", 1, "t01:80")}) // they have swapped their addresses
	step := filbertford.NewStep(1, filbertford.NewResources(1000, 1, 0), time.Second)
	p.Offer(now, "c", NewBatch(testPool, "00000000000000aa", 0, 0, step, []Item{NewItem(0, 0).WithTarget("t01")}).
		WithWork("", "ordering", 3).WithTimes(time.Minute, time.Minute).WithFence(2).WithResume(0))
	answerPoll(p, now, pollOf(p, "t00"), filbertford.NewCallReply(filbertford.CallRestarted, 0))
	answerPoll(p, now, pollOf(p, "t01"), filbertford.NewCallReply(filbertford.CallRestarted, 0))
	now += 20 * time.Millisecond
	p.SetTargets(now, []filbertford.TargetRecord{at("t00", 3, "t01:80"), at("t01", 1, "t01:80")})
	answerLists(p, now, "t00", 3, 1000)
	for range 20 {
		now += 20 * time.Millisecond
		p.Tick(now, 1_000_000)
		if started := startCalls(p.TakeActions(now)); len(started) > 0 {
			t.Fatalf("the task was started on %s before the target at t00:80 was listed", started[0].Instance().ID())
		}
	}
	p.SetTargets(now, []filbertford.TargetRecord{at("t00", 3, "t01:80"), at("t01", 2, "t00:80")})
	key := filbertford.NewTaskKey("00000000000000aa", 0, 0, 0)
	answerLists(p, now, "t01", 2, 1000, filbertford.NewRunStatus(key, 7, 10))
	if task := p.tasks[key]; task == nil || task.run == nil || task.run.target.id() != "t01" {
		t.Error("the run on t01 was not adopted")
	}
	if p.Tick(now, 1_000_000); !p.allListed {
		t.Error("the pool waits for another target although all are listed")
	}
}

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
