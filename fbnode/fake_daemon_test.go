package fbnode

import (
	"maps"
	"slices"
	"time"

	"github.com/filbertford/filbertford"
	"github.com/filbertford/filbertford/fbfleet"
	"github.com/filbertford/filbertford/fbsched"
	"github.com/filbertford/filbertford/fbshard"
)

// simDaemon is a daemon of the simulated fleet. It connects the state machines of the fleet,
// the coordinator and the pools as Node does.
type simDaemon struct {
	sim            *fleetSim
	member         fbfleet.Member
	dead           bool
	paused         bool
	resumedAt      time.Duration
	waiting        []simWaiting // posted while the daemon is paused
	fleet          *fbfleet.Fleet
	coordinator    *fbsched.Coordinator
	pools          map[filbertford.PoolID]*fbsched.Pool
	shards         map[filbertford.PoolID]*fbshard.Owner // nil without stored jobs
	links          map[filbertford.NodeID]*simLink
	requests       map[uint64]func(filbertford.WorkloadAnswer)
	broken         map[uint64]func() // tells the caller of a request that its connection broke
	targetsReadAt  time.Duration     // 0 if never
	targets        []filbertford.TargetRecord
	lastTick       time.Duration
	lastHeartbeat  time.Duration
	lastRoster     time.Duration
	sentHeartbeats map[filbertford.NodeID]sentHeartbeat
	claimsRenewed  time.Duration
	claimsRead     time.Duration
	claimsSeen     map[filbertford.PoolID]seenClaim
	evacuated      []filbertford.DataCentre // as last read
	evacuatedRead  bool
}

// simWaiting is a function that was posted to a paused daemon. Those of one source keep
// their order.
type simWaiting struct {
	source string
	do     func(*simDaemon)
}

func (d *simDaemon) name() filbertford.NodeID { return d.member.Node() }

// post calls f in the daemon's control goroutine, after the pause if the daemon is paused.
func (d *simDaemon) post(source string, f func(*simDaemon)) {
	switch {
	case d.dead:
	case d.paused:
		d.waiting = append(d.waiting, simWaiting{source: source, do: f})
	default:
		d.checkSuspension()
		f(d)
		d.flush()
	}
}

// resume ends a pause. What was posted is handled in any order that keeps that of each
// source; the tick that is due comes first, last or between, with tickLast always last.
func (d *simDaemon) resume() {
	if d.dead || !d.paused {
		return
	}
	d.paused, d.resumedAt = false, d.sim.now
	if d.sim.tickLast {
		defer func() {
			d.tick()
			d.flush()
		}()
	} else {
		d.waiting = append(d.waiting, simWaiting{source: "tick", do: (*simDaemon).tick})
	}
	for len(d.waiting) > 0 && !d.dead {
		pick := d.sim.rand.IntN(len(d.waiting))
		source := d.waiting[pick].source
		if source != "" {
			pick = slices.IndexFunc(d.waiting, func(w simWaiting) bool { return w.source == source })
		}
		f := d.waiting[pick].do
		d.waiting = slices.Delete(d.waiting, pick, pick+1)
		d.checkSuspension()
		f(d)
		d.flush()
	}
}

func (d *simDaemon) scheduleTick() {
	d.sim.after(tickPeriod, func() {
		if d.dead {
			return
		}
		d.scheduleTick()
		if !d.paused {
			d.tick()
			d.flush()
		}
	})
}

// checkSuspension does what Node.checkSuspension does.
func (d *simDaemon) checkSuspension() {
	now := d.sim.now
	gap := now - d.lastTick
	if gap <= suspensionThreshold {
		return
	}
	d.lastTick = now
	d.sim.logf("%s was suspended for %v", d.name(), gap)
	d.fleet.HandleSuspension(now)
	for _, id := range d.poolIDs() {
		d.pools[id].HandleSuspension(now, suspensionWait)
	}
	if gap > abandonAfter {
		d.coordinator.AbandonAll(now, "the daemon was suspended")
		for _, spec := range d.sim.specs {
			if !isShard(spec.ID()) {
				d.verifyShards(spec.ID())
			}
		}
	}
}

