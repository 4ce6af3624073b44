package fbnode

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/uber-go/tally/v4"
	"golang.org/x/sync/errgroup"

	"github.com/filbertford/filbertford"
	"github.com/filbertford/filbertford/fbevent"
	"github.com/filbertford/filbertford/fbfleet"
	"github.com/filbertford/filbertford/fblink"
	"github.com/filbertford/filbertford/fbsched"
	"github.com/filbertford/filbertford/fbshard"
	"github.com/filbertford/filbertford/fbtimer"
)

// Times and limits of a daemon.
const (
	// tickPeriod is the time between two looks at what time demands.
	tickPeriod = 20 * time.Millisecond
	// minHeartbeatPeriod is the shortest time between two heartbeats that tell room.
	minHeartbeatPeriod = 30 * time.Millisecond
	// rosterPeriod is the time between two rosters in a small fleet; rosterFanout is
	// the number of daemons that get one at a time in a large fleet.
	rosterPeriod = time.Second
	rosterFanout = 4
	// suspensionThreshold is the gap between two ticks that counts as a suspension.
	suspensionThreshold = 300 * time.Millisecond
	// abandonAfter is the suspension after which jobs are given up: pools have
	// stopped their tasks, and callers may have sent them elsewhere.
	abandonAfter = time.Second
	// maxEvents is the number of events that wait for the control goroutine.
	maxEvents = 16384
)

// Decoder reads what operators and targets write into the store.
type Decoder interface {
	// IsRoutes reports whether a row of the table of routes holds the routes.
	IsRoutes(row filbertford.Row) bool
	// DecodeRoutes returns the routes of a row.
	DecodeRoutes(value []byte) (*filbertford.Routes, error)
	// DecodeTarget returns the record of a target.
	DecodeTarget(id string, value []byte) (filbertford.TargetRecord, error)
}

// Dependencies are what a daemon is made of.
type Dependencies struct {
	Timer        filbertford.Timer
	Store        filbertford.Store
	TargetClient filbertford.TargetClient
	Decoder      Decoder
	Log          *log.Logger
	Metrics      tally.Scope
	// LostLines returns the number of log lines that the output did not take.
	LostLines func() uint64
}

// Options are the settings of a daemon.
type Options struct {
	// Member is the daemon itself.
	Member fbfleet.Member
	// Seeds are addresses at which other daemons may be.
	Seeds []string
	// Zones are all data centres.
	Zones []filbertford.DataCentre
}

// Node is a daemon of the fleet.
type Node struct {
	deps   Dependencies
	opts   Options
	events chan func(now time.Duration)
	hub    *fblink.Hub
	calls  *errgroup.Group
	ctx    context.Context

	routes   atomic.Pointer[filbertford.Routes]
	ready    atomic.Bool
	stopping atomic.Bool
	inFlight atomic.Int64
	requests atomic.Uint64
	ownsPool atomic.Bool // a pool of targets

	wakeTargets chan struct{}

	// Below is the control goroutine's.
	fleet            *fbfleet.Fleet
	coordinator      *fbsched.Coordinator
	pools            map[filbertford.PoolID]*fbsched.Pool
	targets          *targetCache
	routesValue      []byte
	pendingAnswers   map[uint64]chan filbertford.WorkloadAnswer
	shards           map[filbertford.PoolID]*fbshard.Owner
	pendingStored    map[uint64]*pendingStoredRequest
	origins          map[uint64]origin
	lastOrigin       uint64
	claims           claimState
	lastTick         time.Duration
	lastHeartbeat    time.Duration
	lastRoster       time.Duration
	nextRosterMember int // the daemon that gets the next roster in a large fleet
	sentHeartbeats   map[filbertford.NodeID]sentHeartbeat
	specs            []fbfleet.PoolSpec // of the pools that are known
	joined           bool
	recorder         *eventRecorder
}

var (
	_ filbertford.Frontend = (*Node)(nil)
	_ fblink.Receiver      = (*Node)(nil)
)

// New returns a daemon that does nothing before Run.
func New(opts Options, deps Dependencies) *Node {
	now := fbtimer.SinceBoot()
	n := &Node{
		deps: deps, opts: opts,
		events:         make(chan func(time.Duration), maxEvents),
		fleet:          fbfleet.New(opts.Member, now),
		coordinator:    fbsched.NewCoordinator(zonePool(opts.Member.Zone())),
		pools:          make(map[filbertford.PoolID]*fbsched.Pool),
		targets:        newTargetCache(deps.Decoder, deps.Log),
		pendingAnswers: make(map[uint64]chan filbertford.WorkloadAnswer),
		shards:         make(map[filbertford.PoolID]*fbshard.Owner),
		pendingStored:  make(map[uint64]*pendingStoredRequest),
		origins:        make(map[uint64]origin),
		wakeTargets:    make(chan struct{}, 1),
		sentHeartbeats: make(map[filbertford.NodeID]sentHeartbeat),
		lastTick:       now,
		recorder:       newEventRecorder(deps.Log, deps.Metrics, deps.LostLines),
	}
	n.hub = fblink.NewHub(opts.Member, n)
	n.updatePools()
	return n
}

