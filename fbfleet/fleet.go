package fbfleet

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/filbertford/filbertford"
)

// Times of the fleet.
const (
	// heartbeatPeriod is the time between two heartbeats of a small fleet.
	heartbeatPeriod = 100 * time.Millisecond
	// missedHeartbeats is the number of heartbeats that are missing when a daemon
	// counts as unreachable: three, and the delay of a busy machine.
	missedHeartbeats = 4
	// smallFleetSize is the number of daemons from which on heartbeats are rarer, so
	// that their cost at each daemon stays about the same.
	smallFleetSize = 12
	// maxPeriodFactor bounds how much rarer they get: a daemon that is lost must
	// be noticed before callers send their jobs again.
	maxPeriodFactor = 2
	// idlePeriod is the time between two heartbeats of daemons in a large fleet
	// that own nothing and rank too low to claim anything soon.
	idlePeriod = time.Second
	// candidatesPerZone is the number of daemons of each data centre that rank high
	// enough to claim its pool when its owner is lost, and another one with it.
	candidatesPerZone = 2
	// candidatesPeriod is the time between two looks at who they are.
	candidatesPeriod = time.Second
	// startDelay is how long a daemon listens before it claims anything.
	startDelay = 250 * time.Millisecond
	// refusalTTL is how long a refused connection shows that no process is there.
	refusalTTL = time.Second
	// returnDelay is how long a daemon must be heard before it gets a pool back
	// that another one looks after.
	returnDelay = 3 * time.Second
	// takeoverWeightFactor is how many times the weight of a pool's owner a daemon must
	// have to take the pool over from it.
	takeoverWeightFactor = 2
	// removeTimeout is the silence after which a daemon no longer counts as part of
	// the fleet.
	removeTimeout = 15 * time.Second
	// claimDelay is how long a daemon leaves a pool alone that others may claim
	// with better right.
	claimDelay = 500 * time.Millisecond
	// probePeriod is the time between two probes of a pool's targets.
	probePeriod = 250 * time.Millisecond
	// fenceNodeBits is the number of low bits of a fencing token that tell the
	// daemon, so that no two daemons draw the same.
	fenceNodeBits = 8
)

// Fleet is a daemon's view of the fleet. It is not safe for concurrent use.
type Fleet struct {
	self         Member
	startedAt    time.Duration
	peers        map[filbertford.NodeID]*peer
	pools        []PoolSpec
	owned        map[filbertford.PoolID]uint64
	noReclaim    map[filbertford.PoolID]bool // lost to another owner, not to be taken back while cut off
	highestFence map[filbertford.PoolID]uint64
	owners       map[filbertford.PoolID]Owner
	nextOwners   map[filbertford.PoolID]Owner         // used by updateOwners only
	staleClaims  map[filbertford.PoolID]bool          // the store shows that the claim is not renewed
	unownedSince map[filbertford.PoolID]time.Duration // since when a pool has no owner
	fencedAt     map[filbertford.PoolID]time.Duration
	probes       map[filbertford.PoolID]probe
	candidates   map[filbertford.NodeID]bool
	candidatesAt time.Duration // when the leaders were last looked at
	draining     bool
	wallMillis   int64
	events       []Event
}

// Owner is a pool's owner and its fencing token.
type Owner struct {
	node  filbertford.NodeID
	fence uint64
}

// Node returns the owner, empty for none.
func (o Owner) Node() filbertford.NodeID { return o.node }

// Fence returns the owner's fencing token.
func (o Owner) Fence() uint64 { return o.fence }

// Owner returns the pool's owner.
func (e Event) Owner() Owner { return e.owner }

// Node returns the daemon that was met or lost.
func (e Event) Node() filbertford.NodeID { return e.node }

// New returns the view of a daemon that knows nobody yet.
func New(self Member, now time.Duration) *Fleet {
	return &Fleet{
		self: self, startedAt: now,
		peers:        make(map[filbertford.NodeID]*peer),
		owned:        make(map[filbertford.PoolID]uint64),
		noReclaim:    make(map[filbertford.PoolID]bool),
		highestFence: make(map[filbertford.PoolID]uint64),
		owners:       make(map[filbertford.PoolID]Owner),
		nextOwners:   make(map[filbertford.PoolID]Owner),
		staleClaims:  make(map[filbertford.PoolID]bool),
		unownedSince: make(map[filbertford.PoolID]time.Duration),
		fencedAt:     make(map[filbertford.PoolID]time.Duration),
		probes:       make(map[filbertford.PoolID]probe),
		candidates:   make(map[filbertford.NodeID]bool),
	}
}

// TakeEvents returns the changes since the last call.
func (f *Fleet) TakeEvents() []Event {
	events := f.events
	f.events = nil
	return events
}

// Self returns the daemon whose view this is.
func (f *Fleet) Self() Member { return f.self }

// SetPools replaces the pools that are to have owners.
func (f *Fleet) SetPools(pools []PoolSpec) {
	f.pools = slices.Clone(pools)
	slices.SortFunc(f.pools, func(a, b PoolSpec) int { return cmp.Compare(a.id, b.id) })
}

