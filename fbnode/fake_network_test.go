package fbnode

import (
	"time"

	"github.com/filbertford/filbertford"
	"github.com/filbertford/filbertford/fbfleet"
)

// tcpTimeout, dialTimeout and the redial delays are those of package fblink.
const (
	simTCPTimeout     = 600 * time.Millisecond
	simDialTimeout    = 300 * time.Millisecond
	simMinRedialDelay = 20 * time.Millisecond
	simMaxRedialDelay = 500 * time.Millisecond
)

// simLink is the connection from one daemon to another, as in package fblink: messages are
// delivered in order, those in flight are lost when its stream breaks, and messages that are
// sent without a stream are dropped.
type simLink struct {
	sim          *fleetSim
	from         *simDaemon
	peer         *simDaemon // at the other end of the stream
	to           fbfleet.Member
	open         bool
	closed       bool // for good
	epoch        int  // of the stream
	delay        time.Duration
	lastArrival  time.Duration
	unackedSince time.Duration // 0 if all that was sent is acknowledged
	stalled      []func(*simDaemon)
}

func (l *simLink) dial() {
	if l.closed || l.from.dead {
		return
	}
	s, from, to := l.sim, string(l.from.name()), string(l.to.Node())
	redial := func(d time.Duration) {
		s.after(d+l.delay, l.dial)
		l.delay = min(2*l.delay, simMaxRedialDelay)
	}
	switch {
	case l.from.paused:
		s.after(simMinRedialDelay, l.dial)
	case s.blocked(from, to) || s.blocked(to, from):
		redial(simDialTimeout)
	case s.daemons[l.to.Node()].dead:
		s.after(s.rtt(from, to), func() {
			if !l.closed {
				l.from.post("", func(d *simDaemon) { d.fleet.HandleConnectionRefused(s.now, l.to.Node(), l.to.Incarnation()) })
			}
		})
		redial(0)
	default:
		s.after(s.rtt(from, to), func() {
			if l.closed || l.from.dead {
				return
			}
			l.open, l.delay, l.unackedSince, l.stalled = true, simMinRedialDelay, 0, nil
			l.epoch++
			l.peer = s.daemons[l.to.Node()]
			l.deliver(func(d *simDaemon) {
				for _, id := range d.poolIDs() {
					d.pools[id].CoordinatorConnected(s.now, l.from.name())
				}
				d.resumeTasks(l.from.name())
			})
			l.from.post("", func(d *simDaemon) { d.connected(l.to.Node()) })
		})
	}
}

// send sends a message, a function that is called for its receiver.
func (l *simLink) send(m func(*simDaemon)) {
	if !l.open {
		return
	}
	from, to := string(l.from.name()), string(l.to.Node())
	dataBlocked, ackBlocked := l.sim.blocked(from, to), l.sim.blocked(to, from)
	if (dataBlocked || ackBlocked || len(l.stalled) > 0) && l.unackedSince == 0 {
		l.unackedSince = l.sim.now
		l.retransmit(l.epoch)
	}
	if dataBlocked || len(l.stalled) > 0 {
		l.stalled = append(l.stalled, m)
		return
	}
	l.deliver(m)
}

// retransmit delivers what could not be delivered once that is possible, and breaks the
// stream when bytes stay unacknowledged for too long.
func (l *simLink) retransmit(epoch int) {
	l.sim.after(50*time.Millisecond, func() {
		if !l.open || l.epoch != epoch {
			return
		}
		from, to := string(l.from.name()), string(l.to.Node())
		if !l.sim.blocked(from, to) {
			for _, m := range l.stalled {
				l.deliver(m)
			}
			l.stalled = nil
			if !l.sim.blocked(to, from) {
				l.unackedSince = 0
				return
			}
		}
		if l.sim.now-l.unackedSince > simTCPTimeout {
			l.breakStream()
			return
		}
		l.retransmit(epoch)
	})
}

func (l *simLink) deliver(m func(*simDaemon)) {
	from, to := string(l.from.name()), string(l.to.Node())
	epoch, receiver := l.epoch, l.sim.daemons[l.to.Node()]
	l.lastArrival = max(l.sim.now+l.sim.oneWay(from, to), l.lastArrival)
	l.sim.at(l.lastArrival, func() {
		if l.open && l.epoch == epoch && (receiver == l.peer || !l.sim.further.enabled) {
			receiver.post(from, func(d *simDaemon) {
				for _, id := range d.poolIDs() {
					d.pools[id].CoordinatorHeard(l.sim.now, l.from.name())
				}
				m(d)
			})
		}
	})
}

func (l *simLink) breakStream() {
	if l.open {
		l.open = false
		l.sim.after(time.Millisecond, l.dial)
	}
}

// setMembers replaces the daemons to which links are kept, as fblink.Hub does.
func (d *simDaemon) setMembers(members []fbfleet.Member) {
	wanted := make(map[filbertford.NodeID]fbfleet.Member, len(members))
	for _, m := range members {
		wanted[m.Node()] = m
	}
	for _, id := range d.sim.names {
		l, ok := d.links[id]
		m, want := wanted[id]
		if ok && (!want || m.Incarnation() != l.to.Incarnation()) {
			l.open, l.closed = false, true
			delete(d.links, id)
			ok = false
		}
		if want && !ok {
			l = &simLink{sim: d.sim, from: d, to: m, delay: simMinRedialDelay}
			d.links[id] = l
			l.dial()
		}
	}
}

func (d *simDaemon) send(to filbertford.NodeID, m func(*simDaemon)) {
	if l := d.links[to]; l != nil {
		l.send(m)
	}
}

func (d *simDaemon) redial(to filbertford.NodeID) {
	if l := d.links[to]; l != nil {
		l.breakStream()
	}
}
