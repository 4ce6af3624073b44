package fbpolicy_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/filbertford/filbertford"
	"github.com/filbertford/filbertford/fbpolicy"
)

// BenchmarkPlace measures a placement together with its observation, at 80 %
// of the slots taken.
func BenchmarkPlace(b *testing.B) {
	for _, targets := range []int{50, 880, 8800} {
		b.Run(fmt.Sprint(targets), func(b *testing.B) {
			p := fbpolicy.NewAdaptive(1)
			p.Share(0, 9)
			now := epoch
			view := make([]filbertford.Candidate, targets)
			for i := range view {
				id := filbertford.TargetID(fmt.Sprintf("t%d", i))
				view[i] = filbertford.NewCandidate(id, 8, i%2, 8*(i%5)/4-1).WithHeard(now)
			}
			need := filbertford.NewNeed(rigService, 200*time.Millisecond, 5, 20, 0).WithQueue(10)
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(500 * time.Microsecond)
				i, ok := p.Place(now, need, view)
				if !ok {
					b.Fatal("no target")
				}
				p.Observe(now, filbertford.NewObservation(
					view[i].ID(), rigService, "job", need.Size(), filbertford.OutcomeDone, 200*time.Millisecond, 201*time.Millisecond))
			}
		})
	}
}
