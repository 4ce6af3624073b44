package fbsched

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/filbertford/filbertford"
)

// inject carries out a fault.
func (r *overlapRun) inject(f fault) {
	r.count(string(f.kind))
	p := r.pools[f.random.IntN(len(r.pools))]
	o := p.owner
	host := p.hosts[f.random.IntN(len(p.hosts))]
	r.tracef("fault: %s, owner %s, target %s, for %v", f.kind, o.node, host, f.duration)
	switch f.kind {
	case faultKill:
		o.stopped = true
		r.after(f.detect(), func() {
			r.lose(p, o)
			r.replace(f, p, o)
		})
	case faultPause:
		r.pauseOwner(f, p, o)
	case faultTakeOver:
		r.after(f.learn(), func() { r.giveUp(o) })
		r.replace(f, p, o)
	case faultPartition:
		r.cutOff(f, p, o)
	case faultCut, faultCutRequests, faultCutReplies:
		nodes := []filbertford.NodeID{o.node, r.nextNode(), ""}
		r.cutLink(f.kind, nodes[f.random.IntN(len(nodes))], host, 2*f.duration)
	case faultMove, faultReuse, faultReclaim, faultStray, faultRewrite, faultLateRecord:
		r.move(f, p, o, host)
	case faultReset:
		r.connections.resets++
		r.after(f.duration, func() { r.connections.resets-- })
	case faultEvacuate:
		r.evacuate(f, p)
	case faultStream:
		r.breakStream(f.duration / 10)
	case faultCoordinator:
		r.pauseCoordinator(f)
	case faultCoordinatorLost:
		r.replaceCoordinator(f)
	case faultUnnoticed:
		if !r.coordinatorPaused {
			r.others[r.node] = r.coordinator
			r.nextCoordinator(f)
		}
	case faultBroken:
		if f.random.IntN(4) == 0 {
			r.breakStream(f.duration / 10)
		}
		request := 1 + r.random.Uint64N(r.request+1)
		if job, ok := r.jobs[request]; ok && r.answers[request] == "" {
			r.answers[request] = filbertford.AnswerUnknown
			r.atCoordinator(func() { r.coordinator.CancelRequest(r.now, request) })
			r.sendAgain(job)
		}
	case faultReturn:
		r.returnJob(f)
	case faultGiveUp:
		request := uint64(1 + f.random.IntN(len(r.plan.jobs)))
		r.atCoordinator(func() { r.coordinator.CancelRequest(r.now, request) })
	default:
		r.disturb(f, r.targets[filbertford.TargetID(host)])
	}
}

// giveUp lets an owner learn that it is replaced.
func (r *overlapRun) giveUp(o *fakeOwner) {
	if !o.stopped && !o.paused {
		r.tracef("%s: gives the pool up", o.node)
		o.stopped = true
	}
}

// pauseOwner pauses an owner. It is replaced if that is noticed. When it resumes, it handles
// what has arrived meanwhile, in any order.
func (r *overlapRun) pauseOwner(f fault, p *overlapPool, o *fakeOwner) {
	if o.paused || o.stopped {
		return
	}
	o.paused = true
	r.after(f.detect(), func() {
		if o.paused {
			r.lose(p, o)
			r.replace(f, p, o)
		}
	})
	r.after(f.duration, func() {
		r.tracef("%s: resumes", o.node)
		r.wake(o)
		if f.random.IntN(2) == 0 {
			r.random.Shuffle(len(o.waiting), func(i, j int) { o.waiting[i], o.waiting[j] = o.waiting[j], o.waiting[i] })
		}
		if f.random.IntN(2) == 0 && !o.stopped {
			o.beforeTick()
			o.pool.Tick(r.now, o.wallOffset)
		}
		r.resume(o)
		if p.owner == o {
			r.announce(p, o)
			return
		}
		r.count("replaced owners that resume")
		r.after(f.learn(), func() { r.giveUp(o) })
	})
}

// cutOff cuts an owner off from the other daemons, and often its successor from some of the
// targets. The owner drops the coordinator's tasks when it notices.
func (r *overlapRun) cutOff(f fault, p *overlapPool, o *fakeOwner) {
	if o.isolated || o.stopped {
		return
	}
	o.isolated = true
	duration := 2 * f.duration
	if f.random.IntN(2) == 0 {
		for _, host := range p.hosts {
			if f.random.IntN(2) == 0 {
				r.cutLink(faultCut, r.nextNode(), host, duration)
			}
		}
	}
	r.after(between(f.random, 300, 1000), func() {
		if o.isolated {
			r.handle(o, func() { o.pool.CoordinatorUnreachable(r.now, r.node) })
		}
	})
	r.after(f.detect(), func() {
		if o.isolated {
			r.lose(p, o)
			r.replace(f, p, o)
		}
	})
	r.after(duration, func() {
		o.isolated = false
		if p.owner != o {
			r.after(f.learn(), func() { r.giveUp(o) })
			return
		}
		r.announce(p, o)
		r.atCoordinator(r.resumeTasks)
	})
}

