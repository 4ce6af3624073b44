package fbnode

import (
	"time"

	"github.com/filbertford/filbertford"
	"github.com/filbertford/filbertford/fbfleet"
	"github.com/filbertford/filbertford/fbsched"
)

func (d *simDaemon) resumeTasks(node filbertford.NodeID) {
	for _, s := range d.sim.specs {
		if d.fleet.Owner(s.ID()).Node() == node {
			d.coordinator.Resume(d.sim.now, s.ID())
			d.verifyShards(s.ID())
		}
	}
}

func (d *simDaemon) connected(node filbertford.NodeID) {
	d.sendHeartbeat(node, d.fleet.Heartbeat(d.sim.now), nil)
	d.sendRosterTo(node, append(d.fleet.Members(), d.fleet.Self()))
	d.resumeTasks(node)
}

func (d *simDaemon) sendHeartbeat(to filbertford.NodeID, h fbfleet.Heartbeat, capacities map[filbertford.PoolID][]fbsched.Capacity) {
	d.send(to, func(r *simDaemon) {
		r.fleet.HandleHeartbeat(r.sim.now, h.ForReceiver(r.name()))
		r.handleFleetEvents()
		for _, c := range h.Claims() {
			if v := capacities[c.Pool()]; v != nil {
				r.coordinator.SetCapacities(c.Pool(), c.Fence(), v)
			}
			if owner := r.fleet.Owner(c.Pool()); owner.Node() != d.name() && owner.Fence() > c.Fence() {
				notice := fbsched.NewBatch(c.Pool(), "", 0, 0, filbertford.Step{}, nil).WithFence(owner.Fence())
				r.send(d.name(), func(d *simDaemon) { d.handleBatch(r.name(), notice) })
			}
		}
	})
}

func (d *simDaemon) sendRosterTo(to filbertford.NodeID, members []fbfleet.Member) {
	d.send(to, func(r *simDaemon) {
		for _, m := range members {
			r.fleet.AddMember(r.sim.now, m)
		}
	})
}

func (d *simDaemon) sendDueHeartbeats() {
	now := d.sim.now
	elapsed := now - d.lastHeartbeat
	if elapsed < d.minHeartbeatPeriod() {
		return
	}
	changed := false
	for _, p := range d.pools {
		changed = p.TakeCapacityChanged() || changed
	}
	if !changed && elapsed < d.fleet.HeartbeatPeriod() {
		return
	}
	d.lastHeartbeat = now
	capacities := make(map[filbertford.PoolID][]fbsched.Capacity, len(d.pools))
	for id, p := range d.pools {
		capacities[id] = p.Capacities(now)
		d.coordinator.SetCapacities(id, p.Fence(), capacities[id])
	}
	members := d.fleet.Members()
	d.setMembers(members)
	h := d.fleet.Heartbeat(now)
	for _, m := range members {
		period := d.fleet.PeriodTo(m.Node())
		last := d.sentHeartbeats[m.Node()]
		if len(capacities) == 0 && last.period > d.fleet.HeartbeatPeriod() && now-last.sentAt < min(period, last.period) ||
			len(capacities) > 0 && now-last.sentAt < d.capacityPeriodTo(m.Node()) {
			continue
		}
		d.sentHeartbeats[m.Node()] = sentHeartbeat{sentAt: now, period: period}
		d.sendHeartbeat(m.Node(), h.WithPeriod(period), capacities)
	}
	if now-d.lastRoster > rosterPeriod*d.fleet.PeriodFactor() {
		d.lastRoster = now
		for _, m := range members {
			d.sendRosterTo(m.Node(), members)
			if alive, connected := d.fleet.Reachability(now, m.Node()); alive && !connected {
				d.redial(m.Node())
			}
		}
	}
}

func (d *simDaemon) handleBatch(from filbertford.NodeID, b fbsched.Batch) {
	d.fleet.HandleNewerClaim(d.sim.now, b.Pool(), b.Fence())
	d.handleFleetEvents()
	if p := d.pools[b.Pool()]; p != nil && p.Fence() == b.Fence() {
		p.Offer(d.sim.now, from, b)
		return
	}
	if from == d.name() {
		return
	}
	for _, report := range returnsOf(b) {
		d.send(from, func(r *simDaemon) { r.coordinator.HandleReport(r.sim.now, report) })
	}
}

// repeatWithdrawal sends a withdrawal again until the caller sends the job again, as if pools
// confirmed them.
func (d *simDaemon) repeatWithdrawal(to filbertford.NodeID, job filbertford.JobKey, withdraw func(*simDaemon)) {
	if !*fleetRepeat {
		return
	}
	sent := d.sim.sends[job]
	for delay := 50 * time.Millisecond; delay < simRetransmit; delay += 50 * time.Millisecond {
		d.sim.after(delay, func() {
			if d.sim.sends[job] == sent {
				d.post("repeat", func(d *simDaemon) { d.send(to, withdraw) })
			}
		})
	}
}
