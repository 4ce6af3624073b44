package fbsched

import (
	"testing"
	"time"

	"github.com/filbertford/filbertford"
)

// TestLostWithdrawalEndsRuns checks a coordinator whose connection breaks while it withdraws a
// job, so that the withdrawal is lost: the pool ends the job's tasks when the coordinator is
// connected again and doesn't offer them, and keeps those that it offers.
func TestLostWithdrawalEndsRuns(t *testing.T) {
	now := time.Minute
	p := NewPool(testPool, 1, 1_000_000, now)
	p.SetTargets(now, []filbertford.TargetRecord{recordOf("t00", 1)})
	answerLists(p, now, "t00", 1, 1000)
	p.TakeActions(now)
	step := filbertford.NewStep(2, filbertford.NewResources(1000, 1, 0), 10*time.Second)
	batch := func(job filbertford.JobKey, stored bool) Batch {
		return NewBatch(testPool, job, 0, 0, step, []Item{NewItem(0, 0), NewItem(1, 0)}).
			WithWork("", "ordering", 3).WithTimes(time.Minute, time.Minute).WithFence(1).WithStored(stored, false)
	}
	p.Offer(now, "c", batch("00000000000000aa", false)) // withdrawn, the pool doesn't learn of it
	p.Offer(now, "c", batch("00000000000000bb", false))
	p.Offer(now, "c", batch("00000000000000cc", true)) // offered again when its shard was verified
	p.Offer(now, "d", batch("00000000000000dd", false))
	started := startCalls(p.TakeActions(now))
	if len(started) != 4 {
		t.Fatalf("%d starts, want 4", len(started))
	}
	var running []filbertford.RunStatus
	for _, s := range started {
		p.HandleStartReply(now, s, filbertford.NewCallReply(filbertford.CallDone, 1000), now, now)
		running = append(running, filbertford.NewRunStatus(s.Task(), s.Run(), 50))
	}
	now += 50 * time.Millisecond
	p.CoordinatorConnected(now, "c")
	p.Offer(now, "c", batch("00000000000000bb", false).WithResume(0))
	stopped := make(map[filbertford.JobKey]int)
	for end := now + reofferTimeout + 20*time.Millisecond; now < end; now += 20 * time.Millisecond {
		p.Tick(now, 1_000_000)
		for _, a := range p.TakeActions(now) {
			switch v := a.(type) {
			case PollCall:
				clock := 1000 + (now - time.Minute).Milliseconds()
				p.HandlePollReply(now, v, filbertford.NewCallReply(filbertford.CallDone, clock).WithStartedAt(1).WithRuns(running, nil), now, now)
			case Event:
				if v.Kind == EventRunStopped {
					stopped[v.Task.Job()]++
				}
			}
		}
	}
	if len(stopped) != 1 || stopped["00000000000000aa"] != 2 {
		t.Errorf("stopped runs by job are %v, want 2 of 00000000000000aa", stopped)
	}
	for _, job := range []filbertford.JobKey{"00000000000000bb", "00000000000000cc", "00000000000000dd"} {
		if p.tasks[filbertford.NewTaskKey(job, 0, 0, 0)] == nil {
			t.Errorf("the pool has lost the tasks of %s", job)
		}
	}
}
