package fbnode

import (
	"context"
	"hash/fnv"
	"strconv"
	"strings"
	"time"

	"github.com/filbertford/filbertford"
	"github.com/filbertford/filbertford/fbevent"
	"github.com/filbertford/filbertford/fblink"
	"github.com/filbertford/filbertford/fbsched"
	"github.com/filbertford/filbertford/fbshard"
)

// Limits of stored jobs.
const (
	// shardCount is the number of shards of the stored jobs. It must not change
	// while jobs are stored.
	shardCount = 8
	// shardPrefix begins the names of shards.
	shardPrefix = "jobs/"
	// resendPeriod is the time after which a request that got no reply is sent to
	// the keeper again.
	resendPeriod = 400 * time.Millisecond
	// defaultStoredTimeout is how long a caller waits that doesn't say.
	defaultStoredTimeout = 3 * time.Second
	// waitingTimeout is how long the keepers have to tell how many jobs wait.
	waitingTimeout = 300 * time.Millisecond
)

func shardName(i int) filbertford.PoolID { return filbertford.PoolID(shardPrefix + strconv.Itoa(i)) }

func isShard(id filbertford.PoolID) bool { return strings.HasPrefix(string(id), shardPrefix) }

// shardOf returns the shard of a job.
func shardOf(key filbertford.JobKey) filbertford.PoolID {
	h := fnv.New32a()
	_, _ = h.Write([]byte(key)) // a hash never fails to write
	return shardName(int(h.Sum32() % shardCount))
}

// pendingStoredRequest is a caller's request that a keeper has not answered yet.
type pendingStoredRequest struct {
	request fblink.StoredJobRequest
	answer  chan fblink.StoredJobReply
	sentTo  filbertford.NodeID
	sentAt  time.Duration
}

// origin is where a request to this daemon's keeper came from.
type origin struct {
	node   filbertford.NodeID
	number uint64
}

// Submit stores a job.
func (n *Node) Submit(ctx context.Context, r filbertford.Route, w filbertford.Workload, timeout time.Duration) filbertford.WorkloadAnswer {
	reply, sent, ok := n.callShardOwner(ctx, fblink.RequestSubmit, shardOf(w.Key()), r, w, timeout)
	switch {
	case ok && reply.Accepted():
		return filbertford.NewWorkloadAnswer(filbertford.AnswerAccepted, "")
	case !ok && !sent:
		return filbertford.NewWorkloadAnswer(filbertford.AnswerNotRun, "no keeper of the job can be reached").WithRetryAfter(time.Second)
	}
	return filbertford.NewWorkloadAnswer(filbertford.AnswerUnknown, "the job may be stored")
}

// State tells a stored job's state.
func (n *Node) State(ctx context.Context, r filbertford.Route, key filbertford.JobKey, timeout time.Duration) filbertford.WorkloadAnswer {
	reply, _, ok := n.callShardOwner(ctx, fblink.RequestState, shardOf(key), r, filbertford.NewWorkload(key, ""), timeout)
	return stateAnswer(reply, ok)
}

// Cancel cancels a stored job.
func (n *Node) Cancel(ctx context.Context, r filbertford.Route, key filbertford.JobKey, timeout time.Duration) filbertford.WorkloadAnswer {
	reply, _, ok := n.callShardOwner(ctx, fblink.RequestCancel, shardOf(key), r, filbertford.NewWorkload(key, ""), timeout)
	return stateAnswer(reply, ok)
}

func stateAnswer(reply fblink.StoredJobReply, ok bool) filbertford.WorkloadAnswer {
	switch {
	case !ok:
		return filbertford.NewWorkloadAnswer(filbertford.AnswerUnknown, "the keeper of the job did not answer")
	case reply.State() == string(fbshard.StateGone):
		return filbertford.NewWorkloadAnswer(filbertford.AnswerNotFound, "no such job")
	}
	return filbertford.NewWorkloadAnswer(filbertford.AnswerState, "").WithState(reply.State())
}

