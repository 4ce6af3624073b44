package fbfleet

import (
	"hash/fnv"
	"maps"
	"slices"
	"time"

	"github.com/filbertford/filbertford"
)

// HandleFenced releases a pool after a target or the store has rejected this
// daemon's fencing token for it. It does nothing if the daemon has another token
// by now.
func (f *Fleet) HandleFenced(now time.Duration, pool filbertford.PoolID, fence uint64) {
	if f.owned[pool] != fence {
		return
	}
	f.highestFence[pool] = max(f.highestFence[pool], fence+1)
	f.release(pool, "fencing token rejected in favour of a newer owner")
	f.noReclaim[pool], f.fencedAt[pool] = true, now
	f.updateOwners(now)
}

// HandleNewerClaim releases a pool that another daemon has claimed with a higher fencing token,
// as a third one reports. This daemon may not hear the other, and the two may reach different
// targets, so that none of them rejects the lower token.
func (f *Fleet) HandleNewerClaim(now time.Duration, pool filbertford.PoolID, fence uint64) {
	own, ok := f.owned[pool]
	if !ok || fence <= own {
		return
	}
	f.highestFence[pool] = max(f.highestFence[pool], fence)
	f.release(pool, "another daemon reports a newer claim")
	f.noReclaim[pool], f.fencedAt[pool] = true, now
	f.updateOwners(now)
}

// probe is the last probe of whether a pool's targets can be reached.
type probe struct {
	requestedAt time.Duration
	answeredAt  time.Duration
	reachable   bool
}

// HandleProbeResult records whether any target of a pool could be reached.
func (f *Fleet) HandleProbeResult(now time.Duration, pool filbertford.PoolID, reachable bool) {
	p := f.probes[pool]
	p.answeredAt, p.reachable = now, reachable
	f.probes[pool] = p
	f.claimPools(now)
}

// SetClaimStale records whether the store shows that a pool's claim is no longer
// renewed.
func (f *Fleet) SetClaimStale(pool filbertford.PoolID, stale bool) { f.staleClaims[pool] = stale }

// claimPools claims the pools that this daemon should own.
func (f *Fleet) claimPools(now time.Duration) {
	if f.draining || f.starting(now) {
		return
	}
	for _, s := range f.pools {
		if _, ok := f.owned[s.id]; ok || !f.ranksFirst(now, s) || !f.mayClaim(now, s) || f.defersClaim(now, s) {
			continue
		}
		f.acquire(now, s.id)
	}
}

// ranksFirst reports whether this daemon ranks first for a pool that has no owner,
// or whose owner is to give it up.
func (f *Fleet) ranksFirst(now time.Duration, s PoolSpec) bool {
	owner := f.owners[s.id]
	ownerStays := owner.node != "" && !f.isDraining(owner.node)
	if ownerStays && !f.mayTakeOver(now, s, owner.node) {
		return false
	}
	self := f.rank(f.self, s)
	for id, p := range f.peers {
		if !f.mayCompete(now, p, s) || p.draining || id == owner.node && !ownerStays || f.lacksKnownTargets(p, s) {
			continue
		}
		if p.starting && s.dataCentre != "" && (p.member.dataCentre != s.dataCentre || f.self.dataCentre == s.dataCentre) {
			continue // it is starting and would claim the pool later than this daemon
		}
		if compareRanks(f.rank(p.member, s), self) < 0 {
			return false
		}
	}
	return true
}

// mayCompete reports whether another daemon may claim the pool too. After the pool
// has lost its owner, a daemon with a long heartbeat period has two normal periods
// to send a heartbeat.
func (f *Fleet) mayCompete(now time.Duration, p *peer, s PoolSpec) bool {
	if f.owners[s.id].node == "" && now-f.unownedSince[s.id] <= 2*f.HeartbeatPeriod() {
		return f.connected(now, p)
	}
	return f.recentlyConnected(now, p)
}

