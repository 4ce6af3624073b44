package fbnode

import (
	"context"
	"hash/fnv"
	"maps"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"github.com/filbertford/filbertford"
	"github.com/filbertford/filbertford/fbevent"
	"github.com/filbertford/filbertford/fblink"
	"github.com/filbertford/filbertford/fbsched"
	"github.com/filbertford/filbertford/fbshard"
)

// Shards and timeouts of stored jobs.
const (
	// shardCount is the number of shards of the stored jobs. It must not change
	// while jobs are stored.
	shardCount = 8
	// shardPrefix is the prefix of shard names.
	shardPrefix = "jobs/"
	// resendPeriod is the time without a reply after which a request is sent to the
	// shard owner again.
	resendPeriod = 400 * time.Millisecond
	// refusedRetryDelay is the time after which a caller may retry a job that was refused
	// for lack of memory.
	refusedRetryDelay = 2 * time.Second
	// defaultStoredTimeout is the timeout of requests whose caller sets none.
	defaultStoredTimeout = 3 * time.Second
	// waitingTimeout is the time that shard owners have to return the number of
	// waiting jobs: longer than a takeover of a shard.
	waitingTimeout = time.Second
)

func shardName(i int) filbertford.PoolID { return filbertford.PoolID(shardPrefix + strconv.Itoa(i)) }

func isShard(id filbertford.PoolID) bool { return strings.HasPrefix(string(id), shardPrefix) }

// shardOf returns the shard of a job.
func shardOf(key filbertford.JobKey) filbertford.PoolID {
	h := fnv.New32a()
	_, _ = h.Write([]byte(key)) // Write of a hash never returns an error
	return shardName(int(h.Sum32() % shardCount))
}

// pendingStoredRequest is a caller's request that the shard owner has not answered
// yet.
type pendingStoredRequest struct {
	request fblink.StoredJobRequest
	reply   chan fblink.StoredJobReply
	sentTo  filbertford.NodeID
	sentAt  time.Duration
	sends   int
}

// origin is the daemon that sent a request to a shard of this daemon, and that
// daemon's ID of the request. Earlier versions count their requests from 1 in each incarnation.
type origin struct {
	node      filbertford.NodeID
	requestID uint64
	shard     filbertford.PoolID
	kind      fblink.RequestKind
	job       filbertford.JobKey
}

// Submit stores a job. A request that is read after its caller has left is dropped, as in Execute:
// the job may have been cancelled at another daemon.
func (n *Node) Submit(ctx context.Context, c filbertford.Caller, r filbertford.Route, w filbertford.Workload, timeout time.Duration) filbertford.WorkloadAnswer {
	if !fbshard.FitsRow(r, w) {
		return filbertford.NewWorkloadAnswer(filbertford.AnswerTooLarge, "the job is too large for the store")
	}
	reply, sent, ok := n.callShardOwner(ctx, c, fblink.RequestSubmit, shardOf(w.Key()), r, w, timeout)
	switch {
	case ok && reply.Accepted():
		return filbertford.NewWorkloadAnswer(filbertford.AnswerAccepted, "")
	case ok && reply.State() == string(fbshard.StateRefused):
		return filbertford.NewWorkloadAnswer(filbertford.AnswerNotRun, "the stored jobs take too much memory").WithRetryAfter(refusedRetryDelay)
	case !ok && !sent:
		return filbertford.NewWorkloadAnswer(filbertford.AnswerNotRun, "no keeper of the job can be reached").WithRetryAfter(time.Second)
	}
	return filbertford.NewWorkloadAnswer(filbertford.AnswerUnknown, "the job may be stored")
}

// State returns the state of a stored job.
func (n *Node) State(ctx context.Context, r filbertford.Route, key filbertford.JobKey, timeout time.Duration) filbertford.WorkloadAnswer {
	reply, _, ok := n.callShardOwner(ctx, nil, fblink.RequestState, shardOf(key), r, filbertford.NewWorkload(key, ""), timeout)
	return stateAnswer(reply, ok)
}

// Cancel cancels a stored job.
func (n *Node) Cancel(ctx context.Context, r filbertford.Route, key filbertford.JobKey, timeout time.Duration) filbertford.WorkloadAnswer {
	reply, _, ok := n.callShardOwner(ctx, nil, fblink.RequestCancel, shardOf(key), r, filbertford.NewWorkload(key, ""), timeout)
	return stateAnswer(reply, ok)
}

