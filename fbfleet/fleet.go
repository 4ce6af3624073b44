package fbfleet

import (
	"cmp"
	"hash/fnv"
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
	// startTerm is how long a daemon listens before it claims anything.
	startTerm = 250 * time.Millisecond
	// refusalTerm is how long a refused connection shows that no process is there.
	refusalTerm = time.Second
	// returnTerm is how long a daemon must be heard before it gets a pool back
	// that another one looks after.
	returnTerm = 3 * time.Second
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
	stale    map[filbertford.PoolID]bool          // the store shows that the claim is not renewed
	vacant   map[filbertford.PoolID]time.Duration // since when a pool has no owner
	fencedAt map[filbertford.PoolID]time.Duration
	probes   map[filbertford.PoolID]probe
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

// EventKind tells what has changed.
type EventKind string

// The kinds of events.
const (
	// EventAcquired tells that this daemon owns a pool from now on.
	EventAcquired EventKind = "acquired"
	// EventReleased tells that this daemon no longer owns a pool.
	EventReleased EventKind = "released"
	// EventOwner tells that a pool has another owner, or none.
	EventOwner EventKind = "owner"
	// EventPeerLost tells that a daemon can't be reached any more.
	EventPeerLost EventKind = "peer-lost"
	// EventProbe asks whether any target of a pool can be reached.
	EventProbe EventKind = "probe"
	// EventPeerMet tells that a daemon was reached, for the first time or again.
	EventPeerMet EventKind = "peer-met"
)

// Event is a change in the fleet.
type Event struct {
	kind   EventKind
	pool   filbertford.PoolID
	owner  Owner
	node   filbertford.NodeID
	reason string
}

// Kind returns the kind of the event.
func (e Event) Kind() EventKind { return e.kind }

// Pool returns the pool.
func (e Event) Pool() filbertford.PoolID { return e.pool }

// Owner returns the pool's owner.
func (e Event) Owner() Owner { return e.owner }

// Node returns the daemon that was met or lost.
func (e Event) Node() filbertford.NodeID { return e.node }

// Reason returns a text for logs.
func (e Event) Reason() string { return e.reason }

// New returns the view of a daemon that knows nobody yet.
func New(self Member, now time.Duration) *Fleet {
	return &Fleet{
		self: self, began: now,
		peers:    make(map[filbertford.NodeID]*peer),
		mine:     make(map[filbertford.PoolID]uint64),
		lost:     make(map[filbertford.PoolID]bool),
		highest:  make(map[filbertford.PoolID]uint64),
		owners:   make(map[filbertford.PoolID]Owner),
		stale:    make(map[filbertford.PoolID]bool),
		vacant:   make(map[filbertford.PoolID]time.Duration),
		fencedAt: make(map[filbertford.PoolID]time.Duration),
		probes:   make(map[filbertford.PoolID]probe),
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

// silence returns the silence after which a daemon counts as unreachable.
func (f *Fleet) silence() time.Duration { return silentBeats * f.BeatPeriod() }

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
	if !p.met || p.down || now-p.heardAt > f.silence() {
		f.emit(Event{kind: EventPeerMet, node: m.node})
		p.listedAt = now
	}
	p.member, p.met, p.down, p.heardAt, p.draining, p.claims = m, true, false, now, b.draining, b.claims
	p.starting = b.starting
	if p.hearsUs = b.heard[f.self.node]; p.hearsUs {
		p.hearsAt = now
	}
	for _, c := range b.claims {
		f.highest[c.pool] = max(f.highest[c.pool], c.fence)
		if mine, ok := f.mine[c.pool]; ok && c.fence > mine {
			f.release(c.pool, "claimed by "+string(m.node))
		}
	}
	f.updateOwners(now)
}

// Gone takes in that the process of a daemon is surely or likely gone: its
// connections are refused.
func (f *Fleet) Gone(now time.Duration, node filbertford.NodeID, incarnation uint64) {
	p := f.peers[node]
	if p == nil || p.down || p.member.incarnation != incarnation {
		return
	}
	if !p.met {
		p.refused = now
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

// Fenced takes in that a target refused this daemon's token for a pool.
func (f *Fleet) Fenced(now time.Duration, pool filbertford.PoolID, fence uint64) {
	if f.mine[pool] != fence {
		return
	}
	f.highest[pool] = max(f.highest[pool], fence+1)
	f.release(pool, "a target has seen a newer owner")
	f.lost[pool], f.fencedAt[pool] = true, now
	f.updateOwners(now)
}

// probe is the last look at whether a pool's targets can be reached.
type probe struct {
	asked     time.Duration
	answered  time.Duration
	reachable bool
}

// Probed takes in whether any target of a pool could be reached.
func (f *Fleet) Probed(now time.Duration, pool filbertford.PoolID, reachable bool) {
	p := f.probes[pool]
	p.answered, p.reachable = now, reachable
	f.probes[pool] = p
	f.claim(now)
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

// SetStale takes in whether the store shows that a pool's claim is no longer
// renewed.
func (f *Fleet) SetStale(pool filbertford.PoolID, stale bool) { f.stale[pool] = stale }

// Tick notes silence and claims pools. Wall is the time of day in Unix
// milliseconds, from which fencing tokens are drawn.
func (f *Fleet) Tick(now time.Duration, wall int64) {
	f.wall = wall
	for _, id := range slices.Sorted(maps.Keys(f.peers)) {
		p := f.peers[id]
		if p.met && !p.down && now-p.heardAt > f.silence() {
			f.lose(p, "it is silent")
		}
		if now-max(p.heardAt, p.listedAt) > forgetTerm {
			delete(f.peers, id)
		}
	}
	f.updateOwners(now)
	f.claim(now)
}

// hears reports whether a daemon was heard lately.
func (f *Fleet) hears(now time.Duration, p *peer) bool {
	return p.met && !p.down && now-p.heardAt <= f.silence()
}

// linked reports whether this daemon and the other hear each other.
func (f *Fleet) linked(now time.Duration, p *peer) bool {
	return f.hears(now, p) && now-p.hearsAt <= f.silence()
}

// Hears reports whether the daemon was heard lately but does not hear this one.
func (f *Fleet) Hears(now time.Duration, node filbertford.NodeID) (heard, hearsUs bool) {
	p := f.peers[node]
	if p == nil {
		return false, false
	}
	return f.hears(now, p), f.linked(now, p)
}

// updateOwners brings the owners of pools in line with what is heard.
func (f *Fleet) updateOwners(now time.Duration) {
	for _, s := range f.pools {
		best := Owner{}
		if fence, ok := f.mine[s.id]; ok {
			best = Owner{node: f.self.node, fence: fence}
		}
		for _, id := range slices.Sorted(maps.Keys(f.peers)) {
			p := f.peers[id]
			if !f.hears(now, p) {
				continue
			}
			for _, c := range p.claims {
				if c.pool == s.id && c.fence > best.fence {
					best = Owner{node: id, fence: c.fence}
				}
			}
		}
		if f.owners[s.id] != best {
			if best.node == "" {
				f.vacant[s.id] = now
			} else {
				delete(f.stale, s.id)
			}
			f.owners[s.id] = best
			f.emit(Event{kind: EventOwner, pool: s.id, owner: best})
		}
	}
}

// Owner returns the owner of a pool.
func (f *Fleet) Owner(pool filbertford.PoolID) Owner { return f.owners[pool] }

// claim takes the pools that this daemon is to own.
func (f *Fleet) claim(now time.Duration) {
	if f.draining || f.starting(now) {
		return
	}
	for _, s := range f.pools {
		if _, ok := f.mine[s.id]; ok || !f.first(now, s) || !f.mayClaim(now, s) {
			continue
		}
		f.acquire(now, s.id)
	}
}

// first reports whether this daemon ranks first for a pool that has no owner,
// or one that should give it up.
func (f *Fleet) first(now time.Duration, s PoolSpec) bool {
	owner := f.owners[s.id]
	settled := owner.node != "" && !f.drains(owner.node)
	self := f.rank(f.self, s)
	for id, p := range f.peers {
		if !f.linked(now, p) || p.draining || id == owner.node && !settled {
			continue
		}
		if p.starting && s.zone != "" && (p.member.zone != s.zone || f.self.zone == s.zone) {
			continue // it claims later than this daemon can
		}
		if compareRanks(f.rank(p.member, s), self) < 0 {
			return false
		}
	}
	if !settled {
		return true
	}
	return f.outranks(now, s, owner.node)
}

// outranks reports whether a pool is to move here from an owner that works: only
// back to its own data centre, and after a while.
func (f *Fleet) outranks(now time.Duration, s PoolSpec, owner filbertford.NodeID) bool {
	p := f.peers[owner]
	return p != nil && f.self.zone == s.zone && p.member.zone != s.zone &&
		now-f.began >= returnTerm && now-p.listedAt >= returnTerm
}

func (f *Fleet) drains(node filbertford.NodeID) bool {
	p := f.peers[node]
	return p != nil && p.draining
}

// rank orders daemons for a pool: low ranks first.
func (f *Fleet) rank(m Member, s PoolSpec) [3]uint64 {
	var away uint64
	if m.zone != s.zone {
		away = 1
	}
	h := fnv.New64a()
	_, _ = h.Write([]byte(string(s.id) + "/" + string(m.node))) // a hash never fails to write
	return [3]uint64{away, ^uint64(max(m.weight, 0)), h.Sum64()}
}

func compareRanks(a, b [3]uint64) int { return slices.Compare(a[:], b[:]) }

// mayClaim reports whether this daemon may claim a pool whose owner it doesn't
// hear: it hears half of the fleet, or its data centre is cut off as a whole
// and it hears half of that, or the store shows that the claim is stale.
func (f *Fleet) mayClaim(now time.Duration, s PoolSpec) bool {
	if f.owners[s.id].node != "" {
		return true
	}
	zone, zoneHeard, away := 1, 1, 0
	for _, p := range f.peers {
		linked := f.linked(now, p)
		if p.member.zone == f.self.zone {
			zone++
			if linked {
				zoneHeard++
			}
		} else if linked {
			away++
		}
	}
	if at, ok := f.fencedAt[s.id]; ok && now-at < yieldTerm {
		return false
	}
	waited := now-f.vacant[s.id] >= yieldTerm
	switch {
	case f.hearsMost(now):
		f.lost[s.id] = false
		return s.zone == "" || f.self.zone == s.zone || f.hearsZone(now, s.zone) || f.reaches(now, s.id)
	case f.stale[s.id]:
		return waited
	}
	return f.self.zone == s.zone && away == 0 && 2*zoneHeard > zone && !f.lost[s.id] && waited
}

// Doubtful returns the pools without an owner that this daemon may not claim,
// since it hears too few others: the store is to tell whether their claims are
// renewed.
func (f *Fleet) Doubtful(now time.Duration) []filbertford.PoolID {
	if f.draining || f.starting(now) || f.hearsMost(now) {
		return nil
	}
	var out []filbertford.PoolID
	for _, s := range f.pools {
		if f.owners[s.id].node == "" {
			out = append(out, s.id)
		}
	}
	return out
}

// Claims returns the pools that this daemon owns, by name.
func (f *Fleet) Claims() []Claim {
	var out []Claim
	for _, id := range slices.Sorted(maps.Keys(f.mine)) {
		out = append(out, NewClaim(id, f.mine[id]))
	}
	return out
}

// hearsMost reports whether this daemon hears more than half of the fleet.
func (f *Fleet) hearsMost(now time.Duration) bool {
	all, heard := 1, 1
	for _, p := range f.peers {
		if !p.met && p.refused != 0 && now-p.refused < refusalTerm {
			continue // it has not come back after all were killed
		}
		all++
		if f.linked(now, p) {
			heard++
		}
	}
	return 2*heard > all
}

// hearsZone reports whether any daemon of the data centre is heard: then the
// data centre is not cut off.
func (f *Fleet) hearsZone(now time.Duration, zone filbertford.DataCentre) bool {
	for _, p := range f.peers {
		if p.member.zone == zone && f.hears(now, p) {
			return true
		}
	}
	return false
}

// reaches reports whether a target of the pool was reached lately, and asks for
// a probe if that is not known. A data centre that is cut off goes on with its
// own targets: a claim from outside would take them away when the cut heals.
func (f *Fleet) reaches(now time.Duration, pool filbertford.PoolID) bool {
	p := f.probes[pool]
	if p.reachable && p.answered > f.vacant[pool] && now-p.answered < yieldTerm {
		return true
	}
	if now-p.asked >= probePeriod || p.asked == 0 {
		p.asked = now
		f.probes[pool] = p
		f.emit(Event{kind: EventProbe, pool: pool})
	}
	return false
}

// acquire claims a pool with a token above all that are known.
func (f *Fleet) acquire(now time.Duration, pool filbertford.PoolID) {
	h := fnv.New32a()
	_, _ = h.Write([]byte(f.self.node)) // a hash never fails to write
	low := uint64(h.Sum32()) & (1<<fenceBits - 1)
	high := max(uint64(f.wall), f.highest[pool]>>fenceBits+1)
	fence := high<<fenceBits | low
	f.highest[pool] = fence
	f.mine[pool] = fence
	f.emit(Event{kind: EventAcquired, pool: pool, owner: Owner{node: f.self.node, fence: fence}})
	f.updateOwners(now)
}

func (f *Fleet) release(pool filbertford.PoolID, reason string) {
	delete(f.mine, pool)
	f.emit(Event{kind: EventReleased, pool: pool, reason: reason})
}

func (f *Fleet) emit(e Event) { f.out = append(f.out, e) }