// updatePools names the pools that are known.
func (n *Node) updatePools() {
	n.specs = n.poolSpecs()
	n.fleet.SetPools(n.specs)
	for _, s := range n.specs {
		if !isShard(s.ID()) {
			n.coordinator.AddPool(s.ID())
		}
	}
}

// zonePool returns the pool of a data centre's targets.
func zonePool(zone filbertford.DataCentre) filbertford.PoolID { return filbertford.PoolID(zone) }

// poolSpecs returns the pools of all data centres that are known.
func (n *Node) poolSpecs() []fbfleet.PoolSpec {
	seen := make(map[filbertford.DataCentre]bool)
	var out []fbfleet.PoolSpec
	for _, zone := range append(n.targets.zones(), n.opts.Zones...) {
		if zone != "" && !seen[zone] {
			seen[zone] = true
			out = append(out, fbfleet.NewPoolSpec(zonePool(zone), zone))
		}
	}
	for i := range shardCount {
		out = append(out, fbfleet.NewPoolSpec(shardName(i), ""))
	}
	return out
}

// Run drives the daemon until the context ends. Peers connect to the listener.
func (n *Node) Run(ctx context.Context, peers net.Listener) error {
	group, ctx := errgroup.WithContext(ctx)
	n.ctx = ctx
	n.calls = &errgroup.Group{}
	group.Go(func() error { return n.hub.Run(ctx, peers) })
	group.Go(func() error { return n.controlLoop(ctx) })
	for _, m := range n.tableWatchers() {
		group.Go(func() error { return m.run(ctx) })
	}
	group.Go(func() error { return n.register(ctx) })
	err := group.Wait()
	_ = n.calls.Wait() // calls return no errors
	return err
}

// post brings an event to the control goroutine.
func (n *Node) post(f func(now time.Duration)) {
	select {
	case n.events <- f:
	case <-n.ctx.Done():
	}
}

// controlLoop is the control goroutine.
func (n *Node) controlLoop(ctx context.Context) error {
	ticks, stop := n.deps.Timer.Subscribe(tickPeriod)
	defer stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticks:
			n.tick(fbtimer.SinceBoot())
		case f := <-n.events:
			f(fbtimer.SinceBoot())
			n.drainEvents()
		}
		n.flush(fbtimer.SinceBoot())
	}
}

// drainEvents handles what has gathered, up to a bound that lets ticks through.
func (n *Node) drainEvents() {
	for range 64 {
		select {
		case f := <-n.events:
			f(fbtimer.SinceBoot())
		default:
			return
		}
	}
}

func (n *Node) tick(now time.Duration) {
	gap := now - n.lastTick
	n.lastTick = now
	if gap > suspensionThreshold {
		n.recorder.recordSuspension(gap)
		n.fleet.HandleSuspension(now)
		if gap > abandonAfter {
			n.coordinator.AbandonAll(now, "the daemon was suspended")
		}
	}
	if n.targets.prune(now) {
		n.updatePoolTargets(now)
	}
	wall := fbtimer.WallOffset()
	n.fleet.Tick(now, time.Now().UnixMilli())
	for _, p := range n.pools {
		p.Tick(now, wall)
	}
	n.coordinator.Tick(now)
	n.tickStored(now)
	n.tickClaims(now)
	n.ready.Store(n.routes.Load() != nil && !n.stopping.Load() && n.hasPoolOwner())
	n.recorder.logOmissions(now)
}

// hasPoolOwner reports whether any pool has an owner that can be reached, or no
// target is known.
func (n *Node) hasPoolOwner() bool {
	for _, s := range n.specs {
		if s.Zone() != "" && n.fleet.Owner(s.ID()).Node() != "" {
			return true
		}
	}
	return false
}

// flush carries out what the state machines want done.
func (n *Node) flush(now time.Duration) {
	n.handleFleetEvents(now)
	for acted := true; acted; {
		acted = false
		for _, p := range n.pools {
			for _, a := range p.TakeActions(now) {
				acted = true
				n.doAction(now, a)
			}
		}
		for _, a := range n.coordinator.TakeActions() {
			acted = true
			n.doAction(now, a)
		}
		acted = n.flushShards(now) || acted
		n.handleFleetEvents(now)
	}
	n.sendDueHeartbeats(now)
}

