package fbnode

import (
	"cmp"
	"context"
	"math"
	"math/rand/v2"
	"net"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/uber-go/tally/v4"
	"golang.org/x/sync/errgroup"

	"github.com/filbertford/filbertford"
	"github.com/filbertford/filbertford/fbbalance"
	"github.com/filbertford/filbertford/fbevent"
	"github.com/filbertford/filbertford/fbfleet"
	"github.com/filbertford/filbertford/fblink"
	"github.com/filbertford/filbertford/fbsched"
	"github.com/filbertford/filbertford/fbshard"
	"github.com/filbertford/filbertford/fbtimer"
)

// Periods and limits of a daemon.
const (
	// tickPeriod is the time between two ticks of the state machines.
	tickPeriod = 20 * time.Millisecond
	// rosterPeriod is the time between two rosters in a small fleet, rosterFanout
	// the number of daemons that are sent each roster in a large fleet.
	rosterPeriod = time.Second
	rosterFanout = 4
	// suspensionThreshold is the time between two ticks above which the process
	// counts as having been suspended.
	suspensionThreshold = 300 * time.Millisecond
	// suspensionWait is how long pools start nothing after a suspension: two heartbeat
	// periods of a small fleet, in which others answer this daemon's heartbeat with the
	// newer claims that they know.
	suspensionWait = 200 * time.Millisecond
	// abandonAfter is the length of a suspension after which jobs are abandoned: by
	// then pools have stopped their tasks, and callers may have sent them elsewhere.
	abandonAfter = time.Second
	// maxEvents is the capacity of the control goroutine's event queue.
	maxEvents = 16384
)

// Decoder decodes the rows that operators and targets write to the store.
type Decoder interface {
	// IsRoutes reports whether a row of the routes table holds the routes.
	IsRoutes(row filbertford.Row) bool
	// DecodeRoutes decodes the value of the row that holds the routes.
	DecodeRoutes(value []byte) (*filbertford.Routes, error)
	// IsEvacuation reports whether a row of the routes table evacuates a data centre.
	IsEvacuation(row filbertford.Row) bool
	// DecodeEvacuation returns the data centre that such a row evacuates.
	DecodeEvacuation(row filbertford.Row) (filbertford.DataCentre, error)
	// DecodeTarget decodes the value of a target's row. The row's key is the
	// target's ID.
	DecodeTarget(id string, value []byte) (filbertford.TargetRecord, error)
}

// Dependencies are the services that a Node uses.
type Dependencies struct {
	Timer        filbertford.Timer
	Store        filbertford.Store
	TargetClient filbertford.TargetClient
	Decoder      Decoder
	Log          *log.Logger
	Metrics      tally.Scope
	// DroppedLines returns the number of log lines that were dropped because the output
	// was too slow.
	DroppedLines func() uint64
}

// Options are the settings of a daemon.
type Options struct {
	// Member describes the daemon itself.
	Member fbfleet.Member
	// Seeds are addresses at which other daemons may listen.
	Seeds []string
	// DataCentres are all data centres of the fleet.
	DataCentres []filbertford.DataCentre
	// Scheduling are the settings that apply under contention.
	Scheduling filbertford.Scheduling
	// StoredMemory is the maximum memory of the stored jobs of the daemon's shards in bytes, 0
	// for no limit.
	StoredMemory int
}

// Node is a daemon of the fleet.
type Node struct {
	deps   Dependencies
	opts   Options
	events chan func(now time.Duration)
	hub    *fblink.Hub
	calls  *workers
	ctx    context.Context

	routes        *routesState
	ready         atomic.Bool
	stopping      atomic.Bool
	inFlight      atomic.Int64
	lastRequestID atomic.Uint64
	ownsPool      atomic.Bool // whether the daemon owns a pool of targets
	isCandidate   atomic.Bool // whether the daemon is likely to claim one soon

	wakeTargets chan struct{}

	// Only the control goroutine uses the fields below.
	fleet            *fbfleet.Fleet
	coordinator      *fbsched.Coordinator
	pools            map[filbertford.PoolID]*fbsched.Pool
	targets          *targetCache
	targetExchange   *targetExchange
	pendingAnswers   map[uint64]pendingAnswer
	ownedShards      map[filbertford.PoolID]*fbshard.Owner
	storedMemory     *fbshard.Memory
	pendingStored    map[uint64]*pendingStoredRequest
	origins          map[uint64]origin // of the requests that wait for a reply of a shard
	queuedOrigins    map[origin]bool   // the same
	lastOriginID     uint64
	claims           claimState
	lastTick         time.Duration
	lastHeartbeat    time.Duration
	lastRoster       time.Duration
	nextRosterMember int // index of the next member to get a roster in a large fleet
	sentHeartbeats   map[filbertford.NodeID]sentHeartbeat
	specs            []fbfleet.PoolSpec // of all known pools
	recorder         *eventRecorder
	evacuations      *evacuationState
	malformedMembers map[string]uint64 // versions of the daemons' rows that can't be decoded
	eventsWait       tally.Histogram   // from the queueing of an event until it is handled
}

