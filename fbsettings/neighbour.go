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
	version uint64
	base    uint64
	sent    time.Time
}

// neighbours returns the peers that are told of a new version first. In the
// circle of all addresses in order they stand at the distances 1, r and r², where
// r is the cube root of the number of daemons. Whoever hears of a version first,
// it so reaches everybody in a few hops, with Fanout messages from each.
func (s *Spread) neighbours() []string {
	circle, own := s.circle()
	n := len(circle)
	r := max(2, int(math.Round(math.Cbrt(float64(n)))))
	var out []string
	for _, distance := range []int{1, r, r * r} {
		if distance < n {
			out = append(out, circle[(own+distance)%n])
		}
	}
	return out
}

// circle returns the addresses of all daemons in order, and the place of the
// daemon's own.
func (s *Spread) circle() (addresses []string, own int) {
	addresses = slices.Sorted(maps.Keys(s.peers))
	own, _ = slices.BinarySearch(addresses, s.self)
	return slices.Insert(addresses, own, s.self), own
}

// nextPoll returns when to poll after a poll that succeeded: about PollPeriod
// later, each daemon in its turn, so that one of them soon sees a new version.
// Clocks that differ spoil the turns and nothing else.
func (s *Spread) nextPoll(now time.Time) time.Time {
	circle, own := s.circle()
	turn := PollPeriod * time.Duration(own) / time.Duration(len(circle))
	wait := turn - time.Duration(now.UnixNano())%PollPeriod
	for wait < PollPeriod/2 {
		wait += PollPeriod
	}
	return now.Add(wait)
}

// catchUp pushes to peers that stay behind and pulls from those ahead.
func (s *Spread) catchUp(now time.Time) []Action {
	var behind, ahead []string
	for address, p := range s.peers {
		if now.Sub(p.sent) < peerRetry {
			continue
		}
		if p.version < s.version() && now.Sub(s.since) >= settle {
			behind = append(behind, address)
		}
		if p.version > s.version() {
			ahead = append(ahead, address)
		}
	}
	var actions []Action
	for _, address := range first(Fanout, behind) {
		actions = append(actions, s.push(now, address, s.peers[address]))
	}
	if now.Sub(s.pulled) < pullPause {
		return actions
	}
	for _, address := range first(1, ahead) {
		actions = append(actions, s.pull(now, address))
	}
	if s.tree == nil && len(ahead) == 0 {
		return s.ask(now)
	}
	return actions
}

// ask asks some peers for settings, others each time, while there are none.
func (s *Spread) ask(now time.Time) []Action {
	circle := slices.Sorted(maps.Keys(s.peers))
	var actions []Action
	for i := range min(Fanout, len(circle)) {
		actions = append(actions, s.pull(now, circle[(s.pulls+i)%len(circle)]))
	}
	s.pulls += len(actions)
	return actions
}

// push sends the version in force to a peer. It counts on the peer to have it
// then; the reply and the next heartbeat tell.
func (s *Spread) push(now time.Time, address string, p *peer) Action {
	u := s.UpdateFor(p.version)
	p.sent = now
	p.base = p.version
	p.version = s.version()
	return Action{kind: ActionPush, peer: address, update: u}
}

func (s *Spread) pull(now time.Time, address string) Action {
	s.pulled = now
	s.peers[address].sent = now
	return Action{kind: ActionPull, peer: address, update: Update{have: s.version()}}
}

// first returns up to n of the addresses, in order.
func first(n int, addresses []string) []string {
	slices.Sort(addresses)
	return addresses[:min(n, len(addresses))]
}
