package fbcore

import (
	"time"

	"github.com/filbertford/filbertford"
)

// Remote is a daemon of another data centre that can run tasks for this one.
type Remote struct {
	vm        filbertford.VM
	free      int
	roundTrip time.Duration
}

// NewRemote returns a daemon that believes to have the given number of slots
// free, a round trip away. The VM's address is that of its peer listener.
func NewRemote(vm filbertford.VM, free int, roundTrip time.Duration) Remote {
	return Remote{vm: vm, free: free, roundTrip: roundTrip}
}

// remoteTarget is a daemon of another data centre as the core sees it: a target
// without leases that the policy doesn't know.
type remoteTarget struct {
	target
	roundTrip time.Duration
}

// setRemotes takes a new list of daemons of other data centres. One that is no
// longer listed gets no new work.
func (c *Core) setRemotes(list []Remote) {
	previous := make(map[filbertford.VMID]*remoteTarget, len(c.remotes))
	for _, r := range c.remotes {
		previous[r.vm.ID()] = r
	}
	c.remotes = c.remotes[:0]
	for _, l := range list {
		r := previous[l.vm.ID()]
		if r == nil || r.vm.Address() != l.vm.Address() {
			r = &remoteTarget{target: target{starts: make(map[filbertford.StartID]*start), remote: true}}
		}
		r.vm = l.vm.WithCapacity(r.ownTasks+l.free, 0)
		r.roundTrip = l.roundTrip
		c.remotes = append(c.remotes, r)
	}
}

// spill starts the next task of a job that the policy keeps waiting in another
// data centre, if the job has waited for as many round trips as its settings
// want, and reports whether it did.
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

// remoteStart returns the action that starts a task at a remote.
func (c *Core) remoteStart(now time.Time, s *start, req filbertford.StartRequest) StartRemote {
	spec := s.job.spec
	task := filbertford.NewTask(req.Args(), spec.Tasks()[s.task].Size())
	job := filbertford.NewJob(spec.Team(), spec.Service(), task).
		WithKind(spec.Kind()).
		WithTimeout(s.job.deadline.Sub(now)).
		WithIdempotent(spec.Idempotent())
	return StartRemote{Address: s.target.vm.Address(), ID: s.id, Job: job}
}