var (
	_ filbertford.Frontend = (*Node)(nil)
	_ fblink.Receiver      = (*Node)(nil)
)

// New returns a daemon that does nothing until Run is called.
func New(opts Options, deps Dependencies) *Node {
	now := fbtimer.SinceBoot()
	n := &Node{
		deps: deps, opts: opts,
		events:         make(chan func(time.Duration), maxEvents),
		fleet:          fbfleet.New(opts.Member, now),
		coordinator:    fbsched.NewCoordinator(dataCentrePool(opts.Member.DataCentre())),
		pools:          make(map[filbertford.PoolID]*fbsched.Pool),
		targets:        newTargetCache(deps.Decoder, deps.Log),
		targetExchange: newTargetExchange(now, deps.Metrics),
		pendingAnswers: make(map[uint64]pendingAnswer),
		ownedShards:    make(map[filbertford.PoolID]*fbshard.Owner),
		storedMemory:   fbshard.NewMemory(cmp.Or(opts.StoredMemory, math.MaxInt)),
		pendingStored:  make(map[uint64]*pendingStoredRequest),
		origins:        make(map[uint64]origin),
		queuedOrigins:  make(map[origin]bool),
		wakeTargets:    make(chan struct{}, 1),
		sentHeartbeats: make(map[filbertford.NodeID]sentHeartbeat),
		lastTick:       now,
		recorder:       newEventRecorder(deps.Log, deps.Metrics, deps.DroppedLines),
		evacuations:    newEvacuationState(deps.Metrics),
		routes:         newRoutesState(deps.Metrics),
		eventsWait:     deps.Metrics.Histogram("events_wait", latencyBuckets),
	}
	// A reply to a request of an earlier incarnation of the daemon must match none of this one.
	n.lastRequestID.Store(rand.Uint64N(math.MaxInt64))
	n.fleet.SetTargetsKnown(false)
	n.coordinator.SetScheduling(opts.Scheduling)
	n.coordinator.SetBalancer(fbbalance.Share{}, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
	n.hub = fblink.NewHub(opts.Member, n)
	n.updatePools()
	return n
}

// updatePools passes the known pools to the fleet and to the coordinator, which
// gets no shards.
func (n *Node) updatePools() {
	n.specs = n.poolSpecs()
	n.fleet.SetPools(n.specs)
	for _, s := range n.specs {
		if !isShard(s.ID()) {
			n.coordinator.AddPool(s.ID())
		}
	}
}

// dataCentrePool returns the pool of a data centre's targets.
func dataCentrePool(dataCentre filbertford.DataCentre) filbertford.PoolID {
	return filbertford.PoolID(dataCentre)
}

// poolDataCentre returns the data centre of a pool of targets.
func poolDataCentre(pool filbertford.PoolID) filbertford.DataCentre {
	return filbertford.DataCentre(pool)
}

// maxUnlistedDataCentres is the number of data centres beside those in the settings whose targets
// form a pool. Another writer's records may name any number, and each pool costs every daemon work.
const maxUnlistedDataCentres = 16

// poolSpecs returns the pools of all known data centres and the shards of the
// stored jobs.
func (n *Node) poolSpecs() []fbfleet.PoolSpec {
	seen := make(map[filbertford.DataCentre]bool)
	var out []fbfleet.PoolSpec
	add := func(limit int, dataCentres []filbertford.DataCentre) {
		for _, dataCentre := range dataCentres {
			if dataCentre != "" && !seen[dataCentre] && len(out) < limit {
				seen[dataCentre] = true
				out = append(out, fbfleet.NewPoolSpec(dataCentrePool(dataCentre), dataCentre))
			}
		}
	}
	add(math.MaxInt, n.opts.DataCentres)
	add(len(out)+maxUnlistedDataCentres, n.targets.dataCentres())
	for i := range shardCount {
		out = append(out, fbfleet.NewPoolSpec(shardName(i), ""))
	}
	return out
}

// Run runs the daemon until the context ends. Other daemons connect to the
// listener peers.
func (n *Node) Run(ctx context.Context, peers net.Listener) error {
	group, ctx := errgroup.WithContext(ctx)
	n.ctx = ctx
	n.calls = newWorkers(ctx)
	group.Go(func() error { return n.hub.Run(ctx, peers) })
	group.Go(func() error { return n.controlLoop(ctx) })
	for _, w := range n.tableWatchers() {
		group.Go(func() error { return w.run(ctx) })
	}
	group.Go(func() error { return n.register(ctx) })
	err := group.Wait()
	_ = n.calls.Wait() // calls return no errors
	return err
}

// doAction carries out an action of a pool or of the coordinator.
func (n *Node) doAction(now time.Duration, a fbsched.Action) {
	switch v := a.(type) {
	case fbsched.StartCall:
		n.startRun(v)
	case fbsched.StopCall:
		n.stopRun(v)
	case fbsched.PollCall:
		n.pollStatus(v)
	case fbsched.SendReport:
		if v.To == n.opts.Member.Node() {
			n.coordinator.HandleReport(now, v.Report)
			return
		}
		n.hub.Send(v.To, v.Report)
	case fbsched.SendBatch:
		n.sendBatch(now, v)
	case fbsched.SendOffersComplete:
		n.sendBatch(now, fbsched.SendBatch{To: v.To, Batch: v.Batch()})
	case fbsched.SendWithdrawal:
		if v.To != n.opts.Member.Node() {
			n.hub.Send(v.To, v.Withdrawal)
		} else if p := n.pools[v.Withdrawal.Pool()]; p != nil {
			p.Withdraw(now, v.To, v.Withdrawal.Job())
		}
	case fbsched.AnnounceWithdrawal:
		n.announceWithdrawal(v.Withdrawal)
	case fbsched.SendRecall:
		n.sendRecall(now, v)
	case fbsched.Answer:
		n.deliverAnswer(v)
	case fbsched.SendConfirm:
		if v.To != n.opts.Member.Node() {
			n.hub.Send(v.To, v.Confirm)
		} else if p := n.pools[v.Confirm.Pool()]; p != nil {
			p.HandleConfirm(now, v.Confirm)
		}
	case fbsched.RecordOutcome:
		n.recordTaskOutcome(v)
	case fbsched.JobStarted:
		if owner := n.ownedShards[shardOf(v.Job)]; owner != nil {
			owner.MarkStarted(v.Job)
		}
	case fbsched.UnknownOutcome:
		if owner := n.ownedShards[shardOf(v.Job)]; owner != nil && owner.Ended(v.Job) {
			n.coordinator.HandleEnded(v.Pool, v.Job)
		}
	case fbsched.OwnerAccepted:
		n.verifyShards(v.Pool)
	case fbsched.PoolLost:
		if p := n.pools[v.Pool]; p != nil {
			n.fleet.HandleFenced(now, v.Pool, p.Fence())
		}
	case fbsched.Event:
		n.recorder.recordDecision(now, v)
	}
}

func (n *Node) sendBatch(now time.Duration, v fbsched.SendBatch) {
	if v.Batch.Stored() {
		owner := n.ownedShards[shardOf(v.Batch.Job())]
		if owner == nil {
			return // another daemon owns the shard now
		}
		v.Batch = v.Batch.WithShardFence(owner.Fence())
	}
	if v.To != n.opts.Member.Node() {
		n.hub.Send(v.To, v.Batch)
		return
	}
	if p := n.pools[v.Batch.Pool()]; p != nil && p.Fence() == v.Batch.Fence() {
		p.Offer(now, v.To, v.Batch)
	}
}

// announceWithdrawal tells the other daemons of the data centre of a withdrawal. The owner of the
// pool gets one of its own.
func (n *Node) announceWithdrawal(w fbsched.Withdrawal) {
	for _, m := range n.fleet.Members() {
		if m.DataCentre() == n.opts.Member.DataCentre() && m.Node() != n.fleet.Owner(w.Pool()).Node() {
			n.hub.Send(m.Node(), w)
		}
	}
}

func (n *Node) sendRecall(now time.Duration, v fbsched.SendRecall) {
	if v.To != n.opts.Member.Node() {
		n.hub.Send(v.To, v.Recall)
		return
	}
	n.handleRecall(now, v.To, v.Recall)
}

func (n *Node) handleRecall(now time.Duration, from filbertford.NodeID, r fbsched.Recall) {
	if p := n.pools[r.Pool()]; p != nil && p.Fence() == r.Fence() {
		p.Recall(now, from, r.Job())
	}
}

// Stop starts a graceful shutdown: it reports the daemon as not ready to the load
// balancer and as draining to the fleet, and returns once the load balancer sends
// no new connections or the context ends. Requests are still answered.
func (n *Node) Stop(ctx context.Context) {
	fbevent.NodeStopping.Log(n.deps.Log, "in_flight", n.inFlight.Load())
	n.stopping.Store(true)
	n.ready.Store(false)
	n.post(func(time.Duration) { n.fleet.SetDraining() })
	select {
	case <-ctx.Done():
	case <-time.After(balancerDelay):
	}
}

// balancerDelay is the time after which the load balancer sends no new connections
// to a daemon that is not ready: two failed probes, one a second, plus their
// transit time.
const balancerDelay = 2600 * time.Millisecond
