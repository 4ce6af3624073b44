package fbfleet

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/filbertford/filbertford"
)

// Periods, timeouts and thresholds of the fleet.
const (
	// heartbeatPeriod is the time between two heartbeats in a small fleet.
	heartbeatPeriod = 100 * time.Millisecond
	// minCapacityPeriod is the shortest time between two heartbeats in a small fleet
	// if the capacity of a pool has changed.
	minCapacityPeriod = 30 * time.Millisecond
	// missedHeartbeats is the number of heartbeat periods after which a daemon
	// that sends nothing counts as unreachable: three missed heartbeats, and one
	// period for the delay of a busy machine.
	missedHeartbeats = 4
	// smallFleetSize is the number of daemons from which the heartbeat period
	// grows, so that the cost of heartbeats at each daemon stays about the same.
	smallFleetSize = 12
	// maxPeriodFactor bounds that growth: the loss of a daemon must be noticed
	// before callers send their jobs again.
	maxPeriodFactor = 2
	// idlePeriod is the time between two heartbeats of daemons in a large fleet
	// that own no pool and rank too low to claim one soon.
	idlePeriod = time.Second
	// candidatesPerDataCentre is the number of daemons of each data centre that rank
	// high enough to claim its pool when the owner and one more daemon are lost.
	candidatesPerDataCentre = 2
	// candidatesPeriod is the time between two updates of the candidates.
	candidatesPeriod = time.Second
	// startDelay is how long a daemon listens for heartbeats before it claims
	// any pool.
	startDelay = 250 * time.Millisecond
	// refusalTTL is how long a refused connection counts as proof that no
	// process listens at the address.
	refusalTTL = time.Second
	// returnDelay is how long a daemon must have run, and the working owner of a
	// pool must have been reachable, before the daemon takes the pool over.
	returnDelay = 3 * time.Second
	// takeoverWeightFactor is how many times the weight of a pool's owner a
	// daemon must have to take the pool over from it.
	takeoverWeightFactor = 2
	// removeTimeout is the time without a heartbeat after which a daemon is
	// removed from the fleet.
	removeTimeout = 15 * time.Second
	// claimDelay is how long a daemon leaves a pool to other daemons that may
	// have a better claim to it.
	claimDelay = 500 * time.Millisecond
	// probePeriod is the time between two probes of a pool's targets.
	probePeriod = 250 * time.Millisecond
	// fenceNodeBits is the number of low bits of a fencing token that identify the
	// daemon, so that daemons that know each other draw different tokens. The token is an
	// exact JSON number, below 2^53, until the year 3084. A change of the number of bits
	// would leave daemons of one version with tokens below those that targets have seen.
	fenceNodeBits = 8
	fenceNumbers  = 1 << fenceNodeBits
)

// Fleet is a daemon's view of the fleet. It is not safe for concurrent use.
type Fleet struct {
	self         Member
	startedAt    time.Duration
	peers        map[filbertford.NodeID]*peer
	pools        []PoolSpec
	owned        map[filbertford.PoolID]uint64
	noReclaim    map[filbertford.PoolID]bool // lost to another owner; not to be claimed again while in a minority
	highestFence map[filbertford.PoolID]uint64
	owners       map[filbertford.PoolID]Owner
	nextOwners   map[filbertford.PoolID]Owner         // scratch space of updateOwners
	staleClaims  map[filbertford.PoolID]bool          // the store shows that the owner does not renew its claim
	unownedSince map[filbertford.PoolID]time.Duration // when the pool lost its owner
	fencedAt     map[filbertford.PoolID]time.Duration
	probes       map[filbertford.PoolID]probe
	targets      TargetKnowledge                      // of this daemon
	leftSince    map[filbertford.PoolID]time.Duration // see defersClaim
	lackedSince  map[filbertford.PoolID]time.Duration // see ownerLacksTargets
	candidates   map[filbertford.NodeID]bool
	candidatesAt time.Duration // when the candidates were last updated
	draining     bool
	wallMillis   int64
	events       []Event
}

// Owner is a pool's owner and its fencing token.
type Owner struct {
	node  filbertford.NodeID
	fence uint64
}

// Node returns the owner's name, empty if the pool has no owner.
func (o Owner) Node() filbertford.NodeID { return o.node }

// Fence returns the owner's fencing token.
func (o Owner) Fence() uint64 { return o.fence }

// Owner returns the pool's new owner.
func (e Event) Owner() Owner { return e.owner }

// Node returns the daemon that has become reachable or unreachable, or that a pool is left to.
func (e Event) Node() filbertford.NodeID { return e.node }

// New returns the view of a daemon that has not learned of any other daemon yet.
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
		leftSince:    make(map[filbertford.PoolID]time.Duration),
		lackedSince:  make(map[filbertford.PoolID]time.Duration),
		candidates:   make(map[filbertford.NodeID]bool),
	}
}

// TakeEvents returns the events since the last call.
func (f *Fleet) TakeEvents() []Event {
	events := f.events
	f.events = nil
	return events
}

