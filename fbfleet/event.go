package fbfleet

import (
	"github.com/filbertford/filbertford"
)

// EventKind is the kind of an Event.
type EventKind string

// The kinds of events.
const (
	// EventAcquired means that this daemon has claimed a pool.
	EventAcquired EventKind = "acquired"
	// EventReleased means that this daemon no longer owns a pool.
	EventReleased EventKind = "released"
	// EventOwner means that a pool has another owner, or none.
	EventOwner EventKind = "owner"
	// EventPeerUnreachable means that a daemon can no longer be reached.
	EventPeerUnreachable EventKind = "peer-lost"
	// EventProbe requests a probe of whether any target of a pool can be reached.
	EventProbe EventKind = "probe"
	// EventLeft means that this daemon, which doesn't know a pool's targets, leaves the
	// pool to the named daemon.
	EventLeft EventKind = "left"
	// EventPeerReachable means that a daemon was reached, for the first time or
	// again.
	EventPeerReachable EventKind = "peer-met"
)

// Event is a change in the fleet, or a request for a probe.
type Event struct {
	kind   EventKind
	pool   filbertford.PoolID
	owner  Owner
	node   filbertford.NodeID
	reason string
}

// Kind returns the kind of the event.
func (e Event) Kind() EventKind { return e.kind }

// Pool returns the pool that the event is about.
func (e Event) Pool() filbertford.PoolID { return e.pool }

// Reason returns the reason for the event as a text for logs.
func (e Event) Reason() string { return e.reason }

func (f *Fleet) emit(e Event) { f.events = append(f.events, e) }
