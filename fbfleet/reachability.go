package fbfleet

import (
	"time"

	"github.com/filbertford/filbertford"
)

// Reachability reports whether the last heartbeat of the daemon is within its
// timeout, and whether the daemon receives this daemon's heartbeats as well.
func (f *Fleet) Reachability(now time.Duration, node filbertford.NodeID) (alive, connected bool) {
	p := f.peers[node]
	if p == nil {
		return false, false
	}
	return f.alive(now, p), f.connected(now, p)
}

// MayRun reports whether a daemon is heard, or may run without being heard: its address hasn't just refused a
// connection.
func (f *Fleet) MayRun(now time.Duration, node filbertford.NodeID) bool {
	p := f.peers[node]
	return p != nil && (f.alive(now, p) || p.refusedAt == 0 || now-p.refusedAt > refusalTTL)
}

// HasMember reports whether a daemon is part of the fleet.
func (f *Fleet) HasMember(node filbertford.NodeID) bool { return f.peers[node] != nil }