func (d *simDaemon) tick() {
	now := d.sim.now
	d.checkSuspension()
	d.lastTick = now
	d.fleet.Tick(now, d.wallOffset()+now.Milliseconds())
	for _, id := range d.poolIDs() {
		d.pools[id].Tick(now, d.wallOffset())
	}
	d.coordinator.Tick(now)
	d.tickShards()
	d.tickClaims()
}

func (d *simDaemon) poolIDs() []filbertford.PoolID {
	if len(d.pools) == 0 {
		return nil
	}
	return slices.Sorted(maps.Keys(d.pools))
}

// tickClaims renews the daemon's claims in the store and reads those of pools without an
// owner, as Node does.
func (d *simDaemon) tickClaims() {
	now, store := d.sim.now, d.sim.store
	reachable := !d.storeUnreachable()
	if claims := d.fleet.Claims(); len(claims) > 0 && now-d.claimsRenewed >= claimRenewPeriod {
		d.claimsRenewed = now
		if reachable {
			delay, _ := d.storeAnswer()
			renew := func() {
				for _, c := range claims {
					store.claims[c.Pool()]++
				}
			}
			if delay == 0 {
				renew()
			} else {
				d.sim.after(delay, renew)
			}
		}
	}
	unowned := d.fleet.ClaimsToCheck(now)
	if len(unowned) == 0 {
		d.claimsSeen = nil
		return
	}
	if now-d.claimsRead < claimReadPeriod || !reachable {
		return
	}
	d.claimsRead = now
	if _, lost := d.storeAnswer(); lost {
		return
	}
	if d.claimsSeen == nil {
		d.claimsSeen = make(map[filbertford.PoolID]seenClaim)
	}
	for _, pool := range unowned {
		seen, ok := d.claimsSeen[pool]
		switch {
		case !ok || seen.version != store.claims[pool]:
			d.claimsSeen[pool] = seenClaim{version: store.claims[pool], since: now}
		case now-seen.since >= staleClaimAge:
			d.fleet.SetClaimStale(pool, true)
		}
	}
}

func (d *simDaemon) flush() {
	d.handleFleetEvents()
	for acted := true; acted; {
		acted = false
		for _, id := range d.poolIDs() {
			p := d.pools[id]
			if p == nil {
				continue
			}
			for _, a := range p.TakeActions(d.sim.now) {
				acted = true
				d.doAction(a)
			}
		}
		for _, a := range d.coordinator.TakeActions() {
			acted = true
			d.doAction(a)
		}
		acted = d.flushShards() || acted
		d.handleFleetEvents()
	}
	d.sendDueHeartbeats()
}

func (d *simDaemon) handleFleetEvents() {
	now := d.sim.now
	for _, e := range d.fleet.TakeEvents() {
		d.sim.logf("%s fleet: %s %s %s %d %s %s", d.name(), e.Kind(), e.Pool(), e.Owner().Node(), e.Owner().Fence(), e.Node(), e.Reason())
		switch e.Kind() {
		case fbfleet.EventAcquired:
			if isShard(e.Pool()) {
				d.addShard(e.Pool(), e.Owner().Fence())
				continue
			}
			d.addPool(e.Pool(), e.Owner().Fence())
		case fbfleet.EventReleased:
			delete(d.pools, e.Pool())
			d.dropShard(e.Pool())
		case fbfleet.EventOwner:
			if isShard(e.Pool()) {
				continue
			}
			d.coordinator.SetOwner(now, e.Pool(), e.Owner().Node(), e.Owner().Fence())
			d.verifyShards(e.Pool())
		case fbfleet.EventPeerUnreachable:
			d.dropCoordinator(e.Node())
		case fbfleet.EventProbe:
			d.probePool(e.Pool())
		case fbfleet.EventPeerReachable:
			d.resumeTasks(e.Node())
		}
	}
}

func (d *simDaemon) addPool(id filbertford.PoolID, fence uint64) {
	p := fbsched.NewPool(id, fence, d.wallOffset(), d.sim.now)
	d.holdStarts(p)
	p.AwaitOffers(runningDaemons(d.sim.now, d.fleet))
	d.evacuateNewPool(p)
	d.pools[id] = p
	p.SetTargets(d.sim.now, d.records(id))
	d.sim.after(d.sim.between(5*time.Millisecond, 50*time.Millisecond), d.readRecords)
}