// cutLink cuts the link between a target and an owner for a time. An empty name stands for
// all owners.
func (r *overlapRun) cutLink(kind faultKind, node filbertford.NodeID, host string, d time.Duration) {
	key := linkKey{node: node, host: host}
	link := r.links[key]
	if link == nil {
		link = &linkState{}
		r.links[key] = link
	}
	r.tracef("link of %q to %s: %s for %v", node, host, kind, d)
	set := func(n int) {
		if kind != faultCutReplies {
			link.requests += n
		}
		if kind != faultCutRequests {
			link.replies += n
		}
	}
	set(1)
	r.after(d, func() { set(-1) })
}

// breakStream loses the messages between the coordinator and the owners for a time.
func (r *overlapRun) breakStream(d time.Duration) {
	r.streams++
	r.streamDown = true
	r.after(d, func() {
		r.streamDown = false
		r.streams++
		r.atCoordinator(r.resumeTasks)
	})
}

// resumeTasks offers the coordinator's tasks again on new streams.
func (r *overlapRun) resumeTasks() {
	r.tracef("coordinator: offers its tasks again")
	r.reconnect(r.node)
	for _, p := range r.pools {
		r.coordinator.Resume(r.now, p.id)
		r.coordinator.ResumeStored(r.now, p.id)
	}
	if r.plan.scenario.peer {
		r.reconnect(peerNode)
		for _, p := range r.pools {
			r.others[peerNode].Resume(r.now, p.id)
		}
	}
}

// dropCoordinator lets the owners notice the loss of the coordinator.
func (r *overlapRun) dropCoordinator(node filbertford.NodeID) {
	for _, o := range r.simulation.owners {
		if !o.stopped {
			r.handle(o, func() {
				r.tracef("%s: coordinator %s is lost", o.node, node)
				o.pool.CoordinatorUnreachable(r.now, node)
			})
		}
	}
}

// pauseCoordinator pauses the coordinator. Owners drop its tasks if they notice.
func (r *overlapRun) pauseCoordinator(f fault) {
	if r.coordinatorPaused {
		return
	}
	r.coordinatorPaused = true
	node := r.node
	r.after(between(f.random, 300, 1000), func() {
		if r.coordinatorPaused && r.node == node {
			r.dropCoordinator(node)
		}
	})
	r.after(f.duration, func() {
		if r.node != node {
			return
		}
		r.coordinatorPaused = false
		if f.duration > time.Second {
			r.coordinator.AbandonAll(r.now, "the daemon was suspended")
		}
		waiting := r.coordinatorWaits
		r.coordinatorWaits = nil
		for _, do := range waiting {
			do()
		}
		r.resumeTasks()
		r.coordinator.Tick(r.now)
	})
}

// replaceCoordinator loses the coordinator. The callers send their jobs to another one.
func (r *overlapRun) replaceCoordinator(f fault) {
	old := r.node
	r.coordinatorPaused, r.coordinatorWaits = false, nil
	r.streams++
	r.nextCoordinator(f)
	r.after(between(f.random, 300, 1000), func() { r.dropCoordinator(old) })
}

// nextCoordinator lets another coordinator take the jobs, which the callers send again.
func (r *overlapRun) nextCoordinator(f fault) {
	old := r.node
	r.coordinators++
	r.node = filbertford.NodeID(fmt.Sprintf("c%d", r.coordinators))
	r.coordinator = NewCoordinator(r.pools[f.random.IntN(len(r.pools))].id)
	r.tracef("coordinator: %s instead of %s", r.node, old)
	if r.plan.scenario.recalls {
		setTestBalancer(r.coordinator, f.seed)
	}
	for _, p := range r.pools {
		r.coordinator.AddPool(p.id)
		r.announce(p, p.owner)
	}
	if r.plan.scenario.stored {
		r.resumeStoredJobs()
		return
	}
	for _, request := range slices.Sorted(maps.Keys(r.jobs)) {
		if _, ok := r.answers[request]; !ok {
			r.answers[request] = filbertford.AnswerUnknown
			r.sendAgain(r.jobs[request])
		}
	}
}