func stateAnswer(reply fblink.StoredJobReply, ok bool) filbertford.WorkloadAnswer {
	switch {
	case !ok:
		return filbertford.NewWorkloadAnswer(filbertford.AnswerUnknown, "the keeper of the job did not answer")
	case reply.State() == string(fbshard.StateRemoved):
		return filbertford.NewWorkloadAnswer(filbertford.AnswerNotFound, "no such job")
	}
	return filbertford.NewWorkloadAnswer(filbertford.AnswerState, "").WithState(reply.State())
}

// Waiting returns the number of stored jobs of the route of which no task has
// started, and false if the owner of any shard has not replied in time.
func (n *Node) Waiting(ctx context.Context, r filbertford.Route) (int, bool) {
	ctx, cancel := context.WithTimeout(ctx, waitingTimeout)
	defer cancel()
	counts := make([]int, shardCount)
	var g errgroup.Group
	for i := range shardCount {
		g.Go(func() error {
			reply, _, ok := n.callShardOwner(ctx, nil, fblink.RequestWaiting, shardName(i), r, filbertford.Workload{}, waitingTimeout)
			if !ok {
				return eris.Errorf("no reply of the owner of shard %s", shardName(i))
			}
			counts[i] = reply.Waiting()
			return nil
		})
	}
	if err := g.Wait(); err != nil {
		n.post(func(now time.Duration) { n.recorder.recordWaitingUnknown(now, r, err) })
		return 0, false
	}
	total := 0
	for _, count := range counts {
		total += count
	}
	return total, true
}

