package fbnode

import (
	"time"

	"github.com/filbertford/filbertford"
	"github.com/filbertford/filbertford/fbfleet"
	"github.com/filbertford/filbertford/fblink"
	"github.com/filbertford/filbertford/fbsched"
)

// beat sends heartbeats when they are due, and sooner if the room has changed.
func (n *Node) beat(now time.Duration) {
	age := now - n.lastBeat
	if age < roomPeriod*n.fleet.Stretch() {
		return
	}
	changed := false
	if age < n.fleet.BeatPeriod() {
		for _, p := range n.pools {
			changed = p.TakeChanged() || changed
		}
		if !changed {
			return
		}
	}
	n.lastBeat = now
	rooms := make(map[filbertford.PoolID][]fbsched.Room, len(n.pools))
	for id, p := range n.pools {
		rooms[id] = p.Rooms(now)
		n.coordinator.SetRooms(id, p.Fence(), rooms[id])
	}
	m := fblink.NewBeat(n.fleet.Beat(now), rooms, n.routesVersion())
	members := n.fleet.Members()
	n.hub.SetMembers(n.linkTargets(now, members))
	for _, member := range members {
		n.hub.Send(member.Node(), m)
		if heard, hearsUs := n.fleet.Hears(now, member.Node()); heard && !hearsUs && now-n.lastRoster > rosterPeriod {
			n.hub.Redial(member.Node())
		}
	}
	if now-n.lastRoster > rosterPeriod {
		n.lastRoster = now
		roster := fblink.NewRoster(members)
		for _, member := range members {
			n.hub.Send(member.Node(), roster)
		}
	}
}

// linkTargets returns the daemons to keep links to: the members, and while none
// of them is heard, whoever listens at the seeds.
func (n *Node) linkTargets(now time.Duration, members []fbfleet.Member) []fbfleet.Member {
	known := map[string]bool{n.opts.Member.Address(): true}
	for _, m := range members {
		known[m.Address()] = true
		if heard, _ := n.fleet.Hears(now, m.Node()); heard {
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

func (n *Node) routesVersion() uint64 {
	if r := n.routes.Load(); r != nil {
		return r.Version()
	}
	return 0
}