// SetDraining tells that this daemon is about to stop. It keeps its pools until
// another daemon has claimed them.
func (f *Fleet) SetDraining() { f.draining = true }

// AddMember takes in a daemon that others or the store have named.
func (f *Fleet) AddMember(now time.Duration, m Member) {
	if m.node == f.self.node || m.node == "" {
		return
	}
	p := f.peers[m.node]
	if p == nil {
		f.peers[m.node] = &peer{member: m, lastHeard: now, joinedAt: now}
		return
	}
	if m.incarnation > p.member.incarnation {
		f.markDown(p, "another life was named")
		*p = peer{member: m, lastHeard: now, joinedAt: now}
	}
}

// Members returns all known daemons but this one, by name.
func (f *Fleet) Members() []Member {
	out := make([]Member, 0, len(f.peers))
	for _, p := range f.peers {
		out = append(out, p.member)
	}
	slices.SortFunc(out, func(a, b Member) int { return cmp.Compare(a.node, b.node) })
	return out
}

// Heartbeat returns this daemon's heartbeat.
func (f *Fleet) Heartbeat(now time.Duration) Heartbeat {
	heard := make(map[filbertford.NodeID]bool)
	for id, p := range f.peers {
		if f.alive(now, p) {
			heard[id] = true
		}
	}
	return NewHeartbeat(f.self, f.draining, heard, f.Claims()).WithStarting(f.starting(now))
}

// PeriodFactor returns by how much heartbeats are rarer for the size of the fleet.
func (f *Fleet) PeriodFactor() time.Duration {
	return time.Duration(min(maxPeriodFactor, 1+len(f.peers)/smallFleetSize))
}

// HeartbeatPeriod returns the time between two heartbeats.
func (f *Fleet) HeartbeatPeriod() time.Duration { return heartbeatPeriod * f.PeriodFactor() }

// PeriodTo returns the time between two heartbeats to a daemon. It is longer in
// a large fleet if neither owns a pool or is likely to claim one, except while a
// pool has no owner: then all tell each other that they are there.
func (f *Fleet) PeriodTo(node filbertford.NodeID) time.Duration {
	normal := f.HeartbeatPeriod()
	if len(f.peers) < smallFleetSize || len(f.owned) > 0 || f.candidates[f.self.node] || f.candidates[node] || f.anyUnowned() {
		return normal
	}
	if p := f.peers[node]; p == nil || len(p.claims) > 0 {
		return normal
	}
	return max(normal, idlePeriod)
}

func (f *Fleet) anyUnowned() bool {
	return slices.ContainsFunc(f.pools, func(s PoolSpec) bool { return f.owners[s.id].node == "" })
}

// updateCandidates looks at which daemons rank first in their data centres.
func (f *Fleet) updateCandidates(now time.Duration) {
	if f.candidatesAt != 0 && now-f.candidatesAt < candidatesPeriod {
		return
	}
	f.candidatesAt = now
	zones := map[filbertford.DataCentre][]Member{f.self.zone: {f.self}}
	for _, p := range f.peers {
		if p.seen && !p.down && !p.draining {
			zones[p.member.zone] = append(zones[p.member.zone], p.member)
		}
	}
	clear(f.candidates)
	for zone, members := range zones {
		pool := PoolSpec{id: filbertford.PoolID(zone), zone: zone}
		slices.SortFunc(members, func(a, b Member) int { return compareRanks(f.rank(a, pool), f.rank(b, pool)) })
		for _, m := range members[:min(candidatesPerZone, len(members))] {
			f.candidates[m.node] = true
		}
	}
}

// heartbeatTimeout returns the silence after which a daemon with the usual period counts
// as unreachable.
func (f *Fleet) heartbeatTimeout() time.Duration { return missedHeartbeats * f.HeartbeatPeriod() }

// peerTimeout returns the silence after which the daemon counts as unreachable.
func (f *Fleet) peerTimeout(p *peer) time.Duration {
	return max(f.heartbeatTimeout(), missedHeartbeats*p.period)
}

// starting reports whether the daemon may not have heard of all owners yet.
func (f *Fleet) starting(now time.Duration) bool { return now-f.startedAt < startDelay }

// HandleHeartbeat takes in a heartbeat.
func (f *Fleet) HandleHeartbeat(now time.Duration, h Heartbeat) {
	m := h.member
	if m.node == f.self.node {
		return
	}
	p := f.peers[m.node]
	if p != nil && m.incarnation < p.member.incarnation {
		return // of an earlier life
	}
	if p == nil || m.incarnation > p.member.incarnation {
		if p != nil {
			f.markDown(p, "it has restarted")
		}
		p = &peer{member: m, joinedAt: now}
		f.peers[m.node] = p
	}
	changed := !slices.Equal(p.claims, h.claims)
	if !p.seen || p.down || now-p.lastHeard > f.peerTimeout(p) {
		f.emit(Event{kind: EventPeerReachable, node: m.node})
		p.joinedAt, changed = now, true
	}
	p.member, p.seen, p.down, p.lastHeard, p.draining, p.claims = m, true, false, now, h.draining, h.claims
	p.starting, p.period = h.starting, min(h.period, idlePeriod)
	if p.acked = h.heard[f.self.node]; p.acked {
		p.lastAcked = now
	}
	for _, c := range h.claims {
		f.highestFence[c.pool] = max(f.highestFence[c.pool], c.fence)
		if fence, ok := f.owned[c.pool]; ok && c.fence > fence {
			f.release(c.pool, "claimed by "+string(m.node))
			changed = true
		}
	}
	if changed {
		f.updateOwners(now)
	}
}

