package fbfleet

import (
	"time"

	"github.com/filbertford/filbertford"
)

// TargetKnowledge is what a daemon states of the targets' records in its heartbeats.
type TargetKnowledge string

// The kinds of knowledge.
const (
	// TargetsUnstated is that of a daemon of an earlier version.
	TargetsUnstated TargetKnowledge = ""
	// TargetsUnknown means that the daemon has not read the records.
	TargetsUnknown TargetKnowledge = "unknown"
	// TargetsKnown means that it knows them.
	TargetsKnown TargetKnowledge = "known"
)

// WithTargets returns a copy of h that states whether the sender knows the targets.
func (h Heartbeat) WithTargets(k TargetKnowledge) Heartbeat {
	h.targets = k
	return h
}

// Targets returns what the sender states of the targets' records.
func (h Heartbeat) Targets() TargetKnowledge { return h.targets }

// SetTargetsKnown records whether this daemon knows the targets' records. A daemon that
// doesn't leaves pools of targets to others that do.
func (f *Fleet) SetTargetsKnown(known bool) {
	f.targets = TargetsUnknown
	if known {
		f.targets = TargetsKnown
	}
}

// lacksKnownTargets reports whether the peer doesn't know the targets of a pool while this daemon
// does, so that it leaves the pool to this daemon.
func (f *Fleet) lacksKnownTargets(p *peer, s PoolSpec) bool {
	return s.dataCentre != "" && f.targets == TargetsKnown && p.targets == TargetsUnknown
}

// defersClaim reports whether this daemon, which doesn't know the targets of a pool, leaves
// the pool to one that does. If none of those has claimed it after claimDelay, they can't.
func (f *Fleet) defersClaim(now time.Duration, s PoolSpec) bool {
	if s.dataCentre == "" || f.targets != TargetsUnknown {
		return false
	}
	other := f.knowingPeer(now, s)
	if other == "" {
		return false
	}
	since, ok := f.leftSince[s.id]
	if !ok {
		since, f.leftSince[s.id] = now, now
		f.emit(Event{kind: EventLeft, pool: s.id, node: other})
	}
	return now-since < claimDelay
}

// knowingPeer returns the daemon that ranks first for a pool among those that know its
// targets and may claim it, or an empty name.
func (f *Fleet) knowingPeer(now time.Duration, s PoolSpec) filbertford.NodeID {
	var best *peer
	for _, p := range f.peers {
		if p.targets != TargetsKnown || p.draining || !f.mayCompete(now, p, s) {
			continue
		}
		if best == nil || compareRanks(f.rank(p.member, s), f.rank(best.member, s)) < 0 {
			best = p
		}
	}
	if best == nil {
		return ""
	}
	return best.member.node
}

// ownerLacksTargets reports whether the owner of a pool of this daemon's data centre has not
// known its targets for claimDelay, while this daemon does. Such an owner starts nothing.
func (f *Fleet) ownerLacksTargets(now time.Duration, s PoolSpec, owner *peer) bool {
	if f.self.dataCentre != s.dataCentre || !f.lacksKnownTargets(owner, s) {
		delete(f.lackedSince, s.id)
		return false
	}
	since, ok := f.lackedSince[s.id]
	if !ok {
		since, f.lackedSince[s.id] = now, now
	}
	return now-since >= claimDelay && f.recentlyConnected(now, owner)
}

// ownerChanged forgets how long the previous owner of a pool lacked its targets and, if the
// pool has an owner, how long this daemon has left it to others.
func (f *Fleet) ownerChanged(pool filbertford.PoolID, next Owner) {
	delete(f.lackedSince, pool)
	if next.node != "" {
		delete(f.leftSince, pool)
	}
}