// callShardOwner sends a request to the owner of a shard and waits for the reply. It
// reports whether the request may have been sent, and whether a reply was received. If
// the caller isn't nil, the request is sent only if it has not left.
func (n *Node) callShardOwner(ctx context.Context, c filbertford.Caller, kind fblink.RequestKind, shard filbertford.PoolID, r filbertford.Route, w filbertford.Workload, timeout time.Duration) (reply fblink.StoredJobReply, sent, ok bool) {
	n.inFlight.Add(1)
	defer n.inFlight.Add(-1)
	if timeout <= 0 {
		timeout = defaultStoredTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	requestID := n.lastRequestID.Add(1)
	pending := &pendingStoredRequest{request: fblink.NewStoredJobRequest(requestID, shard, kind, r, w), reply: make(chan fblink.StoredJobReply, 1)}
	n.post(func(now time.Duration) {
		if c != nil && c.Disconnected() {
			n.recorder.recordCallerLeft(now, w.Key())
			cancel()
			return
		}
		n.pendingStored[requestID] = pending
		n.sendStoredRequest(now, pending)
	})
	select {
	case reply := <-pending.reply:
		return reply, true, true
	case <-ctx.Done():
	case <-n.ctx.Done():
		return fblink.StoredJobReply{}, true, false
	}
	wasSent := make(chan bool, 1)
	n.post(func(time.Duration) {
		delete(n.pendingStored, requestID)
		wasSent <- pending.sentTo != ""
	})
	select {
	case sent := <-wasSent:
		return fblink.StoredJobReply{}, sent, false
	case <-n.ctx.Done():
		return fblink.StoredJobReply{}, true, false
	}
}

// sendStoredRequest sends a request to the owner of its shard, if there is one.
func (n *Node) sendStoredRequest(now time.Duration, pending *pendingStoredRequest) {
	owner := n.fleet.Owner(pending.request.Shard()).Node()
	if owner == "" {
		return
	}
	pending.sentTo, pending.sentAt = owner, now
	pending.sends++
	if owner == n.opts.Member.Node() {
		n.handleStoredRequest(owner, pending.request)
		return
	}
	n.hub.Send(owner, pending.request)
}

// resendStoredRequests sends the pending requests for a shard to its new owner.
func (n *Node) resendStoredRequests(now time.Duration, shard filbertford.PoolID) {
	for _, pending := range n.pendingStored {
		if pending.request.Shard() == shard {
			n.sendStoredRequest(now, pending)
		}
	}
}

// tickStored resends requests that have had no reply for resendPeriod.
func (n *Node) tickStored(now time.Duration) {
	for _, pending := range n.pendingStored {
		if now-pending.sentAt > resendPeriod {
			n.sendStoredRequest(now, pending)
		}
	}
	for _, owner := range n.ownedShards {
		owner.Tick(now)
	}
	n.recorder.storedBytes.Update(float64(n.storedMemory.Used()))
}

// handleStoredRequest passes a request to the shard, if this daemon owns it. If not,
// the request is dropped, and its sender resends it.
func (n *Node) handleStoredRequest(from filbertford.NodeID, r fblink.StoredJobRequest) {
	owner := n.ownedShards[r.Shard()]
	if owner == nil {
		return
	}
	if r.Kind() == fblink.RequestWaiting {
		if count, ok := owner.Waiting(r.Route().Host(), r.Route().Prefix()); ok {
			n.sendStoredReply(origin{node: from, requestID: r.ID()}, fblink.NewStoredJobReply(r.ID(), "", false, count))
		}
		return
	}
	sender := origin{node: from, requestID: r.ID(), shard: r.Shard(), kind: r.Kind(), job: r.Workload().Key()}
	if n.queuedOrigins[sender] {
		return // a copy, sent again because the shard has not replied yet
	}
	n.lastOriginID++
	n.origins[n.lastOriginID], n.queuedOrigins[sender] = sender, true
	switch r.Kind() {
	case fblink.RequestSubmit:
		owner.Submit(n.lastOriginID, r.Route(), r.Workload())
	case fblink.RequestCancel:
		owner.Cancel(n.lastOriginID, r.Workload().Key())
	default:
		owner.State(n.lastOriginID, r.Workload().Key())
	}
}

func (n *Node) sendStoredReply(to origin, r fblink.StoredJobReply) {
	if to.node == n.opts.Member.Node() {
		n.handleStoredReply(r)
		return
	}
	n.hub.Send(to.node, r)
}

// handleStoredReply passes a shard owner's reply to the pending request.
func (n *Node) handleStoredReply(r fblink.StoredJobReply) {
	if pending, ok := n.pendingStored[r.RequestID()]; ok {
		delete(n.pendingStored, r.RequestID())
		if pending.sends > 1 && r.State() == string(fbshard.StateRefused) {
			// A copy of the request may arrive later and be accepted.
			r = fblink.NewStoredJobReply(r.RequestID(), "", false, 0)
		}
		pending.reply <- r // does not block: the channel is buffered for the one reply
	}
}

// recordTaskOutcome stores the outcome of a task, if this daemon owns the job's
// shard.
func (n *Node) recordTaskOutcome(v fbsched.RecordOutcome) {
	owner := n.ownedShards[shardOf(v.Task.Job())]
	if owner == nil {
		n.coordinator.DropStored(v.Task.Job())
		return
	}
	owner.RecordTask(v.Task, v.Progress)
}

// dropShard drops a shard that this daemon no longer owns.
func (n *Node) dropShard(shard filbertford.PoolID) {
	owner := n.ownedShards[shard]
	if owner == nil {
		return
	}
	delete(n.ownedShards, shard)
	owner.Release()
	maps.DeleteFunc(n.origins, func(_ uint64, o origin) bool { return o.shard == shard })
	maps.DeleteFunc(n.queuedOrigins, func(o origin, _ bool) bool { return o.shard == shard })
	for _, key := range owner.JobKeys() {
		n.coordinator.DropStored(key)
	}
}

// flushShards carries out the actions of the shards, and reports whether there were
// any.
func (n *Node) flushShards(now time.Duration) bool {
	acted := false
	for shard, owner := range n.ownedShards {
		for _, a := range owner.TakeActions() {
			acted = true
			n.doShardAction(now, shard, owner, a)
		}
	}
	return acted
}

func (n *Node) doShardAction(now time.Duration, shard filbertford.PoolID, owner *fbshard.Owner, a fbshard.Action) {
	switch v := a.(type) {
	case fbshard.StoreCall:
		n.callStore(shard, owner, v)
	case fbshard.Reply:
		to, ok := n.origins[v.RequestID]
		delete(n.origins, v.RequestID)
		delete(n.queuedOrigins, to)
		if v.State == fbshard.StateRefused {
			n.recorder.recordStoredRefusal(now, to.job, n.storedMemory.Used())
		}
		if ok {
			n.sendStoredReply(to, fblink.NewStoredJobReply(to.requestID, string(v.State), v.Accepted, 0))
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
		n.fleet.HandleFenced(now, shard, owner.Fence())
	case fbshard.RowMalformed:
		fbevent.RecordMalformed.Log(n.deps.Log, "shard", shard, "key", v.Key, "error", v.Cause)
	}
}

// verifyShards starts a check that this daemon still owns its shards. Tasks of their
// jobs are offered to the pool again only after it.
func (n *Node) verifyShards(pool filbertford.PoolID) {
	for _, owner := range n.ownedShards {
		owner.VerifyClaim(pool)
	}
}

// callStore makes a shard's call to the store without blocking the control
// goroutine.
func (n *Node) callStore(shard filbertford.PoolID, owner *fbshard.Owner, c fbshard.StoreCall) {
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
			if n.ownedShards[shard] == owner {
				owner.HandleResult(now, c.Kind, snap, version, err)
			}
		})
		return nil
	})
}
