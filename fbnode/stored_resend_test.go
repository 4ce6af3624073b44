package fbnode

import (
	"testing"

	"github.com/filbertford/filbertford"
	"github.com/filbertford/filbertford/fblink"
	"github.com/filbertford/filbertford/fbshard"
)

// TestResentStoredRequestIsQueuedOnce guards against a queue of copies of one request at a shard
// whose owner can't answer yet: requests are sent again every resendPeriod.
func TestResentStoredRequestIsQueuedOnce(t *testing.T) {
	n := newRoutesNode(t)
	key := filbertford.JobKey("00000000000000aa")
	shard := shardOf(key)
	n.ownedShards[shard] = fbshard.New(shard, "a", 1)
	r := fblink.NewStoredJobRequest(1, shard, fblink.RequestSubmit, filbertford.NewRoute("host", "/jobs/", "service"), filbertford.NewWorkload(key, "spec"))
	for range 25 { // in 10 s
		n.handleStoredRequest("b", r)
	}
	if queued := len(n.origins); queued != 1 {
		t.Errorf("%d copies of a request wait at the shard's owner, want 1", queued)
	}
}
