package fbfleet

import (
	"time"

	"github.com/filbertford/filbertford"
)

// Member is a daemon of the fleet.
type Member struct {
	node        filbertford.NodeID
	incarnation uint64
	address     string
	zone        filbertford.DataCentre
	weight      int
}

// NewMember returns a daemon that other daemons reach at the address, host:port.
// The weight grows with the processor time that it has.
func NewMember(node filbertford.NodeID, incarnation uint64, address string, zone filbertford.DataCentre, weight int) Member {
	return Member{node: node, incarnation: incarnation, address: address, zone: zone, weight: weight}
}

// Node returns the daemon's name.
func (m Member) Node() filbertford.NodeID { return m.node }

// Incarnation returns the number of the daemon's life, which rises.
func (m Member) Incarnation() uint64 { return m.incarnation }

// Address returns the address for other daemons.
func (m Member) Address() string { return m.address }

// Zone returns the daemon's data centre.
func (m Member) Zone() filbertford.DataCentre { return m.zone }

// Weight returns the daemon's share of work against others.
func (m Member) Weight() int { return m.weight }

// Claim is the ownership of a pool under a fencing token.
type Claim struct {
	pool  filbertford.PoolID
	fence uint64
}

// NewClaim returns the claim to a pool.
func NewClaim(pool filbertford.PoolID, fence uint64) Claim { return Claim{pool: pool, fence: fence} }

// Pool returns the pool.
func (c Claim) Pool() filbertford.PoolID { return c.pool }

// Fence returns the fencing token.
func (c Claim) Fence() uint64 { return c.fence }

// Heartbeat is a heartbeat of a daemon.
type Heartbeat struct {
	member   Member
	starting bool
	draining bool
	heard    map[filbertford.NodeID]bool
	claims   []Claim
	period   time.Duration
}

// NewHeartbeat returns a heartbeat that names whom the daemon hears and what it owns.
func NewHeartbeat(m Member, draining bool, heard map[filbertford.NodeID]bool, claims []Claim) Heartbeat {
	return Heartbeat{member: m, draining: draining, heard: heard, claims: claims}
}

// Member returns the sender.
func (h Heartbeat) Member() Member { return h.member }

// WithStarting returns a copy of b of a daemon that claims nothing yet.
func (h Heartbeat) WithStarting(starting bool) Heartbeat {
	h.starting = starting
	return h
}

// Starting reports whether the sender claims nothing yet, since it may not have
// heard of the owners of pools.
func (h Heartbeat) Starting() bool { return h.starting }

// ForReceiver returns a copy of b that tells only whether the named daemon is heard.
func (h Heartbeat) ForReceiver(node filbertford.NodeID) Heartbeat {
	heard := h.heard[node]
	h.heard = nil
	if heard {
		h.heard = map[filbertford.NodeID]bool{node: true}
	}
	return h
}

// WithPeriod returns a copy of b that says when the next one follows.
func (h Heartbeat) WithPeriod(d time.Duration) Heartbeat {
	h.period = d
	return h
}

// Period returns the time to the sender's next heartbeat, 0 if it doesn't say.
func (h Heartbeat) Period() time.Duration { return h.period }

// Draining reports whether the sender is about to stop.
func (h Heartbeat) Draining() bool { return h.draining }

// Heard returns the daemons that the sender hears.
func (h Heartbeat) Heard() map[filbertford.NodeID]bool { return h.heard }

// Claims returns the pools that the sender owns.
func (h Heartbeat) Claims() []Claim { return h.claims }

// PoolSpec is a pool and the data centre of its targets. One without a data
// centre is a shard of the stored jobs.
type PoolSpec struct {
	id   filbertford.PoolID
	zone filbertford.DataCentre
}

// NewPoolSpec returns a pool of the data centre.
func NewPoolSpec(id filbertford.PoolID, zone filbertford.DataCentre) PoolSpec {
	return PoolSpec{id: id, zone: zone}
}

// ID returns the pool.
func (s PoolSpec) ID() filbertford.PoolID { return s.id }

// Zone returns the data centre.
func (s PoolSpec) Zone() filbertford.DataCentre { return s.zone }

// peer is what a daemon knows of another.
type peer struct {
	member    Member
	lastHeard time.Duration
	seen      bool // a heartbeat of this life was heard
	acked     bool
	lastAcked time.Duration // when it last said that it hears us
	starting  bool
	draining  bool
	claims    []Claim
	refusedAt time.Duration // when its address last refused a connection
	period    time.Duration // between its heartbeats to us, 0 for the usual
	down      bool          // its process is gone
	joinedAt  time.Duration
}