// restartTarget lets a target go down and start again under its ID. Its clock starts anew, lower
// or higher, and its time of day may have been set back.
func (r *overlapRun) restartTarget(f fault, t *fakeTarget) {
	id, old, reading, away := t.rec.Instance().ID(), t.rec, t.clock(), f.duration/time.Duration(1+f.random.IntN(20))
	if f.random.IntN(3) > 0 {
		away = between(f.random, 20, 1500)
	}
	startedAt := testWallOffset + (r.now + away).Milliseconds()
	if f.random.IntN(3) == 0 {
		r.count("targets whose time of day is set back")
		startedAt = old.Instance().StartedAt() - between(f.random, 1, 2000).Milliseconds()
	}
	clocks := []time.Duration{time.Millisecond, between(f.random, 1, 1_000_000), max(time.Millisecond, reading+between(f.random, -3000, 3000))}
	clock := clocks[f.random.IntN(len(clocks))]
	t.crash()
	boots := t.boots
	r.after(away, func() {
		if t.boots != boots {
			return
		}
		t.restart(id, startedAt)
		t.clockOffset = clock
		r.tracef("%s: starts again at %d, its clock is %v", id, startedAt, clock)
		rec, boots, unrecorded := t.rec, t.boots, between(f.random, 0, 3000)
		if f.random.IntN(2) == 0 {
			unrecorded /= 30
		}
		if f.random.IntN(2) == 0 {
			r.writeRecord(time.Duration(f.random.Int64N(int64(unrecorded)+1)), old, false) // before the new one
		}
		r.after(unrecorded, func() {
			if t.boots == boots {
				r.writeRecord(0, rec, false)
			}
		})
	})
}

// disturb carries out a fault of a target.
func (r *overlapRun) disturb(f fault, t *fakeTarget) {
	startedAt := testWallOffset + r.now.Milliseconds()
	undo := func(do func()) {
		boots := t.boots
		r.after(f.duration, func() {
			if t.boots == boots {
				do()
			}
		})
	}
	switch f.kind {
	case faultSameID:
		r.restartTarget(f, t)
		for _, host := range slices.Sorted(maps.Keys(r.targets)) {
			if f.random.IntN(4) == 0 && r.targets[host] != t {
				r.count("targets that start again together")
				r.restartTarget(f, r.targets[host])
			}
		}
	case faultOtherID:
		id, old, away := t.rec.Instance().ID(), t.rec, f.duration/time.Duration(1+f.random.IntN(20))
		t.crash()
		boots := t.boots
		r.after(away, func() {
			if t.boots != boots {
				return
			}
			host, _, _ := strings.Cut(t.rec.Address(), ":")
			id = filbertford.TargetID(fmt.Sprintf("%s-%d", host, t.boots))
			r.writeRecord(between(f.random, 300, 4000), old, true)
			t.restart(id, startedAt+away.Milliseconds())
			rec, boots := t.rec, t.boots
			r.after(between(f.random, 0, 3000), func() {
				if t.boots == boots {
					r.writeRecord(0, rec, false)
				}
			})
		})
	case faultGone:
		t.crash()
		r.writeRecord(between(f.random, 500, 4000), t.rec, true)
	case faultRecord:
		r.writeRecord(0, t.rec, true)
		r.after(2*f.duration, func() {
			if !t.down {
				r.writeRecord(0, t.rec.WithDraining(t.draining), false)
			}
		})
	case faultMute:
		t.muted = true
		undo(func() {
			t.muted = false
			held, boots := t.held, t.boots
			t.held = nil
			for _, do := range held {
				r.after(between(r.random, 0, 20), func() {
					if t.boots == boots {
						do()
					}
				})
			}
		})
	case faultStuck:
		t.hanging = true
		undo(func() { t.hanging = false })
	case faultSlow:
		t.speed = 4
		undo(func() { t.speed = 1 })
	case faultFailing:
		t.failing = true
		undo(func() { t.failing = false })
	case faultBusy:
		t.busy = true
		undo(func() { t.busy = false })
	case faultShrink:
		boots := t.boots
		set := func(c filbertford.Resources) {
			if t.boots != boots {
				return
			}
			t.setCapacity(c)
			r.after(between(f.random, 0, 1500), func() {
				if t.boots == boots {
					r.writeRecord(0, t.rec.WithDraining(t.draining), false)
				}
			})
		}
		set(filbertford.NewResources(1000*f.random.IntN(r.plan.slots), 1000, 0))
		r.after(between(f.random, 100, 12_000), func() { set(t.full) })
	case faultDrain:
		t.draining = true
		r.writeRecord(between(f.random, 0, 300), t.rec.WithDraining(true), false)
		undo(func() {
			r.count("drained targets that leave")
			t.crash()
			r.writeRecord(between(f.random, 0, 300), t.rec, true)
		})
	}
}