// handleFleetEvents takes in what has changed in the fleet.
func (n *Node) handleFleetEvents(now time.Duration) {
	for _, e := range n.fleet.TakeEvents() {
		n.recorder.recordFleetEvent(e)
		switch e.Kind() {
		case fbfleet.EventAcquired:
			if isShard(e.Pool()) {
				n.shards[e.Pool()] = fbshard.New(e.Pool(), n.opts.Member.Node(), e.Owner().Fence())
				continue
			}
			p := fbsched.NewPool(e.Pool(), e.Owner().Fence(), fbtimer.WallOffset(), now)
			n.pools[e.Pool()] = p
			n.ownsPool.Store(true)
			n.wakeTargetWatcher()
			p.SetDeparted(n.targets.departures(e.Pool()))
			p.SetTargets(now, n.targets.inPool(e.Pool()))
		case fbfleet.EventReleased:
			delete(n.pools, e.Pool())
			n.ownsPool.Store(len(n.pools) > 0)
			n.dropShard(e.Pool())
		case fbfleet.EventOwner:
			if isShard(e.Pool()) {
				n.resendStoredRequests(now, e.Pool())
				continue
			}
			n.coordinator.SetOwner(now, e.Pool(), e.Owner().Node(), e.Owner().Fence())
			n.verifyShards(e.Pool())
		case fbfleet.EventPeerUnreachable:
			for _, p := range n.pools {
				p.CoordinatorLost(now, e.Node())
			}
		case fbfleet.EventProbe:
			n.probePool(e.Pool())
		case fbfleet.EventPeerReachable:
			n.resumeTasks(now, e.Node())
		}
	}
}

// resumeTasks offers the tasks in a daemon's pools again, since messages of either
// direction may have been lost.
func (n *Node) resumeTasks(now time.Duration, node filbertford.NodeID) {
	for _, s := range n.specs {
		if n.fleet.Owner(s.ID()).Node() == node {
			n.coordinator.Resume(now, s.ID())
			n.verifyShards(s.ID())
		}
	}
}

// doAction carries out an action.
func (n *Node) doAction(now time.Duration, a fbsched.Action) {
	switch v := a.(type) {
	case fbsched.StartCall:
		n.startRun(v.Order)
	case fbsched.StopCall:
		n.stopRun(v.Order)
	case fbsched.PollCall:
		n.pollStatus(v.Order)
	case fbsched.SendReport:
		if v.To == n.opts.Member.Node() {
			n.coordinator.HandleReport(now, v.Report)
			return
		}
		n.hub.Send(v.To, v.Report)
	case fbsched.SendBatch:
		n.sendBatch(now, v)
	case fbsched.SendWithdrawal:
		if v.To != n.opts.Member.Node() {
			n.hub.Send(v.To, v.Withdrawal)
		} else if p := n.pools[v.Withdrawal.Pool()]; p != nil {
			p.Withdraw(now, v.To, v.Withdrawal.Job())
		}
	case fbsched.Answer:
		n.deliverAnswer(v)
	case fbsched.SendConfirm:
		if v.To != n.opts.Member.Node() {
			n.hub.Send(v.To, v.Confirm)
		} else if p := n.pools[v.Confirm.Pool()]; p != nil {
			p.HandleConfirm(now, v.Confirm)
		}
	case fbsched.RecordOutcome:
		n.recordTaskEnd(v)
	case fbsched.JobStarted:
		if k := n.shards[shardOf(v.Job)]; k != nil {
			k.MarkStarted(v.Job)
		}
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
		k := n.shards[shardOf(v.Batch.Job())]
		if k == nil {
			return // the shard has moved
		}
		v.Batch = v.Batch.WithShardFence(k.Fence())
	}
	if v.To != n.opts.Member.Node() {
		n.hub.Send(v.To, v.Batch)
		return
	}
	if p := n.pools[v.Batch.Pool()]; p != nil && p.Fence() == v.Batch.Fence() {
		p.Offer(now, v.To, v.Batch)
	}
}

func (n *Node) deliverAnswer(a fbsched.Answer) {
	if ch, ok := n.pendingAnswers[a.Request]; ok {
		delete(n.pendingAnswers, a.Request)
		ch <- a.Answer // has room for the one answer
	}
}

// Stop begins the daemon's end: it tells the balancer and the fleet, and returns
// when the balancer sends no new connections. Requests are answered on.
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

// balancerDelay is the time after which the balancer sends no new connections to
// a daemon that is not ready: two missed probes, one a second, and their way.
const balancerDelay = 2600 * time.Millisecond
