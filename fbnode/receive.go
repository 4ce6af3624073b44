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
func (n *Node) Receive(from fbfleet.Member, messages []fblink.Message, opened bool) {
	n.post(func(now time.Duration) {
		if opened {
			n.resume(now, from.Node())
		}
		for _, m := range messages {
			n.receive(now, from, m)
		}
	})
}

// Linked implements fblink.Receiver.
func (n *Node) Linked(node filbertford.NodeID) {
	n.post(func(now time.Duration) {
		n.hub.Send(node, fblink.NewBeat(n.fleet.Beat(now), nil, n.routesVersion()))
		n.hub.Send(node, fblink.NewRoster(append(n.fleet.Members(), n.fleet.Self())))
		n.resume(now, node)
	})
}

// Refused implements fblink.Receiver.
func (n *Node) Refused(m fbfleet.Member) {
	n.post(func(now time.Duration) { n.fleet.Gone(now, m.Node(), m.Incarnation()) })
}

// Malformed implements fblink.Receiver.
func (n *Node) Malformed(from filbertford.NodeID, err error) {
	fbevent.MessageMalformed.Log(n.parts.Log, "from", from, "error", err)
}

func (n *Node) receive(now time.Duration, from fbfleet.Member, m fblink.Message) {
	switch v := m.(type) {
	case fblink.Beat:
		n.receiveBeat(now, from, v)
	case fblink.Roster:
		for _, member := range v.Members() {
			n.fleet.Learn(now, member)
		}
	case fbsched.Batch:
		if p := n.pools[v.Pool()]; p != nil && p.Fence() == v.Fence() {
			p.Offer(now, from.Node(), v)
			return
		}
		n.returnBatch(from.Node(), v)
	case fbsched.Withdrawal:
		if p := n.pools[v.Pool()]; p != nil {
			p.Withdraw(now, from.Node(), v.Job())
		}
	case fbsched.Report:
		n.coordinator.TakeReport(now, v)
	case fbsched.Confirm:
		if p := n.pools[v.Pool()]; p != nil {
			p.Confirm(now, v)
		}
	case fblink.StoredRequest:
		n.takeStored(from.Node(), v)
	case fblink.StoredReply:
		n.replyStored(v)
	case fblink.RoutesPull:
		if n.routesVersion() > v.Have() && n.routesValue != nil {
			n.hub.Send(from.Node(), fblink.NewRoutesPush(n.routesVersion(), n.routesValue))
		}
	case fblink.RoutesPush:
		n.applyRoutes(v.Value(), "peer "+string(from.Node()))
	}
}

func (n *Node) receiveBeat(now time.Duration, from fbfleet.Member, b fblink.Beat) {
	n.fleet.Heard(now, b.Beat())
	n.fleetEvents(now)
	for _, c := range b.Beat().Claims() {
		if rooms := b.Rooms(c.Pool()); rooms != nil {
			n.coordinator.SetRooms(c.Pool(), c.Fence(), rooms)
		}
	}
	if b.Routes() > n.routesVersion() {
		n.hub.Send(from.Node(), fblink.NewRoutesPull(n.routesVersion()))
	}
}

// returnBatch tells a coordinator that the pool is no longer here. A batch that
// may have begun stays with the pool: its next owner answers for it.
func (n *Node) returnBatch(to filbertford.NodeID, b fbsched.Batch) {
	if b.Resume() {
		return
	}
	for _, i := range b.Items() {
		key := filbertford.NewTaskKey(b.Job(), b.Occurrence(), b.Number(), i.Index())
		n.hub.Send(to, fbsched.NewReport(b.Pool(), b.Fence(), key, fbsched.VerdictReturned, i.Failures()))
	}
}
