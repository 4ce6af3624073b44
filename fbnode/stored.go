package fbnode

import (
	"context"
	"hash/fnv"
	"strconv"
	"strings"
	"time"

	"github.com/filbertford/filbertford"
	"github.com/filbertford/filbertford/fbevent"
	"github.com/filbertford/filbertford/fbkeep"
	"github.com/filbertford/filbertford/fblink"
	"github.com/filbertford/filbertford/fbsched"
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
	// storedPatience is how long a caller waits that doesn't say.
	storedPatience = 3 * time.Second
	// waitingTerm is how long the keepers have to tell how many jobs wait.
	waitingTerm = 300 * time.Millisecond
)

func shardName(i int) filbertford.PoolID { return filbertford.PoolID(shardPrefix + strconv.Itoa(i)) }

func isShard(id filbertford.PoolID) bool { return strings.HasPrefix(string(id), shardPrefix) }

// shardOf returns the shard of a job.
func shardOf(key filbertford.JobKey) filbertford.PoolID {
	h := fnv.New32a()
	_, _ = h.Write([]byte(key)) // a hash never fails to write
	return shardName(int(h.Sum32() % shardCount))
}

// askedStored is a caller's request that a keeper has not answered yet.
type askedStored struct {
	request fblink.StoredRequest
	answer  chan fblink.StoredReply
	sentTo  filbertford.NodeID
	sentAt  time.Duration
}

// origin is where a request to this daemon's keeper came from.
type origin struct {
	node   filbertford.NodeID
	number uint64
}

// Submit stores a job.
func (n *Node) Submit(ctx context.Context, r filbertford.Route, w filbertford.Workload, patience time.Duration) filbertford.WorkloadAnswer {
	reply, asked, ok := n.askStored(ctx, fblink.StoredSubmit, shardOf(w.Key()), r, w, patience)
	switch {
	case ok && reply.Accepted():
		return filbertford.NewWorkloadAnswer(filbertford.AnswerAccepted, "")
	case !ok && !asked:
		return filbertford.NewWorkloadAnswer(filbertford.AnswerNotRun, "no keeper of the job can be reached").WithRetryAfter(time.Second)
	}
	return filbertford.NewWorkloadAnswer(filbertford.AnswerUnknown, "the job may be stored")
}

// State tells a stored job's state.
func (n *Node) State(ctx context.Context, r filbertford.Route, key filbertford.JobKey, patience time.Duration) filbertford.WorkloadAnswer {
	reply, _, ok := n.askStored(ctx, fblink.StoredState, shardOf(key), r, filbertford.NewWorkload(key, ""), patience)
	return stateAnswer(reply, ok)
}

// Cancel cancels a stored job.
func (n *Node) Cancel(ctx context.Context, r filbertford.Route, key filbertford.JobKey, patience time.Duration) filbertford.WorkloadAnswer {
	reply, _, ok := n.askStored(ctx, fblink.StoredCancel, shardOf(key), r, filbertford.NewWorkload(key, ""), patience)
	return stateAnswer(reply, ok)
}

func stateAnswer(reply fblink.StoredReply, ok bool) filbertford.WorkloadAnswer {
	switch {
	case !ok:
		return filbertford.NewWorkloadAnswer(filbertford.AnswerUnknown, "the keeper of the job did not answer")
	case reply.State() == string(fbkeep.StateGone):
		return filbertford.NewWorkloadAnswer(filbertford.AnswerGone, "no such job")
	}
	return filbertford.NewWorkloadAnswer(filbertford.AnswerState, "").WithState(reply.State())
}

