package fbnode

import (
	"time"

	"github.com/filbertford/filbertford"
	"github.com/filbertford/filbertford/fbevent"
	"github.com/filbertford/filbertford/fbfleet"
	"github.com/filbertford/filbertford/fblink"
	"github.com/filbertford/filbertford/fbsched"
)

// Receive implements fblink.Receiver.
func (n *Node) Receive(from fbfleet.Member, messages []fblink.Message, newStream bool) {
	messages = n.receiveRoutes(from.Node(), messages)
	n.post(func(now time.Duration) {
		if newStream {
			for _, p := range n.pools {
				p.CoordinatorConnected(now, from.Node())
			}
			n.resumeTasks(now, from.Node())
		}
		for _, p := range n.pools {
			p.CoordinatorHeard(now, from.Node())
		}
		for _, m := range messages {
			n.handleMessage(now, from, m)
		}
	})
}

// Connected implements fblink.Receiver.
func (n *Node) Connected(node filbertford.NodeID) {
	n.post(func(now time.Duration) {
		n.hub.Send(node, fblink.NewHeartbeat(n.fleet.Heartbeat(now), nil, n.routes.version()).
			WithEvacuationsVersion(n.evacuations.state.Version()).WithTargetsVersion(n.targets.version))
		n.hub.Send(node, fblink.NewRoster(append(n.fleet.Members(), n.fleet.Self())))
		n.resumeTasks(now, node)
	})
}

// ConnectionRefused implements fblink.Receiver.
func (n *Node) ConnectionRefused(m fbfleet.Member) {
	n.post(func(now time.Duration) { n.fleet.HandleConnectionRefused(now, m.Node(), m.Incarnation()) })
}

// Malformed implements fblink.Receiver.
func (n *Node) Malformed(from filbertford.NodeID, err error) {
	fbevent.MessageMalformed.Log(n.deps.Log, "from", from, "error", err)
}

func (n *Node) handleMessage(now time.Duration, from fbfleet.Member, m fblink.Message) {
	switch v := m.(type) {
	case fblink.Heartbeat:
		n.handleHeartbeat(now, from, v)
	case fblink.Roster:
		for _, member := range v.Members() {
			n.fleet.AddMember(now, member)
		}
	case fbsched.Batch:
		n.fleet.HandleNewerClaim(now, v.Pool(), v.Fence())
		n.handleFleetEvents(now)
		if p := n.pools[v.Pool()]; p != nil && p.Fence() == v.Fence() {
			p.Offer(now, from.Node(), v)
			return
		}
		n.returnBatch(from.Node(), v)
	case fbsched.Withdrawal:
		n.coordinator.HandleWithdrawal(now, v)
		if p := n.pools[v.Pool()]; p != nil {
			p.Withdraw(now, from.Node(), v.Job())
		}
	case fbsched.Recall:
		n.handleRecall(now, from.Node(), v)
	case fbsched.Report:
		n.coordinator.HandleReport(now, v)
	case fbsched.Confirm:
		if p := n.pools[v.Pool()]; p != nil {
			p.HandleConfirm(now, v)
		}
	case fblink.StoredJobRequest:
		n.handleStoredRequest(from.Node(), v)
	case fblink.StoredJobReply:
		n.handleStoredReply(v)
	case fblink.EvacuationsPull:
		n.sendEvacuations(from.Node(), v)
	case fblink.EvacuationsPush:
		n.receiveEvacuations(now, from.Node(), v)
	case fblink.TargetsPull:
		n.targetExchange.request(from.Node(), v.After())
	case fblink.TargetsPush:
		n.receiveTargets(now, from.Node(), v)
	}
}

func (n *Node) handleHeartbeat(now time.Duration, from fbfleet.Member, h fblink.Heartbeat) {
	for _, c := range h.Heartbeat().Claims() {
		n.coordinator.SetOwnerTargets(now, c.Pool(), c.Fence(), h.Heartbeat().Targets() != fbfleet.TargetsUnknown)
	}
	n.fleet.HandleHeartbeat(now, h.Heartbeat())
	n.handleFleetEvents(now)
	for _, c := range h.Heartbeat().Claims() {
		if capacities := h.Capacities(c.Pool()); capacities != nil {
			n.coordinator.SetCapacities(c.Pool(), c.Fence(), capacities)
		}
	}
	n.coordinator.Rebalance(now)
	n.reportNewerClaims(from.Node(), h.Heartbeat().Claims())
	n.targetExchange.versionNamed(from.Node(), h.TargetsVersion())
	if version := n.evacuations.state.Version(); h.EvacuationsVersion() > version {
		n.hub.Send(from.Node(), fblink.NewEvacuationsPull(version))
	}
}

// reportNewerClaims tells a daemon of the pools that it claims although another one claims them
// with a higher fencing token: the two may not hear each other. A batch without tasks under that token
// says so; one under the daemon's own token says that all tasks have been offered.
func (n *Node) reportNewerClaims(to filbertford.NodeID, claims []fbfleet.Claim) {
	for _, c := range claims {
		if owner := n.fleet.Owner(c.Pool()); owner.Node() != to && owner.Fence() > c.Fence() {
			n.hub.Send(to, fbsched.NewBatch(c.Pool(), "", 0, 0, filbertford.Step{}, nil).WithFence(owner.Fence()))
		}
	}
}

// returnBatch reports the tasks of a batch as returned to its coordinator, since
// this daemon does not own the pool. A batch whose tasks may have started is not
// returned: the pool's next owner reports on them.
func (n *Node) returnBatch(to filbertford.NodeID, b fbsched.Batch) {
	for _, r := range returnsOf(b) {
		n.hub.Send(to, r)
	}
}

// returnsOf returns the reports on the tasks of a batch that is returned.
func returnsOf(b fbsched.Batch) []fbsched.Report {
	if b.Resume() {
		return nil
	}
	var reports []fbsched.Report
	for _, i := range b.Items() {
		key := filbertford.NewTaskKey(b.Job(), b.Occurrence(), b.StepNumber(), i.Index())
		r := fbsched.NewReport(b.Pool(), b.Fence(), key, fbsched.StatusReturned, i.Failures()).WithFailedRun(i.FailedRun())
		reports = append(reports, r.WithOfferNumber(b.OfferNumber()))
	}
	return reports
}
