package fbcore_test

import (
	"cmp"
	"testing"
	"time"

	"github.com/filbertford/filbertford"
	"github.com/filbertford/filbertford/fbcore"
)

// TestTaskWhoseTargetIsLostIsNotStartedAgain checks a task whose target doesn't answer: it may
// have crashed the target, and a caller that sends the job again must not crash another.
func TestTaskWhoseTargetIsLostIsNotStartedAgain(t *testing.T) {
	for name, broken := range map[string]bool{"the connection breaks": true, "the lease expires": false} {
		t.Run(name, func(t *testing.T) {
			c, now := newBenchCore(t, "random", 3)
			id := mustParse(t, "key")
			job := filbertford.NewJob("depot", "ordering", filbertford.NewTask(nil, 0)).WithTimeout(time.Minute)
			starts := 0
			var started filbertford.StartID
			var answer filbertford.Code
			handle := func(e fbcore.Event) {
				for _, a := range c.Handle(now, e) {
					switch v := a.(type) {
					case fbcore.StartTask:
						starts++
						started = v.Request.ID()
					case fbcore.Reply:
						answer = cmp.Or(answer, v.Answer.Code())
					}
				}
			}
			submit := func(ref fbcore.Ref) {
				handle(fbcore.Submit{
					Ref: ref, Delivery: filbertford.NewDelivery(id, job), Digest: fbcore.Digest(job), Claim: fbcore.ClaimOwned,
					Rules: filbertford.Rules{}.WithLease(2 * time.Second),
				})
			}
			submit(1)
			if broken {
				handle(fbcore.StartEnded{Start: started, Result: filbertford.NewStartResult(filbertford.OutcomeUnknown)})
			}
			for range 3 {
				now = now.Add(time.Second)
				handle(fbcore.Tick{})
			}
			submit(2)
			if starts != 1 || answer != filbertford.CodeOutcomeUnknown {
				t.Errorf("%d starts, answer %q; want 1, %q", starts, answer, filbertford.CodeOutcomeUnknown)
			}
		})
	}
}
