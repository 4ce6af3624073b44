package fbsched

import (
	"time"

	"github.com/filbertford/filbertford"
)

// CoordinatorUnreachable drops the tasks of best-effort jobs of a coordinator that can't
// be reached. Tasks of stored jobs keep running for coordinatorTimeout, but no more of
// them are started.
func (p *Pool) CoordinatorUnreachable(now time.Duration, node filbertford.NodeID) {
	for _, t := range p.tasks {
		if t.coordinator == node && t.batch.stored && t.coordinatorUnreachableAt == 0 {
			t.coordinatorUnreachableAt = now
		}
		if limit, limited := p.silenceLimit(t); limited && t.coordinator == node && t.run != nil {
			t.run.endBy(limit)
		}
	}
	delete(p.heardAt, node)
	delete(p.awaitedOffers, node)
	p.dropTasks(now, func(t *task) bool { return t.coordinator == node && t.coordinatorUnreachableAt == 0 }, "coordinator unreachable")
	p.dispatchDue = true
}

// CoordinatorConnected handles a new connection of a coordinator, which offers its tasks of
// best-effort jobs again. The others are dropped after reofferTimeout: a withdrawal may have
// been lost with the earlier connection, as early as after its last message. Runs end silentLease
// after that message, as if the coordinator had not connected again.
func (p *Pool) CoordinatorConnected(now time.Duration, node filbertford.NodeID) {
	if p.awaitedOffers != nil {
		p.awaitedOffers[node] = true
	}
	for _, t := range p.tasks {
		if t.coordinator != node || t.batch.stored || t.reofferBy != 0 {
			continue
		}
		t.reofferBy = now + reofferTimeout
		if t.run == nil && !t.resume {
			continue // no run of it may be found
		}
		if silent, limited := p.silenceLimit(t); limited {
			t.reofferBy = min(t.reofferBy, silent-stopTimeout)
		}
		t.limitRun()
	}
}

// limitRun limits the lease of the task's run, if it has one, while its coordinator has yet to offer the
// task again.
func (t *task) limitRun() {
	if t.run != nil && t.reofferBy != 0 {
		t.run.endBy(t.reofferBy + stopTimeout)
	}
}
