package fbpolicy_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/filbertford/filbertford"
	"github.com/filbertford/filbertford/fbpolicy"
)

// BenchmarkPlace measures a placement and its observation while 80 % of the slots
// are in use.
func BenchmarkPlace(b *testing.B) {
	for _, targets := range []int{50, 880, 8800} {
		b.Run(fmt.Sprint(targets), func(b *testing.B) {
			p := fbpolicy.NewAdaptive(1)
			p.SetShare(0, 9)
			now := epoch
			candidates := make([]filbertford.Candidate, targets)
			for i := range candidates {
				id := filbertford.TargetID(fmt.Sprintf("t%d", i))
				candidates[i] = filbertford.NewCandidate(id, 8, i%2, 8*(i%5)/4-1).WithLastReply(now)
			}
			task := filbertford.NewWaitingTask(simService, 200*time.Millisecond, 5, 20, 0).WithQueuePosition(10)
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(500 * time.Microsecond)
				i, ok := p.Place(now, task, candidates)
				if !ok {
					b.Fatal("no target")
				}
				p.Observe(now, filbertford.NewObservation(
					candidates[i].ID(), simService, "job", task.Size(), filbertford.OutcomeDone, 200*time.Millisecond, 201*time.Millisecond))
			}
		})
	}
}
