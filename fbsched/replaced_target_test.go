package fbsched

import (
	"testing"
	"time"

	"github.com/filbertford/filbertford"
)

// TestSearchWaitsForTargetAtReplacedAddress checks a new owner that learns from a reply that one of
// its targets is gone, before it has read the record of the target that replied, which runs the task.
func TestSearchWaitsForTargetAtReplacedAddress(t *testing.T) {
	now := time.Minute
	p := NewPool(testPool, 2, 1_000_000, now)
	p.SetTargets(now, []filbertford.TargetRecord{recordOf("t00", 1), recordOf("t01", 1)})
	answerLists(p, now, "t01", 1, 500_000)
	answerPoll(p, now, pollOf(p, "t00"), filbertford.NewCallReply(filbertford.CallRestarted, 0))
	step := filbertford.NewStep(1, filbertford.NewResources(1000, 1, 0), time.Second)
	p.Offer(now, "c", NewBatch(testPool, "00000000000000aa", 0, 0, step, []Item{NewItem(0, 0)}).
		WithWork("", "ordering", 3).WithTimes(time.Second, time.Hour).WithFence(2).WithStored(true, true).WithResume(0))
	absent := func() bool {
		for _, a := range p.TakeActions(now) {
			if r, ok := a.(SendReport); ok && r.Report.Status() == StatusAbsent {
				return true
			}
		}
		return false
	}
	now += 20 * time.Millisecond
	if p.Tick(now, 1_000_000); absent() {
		t.Fatal("the task is reported as absent before the target at t00's address is known")
	}
	replacing := filbertford.NewTargetRecord(filbertford.NewTargetInstance("t00-1", 2), "ordering", "t00:80", "nordnes",
		filbertford.NewResources(4000, 1000, 0), "a", "r1")
	p.SetTargets(now, []filbertford.TargetRecord{recordOf("t01", 1), replacing})
	answerLists(p, now, "t00-1", 2, 100)
	now += 20 * time.Millisecond
	if p.Tick(now, 1_000_000); !absent() {
		t.Error("the task isn't reported as absent once all targets are listed")
	}
}

// TestLateRecordWithOtherAddressFreesNoRun checks a target of which a record of an earlier instance is
// read late, after its time of day was set back. Another target at the address in that record replies.
func TestLateRecordWithOtherAddressFreesNoRun(t *testing.T) {
	for name, lost := range map[string]int{"all calls are answered": 0, "calls to its own address are lost at first": 2} {
		t.Run(name, func(t *testing.T) {
			now := time.Minute
			p, first := poolWithRun(t, now)
			running := filbertford.NewRunStatus(first.Task(), first.Run(), 0)
			answerLists(p, now, "t00", 1, 1010, running)
			late := filbertford.NewTargetRecord(filbertford.NewTargetInstance("t00", 9), "ordering", "t01:80", "nordnes",
				filbertford.NewResources(4000, 1000, 0), "a", "r1")
			now += time.Millisecond
			p.SetTargets(now, []filbertford.TargetRecord{late, recordOf("t01", 1)})
			own, others, calls := 0, 0, 0
			for range 20 {
				now += 20 * time.Millisecond
				p.Tick(now, 1_000_000)
				actions := p.TakeActions(now)
				if again := startCalls(actions); len(again) > 0 {
					t.Fatalf("the task was started again on %s beside its run", again[0].Instance().ID())
				}
				for _, a := range actions {
					c, ok := a.(PollCall)
					if !ok || c.Request.Instance().ID() != "t00" {
						continue
					}
					reply := filbertford.NewCallReply(filbertford.CallRestarted, 0)
					if calls++; calls <= lost {
						reply = filbertford.NewCallReply(filbertford.CallUnknown, 0)
					} else if c.Request.Address() == "t00:80" {
						own++
						reply = filbertford.NewCallReply(filbertford.CallDone, 1010+int64(20*calls)).WithStartedAt(1).WithRuns([]filbertford.RunStatus{running}, nil)
					} else {
						others++
					}
					p.HandlePollReply(now, c, reply, now, now)
				}
			}
			if r := p.activeRuns[first.Task()]; r == nil || r.number != first.Run() {
				t.Error("the pool has lost the run")
			}
			if own == 0 || others > 2 {
				t.Errorf("of %d polls %d were answered by the target itself and %d by the other one, want 2 of the latter at most", calls, own, others)
			}
		})
	}
}