// Waiting returns the number of stored jobs of the route of which no task has
// begun, as far as their keepers answer.
func (n *Node) Waiting(ctx context.Context, r filbertford.Route) int {
	ctx, cancel := context.WithTimeout(ctx, waitingTerm)
	defer cancel()
	counts := make(chan int, shardCount)
	for i := range shardCount {
		n.calls.Go(func() error {
			reply, _, _ := n.askStored(ctx, fblink.StoredWaiting, shardName(i), r, filbertford.Workload{}, waitingTerm)
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

// askStored asks the keeper of a shard. It reports whether the request was ever
// sent, and whether a reply came.
func (n *Node) askStored(ctx context.Context, kind fblink.StoredKind, shard filbertford.PoolID, r filbertford.Route, w filbertford.Workload, patience time.Duration) (reply fblink.StoredReply, asked, ok bool) {
	n.inFlight.Add(1)
	defer n.inFlight.Add(-1)
	if patience <= 0 {
		patience = storedPatience
	}
	ctx, cancel := context.WithTimeout(ctx, patience)
	defer cancel()
	number := n.requests.Add(1)
	a := &askedStored{request: fblink.NewStoredRequest(number, shard, kind, r, w), answer: make(chan fblink.StoredReply, 1)}
	n.post(func(now time.Duration) {
		n.asked[number] = a
		n.sendStored(now, a)
	})
	select {
	case reply := <-a.answer:
		return reply, true, true
	case <-ctx.Done():
	case <-n.ctx.Done():
		return fblink.StoredReply{}, true, false
	}
	ended := make(chan bool, 1)
	n.post(func(time.Duration) {
		delete(n.asked, number)
		ended <- a.sentTo != ""
	})
	select {
	case asked := <-ended:
		return fblink.StoredReply{}, asked, false
	case <-n.ctx.Done():
		return fblink.StoredReply{}, true, false
	}
}

// sendStored sends a request to the keeper of its shard.
func (n *Node) sendStored(now time.Duration, a *askedStored) {
	owner := n.fleet.Owner(a.request.Shard()).Node()
	if owner == "" {
		return
	}
	a.sentTo, a.sentAt = owner, now
	if owner == n.opts.Member.Node() {
		n.takeStored(owner, a.request)
		return
	}
	n.hub.Send(owner, a.request)
}

// resendStored sends the requests for a shard to its new keeper.
func (n *Node) resendStored(now time.Duration, shard filbertford.PoolID) {
	for _, a := range n.asked {
		if a.request.Shard() == shard {
			n.sendStored(now, a)
		}
	}
}

// tickStored sends requests again that got no reply.
func (n *Node) tickStored(now time.Duration) {
	for _, a := range n.asked {
		if now-a.sentAt > resendPeriod {
			n.sendStored(now, a)
		}
	}
	for _, k := range n.keepers {
		k.Tick(now)
	}
}

// takeStored gives a request to this daemon's keeper. Without one the sender
// asks again.
func (n *Node) takeStored(from filbertford.NodeID, r fblink.StoredRequest) {
	k := n.keepers[r.Shard()]
	if k == nil {
		return
	}
	if r.Kind() == fblink.StoredWaiting {
		n.sendReply(origin{node: from, number: r.Number()}, fblink.NewStoredReply(r.Number(), "", false, k.Waiting(r.Route().Host(), r.Route().Prefix())))
		return
	}
	n.lastOrigin++
	n.origins[n.lastOrigin] = origin{node: from, number: r.Number()}
	switch r.Kind() {
	case fblink.StoredSubmit:
		k.Submit(n.lastOrigin, r.Route(), r.Workload())
	case fblink.StoredCancel:
		k.Cancel(n.lastOrigin, r.Workload().Key())
	default:
		k.State(n.lastOrigin, r.Workload().Key())
	}
}

func (n *Node) sendReply(to origin, r fblink.StoredReply) {
	if to.node == n.opts.Member.Node() {
		n.replyStored(r)
		return
	}
	n.hub.Send(to.node, r)
}

// replyStored brings a keeper's reply to the request that waits for it.
func (n *Node) replyStored(r fblink.StoredReply) {
	if a, ok := n.asked[r.Number()]; ok {
		delete(n.asked, r.Number())
		a.answer <- r // has room for the one reply
	}
}

// record stores the end of a task, if its job is kept here.
func (n *Node) record(v fbsched.RecordEnd) {
	k := n.keepers[shardOf(v.Task.Job())]
	if k == nil {
		n.coordinator.DropStored(v.Task.Job())
		return
	}
	k.Record(v.Task, v.Done, v.Failures)
}

// dropKeeper forgets a shard that another daemon keeps.
func (n *Node) dropKeeper(shard filbertford.PoolID) {
	k := n.keepers[shard]
	if k == nil {
		return
	}
	delete(n.keepers, shard)
	for _, key := range k.Keys() {
		n.coordinator.DropStored(key)
	}
}

// flushKeepers carries out what the keepers want done, and reports whether there
// was anything.
func (n *Node) flushKeepers(now time.Duration) bool {
	moved := false
	for shard, k := range n.keepers {
		for _, a := range k.TakeActions() {
			moved = true
			n.actStored(now, shard, k, a)
		}
	}
	return moved
}

func (n *Node) actStored(now time.Duration, shard filbertford.PoolID, k *fbkeep.Keeper, a fbkeep.Action) {
	switch v := a.(type) {
	case fbkeep.Call:
		n.callStore(shard, k, v)
	case fbkeep.Reply:
		to, ok := n.origins[v.Number]
		delete(n.origins, v.Number)
		if ok {
			n.sendReply(to, fblink.NewStoredReply(to.number, string(v.State), v.Accepted, 0))
		}
	case fbkeep.Begin:
		n.coordinator.BeginStored(now, v.Route, v.Workload, v.Progress, v.Begun)
	case fbkeep.Cancel:
		n.coordinator.CancelStored(v.Job)
	case fbkeep.Confirmed:
		n.coordinator.Recorded(now, v.Task, v.Progress)
	case fbkeep.Verified:
		for _, pool := range v.Pools {
			n.coordinator.ResumeStored(now, pool)
		}
	case fbkeep.Lost:
		n.fleet.Fenced(now, shard, k.Fence())
	case fbkeep.Malformed:
		fbevent.RecordMalformed.Log(n.parts.Log, "shard", shard, "key", v.Key, "error", v.Cause)
	}
}

// verifyKeepers has this daemon's keepers look whether they still have their
// shards before tasks of stored jobs are offered to a pool again.
func (n *Node) verifyKeepers(pool filbertford.PoolID) {
	for _, k := range n.keepers {
		k.Verify(pool)
	}
}

// callStore makes a keeper's call beside the control goroutine.
func (n *Node) callStore(shard filbertford.PoolID, k *fbkeep.Keeper, c fbkeep.Call) {
	n.calls.Go(func() error {
		var snap filbertford.Snapshot
		var version uint64
		var err error
		switch c.Kind {
		case fbkeep.CallReadClaim, fbkeep.CallVerifyClaim:
			snap, err = n.parts.Store.List(n.ctx, filbertford.TableClaims, string(shard))
		case fbkeep.CallReadJobs:
			snap, err = n.parts.Store.List(n.ctx, filbertford.TableJobs, string(shard))
		case fbkeep.CallCommit:
			version, err = n.parts.Store.Commit(n.ctx, c.Transaction)
		}
		n.post(func(now time.Duration) {
			if n.keepers[shard] == k {
				k.Called(now, c.Kind, snap, version, err)
			}
		})
		return nil
	})
}
