package fbsettings

import (
	"maps"
	"math"
	"slices"
	"time"
)

// peer is what is known of a peer: its version, and when and for which version
// an update was last sent to it.
type peer struct {
	version  uint64
	sentBase uint64
	sentAt   time.Time
}

// fanoutPeers returns the peers that are told of a new version first. In the
// circle of all addresses in order they stand at the distances 1, r and r², where
// r is the cube root of the number of daemons. Whoever hears of a version first,
// it so reaches everybody in a few hops, with Fanout messages from each.
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

// ring returns the addresses of all daemons in order, and the place of the
// daemon's own.
func (r *Replica) ring() (addresses []string, selfIndex int) {
	addresses = slices.Sorted(maps.Keys(r.peers))
	selfIndex, _ = slices.BinarySearch(addresses, r.self)
	return slices.Insert(addresses, selfIndex, r.self), selfIndex
}

// nextPoll returns when to poll after a poll that succeeded: about PollPeriod
// later, each daemon in its turn, so that one of them soon sees a new version.
// Clocks that differ spoil the turns and nothing else.
func (r *Replica) nextPoll(now time.Time) time.Time {
	ring, selfIndex := r.ring()
	slot := PollPeriod * time.Duration(selfIndex) / time.Duration(len(ring))
	wait := slot - time.Duration(now.UnixNano())%PollPeriod
	for wait < PollPeriod/2 {
		wait += PollPeriod
	}
	return now.Add(wait)
}

// syncPeers pushes to peers that stay behind and pulls from those ahead.
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

// pullFromSome asks some peers for settings, others each time, while there are none.
func (r *Replica) pullFromSome(now time.Time) []Action {
	addresses := slices.Sorted(maps.Keys(r.peers))
	var actions []Action
	for i := range min(Fanout, len(addresses)) {
		actions = append(actions, r.pull(now, addresses[(r.pullOffset+i)%len(addresses)]))
	}
	r.pullOffset += len(actions)
	return actions
}

// push sends the version in force to a peer. It counts on the peer to have it
// then; the reply and the next heartbeat tell.
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

// firstSorted returns up to n of the addresses, in order.
func firstSorted(n int, addresses []string) []string {
	slices.Sort(addresses)
	return addresses[:min(n, len(addresses))]
}