// HandleConnectionRefused takes in that the process of a daemon is surely or likely gone: its
// connections are refused.
func (f *Fleet) HandleConnectionRefused(now time.Duration, node filbertford.NodeID, incarnation uint64) {
	p := f.peers[node]
	if p == nil || p.member.incarnation != incarnation {
		return
	}
	if p.down {
		p.refusedAt = now
		f.claimPools(now)
		return
	}
	p.refusedAt = now
	if !p.seen {
		f.claimPools(now)
		return
	}
	f.markDown(p, "its connections are refused")
	f.updateOwners(now)
	f.claimPools(now)
}

func (f *Fleet) markDown(p *peer, reason string) {
	if p.seen && !p.down {
		f.emit(Event{kind: EventPeerUnreachable, node: p.member.node, reason: reason})
	}
	p.down, p.claims, p.acked = true, nil, false
}

// HandleSuspension takes in that this daemon was suspended: what it last heard is old, not
// proof of silence.
func (f *Fleet) HandleSuspension(now time.Duration) {
	for _, p := range f.peers {
		if p.seen && !p.down {
			p.lastHeard, p.lastAcked = now, now
		}
	}
}

// Tick notes silence and claims pools. Wall is the time of day in Unix
// milliseconds, from which fencing tokens are drawn.
func (f *Fleet) Tick(now time.Duration, wallMillis int64) {
	f.wallMillis = wallMillis
	for _, id := range slices.Sorted(maps.Keys(f.peers)) {
		p := f.peers[id]
		if p.seen && !p.down && now-p.lastHeard > f.peerTimeout(p) {
			f.markDown(p, "it is silent")
		}
		if now-max(p.lastHeard, p.joinedAt) > removeTimeout {
			delete(f.peers, id)
		}
	}
	f.updateCandidates(now)
	f.updateOwners(now)
	f.claimPools(now)
}

// alive reports whether a daemon was heard lately.
func (f *Fleet) alive(now time.Duration, p *peer) bool {
	return p.seen && !p.down && now-p.lastHeard <= f.peerTimeout(p)
}

// connected reports whether this daemon and the other hear each other.
func (f *Fleet) connected(now time.Duration, p *peer) bool {
	return f.alive(now, p) && now-p.lastAcked <= f.peerTimeout(p)
}

// recentlyConnected reports whether this daemon and the other have heard each other so
// lately that the other surely lives, however rare their heartbeats are.
func (f *Fleet) recentlyConnected(now time.Duration, p *peer) bool {
	return f.connected(now, p) && now-min(p.lastHeard, p.lastAcked) <= f.heartbeatTimeout()
}

// Reachability reports whether the daemon was heard lately but does not hear this one.
func (f *Fleet) Reachability(now time.Duration, node filbertford.NodeID) (alive, connected bool) {
	p := f.peers[node]
	if p == nil {
		return false, false
	}
	return f.alive(now, p), f.connected(now, p)
}

// HasMember reports whether a daemon counts as part of the fleet.
func (f *Fleet) HasMember(node filbertford.NodeID) bool { return f.peers[node] != nil }

// updateOwners brings the owners of pools in line with what is heard.
func (f *Fleet) updateOwners(now time.Duration) {
	clear(f.nextOwners)
	for pool, fence := range f.owned {
		f.nextOwners[pool] = Owner{node: f.self.node, fence: fence}
	}
	for id, p := range f.peers {
		if len(p.claims) == 0 || !f.alive(now, p) {
			continue
		}
		for _, c := range p.claims {
			if c.fence > f.nextOwners[c.pool].fence {
				f.nextOwners[c.pool] = Owner{node: id, fence: c.fence}
			}
		}
	}
	for _, s := range f.pools {
		next := f.nextOwners[s.id]
		if f.owners[s.id] == next {
			continue
		}
		if next.node == "" {
			f.unownedSince[s.id] = now
		} else {
			delete(f.staleClaims, s.id)
		}
		f.owners[s.id] = next
		f.emit(Event{kind: EventOwner, pool: s.id, owner: next})
	}
}

// Owner returns the owner of a pool.
func (f *Fleet) Owner(pool filbertford.PoolID) Owner { return f.owners[pool] }

// Claims returns the pools that this daemon owns, by name.
func (f *Fleet) Claims() []Claim {
	var out []Claim
	for _, id := range slices.Sorted(maps.Keys(f.owned)) {
		out = append(out, NewClaim(id, f.owned[id]))
	}
	return out
}
