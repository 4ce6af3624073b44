package fbfleet

import (
	"hash/fnv"
	"slices"
	"time"

	"github.com/filbertford/filbertford"
)

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

// SetStale takes in whether the store shows that a pool's claim is no longer
// renewed.
func (f *Fleet) SetStale(pool filbertford.PoolID, stale bool) { f.stale[pool] = stale }

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
	if settled && !f.outranks(now, s, owner.node) {
		return false
	}
	self := f.rank(f.self, s)
	for id, p := range f.peers {
		if !f.rivals(now, p, s) || p.draining || id == owner.node && !settled {
			continue
		}
		if p.starting && s.zone != "" && (p.member.zone != s.zone || f.self.zone == s.zone) {
			continue // it claims later than this daemon can
		}
		if compareRanks(f.rank(p.member, s), self) < 0 {
			return false
		}
	}
	return true
}

// rivals reports whether another daemon may claim the pool too. One with rare
// heartbeats has some time to show itself after the pool has lost its owner.
func (f *Fleet) rivals(now time.Duration, p *peer, s PoolSpec) bool {
	if f.owners[s.id].node == "" && now-f.vacant[s.id] <= 2*f.BeatPeriod() {
		return f.linked(now, p)
	}
	return f.present(now, p)
}

// outranks reports whether a pool is to move here from an owner that works: only
// back to its own data centre, or to a much stronger daemon, and after a while.
func (f *Fleet) outranks(now time.Duration, s PoolSpec, owner filbertford.NodeID) bool {
	p := f.peers[owner]
	if p == nil || now-f.began < returnTerm || now-p.listedAt < returnTerm {
		return false
	}
	if f.self.zone == s.zone && p.member.zone != s.zone {
		return true
	}
	near := s.zone == "" || f.self.zone == s.zone
	return near && f.self.weight >= strongerFactor*p.member.weight
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
		linked := f.present(now, p)
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
	case f.leftAlone(now) && !f.lost[s.id]:
		return true
	}
	return f.self.zone == s.zone && away == 0 && 2*zoneHeard > zone && !f.lost[s.id] && waited
}

// leftAlone reports whether the machines of all daemons that are not heard refuse
// connections, so that their processes are gone. A cut that refuses looks the
// same: then the others take a pool back, and this daemon leaves it to them.
func (f *Fleet) leftAlone(now time.Duration) bool {
	for _, p := range f.peers {
		if !f.present(now, p) && (p.refused == 0 || now-p.refused > refusalTerm) {
			return false
		}
	}
	return len(f.peers) > 0
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

// hearsMost reports whether this daemon hears more than half of the fleet.
func (f *Fleet) hearsMost(now time.Duration) bool {
	all, heard := 1, 1
	for _, p := range f.peers {
		if !p.met && p.refused != 0 && now-p.refused < refusalTerm {
			continue // it has not come back after all were killed
		}
		all++
		if f.present(now, p) {
			heard++
		}
	}
	return 2*heard > all
}

// hearsZone reports whether any daemon of the data centre is heard: then the
// data centre is not cut off.
func (f *Fleet) hearsZone(now time.Duration, zone filbertford.DataCentre) bool {
	for _, p := range f.peers {
		if p.member.zone == zone && f.hears(now, p) && now-p.heardAt <= f.silence() {
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
