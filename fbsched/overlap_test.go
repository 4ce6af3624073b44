package fbsched

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/filbertford/filbertford"
)

// The kinds of disturbances.
const (
	faultKill            faultKind = "owner is killed"
	faultPause           faultKind = "owner is paused"
	faultTakeOver        faultKind = "owner is replaced while it runs"
	faultPartition       faultKind = "owner is cut off from the daemons"
	faultCut             faultKind = "link to a target is cut"
	faultCutRequests     faultKind = "requests to a target are lost"
	faultCutReplies      faultKind = "replies of a target are lost"
	faultStream          faultKind = "coordinator's stream breaks"
	faultCoordinator     faultKind = "coordinator is paused"
	faultCoordinatorLost faultKind = "coordinator is replaced"
	faultSameID          faultKind = "target starts again under its ID"
	faultOtherID         faultKind = "target starts again under another ID"
	faultGone            faultKind = "target crashes"
	faultRecord          faultKind = "record is removed and written again"
	faultMute            faultKind = "target hangs"
	faultStuck           faultKind = "runs make no progress"
	faultSlow            faultKind = "target is slow"
	faultFailing         faultKind = "runs fail"
	faultBusy            faultKind = "target rejects starts"
	faultDrain           faultKind = "target drains"
	faultShrink          faultKind = "target's capacity shrinks and grows"
	faultBroken          faultKind = "caller's channel breaks"
	faultUnnoticed       faultKind = "caller's channel breaks and the coordinator doesn't notice"
	faultGiveUp          faultKind = "caller gives up"
)

// overlapRun carries out a plan.
type overlapRun struct {
	*simulation
	storedRun
	plan         overlapPlan
	random       *rand.Rand
	downRandom   *rand.Rand // draws what happens to calls to targets that are down
	counts       map[string]int
	pools        []*overlapPool
	ownerCount   int // of all pools so far
	coordinators int // that have replaced others
	links        map[linkKey]*linkState
	table        []recordChange
	jobs         map[uint64]int // by request
	request      uint64
	connections  connectionFaults
	requestNodes map[uint64]filbertford.NodeID // coordinators of the requests, with a peer
}

// overlapPool is a pool with its newest owner.
type overlapPool struct {
	id    filbertford.PoolID
	owner *fakeOwner
	fence uint64
	hosts []string // of its targets
	// evacuations is the number of evacuations in force.
	evacuations int
}

// linkKey is a link between an owner and a target.
type linkKey struct {
	node filbertford.NodeID // empty for all
	host string
}

// linkState counts the cuts of a link.
type linkState struct{ requests, replies int }

// Delays of a daemon's cache.
const (
	cacheRemovalDelay   = 2500 * time.Millisecond
	cacheDepartureLimit = 20 * time.Second
)

func (r *overlapRun) count(what string) { r.counts[what]++ }

// nextNode returns the name of the next owner of any pool.
func (r *overlapRun) nextNode() filbertford.NodeID {
	return filbertford.NodeID(fmt.Sprintf("n%d", r.ownerCount+1))
}

// newOwner adds an owner of a pool. Its view of the records is as old as given.
func (r *overlapRun) newOwner(p *overlapPool, random *rand.Rand, stale time.Duration) *fakeOwner {
	c := &recordCache{
		records:   make(map[filbertford.TargetID]filbertford.TargetRecord),
		removedAt: make(map[filbertford.TargetID]time.Duration),
		departed:  make(map[filbertford.TargetID]departedRecord),
	}
	for _, change := range r.table {
		if at := change.at + stale; at <= r.now || change.at == 0 {
			c.prune(at)
			c.read(min(at, r.now), r.table, change.at)
		}
	}
	c.prune(r.now)
	o := &fakeOwner{node: r.nextNode(), wallOffset: testWallOffset + between(random, -1000, 1000).Milliseconds()}
	r.ownerCount++
	p.fence++
	o.pool = NewPool(p.id, p.fence, o.wallOffset, r.now)
	r.tracef("%s: owns the pool %s with fence %d", o.node, p.id, p.fence)
	r.evacuateNewOwner(p, o)
	nextRead := r.now + between(random, 0, 600)
	if stale > 2*time.Second {
		r.count("owners with old records")
		o.pool.HoldStarts(r.now + 300*time.Millisecond)
	}
	var departed []filbertford.TargetRecord
	for _, id := range slices.Sorted(maps.Keys(c.departed)) {
		departed = append(departed, c.departed[id].rec)
	}
	if len(departed) > 0 {
		r.count("owners with departed targets")
	}
	o.pool.SetDeparted(departed)
	o.pool.SetTargets(r.now, c.list(p.id))
	o.beforeTick = func() {
		changed := c.prune(r.now)
		if r.now >= nextRead {
			nextRead = r.now + between(r.random, 100, 700)
			changed = c.read(r.now, r.table, r.now) || changed
			o.pool.ReleaseStarts()
		}
		if changed {
			o.pool.SetTargets(r.now, c.list(p.id))
		}
	}
	r.simulation.owners = append(r.simulation.owners, o)
	r.scheduleTick(o)
	return o
}

