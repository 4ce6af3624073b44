package fbsched

import (
	"testing"
	"time"

	"github.com/filbertford/filbertford"
)

// TestRunEndsWhileItsCoordinatorIsSilent checks that the lease of a run whose coordinator is
// lost ends before the coordinator's callers send their jobs again, although no stop gets
// through and the owner is suspended before or after it notices the loss.
func TestRunEndsWhileItsCoordinatorIsSilent(t *testing.T) {
	const never = time.Hour
	// The times count from the loss of the coordinator.
	tests := map[string]struct {
		pausesAt, resumesAt, noticesAt time.Duration
		stopTime                       time.Duration // if not 0, calls get through, but the target carries stops out late
	}{
		"owner notices the loss":              {pausesAt: never, resumesAt: never, noticesAt: time.Second},
		"owner pauses after it notices":       {pausesAt: 1001 * time.Millisecond, resumesAt: never, noticesAt: time.Second},
		"owner pauses before it notices":      {pausesAt: 750 * time.Millisecond, resumesAt: never, noticesAt: never},
		"owner resumes before it notices":     {pausesAt: 100 * time.Millisecond, resumesAt: 600 * time.Millisecond, noticesAt: time.Second},
		"last messages arrive during a pause": {pausesAt: -150 * time.Millisecond, resumesAt: 650 * time.Millisecond, noticesAt: 1050 * time.Millisecond},
		"stop takes long":                     {pausesAt: never, resumesAt: never, noticesAt: time.Second, stopTime: 3 * time.Second},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			sim := newSimulation(1, 2)
			sim.taskDuration = 6 * time.Second
			a := sim.addOwner("a", 1)
			sim.advance(100 * time.Millisecond)
			sim.announceOwner(a)
			sim.submit(1, "00000000000000aa", 1)
			sim.advance(time.Second)
			key := filbertford.NewTaskKey("00000000000000aa", 0, 0, 0)
			if sim.running[key] != 1 {
				t.Fatal("the task doesn't run")
			}
			lostAt := sim.now + 200*time.Millisecond
			at := func(d time.Duration, do func()) { sim.after(lostAt+d-sim.now, do) }
			at(0, func() { sim.coordinatorPaused = true })
			at(tt.pausesAt, func() { a.paused = true })
			at(tt.resumesAt, func() { sim.resume(a) })
			at(tt.noticesAt, func() {
				sim.targets["t00"].stopTime = tt.stopTime
				sim.linkDown = func(*fakeOwner, string) (request, reply bool) { return tt.stopTime == 0, false }
				a.pool.CoordinatorUnreachable(sim.now, sim.node)
			})
			for sim.advance(200 * time.Millisecond); sim.running[key] > 0 && sim.now < lostAt+5*time.Second; {
				sim.advance(10 * time.Millisecond)
			}
			if d := sim.now - lostAt; d > resendDelay {
				t.Errorf("the run ends %v after its coordinator was lost, want %v at most", d, resendDelay)
			}
			if sim.running[key] > 0 {
				t.Error("the run doesn't end")
			}
		})
	}
}

// TestRunOutlivesSilenceOfItsCoordinator checks that a run isn't lost if its coordinator isn't
// heard for less time than the owner needs to notice a loss in a large fleet, or if the owner
// itself is suspended.
func TestRunOutlivesSilenceOfItsCoordinator(t *testing.T) {
	tests := map[string]func(sim *simulation, a *fakeOwner, silent bool){
		"coordinator is paused": func(sim *simulation, _ *fakeOwner, silent bool) { sim.coordinatorPaused = silent },
		"owner is suspended": func(sim *simulation, a *fakeOwner, silent bool) {
			if a.paused = silent; !silent {
				a.paused = true
				sim.resume(a)
			}
		},
	}
	for name, setSilent := range tests {
		t.Run(name, func(t *testing.T) {
			sim := newSimulation(1, 2)
			sim.taskDuration = 6 * time.Second
			a := sim.addOwner("a", 1)
			sim.advance(100 * time.Millisecond)
			sim.announceOwner(a)
			sim.submit(1, "00000000000000aa", 1)
			sim.advance(200 * time.Millisecond)
			for range 5 {
				setSilent(sim, a, true)
				sim.advance(580 * time.Millisecond)
				setSilent(sim, a, false)
				sim.advance(500 * time.Millisecond)
			}
			for _, do := range sim.coordinatorWaits {
				do()
			}
			sim.coordinatorWaits = nil
			sim.advance(3 * time.Second)
			if sim.starts != 1 || sim.answers[1] != filbertford.AnswerCompleted {
				t.Errorf("%d starts, answer %q, want 1 and completed", sim.starts, sim.answers[1])
			}
		})
	}
}

// TestStartWhileCoordinatorIsSilent checks that a task doesn't start while its coordinator may
// be lost, and that the silence of another coordinator doesn't shorten the lease of a start on
// a target that has been idle, whose clock is known only roughly.
func TestStartWhileCoordinatorIsSilent(t *testing.T) {
	for silence, want := range map[time.Duration]int{100 * time.Millisecond: 1, 300 * time.Millisecond: 1, 500 * time.Millisecond: 0} {
		t.Run(silence.String(), func(t *testing.T) {
			now := time.Minute
			p := NewPool(testPool, 2, 1_000_000, now)
			p.SetTargets(now, []filbertford.TargetRecord{recordOf("t00", 1)})
			for _, a := range p.TakeActions(now) {
				if v, ok := a.(PollCall); ok {
					p.HandlePollReply(now, v, filbertford.NewCallReply(filbertford.CallDone, 1000).WithStartedAt(1), now, now)
				}
			}
			now += time.Minute
			const clock = 61_000
			p.CoordinatorHeard(now-silence, "c")
			p.CoordinatorHeard(now-700*time.Millisecond, "d")
			p.Tick(now, 1_000_000)
			step := filbertford.NewStep(1, filbertford.NewResources(1000, 1, 0), time.Second)
			p.Offer(now, "c", NewBatch(testPool, "00000000000000aa", 0, 0, step, []Item{NewItem(0, 0)}).
				WithWork("", "ordering", 3).WithTimes(time.Minute, time.Minute).WithFence(2))
			starts := 0
			for _, a := range p.TakeActions(now) {
				lease := clock + leaseDuration.Milliseconds()
				switch v := a.(type) {
				case StartCall:
					starts++
					lease = v.Request.Lease()
				case PollCall:
					lease = v.Request.Lease()
				}
				if left := lease - clock; left != leaseDuration.Milliseconds() {
					t.Errorf("%T grants a lease of %d ms, want %v", a, left, leaseDuration)
				}
			}
			if starts != want {
				t.Errorf("%d starts, want %d", starts, want)
			}
		})
	}
}