// mayTakeOver reports whether this daemon may take a pool over from a working
// owner. A pool moves only back to its own data centre or to a much stronger
// daemon, and only after returnDelay, or from an owner that doesn't know its targets to a
// daemon that does.
func (f *Fleet) mayTakeOver(now time.Duration, s PoolSpec, owner filbertford.NodeID) bool {
	p := f.peers[owner]
	if p != nil && f.ownerLacksTargets(now, s, p) {
		return true
	}
	if s.dataCentre != "" && f.targets == TargetsUnknown {
		return false
	}
	if p == nil || now-f.startedAt < returnDelay || now-p.joinedAt < returnDelay {
		return false
	}
	if f.self.dataCentre == s.dataCentre && p.member.dataCentre != s.dataCentre {
		return true
	}
	local := s.dataCentre == "" || f.self.dataCentre == s.dataCentre
	return local && f.self.weight >= takeoverWeightFactor*p.member.weight
}

func (f *Fleet) isDraining(node filbertford.NodeID) bool {
	p := f.peers[node]
	return p != nil && p.draining
}

// rank returns the rank of a daemon for a pool; the lowest comes first. Daemons of
// the pool's data centre rank before others, then by weight; a hash breaks ties.
func (f *Fleet) rank(m Member, s PoolSpec) [3]uint64 {
	var remote uint64
	if m.dataCentre != s.dataCentre {
		remote = 1
	}
	h := fnv.New64a()
	_, _ = h.Write([]byte(string(s.id) + "/" + string(m.node))) // never returns an error
	return [3]uint64{remote, ^uint64(max(m.weight, 0)), h.Sum64()}
}

func compareRanks(a, b [3]uint64) int { return slices.Compare(a[:], b[:]) }

// mayClaim reports whether this daemon may claim a pool. If no owner is alive, it
// may do so if it has a majority of the fleet, if the store shows that the last
// claim is stale, if all other daemons have stopped, or if its data centre is cut
// off as a whole and it has a majority there.
func (f *Fleet) mayClaim(now time.Duration, s PoolSpec) bool {
	if f.owners[s.id].node != "" {
		return true
	}
	localSize, localConnected, remoteConnected := 1, 1, 0
	for _, p := range f.peers {
		connected := f.recentlyConnected(now, p)
		if p.member.dataCentre == f.self.dataCentre {
			localSize++
			if connected {
				localConnected++
			}
		} else if connected {
			remoteConnected++
		}
	}
	if at, ok := f.fencedAt[s.id]; ok && now-at < claimDelay {
		return false
	}
	waited := now-f.unownedSince[s.id] >= claimDelay
	switch {
	case f.hasMajority(now):
		f.noReclaim[s.id] = false
		return s.dataCentre == "" || f.self.dataCentre == s.dataCentre || f.dataCentreAlive(now, s.dataCentre) || f.targetsReachable(now, s.id)
	case f.staleClaims[s.id]:
		return waited
	case f.allOthersRefuse(now) && !f.noReclaim[s.id]:
		return true
	}
	return f.self.dataCentre == s.dataCentre && remoteConnected == 0 && 2*localConnected > localSize && !f.noReclaim[s.id] && waited
}

// allOthersRefuse reports whether the addresses of all daemons that are not
// connected refuse connections, which means that their processes have ended. A
// network partition that refuses connections looks the same: then the others claim
// the pool again, and this daemon leaves it to them once it is fenced.
func (f *Fleet) allOthersRefuse(now time.Duration) bool {
	for _, p := range f.peers {
		if !f.recentlyConnected(now, p) && (p.refusedAt == 0 || now-p.refusedAt > refusalTTL) {
			return false
		}
	}
	return len(f.peers) > 0
}

