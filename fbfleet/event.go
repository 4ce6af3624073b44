package fbfleet

import (
	"github.com/filbertford/filbertford"
)

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
	// EventPeerUnreachable tells that a daemon can't be reached any more.
	EventPeerUnreachable EventKind = "peer-lost"
	// EventProbe asks whether any target of a pool can be reached.
	EventProbe EventKind = "probe"
	// EventPeerReachable tells that a daemon was reached, for the first time or again.
	EventPeerReachable EventKind = "peer-met"
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

// Reason returns a text for logs.
func (e Event) Reason() string { return e.reason }

func (f *Fleet) emit(e Event) { f.events = append(f.events, e) }
