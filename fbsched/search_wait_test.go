package fbsched

import (
	"testing"
	"time"

	"github.com/filbertford/filbertford"
)

// TestSearchEndsAlthoughItIsRepeated: the stream to the pool's owner breaks every 1.5 s, and one of
// its targets can't be reached.
func TestSearchEndsAlthoughItIsRepeated(t *testing.T) {
	now := time.Minute
	c := newStoredCoordinator(now, true)
	p := NewPool(testPool, 5, 1_000_000, now)
	p.SetTargets(now, []filbertford.TargetRecord{recordOf("t00", 1), recordOf("t01", 1)})
	answerLists(p, now, "t00", 1, 1000)
	var absentAt time.Duration
	for end, resumeAt := now+15*time.Second, now; now < end; now += 20 * time.Millisecond {
		if now >= resumeAt {
			c.ResumeStored(now, testPool)
			resumeAt = now + 1500*time.Millisecond
		}
		for _, a := range c.TakeActions() {
			if b, ok := a.(SendBatch); ok {
				p.Offer(now, "c", b.Batch)
			}
		}
		p.Tick(now, 1_000_000)
		for _, a := range p.TakeActions(now) {
			if r, ok := a.(SendReport); ok && r.Report.Status() == StatusAbsent && absentAt == 0 {
				absentAt = now - time.Minute
			}
		}
	}
	if want := listTimeout + 100*time.Millisecond; absentAt == 0 || absentAt > want {
		t.Errorf("the task is reported absent after %v, 0 for never, want %v at most", absentAt, want)
	}
}