// ClaimsToCheck returns the pools without an owner that this daemon may not claim
// for lack of a majority. The store shows whether their claims are still renewed.
func (f *Fleet) ClaimsToCheck(now time.Duration) []filbertford.PoolID {
	if f.draining || f.starting(now) || f.hasMajority(now) {
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

// hasMajority reports whether this daemon and those connected to it are more than
// half of the fleet.
func (f *Fleet) hasMajority(now time.Duration) bool {
	all, connected := 1, 1
	for _, p := range f.peers {
		if !p.seen && p.refusedAt != 0 && now-p.refusedAt < refusalTTL {
			continue // not started again after all daemons were killed
		}
		all++
		if f.recentlyConnected(now, p) {
			connected++
		}
	}
	return 2*connected > all
}

// dataCentreAlive reports whether a heartbeat of any daemon of the data centre arrived
// within the normal timeout, which shows that the data centre is not cut off.
func (f *Fleet) dataCentreAlive(now time.Duration, dataCentre filbertford.DataCentre) bool {
	for _, p := range f.peers {
		if p.member.dataCentre == dataCentre && f.alive(now, p) && now-p.lastHeartbeat <= f.heartbeatTimeout() {
			return true
		}
	}
	return false
}

// targetsReachable reports whether a target of the pool was reached since the pool
// lost its owner and within claimDelay. If not, it requests a probe. A data centre
// that is cut off continues with its own targets: a claim from outside would take
// them away when the partition heals.
func (f *Fleet) targetsReachable(now time.Duration, pool filbertford.PoolID) bool {
	p := f.probes[pool]
	if p.reachable && p.answeredAt > f.unownedSince[pool] && now-p.answeredAt < claimDelay {
		return true
	}
	if now-p.requestedAt >= probePeriod || p.requestedAt == 0 {
		p.requestedAt = now
		f.probes[pool] = p
		f.emit(Event{kind: EventProbe, pool: pool})
	}
	return false
}

// acquire claims a pool with a fencing token above all known ones.
func (f *Fleet) acquire(now time.Duration, pool filbertford.PoolID) {
	high := max(uint64(f.wallMillis), f.highestFence[pool]>>fenceNodeBits+1)
	fence := high<<fenceNodeBits | f.fenceNumber()
	f.highestFence[pool] = fence
	f.owned[pool] = fence
	f.emit(Event{kind: EventAcquired, pool: pool, owner: Owner{node: f.self.node, fence: fence}})
	f.updateOwners(now)
}

// fenceNumber returns the number of this daemon in its fencing tokens. Daemons that know
// the same members have different numbers, as long as there are enough: each takes its
// hash or, if a daemon whose name sorts before its own has that, the next free number.
func (f *Fleet) fenceNumber() uint64 {
	var taken [fenceNumbers]bool
	names := slices.Sorted(maps.Keys(f.peers))
	before, _ := slices.BinarySearch(names, f.self.node)
	for _, name := range names[:min(before, fenceNumbers-1)] {
		taken[freeNumber(name, &taken)] = true
	}
	return freeNumber(f.self.node, &taken)
}

// freeNumber returns the hash of a daemon's name or, if that is taken, the next number that
// is free.
func freeNumber(node filbertford.NodeID, taken *[fenceNumbers]bool) uint64 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(node)) // never returns an error
	n := uint64(h.Sum32()) % fenceNumbers
	for taken[n] {
		n = (n + 1) % fenceNumbers
	}
	return n
}

// resolveTie gives a pool up that another daemon has claimed with the same fencing token.
// Targets obey both until then. The daemon whose name sorts last claims the pool again with
// a higher token, so that they obey only that one, and reads their lists anew.
func (f *Fleet) resolveTie(now time.Duration, pool filbertford.PoolID, other filbertford.NodeID) {
	f.release(pool, "claimed by "+string(other)+" with the same fencing token")
	if f.self.node > other {
		f.acquire(now, pool)
	}
}

func (f *Fleet) release(pool filbertford.PoolID, reason string) {
	delete(f.owned, pool)
	f.emit(Event{kind: EventReleased, pool: pool, reason: reason})
}
