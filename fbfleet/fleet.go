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
	// beatPeriod is the time between two heartbeats of a small fleet.
	beatPeriod = 100 * time.Millisecond
	// silentBeats is the number of heartbeats that are missing when a daemon
	// counts as unreachable: three, and the delay of a busy machine.
	silentBeats = 4
	// smallFleet is the number of daemons from which on heartbeats are rarer, so
	// that their cost at each daemon stays about the same.
	smallFleet = 12
	// largestStretch bounds how much rarer they get: a daemon that is lost must
	// be noticed before callers send their jobs again.
	largestStretch = 2
	// rarePeriod is the time between two heartbeats of daemons in a large fleet
	// that own nothing and rank too low to claim anything soon.
	rarePeriod = time.Second
	// leadersPerZone is the number of daemons of each data centre that rank high
	// enough to claim its pool when its owner is lost, and another one with it.
	leadersPerZone = 2
	// leadersPeriod is the time between two looks at who they are.
	leadersPeriod = time.Second
	// startTerm is how long a daemon listens before it claims anything.
	startTerm = 250 * time.Millisecond
	// refusalTerm is how long a refused connection shows that no process is there.
	refusalTerm = time.Second
	// returnTerm is how long a daemon must be heard before it gets a pool back
	// that another one looks after.
	returnTerm = 3 * time.Second
	// strongerFactor is how many times the weight of a pool's owner a daemon must
	// have to take the pool over from it.
	strongerFactor = 2
	// forgetTerm is the silence after which a daemon no longer counts as part of
	// the fleet.
	forgetTerm = 15 * time.Second
	// yieldTerm is how long a daemon leaves a pool alone that others may claim
	// with better right.
	yieldTerm = 500 * time.Millisecond
	// probePeriod is the time between two probes of a pool's targets.
	probePeriod = 250 * time.Millisecond
	// fenceBits is the number of low bits of a fencing token that tell the
	// daemon, so that no two daemons draw the same.
	fenceBits = 8
)

// Fleet is a daemon's view of the fleet. It is not safe for concurrent use.
type Fleet struct {
	self     Member
	began    time.Duration
	peers    map[filbertford.NodeID]*peer
	pools    []PoolSpec
	mine     map[filbertford.PoolID]uint64
	lost     map[filbertford.PoolID]bool // lost to another owner, not to be taken back while cut off
	highest  map[filbertford.PoolID]uint64
	owners   map[filbertford.PoolID]Owner
	best     map[filbertford.PoolID]Owner         // used by updateOwners only
	stale    map[filbertford.PoolID]bool          // the store shows that the claim is not renewed
	vacant   map[filbertford.PoolID]time.Duration // since when a pool has no owner
	fencedAt map[filbertford.PoolID]time.Duration
	probes   map[filbertford.PoolID]probe
	leaders  map[filbertford.NodeID]bool
	ledAt    time.Duration // when the leaders were last looked at
	draining bool
	wall     int64
	out      []Event
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
		self: self, began: now,
		peers:    make(map[filbertford.NodeID]*peer),
		mine:     make(map[filbertford.PoolID]uint64),
		lost:     make(map[filbertford.PoolID]bool),
		highest:  make(map[filbertford.PoolID]uint64),
		owners:   make(map[filbertford.PoolID]Owner),
		best:     make(map[filbertford.PoolID]Owner),
		stale:    make(map[filbertford.PoolID]bool),
		vacant:   make(map[filbertford.PoolID]time.Duration),
		fencedAt: make(map[filbertford.PoolID]time.Duration),
		probes:   make(map[filbertford.PoolID]probe),
		leaders:  make(map[filbertford.NodeID]bool),
	}
}

