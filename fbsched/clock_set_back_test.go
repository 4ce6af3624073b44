package fbsched

import (
	"testing"
	"time"

	"github.com/filbertford/filbertford"
)

// TestIdleTargetWithEarlierTimeIsUsed guards against an idle target that is left with the capacity of its
// earlier instance for ever, since its time of day was set back before it started again under its ID.
func TestIdleTargetWithEarlierTimeIsUsed(t *testing.T) {
	now := time.Minute
	p := NewPool(testPool, 1, 1_000_000, now)
	full := recordOf("t00", 2000).WithCapacity(filbertford.NewResources(500, 1000, 0))
	p.SetTargets(now, []filbertford.TargetRecord{full})
	answerLists(p, now, "t00", 2000, 500_000)
	now += time.Second
	p.Tick(now, 1_000_000)
	p.TakeActions(now)
	again := []filbertford.TargetRecord{recordOf("t00", 1000)}
	p.SetTargets(now, again)
	if !asksTarget(p.TakeActions(now)) {
		t.Fatal("the target isn't polled")
	}
	now += 20 * time.Millisecond
	answerPoll(p, now, pollOf(p, "t00"), filbertford.NewCallReply(filbertford.CallUnknown, 0))
	now += retryInterval + time.Millisecond
	p.SetTargets(now, again)
	if p.Tick(now, 1_000_000); !asksTarget(p.TakeActions(now)) {
		t.Fatal("the target isn't polled again after it hasn't replied")
	}
	answerLists(p, now, "t00", 1000, 30)
	step := filbertford.NewStep(1, filbertford.NewResources(1000, 1, 0), time.Second)
	p.Offer(now, "c", NewBatch(testPool, "00000000000000aa", 0, 0, step, []Item{NewItem(0, 0)}).
		WithWork("", "ordering", 3).WithTimes(time.Second, time.Minute).WithFence(1))
	started := startCalls(p.TakeActions(now))
	if len(started) != 1 || started[0].Instance().StartedAt() != 1000 {
		t.Errorf("starts are %v, want one on the instance that started at 1000", started)
	}
}

// TestRecordCountsOnlyForItsInstance guards against a target that gets tasks by the capacity in a late
// record of an earlier instance, which the pool doesn't know.
func TestRecordCountsOnlyForItsInstance(t *testing.T) {
	for name, earlier := range map[string]int64{"earlier time of day": 1000, "later time of day": 3000} {
		t.Run(name, func(t *testing.T) {
			now := time.Minute
			p := NewPool(testPool, 1, 1_000_000, now)
			p.SetTargets(now, []filbertford.TargetRecord{recordOf("t00", 2000)})
			answerLists(p, now, "t00", 2000, 500_000)
			now += time.Second
			p.TakeActions(now)
			late := []filbertford.TargetRecord{recordOf("t00", earlier).WithCapacity(filbertford.NewResources(9000, 1000, 0))}
			p.SetTargets(now, late)
			if !asksTarget(p.TakeActions(now)) {
				t.Fatal("the target isn't polled")
			}
			now += 20 * time.Millisecond
			answerLists(p, now, "t00", 2000, 501_020)
			p.TakeActions(now)
			now += 20 * time.Millisecond
			p.SetTargets(now, late)
			known := p.targets["t00"]
			if asksTarget(p.TakeActions(now)) || !p.usable(now, known, "ordering") {
				t.Error("the target is asked again after it has shown its start time")
			}
			if cpu := known.rec.Capacity().CPU(); cpu != 4000 {
				t.Errorf("its capacity is %d, want the 4000 of its own record", cpu)
			}
		})
	}
}

func asksTarget(actions []Action) bool {
	for _, a := range actions {
		if _, ok := a.(PollCall); ok {
			return true
		}
	}
	return false
}
