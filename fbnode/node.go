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
	"github.com/filbertford/filbertford/fbkeep"
	"github.com/filbertford/filbertford/fblink"
	"github.com/filbertford/filbertford/fbsched"
	"github.com/filbertford/filbertford/fbtimer"
)

// Times and limits of a daemon.
const (
	// tickPeriod is the time between two looks at what time demands.
	tickPeriod = 20 * time.Millisecond
	// roomPeriod is the shortest time between two heartbeats that tell room.
	roomPeriod = 30 * time.Millisecond
	// rosterPeriod is the time between two rosters in a small fleet; rosterFanout is
	// the number of daemons that get one at a time in a large fleet.
	rosterPeriod = time.Second
	rosterFanout = 4
	// suspicion is the gap between two ticks that counts as a suspension.
	suspicion = 300 * time.Millisecond
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

// Parts are what a daemon is made of.
type Parts struct {
	Timer    filbertford.Timer
	Store    filbertford.Store
	Executor filbertford.Executor
	Decoder  Decoder
	Log      *log.Logger
	Metrics  tally.Scope
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
	parts  Parts
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
	owning   atomic.Bool // a pool of targets

	readTargets chan struct{}

	// Below is the control goroutine's.
	fleet       *fbfleet.Fleet
	coordinator *fbsched.Coordinator
	pools       map[filbertford.PoolID]*fbsched.Pool
	table       *targetTable
	routesValue []byte
	pending     map[uint64]chan filbertford.WorkloadAnswer
	keepers     map[filbertford.PoolID]*fbkeep.Keeper
	asked       map[uint64]*askedStored
	origins     map[uint64]origin
	lastOrigin  uint64
	claims      claimWatch
	lastTick    time.Duration
	lastBeat    time.Duration
	lastRoster  time.Duration
	rosterNext  int // the daemon that gets the next roster in a large fleet
	sentBeats   map[filbertford.NodeID]sentBeat
	specs       []fbfleet.PoolSpec // of the pools that are known
	joined      bool
	book        *book
}

var (
	_ filbertford.Frontend = (*Node)(nil)
	_ fblink.Receiver      = (*Node)(nil)
)

// New returns a daemon that does nothing before Run.
func New(opts Options, parts Parts) *Node {
	now := fbtimer.SinceBoot()
	n := &Node{
		parts: parts, opts: opts,
		events:      make(chan func(time.Duration), maxEvents),
		fleet:       fbfleet.New(opts.Member, now),
		coordinator: fbsched.NewCoordinator(homePool(opts.Member.Zone())),
		pools:       make(map[filbertford.PoolID]*fbsched.Pool),
		table:       newTargetTable(parts.Decoder, parts.Log),
		pending:     make(map[uint64]chan filbertford.WorkloadAnswer),
		keepers:     make(map[filbertford.PoolID]*fbkeep.Keeper),
		asked:       make(map[uint64]*askedStored),
		origins:     make(map[uint64]origin),
		readTargets: make(chan struct{}, 1),
		sentBeats:   make(map[filbertford.NodeID]sentBeat),
		lastTick:    now,
		book:        newBook(parts.Log, parts.Metrics, parts.LostLines),
	}
	n.hub = fblink.NewHub(opts.Member, n)
	n.setPools()
	return n
}

// setPools names the pools that are known.
func (n *Node) setPools() {
	n.specs = n.poolSpecs()
	n.fleet.SetPools(n.specs)
	for _, s := range n.specs {
		if !isShard(s.ID()) {
			n.coordinator.AddPool(s.ID())
		}
	}
}

// homePool returns the pool of a data centre's targets.
func homePool(zone filbertford.DataCentre) filbertford.PoolID { return filbertford.PoolID(zone) }

// poolSpecs returns the pools of all data centres that are known.
func (n *Node) poolSpecs() []fbfleet.PoolSpec {
	seen := make(map[filbertford.DataCentre]bool)
	var out []fbfleet.PoolSpec
	for _, zone := range append(n.table.zones(), n.opts.Zones...) {
		if zone != "" && !seen[zone] {
			seen[zone] = true
			out = append(out, fbfleet.NewPoolSpec(homePool(zone), zone))
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
	group.Go(func() error { return n.control(ctx) })
	for _, m := range n.mirrors() {
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

// control is the control goroutine.
func (n *Node) control(ctx context.Context) error {
	ticks, stop := n.parts.Timer.Subscribe(tickPeriod)
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
	if gap > suspicion {
		n.book.suspended(gap)
		n.fleet.Woke(now)
		if gap > abandonAfter {
			n.coordinator.AbandonAll(now, "the daemon was suspended")
		}
	}
	if n.table.prune(now) {
		n.recordsChanged(now)
	}
	wall := fbtimer.WallOffset()
	n.fleet.Tick(now, time.Now().UnixMilli())
	for _, p := range n.pools {
		p.Tick(now, wall)
	}
	n.coordinator.Tick(now)
	n.tickStored(now)
	n.tickClaims(now)
	n.ready.Store(n.routes.Load() != nil && !n.stopping.Load() && n.reachesPool())
	n.book.flush(now)
}

// reachesPool reports whether any pool has an owner that can be reached, or no
// target is known.
func (n *Node) reachesPool() bool {
	for _, s := range n.specs {
		if s.Zone() != "" && n.fleet.Owner(s.ID()).Node() != "" {
			return true
		}
	}
	return false
}

// flush carries out what the state machines want done.
func (n *Node) flush(now time.Duration) {
	n.fleetEvents(now)
	for moved := true; moved; {
		moved = false
		for _, p := range n.pools {
			for _, a := range p.TakeActions(now) {
				moved = true
				n.act(now, a)
			}
		}
		for _, a := range n.coordinator.TakeActions() {
			moved = true
			n.act(now, a)
		}
		moved = n.flushKeepers(now) || moved
		n.fleetEvents(now)
	}
	n.beat(now)
}

// fleetEvents takes in what has changed in the fleet.
func (n *Node) fleetEvents(now time.Duration) {
	for _, e := range n.fleet.TakeEvents() {
		n.book.fleet(e)
		switch e.Kind() {
		case fbfleet.EventAcquired:
			if isShard(e.Pool()) {
				n.keepers[e.Pool()] = fbkeep.New(e.Pool(), n.opts.Member.Node(), e.Owner().Fence())
				continue
			}
			p := fbsched.NewPool(e.Pool(), e.Owner().Fence(), fbtimer.WallOffset(), now)
			n.pools[e.Pool()] = p
			n.owning.Store(true)
			n.hurryTargets()
			p.SetGhosts(n.table.departures(e.Pool()))
			p.SetTargets(now, n.table.pool(e.Pool()))
		case fbfleet.EventReleased:
			delete(n.pools, e.Pool())
			n.owning.Store(len(n.pools) > 0)
			n.dropKeeper(e.Pool())
		case fbfleet.EventOwner:
			if isShard(e.Pool()) {
				n.resendStored(now, e.Pool())
				continue
			}
			n.coordinator.SetOwner(now, e.Pool(), e.Owner().Node(), e.Owner().Fence())
			n.verifyKeepers(e.Pool())
		case fbfleet.EventPeerLost:
			for _, p := range n.pools {
				p.CoordinatorGone(now, e.Node())
			}
		case fbfleet.EventProbe:
			n.probe(e.Pool())
		case fbfleet.EventPeerMet:
			n.resume(now, e.Node())
		}
	}
}

// resume offers the tasks in a daemon's pools again, since messages of either
// direction may have been lost.
func (n *Node) resume(now time.Duration, node filbertford.NodeID) {
	for _, s := range n.specs {
		if n.fleet.Owner(s.ID()).Node() == node {
			n.coordinator.Resume(now, s.ID())
			n.verifyKeepers(s.ID())
		}
	}
}

// act carries out an action.
func (n *Node) act(now time.Duration, a fbsched.Action) {
	switch v := a.(type) {
	case fbsched.StartCall:
		n.start(v.Order)
	case fbsched.StopCall:
		n.stop(v.Order)
	case fbsched.LookCall:
		n.look(v.Order)
	case fbsched.SendReport:
		if v.To == n.opts.Member.Node() {
			n.coordinator.TakeReport(now, v.Report)
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
		n.answer(v)
	case fbsched.SendConfirm:
		if v.To != n.opts.Member.Node() {
			n.hub.Send(v.To, v.Confirm)
		} else if p := n.pools[v.Confirm.Pool()]; p != nil {
			p.Confirm(now, v.Confirm)
		}
	case fbsched.RecordEnd:
		n.record(v)
	case fbsched.JobBegun:
		if k := n.keepers[shardOf(v.Job)]; k != nil {
			k.Begun(v.Job)
		}
	case fbsched.LosePool:
		if p := n.pools[v.Pool]; p != nil {
			n.fleet.Fenced(now, v.Pool, p.Fence())
		}
	case fbsched.Note:
		n.book.note(now, v)
	}
}

func (n *Node) sendBatch(now time.Duration, v fbsched.SendBatch) {
	if v.Batch.Durable() {
		k := n.keepers[shardOf(v.Batch.Job())]
		if k == nil {
			return // the shard has moved
		}
		v.Batch = v.Batch.WithKeeper(k.Fence())
	}
	if v.To != n.opts.Member.Node() {
		n.hub.Send(v.To, v.Batch)
		return
	}
	if p := n.pools[v.Batch.Pool()]; p != nil && p.Fence() == v.Batch.Fence() {
		p.Offer(now, v.To, v.Batch)
	}
}

func (n *Node) answer(a fbsched.Answer) {
	if ch, ok := n.pending[a.Request]; ok {
		delete(n.pending, a.Request)
		ch <- a.Answer // has room for the one answer
	}
}

// Stop begins the daemon's end: it tells the balancer and the fleet, and returns
// when the balancer sends no new connections. Requests are answered on.
func (n *Node) Stop(ctx context.Context) {
	fbevent.NodeStopping.Log(n.parts.Log, "in_flight", n.inFlight.Load())
	n.stopping.Store(true)
	n.ready.Store(false)
	n.post(func(time.Duration) { n.fleet.SetDraining() })
	select {
	case <-ctx.Done():
	case <-time.After(balancerTerm):
	}
}

// balancerTerm is the time after which the balancer sends no new connections to
// a daemon that is not ready: two missed probes, one a second, and their way.
const balancerTerm = 2600 * time.Millisecond
