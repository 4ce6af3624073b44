package fbnode

import (
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/filbertford/filbertford"
	"github.com/filbertford/filbertford/fblink"
	"github.com/filbertford/filbertford/fbshard"
)

// TestReplyToEarlierIncarnationAnswersNoRequest guards against the state of one job as the answer about
// another: the owner of a shard replies to a request that a daemon sent before it started again.
func TestReplyToEarlierIncarnationAnswersNoRequest(t *testing.T) {
	earlier, later := newRoutesNode(t), newRoutesNode(t)
	var calls errgroup.Group
	calls.Go(func() error {
		earlier.Cancel(t.Context(), callerRoute, "00000000000000aa", 100*time.Millisecond)
		return nil
	})
	earlier.run(20 * time.Millisecond)
	var cancellation fblink.StoredJobRequest
	for _, p := range earlier.pendingStored {
		cancellation = p.request
	}
	calls.Go(func() error {
		a := later.State(t.Context(), callerRoute, "00000000000000bb", 100*time.Millisecond)
		if a.Kind() != filbertford.AnswerUnknown {
			t.Errorf("got the answer %s %s, want none", a.Kind(), a.State())
		}
		return nil
	})
	later.run(20 * time.Millisecond)
	later.handleStoredReply(fblink.NewStoredJobReply(cancellation.ID(), string(fbshard.StateCancelled), true, 0))
	earlier.run(100 * time.Millisecond) // the requests end without a reply
	later.run(100 * time.Millisecond)
	_ = calls.Wait() // reports errors itself
}
