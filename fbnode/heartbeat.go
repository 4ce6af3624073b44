package fbnode

import (
	"time"

	"github.com/filbertford/filbertford"
	"github.com/filbertford/filbertford/fbfleet"
	"github.com/filbertford/filbertford/fblink"
	"github.com/filbertford/filbertford/fbsched"
)

// sentHeartbeat describes the last heartbeat sent to a daemon.
type sentHeartbeat struct {
	sentAt time.Duration
	period time.Duration // time to the next one, as announced in it
}

// sendDueHeartbeats sends heartbeats once per period, and earlier if the free
// capacity of a pool has changed.
func (n *Node) sendDueHeartbeats(now time.Duration) {
	elapsed := now - n.lastHeartbeat
	if elapsed < n.fleet.MinCapacityPeriod() {
		return
	}
	changed := false
	for _, p := range n.pools {
		changed = p.TakeCapacityChanged() || changed
	}
	if !changed && elapsed < n.fleet.HeartbeatPeriod() {
		return
	}
	n.lastHeartbeat = now
	capacities := make(map[filbertford.PoolID][]fbsched.Capacity, len(n.pools))
	for id, p := range n.pools {
		capacities[id] = p.Capacities(now)
		n.coordinator.SetCapacities(id, p.Fence(), capacities[id])
	}
	members := n.fleet.Members()
	n.hub.SetMembers(n.membersToLink(now, members))
	n.sendHeartbeats(now, members, capacities)
	if now-n.lastRoster > rosterPeriod*n.fleet.PeriodFactor() {
		n.sendRoster(now, members)
	}
}

// sendHeartbeats sends a heartbeat to each member that is due for one. While this
// daemon owns a pool of targets, the fleet determines who is told of its capacity when.
func (n *Node) sendHeartbeats(now time.Duration, members []fbfleet.Member, capacities map[filbertford.PoolID][]fbsched.Capacity) {
	heartbeat := n.fleet.Heartbeat(now)
	for _, member := range members {
		period := n.fleet.PeriodTo(member.Node())
		last := n.sentHeartbeats[member.Node()]
		if len(capacities) == 0 && last.period > n.fleet.HeartbeatPeriod() && now-last.sentAt < min(period, last.period) {
			continue
		}
		if len(capacities) > 0 && now-last.sentAt < n.fleet.CapacityPeriodTo(member.Node()) {
			continue
		}
		n.sentHeartbeats[member.Node()] = sentHeartbeat{sentAt: now, period: period}
		n.hub.Send(member.Node(), fblink.NewHeartbeat(heartbeat.ForReceiver(member.Node()).WithPeriod(period), capacities, n.routes.version()).
			WithEvacuationsVersion(n.evacuations.state.Version()).WithTargetsVersion(n.targets.version))
	}
}

// sendRoster sends the list of members to all of them, or in a large fleet to
// rosterFanout of them in turn. It redials the members that are alive but don't
// receive this daemon's heartbeats.
func (n *Node) sendRoster(now time.Duration, members []fbfleet.Member) {
	n.lastRoster = now
	roster := n.hub.Prepare(fblink.NewRoster(members))
	recipients := len(members)
	if n.fleet.PeriodFactor() > 1 {
		recipients = min(recipients, rosterFanout)
	}
	for i := range recipients {
		n.hub.Send(members[(n.nextRosterMember+i)%len(members)].Node(), roster)
	}
	n.nextRosterMember += recipients
	for _, member := range members {
		if alive, connected := n.fleet.Reachability(now, member.Node()); alive && !connected {
			n.hub.Redial(member.Node())
		}
	}
	for node := range n.sentHeartbeats {
		if !n.fleet.HasMember(node) {
			delete(n.sentHeartbeats, node)
		}
	}
}

// membersToLink returns the daemons to keep connections to: the members and, while
// none of them is alive, the addresses of the seeds.
func (n *Node) membersToLink(now time.Duration, members []fbfleet.Member) []fbfleet.Member {
	known := map[string]bool{n.opts.Member.Address(): true}
	for _, m := range members {
		known[m.Address()] = true
		if alive, _ := n.fleet.Reachability(now, m.Node()); alive {
			return members
		}
	}
	out := members
	for _, address := range n.opts.Seeds {
		if !known[address] {
			out = append(out, fbfleet.NewMember(filbertford.NodeID("seed/"+address), 0, address, "", 0))
		}
	}
	return out
}
