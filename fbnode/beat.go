package fbnode

import (
	"time"

	"github.com/filbertford/filbertford"
	"github.com/filbertford/filbertford/fbfleet"
	"github.com/filbertford/filbertford/fblink"
	"github.com/filbertford/filbertford/fbsched"
)

// sentBeat is the last heartbeat to a daemon.
type sentBeat struct {
	at     time.Duration
	period time.Duration // after which the next one was promised
}

// beat sends heartbeats when they are due, and sooner to all if the room of a
// pool has changed.
func (n *Node) beat(now time.Duration) {
	age := now - n.lastBeat
	if age < roomPeriod*n.fleet.Stretch() {
		return
	}
	changed := false
	for _, p := range n.pools {
		changed = p.TakeChanged() || changed
	}
	if !changed && age < n.fleet.BeatPeriod() {
		return
	}
	n.lastBeat = now
	rooms := make(map[filbertford.PoolID][]fbsched.Room, len(n.pools))
	for id, p := range n.pools {
		rooms[id] = p.Rooms(now)
		n.coordinator.SetRooms(id, p.Fence(), rooms[id])
	}
	members := n.fleet.Members()
	n.hub.SetMembers(n.linkTargets(now, members))
	n.sendBeats(now, members, rooms)
	if now-n.lastRoster > rosterPeriod*n.fleet.Stretch() {
		n.sendRoster(now, members)
	}
}

// sendBeats sends heartbeats to the daemons to which they are due.
func (n *Node) sendBeats(now time.Duration, members []fbfleet.Member, rooms map[filbertford.PoolID][]fbsched.Room) {
	beat := n.fleet.Beat(now)
	for _, member := range members {
		period := n.fleet.PeriodTo(member.Node())
		last := n.sentBeats[member.Node()]
		if len(rooms) == 0 && last.period > n.fleet.BeatPeriod() && now-last.at < min(period, last.period) {
			continue
		}
		n.sentBeats[member.Node()] = sentBeat{at: now, period: period}
		n.hub.Send(member.Node(), fblink.NewBeat(beat.For(member.Node()).WithPeriod(period), rooms, n.routesVersion()))
	}
}

// sendRoster names all daemons to all, or in a large fleet to a few in turn, and
// replaces the links to those that are heard but don't hear this one.
func (n *Node) sendRoster(now time.Duration, members []fbfleet.Member) {
	n.lastRoster = now
	roster := n.hub.Prepare(fblink.NewRoster(members))
	told := len(members)
	if n.fleet.Stretch() > 1 {
		told = min(told, rosterFanout)
	}
	for i := range told {
		n.hub.Send(members[(n.rosterNext+i)%len(members)].Node(), roster)
	}
	n.rosterNext += told
	for _, member := range members {
		if heard, hearsUs := n.fleet.Hears(now, member.Node()); heard && !hearsUs {
			n.hub.Redial(member.Node())
		}
	}
	for node := range n.sentBeats {
		if !n.fleet.Knows(node) {
			delete(n.sentBeats, node)
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
