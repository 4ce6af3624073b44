package fbnode

import (
	"context"
	"time"

	"github.com/filbertford/filbertford"
	"github.com/filbertford/filbertford/fbfleet"
	"github.com/filbertford/filbertford/fbshard"
	"github.com/filbertford/filbertford/fbtimer"
)

// post queues f to be called by the control goroutine.
func (n *Node) post(f func(now time.Duration)) {
	queued := fbtimer.SinceBoot()
	select {
	case n.events <- func(now time.Duration) {
		n.eventsWait.RecordDuration(now - queued)
		f(now)
	}:
	case <-n.ctx.Done():
	}
}

// controlLoop is the body of the control goroutine, the only one that calls the
// state machines.
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
			n.handleEvent(f)
			n.drainEvents()
		}
		n.flush(fbtimer.SinceBoot())
	}
}

// drainEvents handles queued events. Their number is limited so that ticks are not
// delayed.
func (n *Node) drainEvents() {
	for range 64 {
		select {
		case f := <-n.events:
			n.handleEvent(f)
		default:
			return
		}
	}
}

func (n *Node) handleEvent(f func(now time.Duration)) {
	now := fbtimer.SinceBoot()
	n.checkSuspension(now)
	f(now)
}

// checkSuspension handles a suspension of the process before anything else is: what the state
// machines know may be out of date.
func (n *Node) checkSuspension(now time.Duration) {
	gap := now - n.lastTick
	if gap <= suspensionThreshold {
		return
	}
	n.lastTick = now
	n.recorder.recordSuspension(gap)
	n.fleet.HandleSuspension(now)
	for _, p := range n.pools {
		p.HandleSuspension(now, suspensionWait)
	}
	n.cancelDisconnected(now)
	if gap <= abandonAfter {
		return
	}
	n.coordinator.AbandonAll(now, "the daemon was suspended")
	for _, s := range n.specs {
		if !isShard(s.ID()) {
			n.verifyShards(s.ID())
		}
	}
}

func (n *Node) tick(now time.Duration) {
	n.checkSuspension(now)
	n.lastTick = now
	if n.targets.prune(now) {
		n.updatePoolTargets(now)
	}
	wall := fbtimer.WallOffset()
	n.fleet.Tick(now, time.Now().UnixMilli())
	if candidate := n.fleet.IsCandidate(); n.isCandidate.Swap(candidate) != candidate && candidate {
		n.wakeTargetWatcher()
	}
	for _, p := range n.pools {
		p.Tick(now, wall)
	}
	n.coordinator.Tick(now)
	n.tickStored(now)
	n.tickClaims(now)
	n.tickEvacuations(now)
	n.tickTargets(now)
	n.pullRoutes()
	n.ready.Store(n.Routes() != nil && !n.stopping.Load() && n.hasPoolOwner())
	n.recorder.logOmissions(now)
}

// hasPoolOwner reports whether any pool of targets has an owner that can be
// reached.
func (n *Node) hasPoolOwner() bool {
	for _, s := range n.specs {
		if s.DataCentre() != "" && n.fleet.Owner(s.ID()).Node() != "" {
			return true
		}
	}
	return false
}

// flush carries out the actions of the state machines until there are none left,
// and sends the heartbeats that are due.
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

// handleFleetEvents records the changes in the fleet and passes them to the other
// state machines.
func (n *Node) handleFleetEvents(now time.Duration) {
	for _, e := range n.fleet.TakeEvents() {
		n.recorder.recordFleetEvent(e)
		switch e.Kind() {
		case fbfleet.EventAcquired:
			if isShard(e.Pool()) {
				n.ownedShards[e.Pool()] = fbshard.New(e.Pool(), n.opts.Member.Node(), e.Owner().Fence()).WithMemory(n.storedMemory)
				continue
			}
			n.addPool(now, e.Pool(), e.Owner().Fence())
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
			n.routesNodeUnreachable(e.Node())
			n.targetExchange.unreachable(e.Node())
			n.dropCoordinator(now, e.Node())
		case fbfleet.EventProbe:
			n.probePool(e.Pool())
		case fbfleet.EventPeerReachable:
			n.resumeTasks(now, e.Node())
		}
	}
}

// dropCoordinator drops the tasks of an unreachable coordinator from this daemon's pools.
// It replaces the stream to the coordinator: if that is only slow or was suspended, it has
// missed nothing itself, and offers its tasks again when it receives a new stream.
func (n *Node) dropCoordinator(now time.Duration, coordinator filbertford.NodeID) {
	if len(n.pools) == 0 {
		return
	}
	for _, p := range n.pools {
		p.CoordinatorUnreachable(now, coordinator)
	}
	n.hub.Redial(coordinator)
}

// resumeTasks offers the tasks in the pools of the daemon node again, since messages
// in either direction may have been lost.
func (n *Node) resumeTasks(now time.Duration, node filbertford.NodeID) {
	for _, s := range n.specs {
		if n.fleet.Owner(s.ID()).Node() == node {
			n.coordinator.Resume(now, s.ID())
			n.verifyShards(s.ID())
		}
	}
}
