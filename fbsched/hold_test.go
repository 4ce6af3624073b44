package fbsched

import (
	"testing"
	"time"

	"github.com/filbertford/filbertford"
)

// TestHeldStartsWaitForRecords checks that a new owner with old target records starts no
// task before the records are read again, nor waits for them longer than it is told to.
func TestHeldStartsWaitForRecords(t *testing.T) {
	const hold = 300 * time.Millisecond
	tests := map[string]struct {
		readAfter time.Duration // 0 for never
		want      time.Duration // when the task starts, at most a tick later
	}{
		"records are read":      {readAfter: 100 * time.Millisecond, want: 100 * time.Millisecond},
		"store does not answer": {want: hold},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			sim := newSimulation(2, 2)
			o := &fakeOwner{node: "a", pool: NewPool(testPool, 1, 1_000_000, sim.now)}
			begin := sim.now
			o.pool.HoldStarts(begin + hold)
			sim.owners = append(sim.owners, o)
			o.pool.SetTargets(sim.now, sim.records())
			sim.scheduleTick(o)
			sim.announceOwner(o)
			sim.submit(1, "00000000000000aa", 1)
			if tt.readAfter != 0 {
				sim.after(tt.readAfter, func() {
					for _, target := range sim.targets {
						target.draining = target.rec.Instance().ID() == "t00"
					}
					o.pool.SetTargets(sim.now, sim.records())
					o.pool.ReleaseStarts()
				})
			}
			sim.advance(tt.want - time.Millisecond)
			if sim.starts != 0 {
				t.Errorf("%d tasks were started before %v, want none", sim.starts, tt.want)
			}
			sim.advance(25 * time.Millisecond)
			if sim.starts != 1 {
				t.Errorf("%d tasks were started %v after the takeover, want 1", sim.starts, sim.now-begin)
			}
			if tt.readAfter != 0 && len(sim.targets["t00"].runs) > 0 {
				t.Error("the task was started on the draining target")
			}
		})
	}
}

// TestResumedTaskWaitsForUnreadRecords checks a new owner that can't read the target records in
// time: it starts new tasks, but none that an earlier owner may have started on a target that it
// doesn't know.
func TestResumedTaskWaitsForUnreadRecords(t *testing.T) {
	const hold = 300 * time.Millisecond
	now := time.Minute
	p := NewPool(testPool, 2, 1_000_000, now)
	p.HoldStarts(now + hold)
	p.SetTargets(now, []filbertford.TargetRecord{recordOf("t00", 1)})
	answerLists(p, now, "t00", 1, 1000)
	step := filbertford.NewStep(1, filbertford.NewResources(1000, 1, 0), time.Second)
	batch := func(job filbertford.JobKey) Batch {
		return NewBatch(testPool, job, 0, 0, step, []Item{NewItem(0, 0)}).WithWork("", "ordering", 3).WithTimes(time.Minute, time.Minute).WithFence(2)
	}
	p.Offer(now, "c", batch("00000000000000aa"))
	p.Offer(now, "c", batch("00000000000000bb").WithResume(0))
	now += hold
	answerLists(p, now, "t00", 1, 1300)
	p.Tick(now, 1_000_000)
	started := startCalls(p.TakeActions(now))
	if len(started) != 1 || started[0].Task().Job() != "00000000000000aa" {
		t.Fatalf("starts are %v, want the new task", started)
	}
	p.ReleaseStarts()
	if started := startCalls(p.TakeActions(now)); len(started) != 1 || started[0].Task().Job() != "00000000000000bb" {
		t.Errorf("starts are %v after the records were read, want the resumed task", started)
	}
}