// announce sets the owner of a pool at the coordinator.
func (r *overlapRun) announce(p *overlapPool, o *fakeOwner) {
	r.atCoordinator(func() {
		if p.owner != o && o != nil {
			return
		}
		r.setOwner(r.coordinator, p, o)
		if o != nil && r.plan.scenario.stored {
			r.coordinator.ResumeStored(r.now, p.id)
		}
	})
	for _, node := range slices.Sorted(maps.Keys(r.others)) {
		r.setOwner(r.others[node], p, o)
	}
}

func (r *overlapRun) setOwner(c *Coordinator, p *overlapPool, o *fakeOwner) {
	if o == nil {
		c.SetOwner(r.now, p.id, "", 0)
	} else {
		c.SetOwner(r.now, p.id, o.node, o.pool.Fence())
	}
}

// replace lets another daemon claim the pool of an owner.
func (r *overlapRun) replace(f fault, p *overlapPool, lost *fakeOwner) {
	r.after(between(f.random, 0, 500), func() {
		if p.owner != lost {
			return // it has been replaced already
		}
		stale := []time.Duration{0, between(f.random, 0, 2000), between(f.random, 2000, 12_000)}[f.random.IntN(3)]
		p.owner = r.newOwner(p, f.random, stale)
		r.count("takeovers")
		next := p.owner
		r.after(between(f.random, 0, 200), func() { r.announce(p, next) })
	})
}

// lose reports the loss of an owner to the coordinator.
func (r *overlapRun) lose(p *overlapPool, o *fakeOwner) {
	if p.owner == o {
		r.tracef("coordinator: %s is lost", o.node)
		r.announce(p, nil)
	}
}

// draw draws how a call is delivered.
func (r *overlapRun) draw() delivery {
	r.count("calls")
	delay := func(limit time.Duration) time.Duration {
		return time.Millisecond + time.Duration(r.random.Int64N(int64(limit)))
	}
	d := delivery{requestDelay: delay(5 * time.Millisecond), replyDelay: delay(5 * time.Millisecond), resetIfDown: r.downRandom.IntN(2) == 0}
	switch luck := r.random.IntN(100); {
	case luck < r.plan.latePercent:
		r.count("calls carried out late")
		d.lost, d.lateAfter = true, between(r.random, int(r.plan.earliestLate.Milliseconds()), 12_000)
		if r.plan.earliestLate < time.Second && r.random.IntN(2) == 0 {
			d.lateAfter /= 8
		}
		if r.random.IntN(100) < r.plan.resetPercent {
			r.count("calls that are reset")
			d.resetAfter = delay(20 * time.Millisecond)
		}
	case luck < r.plan.latePercent+r.plan.slowPercent:
		r.count("slow calls")
		d.requestDelay, d.replyDelay = delay(r.plan.maxDelay), delay(r.plan.maxDelay)
	}
	return d
}

// newRun prepares a run of the plan.
func (p overlapPlan) newRun(counts map[string]int, trace func(string, ...any)) *overlapRun {
	r := &overlapRun{
		simulation: newSimulation(p.targets, p.slots), plan: p, random: rand.New(rand.NewPCG(p.seed, 1)), counts: counts,
		downRandom: rand.New(rand.NewPCG(p.seed, 5)),
		links:      make(map[linkKey]*linkState), jobs: make(map[uint64]int),
	}
	r.connections.random, r.breaks, r.writesLate = rand.New(rand.NewPCG(p.seed, 6)), r.breakConnection, r.writeLate
	r.trace, r.unguarded, r.keepLateCalls, r.answered = trace, p.scenario.unguarded, p.scenario.keepLateCalls, r.handleAnswer
	for i := range p.pools {
		id := testPool
		if i > 0 {
			id = filbertford.PoolID(fmt.Sprintf("%s-%d", testPool, i))
		}
		r.pools = append(r.pools, &overlapPool{id: id})
		r.coordinator.AddPool(id)
	}
	for i, id := range slices.Sorted(maps.Keys(r.targets)) {
		t, pool := r.targets[id], r.pools[i%p.pools]
		t.clockOffset = between(r.random, 1, 1_000_000)
		t.clockRate = 1 + float64(r.random.IntN(2*p.drift+1)-p.drift)/1000
		t.stopTime = p.stopTime
		t.rec = filbertford.NewTargetRecord(t.rec.Instance(), "ordering", t.rec.Address(), filbertford.DataCentre(pool.id), t.rec.Capacity(), "a", "r1")
		pool.hosts = append(pool.hosts, string(id))
		r.table = append(r.table, recordChange{id: id, rec: t.rec})
	}
	r.linkDown = r.checkLink
	if p.scenario.recalls {
		setTestBalancer(r.coordinator, p.seed)
		r.scheduleRecall(rand.New(rand.NewPCG(p.seed, 4)))
	}
	return r
}

