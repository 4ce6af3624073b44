package fbsched

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/filbertford/filbertford"
)

// faultReturn breaks a caller's connection. Its job comes again within milliseconds, at the same
// coordinator or at another one.
const faultReturn faultKind = "job is withdrawn and offered again"

// peerNode is the coordinator of another daemon of the data centre.
const peerNode filbertford.NodeID = "peer"

// addPeer adds the other coordinator. The requests whose answers are awaited may be at either.
func (r *overlapRun) addPeer() {
	peer := NewCoordinator(r.pools[len(r.pools)-1].id)
	r.others[peerNode] = peer
	for _, p := range r.pools {
		peer.AddPool(p.id)
		r.setOwner(peer, p, p.owner)
	}
	r.requestNodes = make(map[uint64]filbertford.NodeID)
	r.fleetAnswered = func(from filbertford.NodeID, a Answer) {
		if from == peerNode {
			r.tracef("%s: answers request %d: %s", from, a.RequestID, a.Answer.Kind())
			r.answers[a.RequestID] = a.Answer.Kind()
		}
	}
	r.announced = func(from filbertford.NodeID, w Withdrawal) {
		r.after(time.Millisecond, func() {
			if from == peerNode {
				r.atCoordinator(func() { r.coordinator.HandleWithdrawal(r.now, w) })
			} else {
				peer.HandleWithdrawal(r.now, w)
			}
		})
	}
}

// at calls do for one of the two coordinators.
func (r *overlapRun) at(node filbertford.NodeID, do func(c *Coordinator)) {
	if node == peerNode {
		do(r.others[peerNode])
		return
	}
	r.atCoordinator(func() { do(r.coordinator) })
}

// returnJob lets a caller lose its connection and send its job again at once. If there are several
// pools, the other coordinator has heard of the withdrawal by then.
func (r *overlapRun) returnJob(f fault) {
	var waiting []uint64
	for _, request := range slices.Sorted(maps.Keys(r.jobs)) {
		if r.answers[request] == "" {
			waiting = append(waiting, request)
		}
	}
	if len(waiting) == 0 {
		return
	}
	request := waiting[f.random.IntN(len(waiting))]
	job, node := r.jobs[request], r.requestNodes[request]
	r.answers[request] = filbertford.AnswerUnknown
	noticed, sent := between(f.random, 0, 4), between(f.random, 0, 8)
	if len(r.pools) > 1 {
		sent = max(sent, noticed+2*time.Millisecond)
	}
	r.after(noticed, func() {
		r.tracef("%s: request %d of job %s is cancelled", node, request, jobKey(job))
		r.at(node, func(c *Coordinator) { c.CancelRequest(r.now, request) })
	})
	next := []filbertford.NodeID{r.node, peerNode}[f.random.IntN(2)]
	r.count(fmt.Sprintf("jobs that come again, same coordinator %t", next == node))
	r.after(sent, func() { r.sendTo(next, job) })
	if f.random.IntN(2) == 0 { // the next attempt may be lost, too
		again := f
		r.after(sent+between(f.random, 1, 60), func() { r.returnJob(again) })
	}
}

// checkTracked reports runs that a pool keeps without holding other starts of their task back.
func (r *overlapRun) checkTracked() {
	for _, o := range r.simulation.owners {
		if o.stopped {
			continue
		}
		seconds := make(map[filbertford.TaskKey]int)
		for _, t := range o.pool.sortedTargets {
			for key, run := range t.runs {
				if run.second {
					seconds[key]++
				} else if o.pool.activeRuns[key] != run {
					r.violations = append(r.violations, fmt.Sprintf("%v: %s doesn't count the run %d of %s on %s", r.now, o.node, run.number, key, t.id()))
				}
			}
		}
		if !maps.Equal(seconds, o.pool.secondRuns) {
			r.violations = append(r.violations, fmt.Sprintf("%v: %s counts the second runs %v, has %v", r.now, o.node, o.pool.secondRuns, seconds))
		}
	}
	r.after(10*time.Millisecond, r.checkTracked)
}

// TestRunsDoNotOverlapWhenJobsReturn plays randomised runs in which jobs are withdrawn and offered
// again within milliseconds, by the same or another coordinator, while calls are delayed, lost or
// carried out late.
func TestRunsDoNotOverlapWhenJobsReturn(t *testing.T) {
	returns := []faultKind{faultReturn, faultReturn, faultReturn}
	with := func(kinds ...[]faultKind) []faultKind { return slices.Concat(returns, slices.Concat(kinds...)) }
	coordinators := []faultKind{faultStream, faultCoordinator, faultGiveUp}
	playScenarios(t, map[string]scenario{
		"calls and targets": {kinds: with(linkFaults, targetFaults, bootFaults, coordinators, []faultKind{faultSameID, faultReset}), peer: true, crowded: true},
		"owners":            {kinds: with(ownerFaults, linkFaults, coordinators), peer: true},
		"two pools, moves":  {kinds: with([]faultKind{faultEvacuate, faultEvacuate, faultShrink, faultReset, faultGiveUp}), peer: true, crowded: true, pools: 2, recalls: true},
		"two pools, owners": {kinds: with(ownerFaults, linkFaults), peer: true, pools: 2},
	})
}
