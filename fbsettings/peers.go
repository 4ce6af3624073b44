package fbsettings

import (
	"maps"
	"math"
	"slices"
	"time"
)

// peer is the state of a peer: its version, and when the last update was sent to it
// and for which version of the peer.
type peer struct {
	version  uint64
	sentBase uint64
	sentAt   time.Time
}

// fanoutPeers returns the peers to which a new version is pushed. In the ring of
// all addresses in sorted order, they are at the distances 1, r and r² from this
// daemon, where r is the cube root of the number of daemons. From whichever daemon
// gets a version first, the version thus reaches all others in a few hops, with at
// most Fanout messages from each.
func (r *Replica) fanoutPeers() []string {
	ring, selfIndex := r.ring()
	n := len(ring)
	step := max(2, int(math.Round(math.Cbrt(float64(n)))))
	var out []string
	for _, distance := range []int{1, step, step * step} {
		if distance < n {
			out = append(out, ring[(selfIndex+distance)%n])
		}
	}
	return out
}

// ring returns the addresses of all daemons, this one included, in sorted order,
// and the index of this daemon's address.
func (r *Replica) ring() (addresses []string, selfIndex int) {
	addresses = slices.Sorted(maps.Keys(r.peers))
	selfIndex, _ = slices.BinarySearch(addresses, r.self)
	return slices.Insert(addresses, selfIndex, r.self), selfIndex
}

// nextPoll returns the time of the next poll after one that succeeded. Each daemon
// polls once per PollPeriod, at an offset given by its index in the ring, so that
// one of them soon reads a new version. If the daemons' clocks differ, the offsets
// are no longer evenly spaced; nothing else depends on the clocks.
func (r *Replica) nextPoll(now time.Time) time.Time {
	ring, selfIndex := r.ring()
	slot := PollPeriod * time.Duration(selfIndex) / time.Duration(len(ring))
	wait := slot - time.Duration(now.UnixNano())%PollPeriod
	for wait < PollPeriod/2 {
		wait += PollPeriod
	}
	return now.Add(wait)
}

// syncPeers pushes to peers whose version is older than the one in force here and
// pulls from a peer whose version is newer.
func (r *Replica) syncPeers(now time.Time) []Action {
	var behind, ahead []string
	for address, p := range r.peers {
		if now.Sub(p.sentAt) < peerRetryInterval {
			continue
		}
		if p.version < r.version() && now.Sub(r.appliedAt) >= settleTime {
			behind = append(behind, address)
		}
		if p.version > r.version() {
			ahead = append(ahead, address)
		}
	}
	var actions []Action
	for _, address := range firstSorted(Fanout, behind) {
		actions = append(actions, r.push(now, address, r.peers[address]))
	}
	if now.Sub(r.lastPullAt) < minPullInterval {
		return actions
	}
	for _, address := range firstSorted(1, ahead) {
		actions = append(actions, r.pull(now, address))
	}
	if r.tree == nil && len(ahead) == 0 {
		return r.pullFromSome(now)
	}
	return actions
}

// pullFromSome pulls from up to Fanout peers, from the next ones by address each
// time. It is used while this daemon has no settings and no peer is known to have
// any.
func (r *Replica) pullFromSome(now time.Time) []Action {
	addresses := slices.Sorted(maps.Keys(r.peers))
	var actions []Action
	for i := range min(Fanout, len(addresses)) {
		actions = append(actions, r.pull(now, addresses[(r.pullOffset+i)%len(addresses)]))
	}
	r.pullOffset += len(actions)
	return actions
}

// push returns the action that sends the version in force to a peer. It assumes
// that the peer will have this version; the reply or the peer's next heartbeat
// corrects that.
func (r *Replica) push(now time.Time, address string, p *peer) Action {
	u := r.UpdateFor(p.version)
	p.sentAt = now
	p.sentBase = p.version
	p.version = r.version()
	return Action{kind: ActionPush, peer: address, update: u}
}

func (r *Replica) pull(now time.Time, address string) Action {
	r.lastPullAt = now
	r.peers[address].sentAt = now
	return Action{kind: ActionPull, peer: address, update: Update{have: r.version()}}
}

// firstSorted sorts the addresses and returns the first n of them, or all.
func firstSorted(n int, addresses []string) []string {
	slices.Sort(addresses)
	return addresses[:min(n, len(addresses))]
}