// checkLink reports whether requests to, or replies from, a target are lost.
func (r *overlapRun) checkLink(o *fakeOwner, address string) (request, reply bool) {
	host, _, _ := strings.Cut(address, ":")
	for _, key := range []linkKey{{o.node, host}, {"", host}} {
		if link := r.links[key]; link != nil {
			request, reply = request || link.requests > 0, reply || link.replies > 0
		}
	}
	if request || reply {
		r.count("calls over cut links")
	}
	return request, reply
}

// run carries out the plan and returns the broken rules.
func (p overlapPlan) run(counts map[string]int, trace func(string, ...any)) []string {
	r := p.newRun(counts, trace)
	for _, pool := range r.pools {
		pool.owner = r.newOwner(pool, r.random, 0)
	}
	r.flush()
	r.advance(100 * time.Millisecond)
	for _, pool := range r.pools {
		r.announce(pool, pool.owner)
	}
	r.flush()
	r.delivery = r.draw
	if p.scenario.peer {
		r.addPeer()
		r.checkTracked()
	}
	if p.prepare != nil {
		p.prepare(r)
	}
	for i, j := range p.jobs {
		r.after(j.at, func() { r.send(i) })
	}
	for _, f := range p.faults {
		f.random = rand.New(rand.NewPCG(f.seed, 3))
		r.after(f.at, func() { r.inject(f) })
	}
	r.advance(24 * time.Second)
	violations := r.check()
	if p.finish != nil {
		r.calmDown()
		for end := r.now + time.Minute; r.now < end && r.coordinator.Jobs() > 0; {
			r.advance(2 * time.Second)
		}
		violations = append(violations, p.finish(r)...)
	}
	return violations
}

// check returns the broken rules, and counts what has happened.
func (r *overlapRun) check() []string {
	violations := r.violations
	rejected := make(map[int]bool)
	for _, request := range slices.Sorted(maps.Keys(r.jobs)) {
		r.count("answers " + string(r.answers[request]))
		job := r.jobs[request]
		last, ok := rejected[job]
		rejected[job] = (last || !ok) && r.answers[request] == filbertford.AnswerNotRun
	}
	for _, job := range slices.Sorted(maps.Keys(rejected)) {
		if rejected[job] && r.jobStarted[jobKey(job)] {
			violations = append(violations, fmt.Sprintf("job %s was answered as not run, but a task was started", jobKey(job)))
		}
	}
	r.counts["starts"] += r.starts
	for _, p := range r.pools {
		if n := len(p.owner.pool.tasks) + len(p.owner.pool.activeRuns); n > 0 && !p.owner.stopped {
			r.count("pools with tasks or runs at the end")
		}
		for _, t := range p.owner.pool.sortedTargets {
			if t.used != (filbertford.Resources{}) && len(t.runs) == 0 {
				r.count("targets with capacity in use by no run at the end")
			}
		}
	}
	for _, e := range r.poolEvents {
		r.count("event " + string(e.Kind) + " " + eventReason(e))
	}
	return violations
}

// eventReason returns the reason of events whose reasons are few.
func eventReason(e Event) string {
	switch e.Kind {
	case EventRunEnded, EventTaskRequeued, EventRunStopped:
		return e.Reason
	}
	return ""
}

func jobKey(job int) filbertford.JobKey { return filbertford.JobKey(fmt.Sprintf("%016x", job)) }

// send sends a job to the coordinator.
func (r *overlapRun) send(job int) { r.sendTo(r.node, job) }

// sendTo sends a job to the coordinator or its peer.
func (r *overlapRun) sendTo(node filbertford.NodeID, job int) {
	r.request++
	request, j, key := r.request, r.plan.jobs[job], jobKey(job)
	r.jobs[request] = job
	r.works[key] = j.work
	step := filbertford.NewStep(j.tasks, filbertford.NewResources(1000, 1, 0), j.work)
	workload := filbertford.NewWorkload(key, "spec", step).WithBestEffort(true)
	route := filbertford.NewRoute("host", "/jobs/", "ordering").WithPolicy(0, 3).WithObjective(1.6, 60*time.Millisecond, 0)
	if r.plan.scenario.stored {
		r.atCoordinator(func() { r.submitStored(key, workload, route) })
		return
	}
	if r.plan.scenario.peer {
		r.requestNodes[request] = node
	}
	r.at(node, func(c *Coordinator) {
		r.tracef("%s: request %d of job %s", node, request, key)
		c.Submit(r.now, request, route, workload, j.timeout)
	})
}

