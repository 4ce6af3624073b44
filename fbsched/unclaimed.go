package fbsched

import (
	"time"

	"github.com/filbertford/filbertford"
)

// A new owner finds runs without knowing whether their coordinators still exist. If each owner
// extended their leases, runs whose callers have lost them could go on for as long as owners
// follow each other. So a lease is extended only for a coordinator that has offered the task to this
// owner: until all runs of best-effort jobs that it has found are claimed or have ended, a
// target's lease is that of earlier owners.

// AwaitOffers sets the coordinators that may exist when the pool gets its owner, with that of the owner
// itself. Once all of them have offered their tasks, an unclaimed run is stopped at
// once, so that it delays the leases of others on its target as little as possible.
func (p *Pool) AwaitOffers(nodes []filbertford.NodeID) {
	p.awaitedOffers = make(map[filbertford.NodeID]bool, len(nodes))
	for _, node := range nodes {
		p.awaitedOffers[node] = true
	}
}

// offersComplete records that a coordinator has offered this owner all tasks of its best-effort jobs in
// the pool.
func (p *Pool) offersComplete(now time.Duration, from filbertford.NodeID) {
	delete(p.awaitedOffers, from)
	if !p.allOffered() {
		return
	}
	for _, t := range p.sortedTargets {
		p.stopUnclaimedRuns(now, t)
	}
}

// allOffered reports whether all coordinators that may exist and are not lost have offered their tasks of
// best-effort jobs.
func (p *Pool) allOffered() bool { return p.awaitedOffers != nil && len(p.awaitedOffers) == 0 }

// stopUnclaimedRuns stops the runs that no coordinator has claimed. Stored jobs may be offered later
// than others: their coordinators read them first.
func (p *Pool) stopUnclaimedRuns(now time.Duration, t *target) {
	timedOut := t.listed && now-t.listedAt >= adoptionTimeout
	if !timedOut && !p.allOffered() {
		return
	}
	for _, r := range sortedRuns(t.runs) {
		if r.task == nil && !r.stopWanted && (timedOut || !isStoredRun(r.number)) {
			p.stopRun(now, r, "run is unclaimed")
		}
	}
}

// limitUnclaimed limits the lease of a run that was found and has no task yet.
func (r *run) limitUnclaimed(now time.Duration) {
	if isStoredRun(r.number) {
		r.endBy(now + adoptionTimeout + unclaimedMargin)
		return
	}
	r.endBy(now)
}

// renewLease polls a target whose last poll extended no lease, if that is possible now.
func (p *Pool) renewLease(now time.Duration, t *target) {
	if t.polling && t.pollUnleased && p.grantsLease(now, t) {
		t.polling = false
		p.poll(now, t)
	}
}
