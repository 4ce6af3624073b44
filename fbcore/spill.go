package fbcore

import (
	"time"

	"github.com/filbertford/filbertford"
)

// Remote is a daemon of another data centre that can run tasks for this daemon.
type Remote struct {
	vm        filbertford.VM
	free      int
	roundTrip time.Duration
}

// NewRemote returns a daemon with the estimated number of its free slots and the round
// trip time to it. The VM's address is that of the daemon's peer listener.
func NewRemote(vm filbertford.VM, free int, roundTrip time.Duration) Remote {
	return Remote{vm: vm, free: free, roundTrip: roundTrip}
}

// remoteTarget is a daemon of another data centre as a target for tasks. It has no
// leases and is unknown to the policy.
type remoteTarget struct {
	target
	roundTrip time.Duration
}

// setRemotes sets the list of daemons of other data centres. One that is not in
// the list gets no new work.
func (c *Core) setRemotes(list []Remote) {
	previous := make(map[filbertford.VMID]*remoteTarget, len(c.remotes))
	for _, r := range c.remotes {
		previous[r.vm.ID()] = r
	}
	c.remotes = c.remotes[:0]
	for _, listed := range list {
		r := previous[listed.vm.ID()]
		if r == nil || r.vm.Address() != listed.vm.Address() {
			r = &remoteTarget{target: target{starts: make(map[filbertford.StartID]*start), remote: true}}
		}
		r.vm = listed.vm.WithCapacity(r.ownTasks+listed.free, 0)
		r.roundTrip = listed.roundTrip
		c.remotes = append(c.remotes, r)
	}
}

// spill starts the next task of a job in another data centre if the job has waited
// for as many round trips as its settings demand, and reports whether it did. It
// is called for a job for which the policy finds no target.
func (c *Core) spill(now time.Time, j *job) bool {
	factor := j.rules.Spill()
	if factor <= 0 {
		return false
	}
	waited := now.Sub(j.arrivedAt)
	var best *remoteTarget
	for _, r := range c.remotes {
		if r.free() <= 0 || float64(waited) < factor*float64(r.roundTrip) {
			continue
		}
		if best == nil || r.free() > best.free() {
			best = r
		}
	}
	if best == nil {
		return false
	}
	c.startTask(now, j, &best.target)
	return true
}

// remoteStart returns the action that starts a task at a daemon of another data
// centre.
func (c *Core) remoteStart(now time.Time, s *start, req filbertford.StartRequest) StartRemote {
	spec := s.job.spec
	task := filbertford.NewTask(req.Args(), spec.Tasks()[s.task].Size())
	job := filbertford.NewJob(spec.Team(), spec.Service(), task).
		WithKind(spec.Kind()).
		WithTimeout(s.job.deadline.Sub(now)).
		WithIdempotent(spec.Idempotent())
	return StartRemote{Address: s.target.vm.Address(), ID: s.id, Job: job}
}
