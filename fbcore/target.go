package fbcore

import (
	"time"

	"github.com/filbertford/filbertford"
)

// target is the core's state of a target.
type target struct {
	vm                 filbertford.VM
	listed             bool
	leaving            bool // the target replied that it is leaving
	ownTasks           int
	otherTasks         int       // slots that other daemons used at the time of the last reply
	lastReply          time.Time // time of the last reply with a number of free slots
	starts             map[filbertford.StartID]*start
	leaseRequestedAt   time.Time // when the current lease was requested
	renewalRequestedAt time.Time // when a renewal was last requested
	pendingStops       []filbertford.StartID
	remote             bool // a daemon of another data centre
}

// start is one start of a task that has not ended.
type start struct {
	id        filbertford.StartID
	job       *job
	task      int
	target    *target
	startedAt time.Time
	lease     time.Duration
}

// eligible reports whether the target may get new work of the service. An empty
// service stands for any.
func (t *target) eligible(service string) bool {
	return t.listed && !t.leaving && t.vm.State() == filbertford.VMLive && (service == "" || t.vm.Serves(service))
}

// free returns the estimated number of free slots: the number in the target's last
// reply, less this daemon's starts since then.
func (t *target) free() int { return t.vm.Slots() - t.ownTasks - t.otherTasks }

// recordFreeSlots records the number of free slots in a reply of the target.
func (t *target) recordFreeSlots(now time.Time, free int) {
	t.otherTasks = max(0, t.vm.Slots()-free-t.ownTasks)
	t.lastReply = now
}

// candidate returns the target as the policy sees it.
func (t *target) candidate() filbertford.Candidate {
	id := filbertford.TargetID(t.vm.ID())
	return filbertford.NewCandidate(id, t.vm.Slots(), t.ownTasks, t.free()).WithLastReply(t.lastReply)
}

// setTargets sets the list of targets. A target that is not in the list is kept
// while it has starts that have not ended.
func (c *Core) setTargets(vms []filbertford.VM) {
	for _, t := range c.targets {
		t.listed = false
	}
	for _, vm := range vms {
		id := filbertford.TargetID(vm.ID())
		t := c.targets[id]
		if t == nil {
			t = &target{starts: make(map[filbertford.StartID]*start)}
			c.targets[id] = t
			c.targetIDs = append(c.targetIDs, id)
		}
		if t.vm.Address() != vm.Address() {
			t.leaving = false
		}
		t.vm, t.listed = vm, true
	}
	c.dropUnlisted()
	c.rebuildPools()
}

func (c *Core) dropUnlisted() {
	ids := c.targetIDs[:0]
	for _, id := range c.targetIDs {
		t := c.targets[id]
		if !t.listed && len(t.starts) == 0 {
			delete(c.targets, id)
			continue
		}
		ids = append(ids, id)
	}
	c.targetIDs = ids
}

// Times of lease renewal, as divisors of the lease.
const (
	// renewDivisor gives the age at which a lease is renewed: half of it.
	renewDivisor = 2
	// renewRetryDivisor gives the time after which a renewal without a reply is
	// sent again: a sixth of the lease.
	renewRetryDivisor = 6
)

// renewLeases renews the leases of which half has passed and ends the starts under
// leases that have expired.
func (c *Core) renewLeases(now time.Time) {
	for _, id := range c.targetIDs {
		t := c.targets[id]
		lease := t.minLease()
		if lease == 0 {
			continue
		}
		if now.Sub(t.leaseRequestedAt) >= lease {
			c.expireLease(now, t)
			continue
		}
		if now.Sub(t.leaseRequestedAt) >= lease/renewDivisor && now.Sub(t.renewalRequestedAt) >= lease/renewRetryDivisor {
			t.renewalRequestedAt = now
			c.emit(RenewLease{Target: t.vm, Lease: lease})
		}
	}
}

// minLease returns the shortest lease of the target's starts, 0 if it has none.
func (t *target) minLease() time.Duration {
	var lease time.Duration
	for _, s := range t.starts {
		if lease == 0 || s.lease < lease {
			lease = s.lease
		}
	}
	return lease
}

// expireLease ends the starts at a target whose lease has expired. The target has
// stopped them or is about to, so their outcome is unknown.
func (c *Core) expireLease(now time.Time, t *target) {
	result := filbertford.NewStartResult(filbertford.OutcomeUnknown).WithDetail("the lease lapsed")
	for _, s := range sortedStarts(t.starts) {
		c.startEnded(now, s.id, result)
	}
}
