package fbnode

import (
	"time"

	"github.com/filbertford/filbertford"
	"github.com/filbertford/filbertford/fbsched"
)

func (d *simDaemon) minHeartbeatPeriod() time.Duration { return d.fleet.MinCapacityPeriod() }

func (d *simDaemon) capacityPeriodTo(node filbertford.NodeID) time.Duration {
	return d.fleet.CapacityPeriodTo(node)
}

func (d *simDaemon) holdStarts(p *fbsched.Pool) {
	if d.targetsReadAt == 0 || d.sim.now-d.targetsReadAt > candidateReadPeriod {
		p.HoldStarts(d.sim.now + recordsTimeout)
	}
}

func (d *simDaemon) releaseStarts(p *fbsched.Pool) { p.ReleaseStarts() }

func (d *simDaemon) dropCoordinator(node filbertford.NodeID) {
	if len(d.pools) == 0 {
		return
	}
	for _, id := range d.poolIDs() {
		d.pools[id].CoordinatorUnreachable(d.sim.now, node)
	}
	d.redial(node)
}

// doCall carries out the calls to targets.
func (d *simDaemon) doCall(a fbsched.Action) {
	name := string(d.name())
	switch v := a.(type) {
	case fbsched.StartCall:
		req := v.Request
		d.checkEvacuated(req)
		d.callTarget("start", req.Instance(), req.Address(), req.Fence(), v.Timeout, 0, true,
			func(t *simTarget) filbertford.CallReply { return t.start(name, req) },
			func(p *fbsched.Pool, r filbertford.CallReply, sent, received time.Duration) {
				p.HandleStartReply(d.sim.now, req, r, sent, received)
			})
	case fbsched.StopCall:
		req := v.Request
		d.callTarget("stop", req.Instance(), req.Address(), req.Fence(), v.Timeout, 0, true,
			func(t *simTarget) filbertford.CallReply { return t.stop(name, req) },
			func(p *fbsched.Pool, r filbertford.CallReply, sent, received time.Duration) {
				p.HandleStopReply(d.sim.now, req, r, sent, received)
			})
	case fbsched.PollCall:
		req := v.Request
		d.callTarget("poll", req.Instance(), req.Address(), req.Fence(), v.Timeout, req.Wait(), false,
			func(t *simTarget) filbertford.CallReply { return t.poll(name, req) },
			func(p *fbsched.Pool, r filbertford.CallReply, sent, received time.Duration) {
				p.HandlePollReply(d.sim.now, v, r, sent, received)
			})
	}
}

// simReplyHandler handles the reply to a call.
type simReplyHandler func(p *fbsched.Pool, r filbertford.CallReply, sent, received time.Duration)

// callTarget calls a target as Node does: after the timeout it passes CallUnknown to done, and
// if late is set also a reply that arrives up to lateReplyTimeout later.
func (d *simDaemon) callTarget(kind string, instance filbertford.TargetInstance, address string, fence uint64, timeout, wait time.Duration, late bool, do func(*simTarget) filbertford.CallReply, done simReplyHandler) {
	s, name := d.sim, string(d.name())
	sent, answered, closed := s.now, false, false
	pass := func(d *simDaemon, r filbertford.CallReply) {
		for _, id := range d.poolIDs() {
			if p := d.pools[id]; p != nil && p.Fence() == fence {
				done(p, r, sent, d.sim.now)
			}
		}
	}
	s.after(timeout, func() {
		d.post("", func(d *simDaemon) {
			if !answered && !closed {
				closed = !late
				answered = answered || !late
				pass(d, filbertford.NewCallReply(filbertford.CallUnknown, 0))
			}
		})
	})
	s.resetCall(timeout, func() {
		d.post("", func(d *simDaemon) {
			if !answered && !closed {
				answered, closed = true, true
				pass(d, filbertford.NewCallReply(filbertford.CallUnknown, 0))
			}
		})
	})
	if late {
		s.after(timeout+lateReplyTimeout, func() { d.post("", func(*simDaemon) { closed = true }) })
	}
	t := s.targetByID(instance.ID())
	if s.further.enabled {
		t = s.targetAt(address)
	}
	life := t.lives
	carryOutLate := func() {
		s.after(s.lateness(), func() {
			if !t.down && t.lives == life && !s.blocked(name, t.id()) {
				s.logf("%s carries out a late %s of %s", t.id(), kind, name)
				do(t)
			}
		})
	}
	if t.down {
		return
	}
	switch fate := s.fate(name, t.id()); fate {
	case fateLost:
		return
	case fateLate:
		carryOutLate()
		return
	}
	reply := func(r filbertford.CallReply) {
		if t.down || s.blocked(t.id(), name) || s.losesReply() {
			return
		}
		s.after(s.oneWay(t.id(), name)+t.replyDelay(), func() {
			d.post("", func(d *simDaemon) {
				if !answered && !closed {
					answered = true
					pass(d, r)
				}
			})
		})
	}
	s.after(s.oneWay(name, t.id()), func() {
		deadline := s.now + wait
		var attempt func()
		attempt = func() {
			if t.down || t.lives != life {
				return
			}
			if s.now < t.hangsUntil {
				s.at(t.hangsUntil, attempt)
				return
			}
			r := do(t)
			if len(r.Ended()) == 0 && r.Outcome() == filbertford.CallDone && s.now < deadline {
				s.after(5*time.Millisecond, attempt)
				return
			}
			reply(r)
		}
		attempt()
	})
}

// probePool checks whether any of a pool's targets can be reached.
func (d *simDaemon) probePool(id filbertford.PoolID) {
	for _, rec := range d.records(id) {
		t := d.sim.targetByID(rec.Instance().ID())
		if name := string(d.name()); !d.sim.blocked(name, t.id()) && !d.sim.blocked(t.id(), name) {
			d.sim.after(2*time.Millisecond, func() {
				d.post("", func(d *simDaemon) { d.fleet.HandleProbeResult(d.sim.now, id, true) })
			})
		}
	}
}
