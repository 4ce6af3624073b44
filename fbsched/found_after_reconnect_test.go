package fbsched

import (
	"testing"
	"time"

	"github.com/filbertford/filbertford"
)

// TestRunFoundAfterReconnectEndsInTime: the withdrawal of a job is lost with its stream.
func TestRunFoundAfterReconnectEndsInTime(t *testing.T) {
	for name, foundFirst := range map[string]bool{"found before the reconnect": true, "found after it": false} {
		t.Run(name, func(t *testing.T) {
			now := time.Minute
			p := NewPool(testPool, 2, 1_000_000, now)
			p.SetTargets(now, []filbertford.TargetRecord{recordOf("t00", 1)})
			key := filbertford.NewTaskKey("00000000000000aa", 0, 0, 0)
			step := filbertford.NewStep(1, filbertford.NewResources(1000, 1, 0), 10*time.Second)
			p.CoordinatorHeard(now, "c")
			p.Offer(now, "c", NewBatch(testPool, key.Job(), 0, 0, step, []Item{NewItem(0, 0)}).
				WithWork("", "ordering", 3).WithTimes(time.Minute, time.Minute).WithFence(2).WithResume(0))
			p.TakeActions(now)
			lost := now
			clock := func() int64 { return 1000 + (now - lost).Milliseconds() }
			if foundFirst {
				answerLists(p, now, "t00", 1, clock(), filbertford.NewRunStatus(key, 8, 10))
			}
			now += 700 * time.Millisecond
			p.CoordinatorConnected(now, "c")
			p.CoordinatorHeard(now, "c")
			if !foundFirst {
				answerLists(p, now, "t00", 1, clock(), filbertford.NewRunStatus(key, 8, 10))
			}
			p.TakeActions(now)
			stopped := false
			for ; now < lost+2*time.Second; now += 10 * time.Millisecond {
				p.CoordinatorHeard(now, "c")
				p.Tick(now, 1_000_000)
				for _, a := range p.TakeActions(now) {
					switch v := a.(type) {
					case PollCall:
						if end := v.Request.Lease() - 1000; end > silentLease.Milliseconds() {
							t.Fatalf("a poll extends the lease until %d ms after the last message", end)
						}
						status := filbertford.NewRunStatus(key, 8, 10+int((now-lost)/(50*time.Millisecond)))
						p.HandlePollReply(now, v, filbertford.NewCallReply(filbertford.CallDone, clock()).WithStartedAt(1).WithRuns([]filbertford.RunStatus{status}, nil), now, now)
					case StopCall:
						stopped = true
					}
				}
				if !stopped && now > lost+silentLease {
					t.Fatalf("no stop within %v of the last message", silentLease)
				}
			}
		})
	}
}