// retransmitDelay is the time after which a caller without a definite answer sends its job
// again.
const retransmitDelay = 1300 * time.Millisecond

func (r *overlapRun) sendAgain(job int) {
	if r.plan.scenario.resend && r.now < time.Minute+15*time.Second {
		delay := retransmitDelay
		if r.plan.scenario.resendAtOnce {
			delay = between(r.random, 0, 20)
		}
		r.after(delay, func() {
			r.count("jobs that are sent again")
			r.send(job)
		})
	}
}

// handleAnswer lets the caller of a job without a definite answer send it again.
func (r *overlapRun) handleAnswer(request uint64, kind filbertford.AnswerKind) {
	if kind == filbertford.AnswerUnknown {
		r.sendAgain(r.jobs[request])
	}
}

// The kinds of faults by what they concern.
var (
	ownerFaults       = []faultKind{faultKill, faultPause, faultTakeOver, faultPartition}
	linkFaults        = []faultKind{faultCut, faultCutRequests, faultCutReplies}
	coordinatorFaults = []faultKind{faultStream, faultCoordinator, faultGiveUp, faultBroken}
	targetFaults      = []faultKind{faultMute, faultStuck, faultSlow, faultFailing, faultBusy, faultDrain, faultShrink}
	bootFaults        = []faultKind{faultOtherID, faultGone, faultRecord}
	restartFaults     = []faultKind{faultSameID, faultSameID, faultSameID, faultGiveUp, faultBroken, faultRecord, faultBusy, faultStuck}
)

// TestRunsDoNotOverlapUnderFaults plays randomised runs. No task may have two runs at a time,
// and no job whose task was started may be answered as not run.
func TestRunsDoNotOverlapUnderFaults(t *testing.T) {
	all := slices.Concat(ownerFaults, linkFaults, coordinatorFaults, targetFaults, bootFaults)
	tests := map[string]scenario{
		"owners":                       {kinds: ownerFaults},
		"owners and links":             {kinds: slices.Concat(ownerFaults, linkFaults)},
		"coordinator":                  {kinds: slices.Concat(ownerFaults, coordinatorFaults)},
		"targets":                      {kinds: slices.Concat(ownerFaults, targetFaults)},
		"other IDs":                    {kinds: slices.Concat(ownerFaults, bootFaults)},
		"same ID":                      {kinds: []faultKind{faultSameID}},
		"same ID under load":           {kinds: restartFaults, crowded: true},
		"same ID, several owners":      {kinds: slices.Concat(restartFaults, ownerFaults, linkFaults), crowded: true},
		"same ID and late calls":       {kinds: []faultKind{faultSameID}, keepLateCalls: true},
		"all and the same ID":          {kinds: slices.Concat(all, []faultKind{faultSameID})},
		"all but the same ID":          {kinds: all},
		"jobs sent again":              {kinds: all, resend: true},
		"jobs sent again, two pools":   {kinds: all, resend: true, pools: 2},
		"jobs sent again at once":      {kinds: []faultKind{faultBroken}, resend: true, resendAtOnce: true, pools: 2},
		"unguarded targets":            {kinds: slices.Concat(linkFaults, targetFaults), unguarded: true},
		"unguarded, owners":            {kinds: all, unguarded: true},
		"unguarded, capacity":          {kinds: []faultKind{faultShrink, faultStuck, faultGiveUp, faultTakeOver, faultCutReplies}, unguarded: true, long: true},
		"channels break unnoticed":     {kinds: []faultKind{faultUnnoticed}, resend: true},
		"unnoticed, two pools":         {kinds: []faultKind{faultUnnoticed}, resend: true, pools: 2},
		"evacuations":                  {kinds: []faultKind{faultEvacuate, faultStream, faultTakeOver}},
		"evacuations, two pools":       {kinds: slices.Concat(ownerFaults, linkFaults, coordinatorFaults, targetFaults, []faultKind{faultEvacuate, faultEvacuate, faultEvacuate}), pools: 2},
		"coordinators lost":            {kinds: slices.Concat(all, []faultKind{faultCoordinatorLost}), resend: true},
		"recalls, two pools":           {kinds: all, resend: true, pools: 2, recalls: true},
		"recalls, coordinators lost":   {kinds: slices.Concat(all, []faultKind{faultCoordinatorLost}), resend: true, pools: 2, recalls: true},
		"coordinators lost, two pools": {kinds: slices.Concat(all, []faultKind{faultCoordinatorLost}), resend: true, pools: 2},
	}
	playScenarios(t, tests)
}