// Self returns the daemon that the view belongs to.
func (f *Fleet) Self() Member { return f.self }

// SetPools replaces the pools that need an owner.
func (f *Fleet) SetPools(pools []PoolSpec) {
	f.pools = slices.Clone(pools)
	slices.SortFunc(f.pools, func(a, b PoolSpec) int { return cmp.Compare(a.id, b.id) })
}

// SetDraining marks this daemon as about to stop. It keeps its pools until
// another daemon has claimed them.
func (f *Fleet) SetDraining() { f.draining = true }

// AddMember adds a daemon that was named by another daemon or by the store. A
// newer incarnation replaces the known one.
func (f *Fleet) AddMember(now time.Duration, m Member) {
	if m.node == f.self.node || m.node == "" {
		return
	}
	p := f.peers[m.node]
	if p == nil {
		f.peers[m.node] = &peer{member: m, lastHeartbeat: now, joinedAt: now}
		return
	}
	if m.incarnation > p.member.incarnation {
		f.markDown(p, "a newer incarnation was announced")
		*p = peer{member: m, lastHeartbeat: now, joinedAt: now}
	}
}

// Members returns all known daemons except this one, sorted by name.
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
	receivesFrom := make(map[filbertford.NodeID]bool)
	for id, p := range f.peers {
		if f.alive(now, p) {
			receivesFrom[id] = true
		}
	}
	return NewHeartbeat(f.self, f.draining, receivesFrom, f.Claims()).WithStarting(f.starting(now)).WithTargets(f.targets)
}

// PeriodFactor returns the factor by which the heartbeat period grows with the
// size of the fleet.
func (f *Fleet) PeriodFactor() time.Duration {
	return time.Duration(min(maxPeriodFactor, 1+len(f.peers)/smallFleetSize))
}

// HeartbeatPeriod returns the normal time between two heartbeats.
func (f *Fleet) HeartbeatPeriod() time.Duration { return heartbeatPeriod * f.PeriodFactor() }

// PeriodTo returns the time between two heartbeats to a daemon. It is longer in
// a large fleet if neither this daemon nor the other owns a pool or is likely to
// claim one. While a pool has no owner, the normal period applies, so that all
// daemons show each other that they are alive.
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

// CapacityPeriodTo returns the shortest time between two heartbeats that tell a daemon of
// changes in the capacity of this daemon's pools. Daemons of the same data centre place
// most of their tasks in its pool and hear of a change soon, and so do the owners of other
// pools; to the others, which use this pool when their own is full, a change goes with the
// next normal heartbeat. In a large fleet those are by far the most.
func (f *Fleet) CapacityPeriodTo(node filbertford.NodeID) time.Duration {
	soon := minCapacityPeriod * f.PeriodFactor()
	p := f.peers[node]
	if len(f.peers) < smallFleetSize || p == nil || p.member.dataCentre == f.self.dataCentre || len(p.claims) > 0 {
		return soon
	}
	return f.HeartbeatPeriod()
}

// MinCapacityPeriod returns the shortest of these times for any daemon.
func (f *Fleet) MinCapacityPeriod() time.Duration { return minCapacityPeriod * f.PeriodFactor() }

func (f *Fleet) anyUnowned() bool {
	return slices.ContainsFunc(f.pools, func(s PoolSpec) bool { return f.owners[s.id].node == "" })
}

// updateCandidates determines which daemons rank first in their data centres, at
// most once in candidatesPeriod.
func (f *Fleet) updateCandidates(now time.Duration) {
	if f.candidatesAt != 0 && now-f.candidatesAt < candidatesPeriod {
		return
	}
	f.candidatesAt = now
	byDataCentre := map[filbertford.DataCentre][]Member{f.self.dataCentre: {f.self}}
	for _, p := range f.peers {
		if p.seen && !p.down && !p.draining {
			byDataCentre[p.member.dataCentre] = append(byDataCentre[p.member.dataCentre], p.member)
		}
	}
	clear(f.candidates)
	for dataCentre, members := range byDataCentre {
		pool := PoolSpec{id: filbertford.PoolID(dataCentre), dataCentre: dataCentre}
		slices.SortFunc(members, func(a, b Member) int { return compareRanks(f.rank(a, pool), f.rank(b, pool)) })
		for _, m := range members[:min(candidatesPerDataCentre, len(members))] {
			f.candidates[m.node] = true
		}
	}
}

// IsCandidate reports whether this daemon ranks high enough to claim the pool of its data
// centre when its owner is lost.
func (f *Fleet) IsCandidate() bool { return f.candidates[f.self.node] }

// heartbeatTimeout returns the time without a heartbeat after which a daemon that
// sends at the normal period counts as unreachable.
func (f *Fleet) heartbeatTimeout() time.Duration { return missedHeartbeats * f.HeartbeatPeriod() }

