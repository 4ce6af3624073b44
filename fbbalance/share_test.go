package fbbalance

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/filbertford/filbertford"
)

// load returns the load of a pool with free targets of 32 cores and a total of 100.
func load(pool filbertford.PoolID, free int, backlog time.Duration) filbertford.PoolLoad {
	return filbertford.NewPoolLoad(pool, slices.Repeat([]int{32_000}, free), 100*32_000, backlog).WithRoundTrip(20 * time.Millisecond)
}

// waitingIn returns a job of four tasks in a pool, which may start within the given time.
func waitingIn(job filbertford.JobKey, pool filbertford.PoolID, latestStart time.Duration) filbertford.WaitingJob {
	return filbertford.NewWaitingJob(job, pool, 4, 16_000, 200*time.Millisecond).WithUrgency(1, latestStart).WithMovable(true)
}

// TestShareMoves guards against moves that cost bytes or time for nothing.
func TestShareMoves(t *testing.T) {
	const backlog = 4 * time.Millisecond // of the four tasks
	tests := map[string]struct {
		pools   []filbertford.PoolLoad
		waiting []filbertford.WaitingJob
		want    []filbertford.Move
	}{
		"to the home pool first":           {pools: []filbertford.PoolLoad{load("a", 0, backlog), load("b", 9, 0), load("home", 3, 0).WithHome(true)}, waiting: []filbertford.WaitingJob{waitingIn("1", "a", time.Second)}, want: []filbertford.Move{filbertford.NewMove("1", "a", "home", 4)}},
		"then to the pool with most free":  {pools: []filbertford.PoolLoad{load("home", 0, backlog).WithHome(true), load("a", 3, 0), load("b", 9, 0)}, waiting: []filbertford.WaitingJob{waitingIn("1", "home", time.Second)}, want: []filbertford.Move{filbertford.NewMove("1", "home", "b", 4)}},
		"as many tasks as fit":             {pools: []filbertford.PoolLoad{load("a", 0, backlog), load("b", 1, 0)}, waiting: []filbertford.WaitingJob{waitingIn("1", "a", time.Second)}, want: []filbertford.Move{filbertford.NewMove("1", "a", "b", 2)}},
		"none that are late after it":      {pools: []filbertford.PoolLoad{load("a", 0, backlog), load("b", 9, 0)}, waiting: []filbertford.WaitingJob{waitingIn("1", "a", 29*time.Millisecond)}},
		"none while others are on the way": {pools: []filbertford.PoolLoad{load("a", 0, backlog), load("b", 2, 0).WithPending(64_000)}, waiting: []filbertford.WaitingJob{waitingIn("1", "a", time.Second)}},
		"none between full pools":          {pools: []filbertford.PoolLoad{load("a", 0, backlog), load("b", 9, time.Millisecond)}, waiting: []filbertford.WaitingJob{waitingIn("1", "a", time.Second)}},
		"none from a pool without backlog": {pools: []filbertford.PoolLoad{load("a", 0, 0), load("b", 9, 0), load("c", 0, backlog)}, waiting: []filbertford.WaitingJob{waitingIn("1", "a", time.Second)}},
		"each job once":                    {pools: []filbertford.PoolLoad{load("a", 0, 2*backlog), load("b", 0, backlog), load("c", 9, 0), load("d", 9, 0)}, waiting: []filbertford.WaitingJob{waitingIn("1", "a", time.Second), waitingIn("1", "b", time.Second)}, want: []filbertford.Move{filbertford.NewMove("1", "a", "c", 4)}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			if got := (Share{}).Moves(tt.pools, tt.waiting); !slices.Equal(got, tt.want) {
				t.Errorf("moves are %v, want %v", got, tt.want)
			}
		})
	}
}

// TestSharesDoNotOversubscribe guards against 44 coordinators that all fill the same free
// targets.
func TestSharesDoNotOversubscribe(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	const rounds, coordinators, free = 200, 44, 30 // 30 targets hold 60 tasks
	total := 0
	for range rounds {
		for range coordinators {
			pools := []filbertford.PoolLoad{load("a", 0, 2*coordinators*4*time.Millisecond), load("b", free, 0).WithDraw(random.Float64())}
			for _, m := range (Share{}).Moves(pools, []filbertford.WaitingJob{waitingIn("1", "a", time.Second), waitingIn("2", "a", time.Second)}) {
				total += m.Tasks()
			}
		}
	}
	if mean := float64(total) / rounds; mean < 54 || mean > 66 {
		t.Errorf("%.1f tasks are moved to 60 free places on average", mean)
	}
}