// Waiting returns the number of stored jobs of the route of which no task has
// begun, as far as their keepers answer.
func (n *Node) Waiting(ctx context.Context, r filbertford.Route) int {
	ctx, cancel := context.WithTimeout(ctx, waitingTimeout)
	defer cancel()
	counts := make(chan int, shardCount)
	for i := range shardCount {
		n.calls.Go(func() error {
			reply, _, _ := n.callShardOwner(ctx, fblink.RequestWaiting, shardName(i), r, filbertford.Workload{}, waitingTimeout)
			counts <- reply.Waiting() // has room for all
			return nil
		})
	}
	total := 0
	for range shardCount {
		total += <-counts
	}
	return total
}

// callShardOwner asks the keeper of a shard. It reports whether the request was ever
// sent, and whether a reply came.
func (n *Node) callShardOwner(ctx context.Context, kind fblink.RequestKind, shard filbertford.PoolID, r filbertford.Route, w filbertford.Workload, timeout time.Duration) (reply fblink.StoredJobReply, sent, ok bool) {
	n.inFlight.Add(1)
	defer n.inFlight.Add(-1)
	if timeout <= 0 {
		timeout = defaultStoredTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	number := n.requests.Add(1)
	a := &pendingStoredRequest{request: fblink.NewStoredJobRequest(number, shard, kind, r, w), answer: make(chan fblink.StoredJobReply, 1)}
	n.post(func(now time.Duration) {
		n.pendingStored[number] = a
		n.sendStoredRequest(now, a)
	})
	select {
	case reply := <-a.answer:
		return reply, true, true
	case <-ctx.Done():
	case <-n.ctx.Done():
		return fblink.StoredJobReply{}, true, false
	}
	wasSent := make(chan bool, 1)
	n.post(func(time.Duration) {
		delete(n.pendingStored, number)
		wasSent <- a.sentTo != ""
	})
	select {
	case sent := <-wasSent:
		return fblink.StoredJobReply{}, sent, false
	case <-n.ctx.Done():
		return fblink.StoredJobReply{}, true, false
	}
}

// sendStoredRequest sends a request to the keeper of its shard.
func (n *Node) sendStoredRequest(now time.Duration, a *pendingStoredRequest) {
	owner := n.fleet.Owner(a.request.Shard()).Node()
	if owner == "" {
		return
	}
	a.sentTo, a.sentAt = owner, now
	if owner == n.opts.Member.Node() {
		n.handleStoredRequest(owner, a.request)
		return
	}
	n.hub.Send(owner, a.request)
}

// resendStoredRequests sends the requests for a shard to its new keeper.
func (n *Node) resendStoredRequests(now time.Duration, shard filbertford.PoolID) {
	for _, a := range n.pendingStored {
		if a.request.Shard() == shard {
			n.sendStoredRequest(now, a)
		}
	}
}

// tickStored sends requests again that got no reply.
func (n *Node) tickStored(now time.Duration) {
	for _, a := range n.pendingStored {
		if now-a.sentAt > resendPeriod {
			n.sendStoredRequest(now, a)
		}
	}
	for _, k := range n.shards {
		k.Tick(now)
	}
}

// handleStoredRequest gives a request to this daemon's keeper. Without one the sender
// asks again.
func (n *Node) handleStoredRequest(from filbertford.NodeID, r fblink.StoredJobRequest) {
	k := n.shards[r.Shard()]
	if k == nil {
		return
	}
	if r.Kind() == fblink.RequestWaiting {
		n.sendStoredReply(origin{node: from, number: r.ID()}, fblink.NewStoredJobReply(r.ID(), "", false, k.Waiting(r.Route().Host(), r.Route().Prefix())))
		return
	}
	n.lastOrigin++
	n.origins[n.lastOrigin] = origin{node: from, number: r.ID()}
	switch r.Kind() {
	case fblink.RequestSubmit:
		k.Submit(n.lastOrigin, r.Route(), r.Workload())
	case fblink.RequestCancel:
		k.Cancel(n.lastOrigin, r.Workload().Key())
	default:
		k.State(n.lastOrigin, r.Workload().Key())
	}
}

func (n *Node) sendStoredReply(to origin, r fblink.StoredJobReply) {
	if to.node == n.opts.Member.Node() {
		n.handleStoredReply(r)
		return
	}
	n.hub.Send(to.node, r)
}

// handleStoredReply brings a keeper's reply to the request that waits for it.
func (n *Node) handleStoredReply(r fblink.StoredJobReply) {
	if a, ok := n.pendingStored[r.RequestID()]; ok {
		delete(n.pendingStored, r.RequestID())
		a.answer <- r // has room for the one reply
	}
}

// recordTaskEnd stores the end of a task, if its job is kept here.
func (n *Node) recordTaskEnd(v fbsched.RecordOutcome) {
	k := n.shards[shardOf(v.Task.Job())]
	if k == nil {
		n.coordinator.DropStored(v.Task.Job())
		return
	}
	k.RecordTask(v.Task, v.Done, v.Failures)
}

// dropShard forgets a shard that another daemon keeps.
func (n *Node) dropShard(shard filbertford.PoolID) {
	k := n.shards[shard]
	if k == nil {
		return
	}
	delete(n.shards, shard)
	for _, key := range k.JobKeys() {
		n.coordinator.DropStored(key)
	}
}

// flushShards carries out what the keepers want done, and reports whether there
// was anything.
func (n *Node) flushShards(now time.Duration) bool {
	acted := false
	for shard, k := range n.shards {
		for _, a := range k.TakeActions() {
			acted = true
			n.doShardAction(now, shard, k, a)
		}
	}
	return acted
}

func (n *Node) doShardAction(now time.Duration, shard filbertford.PoolID, k *fbshard.Owner, a fbshard.Action) {
	switch v := a.(type) {
	case fbshard.StoreCall:
		n.callStore(shard, k, v)
	case fbshard.Reply:
		to, ok := n.origins[v.RequestID]
		delete(n.origins, v.RequestID)
		if ok {
			n.sendStoredReply(to, fblink.NewStoredJobReply(to.number, string(v.State), v.Accepted, 0))
		}
	case fbshard.StartJob:
		n.coordinator.StartStored(now, v.Route, v.Workload, v.Progress, v.MayBeRunning)
	case fbshard.CancelJob:
		n.coordinator.CancelStored(v.Job)
	case fbshard.TaskRecorded:
		n.coordinator.HandleRecorded(now, v.Task, v.Progress)
	case fbshard.ClaimVerified:
		for _, pool := range v.Pools {
			n.coordinator.ResumeStored(now, pool)
		}
	case fbshard.ShardLost:
		n.fleet.HandleFenced(now, shard, k.Fence())
	case fbshard.RowMalformed:
		fbevent.RecordMalformed.Log(n.deps.Log, "shard", shard, "key", v.Key, "error", v.Cause)
	}
}

// verifyShards has this daemon's keepers look whether they still have their
// shards before tasks of stored jobs are offered to a pool again.
func (n *Node) verifyShards(pool filbertford.PoolID) {
	for _, k := range n.shards {
		k.VerifyClaim(pool)
	}
}

// callStore makes a keeper's call beside the control goroutine.
func (n *Node) callStore(shard filbertford.PoolID, k *fbshard.Owner, c fbshard.StoreCall) {
	n.calls.Go(func() error {
		var snap filbertford.Snapshot
		var version uint64
		var err error
		switch c.Kind {
		case fbshard.CallReadClaim, fbshard.CallVerifyClaim:
			snap, err = n.deps.Store.List(n.ctx, filbertford.TableClaims, string(shard))
		case fbshard.CallReadJobs:
			snap, err = n.deps.Store.List(n.ctx, filbertford.TableJobs, string(shard))
		case fbshard.CallCommit:
			version, err = n.deps.Store.Commit(n.ctx, c.Transaction)
		}
		n.post(func(now time.Duration) {
			if n.shards[shard] == k {
				k.HandleResult(now, c.Kind, snap, version, err)
			}
		})
		return nil
	})
}