// peerTimeout returns the time without a heartbeat after which the peer counts as
// unreachable.
func (f *Fleet) peerTimeout(p *peer) time.Duration {
	return max(f.heartbeatTimeout(), missedHeartbeats*p.period)
}

// starting reports whether this daemon may not have received heartbeats of all
// owners yet.
func (f *Fleet) starting(now time.Duration) bool { return now-f.startedAt < startDelay }

// HandleHeartbeat processes a heartbeat of another daemon.
func (f *Fleet) HandleHeartbeat(now time.Duration, h Heartbeat) {
	m := h.member
	if m.node == f.self.node {
		return
	}
	p := f.peers[m.node]
	if p != nil && m.incarnation < p.member.incarnation {
		return // of an earlier incarnation
	}
	if p == nil || m.incarnation > p.member.incarnation {
		if p != nil {
			f.markDown(p, "restarted with a new incarnation")
		}
		p = &peer{member: m, joinedAt: now}
		f.peers[m.node] = p
	}
	changed := !slices.Equal(p.claims, h.claims)
	if !p.seen || p.down || now-p.lastHeartbeat > f.peerTimeout(p) {
		f.emit(Event{kind: EventPeerReachable, node: m.node})
		p.joinedAt, changed = now, true
	}
	p.member, p.seen, p.down, p.lastHeartbeat, p.draining, p.claims = m, true, false, now, h.draining, h.claims
	p.starting, p.period, p.targets = h.starting, min(h.period, idlePeriod), h.targets
	if p.acked = h.receivesFrom[f.self.node]; p.acked {
		p.lastAcked = now
	}
	for _, c := range h.claims {
		f.highestFence[c.pool] = max(f.highestFence[c.pool], c.fence)
		switch fence, ok := f.owned[c.pool]; {
		case ok && c.fence > fence:
			f.release(c.pool, "claimed by "+string(m.node))
			changed = true
		case ok && c.fence == fence:
			f.resolveTie(now, c.pool, m.node)
			changed = true
		}
	}
	if changed {
		f.updateOwners(now)
	}
}

// HandleConnectionRefused records that a daemon's address refuses connections,
// which means that its process has probably ended.
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

// HandleSuspension records that this daemon was suspended until now: the last
// heartbeats are old because it received none, not because the others sent none.
func (f *Fleet) HandleSuspension(now time.Duration) {
	for _, p := range f.peers {
		if p.seen && !p.down {
			p.lastHeartbeat, p.lastAcked = now, now
		}
	}
}

// Tick marks daemons whose heartbeats are missing as unreachable, removes those
// without a heartbeat for removeTimeout, and claims pools. The argument wallMillis is the
// time of day in Unix milliseconds, from which fencing tokens are drawn.
func (f *Fleet) Tick(now time.Duration, wallMillis int64) {
	f.wallMillis = wallMillis
	for _, id := range slices.Sorted(maps.Keys(f.peers)) {
		p := f.peers[id]
		if p.seen && !p.down && now-p.lastHeartbeat > f.peerTimeout(p) {
			f.markDown(p, "no heartbeat within the timeout")
		}
		if now-max(p.lastHeartbeat, p.joinedAt) > removeTimeout {
			delete(f.peers, id)
		}
	}
	f.updateCandidates(now)
	f.updateOwners(now)
	f.claimPools(now)
}

// alive reports whether the last heartbeat of the peer is within its timeout.
func (f *Fleet) alive(now time.Duration, p *peer) bool {
	return p.seen && !p.down && now-p.lastHeartbeat <= f.peerTimeout(p)
}

// connected reports whether this daemon and the peer receive each other's
// heartbeats.
func (f *Fleet) connected(now time.Duration, p *peer) bool {
	return f.alive(now, p) && now-p.lastAcked <= f.peerTimeout(p)
}

// recentlyConnected reports whether this daemon and the peer have received each
// other's heartbeats within the timeout of the normal period, whatever the peer's
// period is. This shows that the peer is still running.
func (f *Fleet) recentlyConnected(now time.Duration, p *peer) bool {
	return f.connected(now, p) && now-min(p.lastHeartbeat, p.lastAcked) <= f.heartbeatTimeout()
}

// updateOwners computes the owners of all pools from the claims of the daemons that
// are alive, and emits an event for each change.
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
			owner := f.nextOwners[c.pool]
			if c.fence > owner.fence || c.fence == owner.fence && owner.node != "" && id > owner.node {
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
		f.ownerChanged(s.id, next)
		f.owners[s.id] = next
		f.emit(Event{kind: EventOwner, pool: s.id, owner: next})
	}
}

// Owner returns the owner of a pool.
func (f *Fleet) Owner(pool filbertford.PoolID) Owner { return f.owners[pool] }

// Claims returns the pools that this daemon owns, sorted by name.
func (f *Fleet) Claims() []Claim {
	var out []Claim
	for _, id := range slices.Sorted(maps.Keys(f.owned)) {
		out = append(out, NewClaim(id, f.owned[id]))
	}
	return out
}