// TakeEvents returns the changes since the last call.
func (f *Fleet) TakeEvents() []Event {
	out := f.out
	f.out = nil
	return out
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

// Learn takes in a daemon that others or the store have named.
func (f *Fleet) Learn(now time.Duration, m Member) {
	if m.node == f.self.node || m.node == "" {
		return
	}
	p := f.peers[m.node]
	if p == nil {
		f.peers[m.node] = &peer{member: m, heardAt: now, listedAt: now}
		return
	}
	if m.incarnation > p.member.incarnation {
		f.lose(p, "another life was named")
		*p = peer{member: m, heardAt: now, listedAt: now}
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

// Beat returns this daemon's heartbeat.
func (f *Fleet) Beat(now time.Duration) Beat {
	heard := make(map[filbertford.NodeID]bool)
	for id, p := range f.peers {
		if f.hears(now, p) {
			heard[id] = true
		}
	}
	return NewBeat(f.self, f.draining, heard, f.Claims()).WithStarting(f.starting(now))
}

// Stretch returns by how much heartbeats are rarer for the size of the fleet.
func (f *Fleet) Stretch() time.Duration {
	return time.Duration(min(largestStretch, 1+len(f.peers)/smallFleet))
}

// BeatPeriod returns the time between two heartbeats.
func (f *Fleet) BeatPeriod() time.Duration { return beatPeriod * f.Stretch() }

// PeriodTo returns the time between two heartbeats to a daemon. It is longer in
// a large fleet if neither owns a pool or is likely to claim one, except while a
// pool has no owner: then all tell each other that they are there.
func (f *Fleet) PeriodTo(node filbertford.NodeID) time.Duration {
	usual := f.BeatPeriod()
	if len(f.peers) < smallFleet || len(f.mine) > 0 || f.leaders[f.self.node] || f.leaders[node] || f.anyVacant() {
		return usual
	}
	if p := f.peers[node]; p == nil || len(p.claims) > 0 {
		return usual
	}
	return max(usual, rarePeriod)
}

func (f *Fleet) anyVacant() bool {
	return slices.ContainsFunc(f.pools, func(s PoolSpec) bool { return f.owners[s.id].node == "" })
}

// noteLeaders looks at which daemons rank first in their data centres.
func (f *Fleet) noteLeaders(now time.Duration) {
	if f.ledAt != 0 && now-f.ledAt < leadersPeriod {
		return
	}
	f.ledAt = now
	zones := map[filbertford.DataCentre][]Member{f.self.zone: {f.self}}
	for _, p := range f.peers {
		if p.met && !p.down && !p.draining {
			zones[p.member.zone] = append(zones[p.member.zone], p.member)
		}
	}
	clear(f.leaders)
	for zone, members := range zones {
		pool := PoolSpec{id: filbertford.PoolID(zone), zone: zone}
		slices.SortFunc(members, func(a, b Member) int { return compareRanks(f.rank(a, pool), f.rank(b, pool)) })
		for _, m := range members[:min(leadersPerZone, len(members))] {
			f.leaders[m.node] = true
		}
	}
}

// silence returns the silence after which a daemon with the usual period counts
// as unreachable.
func (f *Fleet) silence() time.Duration { return silentBeats * f.BeatPeriod() }

// silenceOf returns the silence after which the daemon counts as unreachable.
func (f *Fleet) silenceOf(p *peer) time.Duration { return max(f.silence(), silentBeats*p.period) }

// starting reports whether the daemon may not have heard of all owners yet.
func (f *Fleet) starting(now time.Duration) bool { return now-f.began < startTerm }

// Heard takes in a heartbeat.
func (f *Fleet) Heard(now time.Duration, b Beat) {
	m := b.member
	if m.node == f.self.node {
		return
	}
	p := f.peers[m.node]
	if p != nil && m.incarnation < p.member.incarnation {
		return // of an earlier life
	}
	if p == nil || m.incarnation > p.member.incarnation {
		if p != nil {
			f.lose(p, "it has restarted")
		}
		p = &peer{member: m, listedAt: now}
		f.peers[m.node] = p
	}
	changed := !slices.Equal(p.claims, b.claims)
	if !p.met || p.down || now-p.heardAt > f.silenceOf(p) {
		f.emit(Event{kind: EventPeerMet, node: m.node})
		p.listedAt, changed = now, true
	}
	p.member, p.met, p.down, p.heardAt, p.draining, p.claims = m, true, false, now, b.draining, b.claims
	p.starting, p.period = b.starting, min(b.period, rarePeriod)
	if p.hearsUs = b.heard[f.self.node]; p.hearsUs {
		p.hearsAt = now
	}
	for _, c := range b.claims {
		f.highest[c.pool] = max(f.highest[c.pool], c.fence)
		if mine, ok := f.mine[c.pool]; ok && c.fence > mine {
			f.release(c.pool, "claimed by "+string(m.node))
			changed = true
		}
	}
	if changed {
		f.updateOwners(now)
	}
}

// Gone takes in that the process of a daemon is surely or likely gone: its
// connections are refused.
func (f *Fleet) Gone(now time.Duration, node filbertford.NodeID, incarnation uint64) {
	p := f.peers[node]
	if p == nil || p.member.incarnation != incarnation {
		return
	}
	if p.down {
		p.refused = now
		f.claim(now)
		return
	}
	p.refused = now
	if !p.met {
		f.claim(now)
		return
	}
	f.lose(p, "its connections are refused")
	f.updateOwners(now)
	f.claim(now)
}

func (f *Fleet) lose(p *peer, reason string) {
	if p.met && !p.down {
		f.emit(Event{kind: EventPeerLost, node: p.member.node, reason: reason})
	}
	p.down, p.claims, p.hearsUs = true, nil, false
}

// Woke takes in that this daemon was suspended: what it last heard is old, not
// proof of silence.
func (f *Fleet) Woke(now time.Duration) {
	for _, p := range f.peers {
		if p.met && !p.down {
			p.heardAt, p.hearsAt = now, now
		}
	}
}

// Tick notes silence and claims pools. Wall is the time of day in Unix
// milliseconds, from which fencing tokens are drawn.
func (f *Fleet) Tick(now time.Duration, wall int64) {
	f.wall = wall
	for _, id := range slices.Sorted(maps.Keys(f.peers)) {
		p := f.peers[id]
		if p.met && !p.down && now-p.heardAt > f.silenceOf(p) {
			f.lose(p, "it is silent")
		}
		if now-max(p.heardAt, p.listedAt) > forgetTerm {
			delete(f.peers, id)
		}
	}
	f.noteLeaders(now)
	f.updateOwners(now)
	f.claim(now)
}

// hears reports whether a daemon was heard lately.
func (f *Fleet) hears(now time.Duration, p *peer) bool {
	return p.met && !p.down && now-p.heardAt <= f.silenceOf(p)
}

// linked reports whether this daemon and the other hear each other.
func (f *Fleet) linked(now time.Duration, p *peer) bool {
	return f.hears(now, p) && now-p.hearsAt <= f.silenceOf(p)
}

// present reports whether this daemon and the other have heard each other so
// lately that the other surely lives, however rare their heartbeats are.
func (f *Fleet) present(now time.Duration, p *peer) bool {
	return f.linked(now, p) && now-min(p.heardAt, p.hearsAt) <= f.silence()
}

// Hears reports whether the daemon was heard lately but does not hear this one.
func (f *Fleet) Hears(now time.Duration, node filbertford.NodeID) (heard, hearsUs bool) {
	p := f.peers[node]
	if p == nil {
		return false, false
	}
	return f.hears(now, p), f.linked(now, p)
}

// Knows reports whether a daemon counts as part of the fleet.
func (f *Fleet) Knows(node filbertford.NodeID) bool { return f.peers[node] != nil }

// updateOwners brings the owners of pools in line with what is heard.
func (f *Fleet) updateOwners(now time.Duration) {
	clear(f.best)
	for pool, fence := range f.mine {
		f.best[pool] = Owner{node: f.self.node, fence: fence}
	}
	for id, p := range f.peers {
		if len(p.claims) == 0 || !f.hears(now, p) {
			continue
		}
		for _, c := range p.claims {
			if c.fence > f.best[c.pool].fence {
				f.best[c.pool] = Owner{node: id, fence: c.fence}
			}
		}
	}
	for _, s := range f.pools {
		best := f.best[s.id]
		if f.owners[s.id] == best {
			continue
		}
		if best.node == "" {
			f.vacant[s.id] = now
		} else {
			delete(f.stale, s.id)
		}
		f.owners[s.id] = best
		f.emit(Event{kind: EventOwner, pool: s.id, owner: best})
	}
}

// Owner returns the owner of a pool.
func (f *Fleet) Owner(pool filbertford.PoolID) Owner { return f.owners[pool] }

// Claims returns the pools that this daemon owns, by name.
func (f *Fleet) Claims() []Claim {
	var out []Claim
	for _, id := range slices.Sorted(maps.Keys(f.mine)) {
		out = append(out, NewClaim(id, f.mine[id]))
	}
	return out
}
