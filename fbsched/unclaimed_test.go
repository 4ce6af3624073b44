package fbsched

import (
	"testing"
	"time"

	"github.com/filbertford/filbertford"
)

// TestSuccessiveOwnersDoNotProlongRunOfLostCoordinator: none of the owners hears a coordinator.
func TestSuccessiveOwnersDoNotProlongRunOfLostCoordinator(t *testing.T) {
	sim := newSimulation(1, 2)
	sim.taskDuration = 6 * time.Second
	sim.targets["t00"].clockRate = 1 - maxClockDrift
	a := sim.addOwner("a", 1)
	sim.advance(100 * time.Millisecond)
	sim.announceOwner(a)
	sim.submit(1, "00000000000000aa", 1)
	sim.advance(time.Second)
	key := filbertford.NewTaskKey("00000000000000aa", 0, 0, 0)
	if sim.running[key] != 1 {
		t.Fatal("the task doesn't run")
	}
	lostAt := sim.now
	sim.coordinatorPaused, a.stopped = true, true
	sim.advance(500 * time.Millisecond)
	for fence := uint64(2); fence < 10; fence++ {
		o := sim.addOwner("b", fence)
		for range 20 {
			sim.advance(10 * time.Millisecond)
			if d := sim.now - lostAt; d > resendDelay && sim.running[key] > 0 {
				t.Fatalf("the task runs %v after its coordinator was lost, under owner %d", d, fence)
			}
		}
		o.stopped = true
	}
}

// TestClaimedRunOutlivesShortLease: the lease ends soon after the coordinator has offered the task.
func TestClaimedRunOutlivesShortLease(t *testing.T) {
	sim := newSimulation(1, 2)
	sim.taskDuration = time.Second
	a := sim.addOwner("a", 1)
	sim.advance(30 * time.Millisecond)
	sim.announceOwner(a)
	sim.submit(1, "00000000000000aa", 1)
	sim.advance(100 * time.Millisecond)
	a.stopped = true
	b := sim.addOwner("b", 2)
	target := sim.targets["t00"]
	target.lease = target.clock() + 60*time.Millisecond
	sim.advance(30 * time.Millisecond)
	sim.announceOwner(b)
	sim.advance(2 * time.Second)
	if sim.starts != 1 || sim.answers[1] != filbertford.AnswerCompleted {
		t.Errorf("%d starts, answer %q, want 1 and completed", sim.starts, sim.answers[1])
	}
}

// TestUnclaimedRunIsStoppedOnceAllHaveOffered: runs that can be claimed no more keep their capacity.
func TestUnclaimedRunIsStoppedOnceAllHaveOffered(t *testing.T) {
	tests := map[string]struct {
		number    uint64
		awaited   []filbertford.NodeID
		within    time.Duration // of the offers of the only coordinator
		notBefore time.Duration
	}{
		"all have offered":      {number: 8, within: 30 * time.Millisecond},
		"another is awaited":    {number: 8, awaited: []filbertford.NodeID{"d"}, notBefore: 200 * time.Millisecond, within: adoptionTimeout},
		"the job is stored":     {number: 9, notBefore: 200 * time.Millisecond, within: adoptionTimeout},
		"another is lost later": {number: 8, awaited: []filbertford.NodeID{"lost"}, within: 30 * time.Millisecond},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			sim := newSimulation(1, 2)
			key := filbertford.NewTaskKey("00000000000000bb", 0, 0, 0)
			target := sim.targets["t00"]
			target.lease = target.clock() + maxLease
			target.runs[key] = &fakeRun{number: tt.number, endsAt: sim.now + 2*time.Second, outcome: filbertford.RunDone}
			sim.started(key, target)
			o := sim.addOwner("a", 1)
			o.pool.AwaitOffers(append(tt.awaited, sim.node))
			sim.advance(10 * time.Millisecond)
			sim.announceOwner(o)
			o.pool.CoordinatorUnreachable(sim.now, "lost")
			sim.advance(tt.notBefore)
			if tt.notBefore > 0 && sim.running[key] != 1 {
				t.Errorf("the run was stopped within %v", tt.notBefore)
			}
			sim.advance(tt.within - tt.notBefore + 30*time.Millisecond)
			if sim.running[key] != 0 {
				t.Errorf("the run was not stopped within %v", tt.within)
			}
		})
	}
}