// records returns the records of a pool's targets that the daemon has read.
func (d *simDaemon) records(id filbertford.PoolID) []filbertford.TargetRecord {
	var out []filbertford.TargetRecord
	for _, rec := range d.targets {
		if dataCentrePool(rec.DataCentre()) == id {
			out = append(out, rec)
		}
	}
	return out
}

// readStore reads the daemons' and the targets' records.
func (d *simDaemon) readStore() {
	if d.dead {
		return
	}
	if d.storeUnreachable() {
		d.sim.after(200*time.Millisecond, d.readStore)
		return
	}
	d.readRecords()
	d.sim.after(2*time.Second, d.readStore)
}

func (d *simDaemon) readRecords() {
	if d.dead || d.storeUnreachable() {
		return
	}
	delay, lost := d.storeAnswer()
	switch {
	case lost:
	case delay == 0:
		d.post("store", func(d *simDaemon) { d.applyRecords(d.sim.store) })
	default:
		read := d.sim.store.clone()
		d.sim.after(delay, func() { d.post("store", func(d *simDaemon) { d.applyRecords(read) }) })
	}
}

func (d *simDaemon) applyRecords(read simStore) {
	now := d.sim.now
	for _, name := range d.sim.names {
		if m, ok := read.members[name]; ok {
			d.fleet.AddMember(now, m)
		}
	}
	d.setMembers(d.fleet.Members())
	d.targetsReadAt, d.targets = now, slices.Clone(read.targets)
	d.applyEvacuations(read.evacuated)
	for _, id := range d.poolIDs() {
		d.pools[id].SetTargets(now, d.records(id))
		d.releaseStarts(d.pools[id])
	}
}

func (d *simDaemon) doAction(a fbsched.Action) {
	now, self := d.sim.now, d.name()
	if d.doStoredAction(a) {
		return
	}
	switch v := a.(type) {
	case fbsched.SendReport:
		if v.To == self {
			d.coordinator.HandleReport(now, v.Report)
			return
		}
		d.send(v.To, func(r *simDaemon) { r.coordinator.HandleReport(r.sim.now, v.Report) })
	case fbsched.SendBatch:
		if v.To == self {
			d.handleBatch(self, v.Batch)
			return
		}
		d.send(v.To, func(r *simDaemon) { r.handleBatch(self, v.Batch) })
	case fbsched.SendOffersComplete:
		d.doAction(fbsched.SendBatch{To: v.To, Batch: v.Batch()})
	case fbsched.SendWithdrawal:
		withdraw := func(r *simDaemon) {
			if p := r.pools[v.Withdrawal.Pool()]; p != nil {
				p.Withdraw(r.sim.now, self, v.Withdrawal.Job())
			}
		}
		d.sim.logf("%s withdraws %s from %s at %s", self, v.Withdrawal.Job(), v.Withdrawal.Pool(), v.To)
		if v.To == self {
			withdraw(d)
			return
		}
		d.send(v.To, withdraw)
		d.repeatWithdrawal(v.To, v.Withdrawal.Job(), withdraw)
	case fbsched.SendRecall:
		recall := func(r *simDaemon) {
			if p := r.pools[v.Recall.Pool()]; p != nil && p.Fence() == v.Recall.Fence() {
				p.Recall(r.sim.now, self, v.Recall.Job())
			}
		}
		if v.To == self {
			recall(d)
			return
		}
		d.send(v.To, recall)
	case fbsched.Answer:
		if done := d.requests[v.RequestID]; done != nil {
			delete(d.requests, v.RequestID)
			delete(d.broken, v.RequestID)
			done(v.Answer)
		}
	case fbsched.PoolLost:
		if p := d.pools[v.Pool]; p != nil {
			d.fleet.HandleFenced(now, v.Pool, p.Fence())
		}
	case fbsched.Event:
		d.sim.logf("%s pool %s: %s %s %s run %d %s age %v", self, v.Pool, v.Kind, v.Task, v.Target, v.Run, v.Reason, v.Age)
	default:
		d.doCall(a)
	}
}
