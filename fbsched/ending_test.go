package fbsched

import (
	"testing"
	"time"

	"github.com/filbertford/filbertford"
)

// resendDelay is the time after which the callers of the platform send a job again.
const resendDelay = 1300 * time.Millisecond

// TestRunEndsBeforeItsJobIsSentAgain checks that the lease of a run that is to end isn't
// extended beyond the time at which its caller sends the job again, even if no stop gets
// through and the target answers all polls.
func TestRunEndsBeforeItsJobIsSentAgain(t *testing.T) {
	key := filbertford.NewTaskKey("00000000000000aa", 0, 0, 0)
	other := filbertford.NewTaskKey("00000000000000bb", 0, 0, 0)
	step := filbertford.NewStep(1, filbertford.NewResources(1000, 1, 0), 20*time.Second)
	offer := func(p *Pool, now time.Duration, key filbertford.TaskKey, node filbertford.NodeID) {
		p.Offer(now, node, NewBatch(testPool, key.Job(), 0, 0, step, []Item{NewItem(0, 0)}).
			WithWork("", "ordering", 3).WithTimes(time.Minute, time.Minute).WithFence(2))
	}
	tests := map[string]struct {
		inherited bool
		do        func(p *Pool, now time.Duration)
	}{
		"job is withdrawn":          {do: func(p *Pool, now time.Duration) { p.Withdraw(now, "c", key.Job()) }},
		"coordinator is lost":       {do: func(p *Pool, now time.Duration) { p.CoordinatorUnreachable(now, "c") }},
		"no coordinator claims run": {inherited: true, do: func(*Pool, time.Duration) {}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			now := time.Minute
			clock := func() int64 { return (now - time.Minute).Milliseconds() + 1000 }
			p := NewPool(testPool, 2, 1_000_000, now)
			p.SetTargets(now, []filbertford.TargetRecord{recordOf("t00", 1)})
			running := make(map[filbertford.TaskKey]uint64)
			var lease int64 // the end of the lease, on the target's clock
			extend := func(to int64) { lease = max(lease, min(to, clock()+maxLease.Milliseconds())) }
			answer := func() {
				for _, a := range p.TakeActions(now) {
					switch v := a.(type) {
					case StartCall:
						running[v.Request.Task()] = v.Request.Run()
						extend(v.Request.Lease())
						p.HandleStartReply(now, v.Request, filbertford.NewCallReply(filbertford.CallDone, clock()), now, now)
					case PollCall:
						extend(v.Request.Lease())
						var runs []filbertford.RunStatus
						for task, run := range running {
							runs = append(runs, filbertford.NewRunStatus(task, run, 1+int(clock()/100)))
						}
						p.HandlePollReply(now, v, filbertford.NewCallReply(filbertford.CallDone, clock()).WithStartedAt(1).WithRuns(runs, nil), now, now)
					}
				}
			}
			step := func(d time.Duration) {
				for end := now + d; now < end; now += 20 * time.Millisecond {
					p.Tick(now, 1_000_000)
					answer()
				}
			}
			if tt.inherited {
				running[key], running[other] = 7, 9 // the other one is adopted
				extend(clock() + 20)                // of the earlier owner
			}
			answer()
			offer(p, now, other, "d")
			if !tt.inherited {
				offer(p, now, key, "c")
			}
			step(100 * time.Millisecond)
			if len(running) != 2 {
				t.Fatalf("%d runs, want 2", len(running))
			}
			tt.do(p, now)
			from := clock()
			if tt.inherited {
				from = 1000 - leaseDuration.Milliseconds() // the earlier owner may have been lost so long ago
			}
			step(2 * time.Second)
			if lease > from+resendDelay.Milliseconds() {
				t.Errorf("the lease ends %d ms after the job was lost, want %v at most", lease-from, resendDelay)
			}
		})
	}
}
