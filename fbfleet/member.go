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
	dataCentre  filbertford.DataCentre
	weight      int
}

// NewMember returns a daemon that other daemons reach at the address, host:port.
// The weight grows with the processor time that the daemon has.
func NewMember(node filbertford.NodeID, incarnation uint64, address string, dataCentre filbertford.DataCentre, weight int) Member {
	return Member{node: node, incarnation: incarnation, address: address, dataCentre: dataCentre, weight: weight}
}

// Node returns the daemon's name.
func (m Member) Node() filbertford.NodeID { return m.node }

// Incarnation returns the daemon's incarnation, which rises with each start.
func (m Member) Incarnation() uint64 { return m.incarnation }

// Address returns the address, host:port, at which other daemons reach it.
func (m Member) Address() string { return m.address }

// DataCentre returns the daemon's data centre.
func (m Member) DataCentre() filbertford.DataCentre { return m.dataCentre }

// Weight returns the daemon's weight relative to that of others.
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

// Heartbeat is the periodic message by which a daemon shows that it is alive.
type Heartbeat struct {
	member       Member
	starting     bool
	draining     bool
	receivesFrom map[filbertford.NodeID]bool
	claims       []Claim
	period       time.Duration
	targets      TargetKnowledge
}

// NewHeartbeat returns a heartbeat of the daemon, with the daemons whose heartbeats
// it receives and the pools that it owns.
func NewHeartbeat(m Member, draining bool, receivesFrom map[filbertford.NodeID]bool, claims []Claim) Heartbeat {
	return Heartbeat{member: m, draining: draining, receivesFrom: receivesFrom, claims: claims}
}

// Member returns the sender.
func (h Heartbeat) Member() Member { return h.member }

// WithStarting returns a copy of h that states whether the sender is starting.
func (h Heartbeat) WithStarting(starting bool) Heartbeat {
	h.starting = starting
	return h
}

// Starting reports whether the sender claims no pool yet, because it may not have
// received the heartbeats of their owners.
func (h Heartbeat) Starting() bool { return h.starting }

// ForReceiver returns a copy of h for the named daemon. Of the daemons whose
// heartbeats the sender receives, it names only that one.
func (h Heartbeat) ForReceiver(node filbertford.NodeID) Heartbeat {
	receives := h.receivesFrom[node]
	h.receivesFrom = nil
	if receives {
		h.receivesFrom = map[filbertford.NodeID]bool{node: true}
	}
	return h
}

// WithPeriod returns a copy of h that announces the time to the next heartbeat.
func (h Heartbeat) WithPeriod(d time.Duration) Heartbeat {
	h.period = d
	return h
}

// Period returns the time to the sender's next heartbeat, 0 if not announced.
func (h Heartbeat) Period() time.Duration { return h.period }

// Draining reports whether the sender is about to stop.
func (h Heartbeat) Draining() bool { return h.draining }

// ReceivesFrom returns the daemons whose heartbeats the sender receives.
func (h Heartbeat) ReceivesFrom() map[filbertford.NodeID]bool { return h.receivesFrom }

// Claims returns the pools that the sender owns.
func (h Heartbeat) Claims() []Claim { return h.claims }

// PoolSpec is a pool and the data centre of its targets. A pool without a data
// centre is a shard of the stored jobs.
type PoolSpec struct {
	id         filbertford.PoolID
	dataCentre filbertford.DataCentre
}

// NewPoolSpec returns a pool of the data centre.
func NewPoolSpec(id filbertford.PoolID, dataCentre filbertford.DataCentre) PoolSpec {
	return PoolSpec{id: id, dataCentre: dataCentre}
}

// ID returns the pool's ID.
func (s PoolSpec) ID() filbertford.PoolID { return s.id }

// DataCentre returns the data centre.
func (s PoolSpec) DataCentre() filbertford.DataCentre { return s.dataCentre }

// peer is this daemon's view of another daemon.
type peer struct {
	member        Member
	lastHeartbeat time.Duration
	seen          bool // a heartbeat of this incarnation was received
	acked         bool
	lastAcked     time.Duration // when it last reported that it receives our heartbeats
	starting      bool
	draining      bool
	claims        []Claim
	refusedAt     time.Duration // when its address last refused a connection
	period        time.Duration // announced time to its next heartbeat, 0 for the normal period
	down          bool          // it counts as unreachable
	joinedAt      time.Duration
	targets       TargetKnowledge
}
