package filbertford

import "time"

// Rules are the settings that apply to one job, resolved from the settings tree
// for its team, service and job kind. The zero Rules limit nothing.
type Rules struct {
	maxTasks       int
	maxQueue       int
	quota          int
	burst          int
	timeout        time.Duration
	maxTimeout     time.Duration
	lease          time.Duration
	messageWeight  float64
	spill          float64
	objectiveShare float64
	objectiveTime  time.Duration
}

// WithMaxTasks returns a copy of r with the maximum number of tasks of a job.
func (r Rules) WithMaxTasks(n int) Rules {
	r.maxTasks = n
	return r
}

// WithMaxQueue returns a copy of r with the maximum number of tasks that may wait
// at a daemon.
func (r Rules) WithMaxQueue(n int) Rules {
	r.maxQueue = n
	return r
}

// WithQuota returns a copy of r with the number of tasks that the team may have
// waiting and running in a data centre, and the number by which a short burst
// may exceed it.
func (r Rules) WithQuota(quota, burst int) Rules {
	r.quota, r.burst = quota, burst
	return r
}

// WithTimeouts returns a copy of r with the timeout of a job that sets none and
// the longest timeout that a job may set.
func (r Rules) WithTimeouts(defaultTimeout, maxTimeout time.Duration) Rules {
	r.timeout, r.maxTimeout = defaultTimeout, maxTimeout
	return r
}

// WithLease returns a copy of r with the lease of a daemon's tasks at a target.
func (r Rules) WithLease(d time.Duration) Rules {
	r.lease = d
	return r
}

// WithMessageWeight returns a copy of r with the weight of wasted messages
// against response time, 0 to 1.
func (r Rules) WithMessageWeight(w float64) Rules {
	r.messageWeight = w
	return r
}

// WithSpill returns a copy of r with the wait, in round trips to another data
// centre, after which the tasks of a waiting job may start there. Zero keeps jobs
// in the data centre where they arrive.
func (r Rules) WithSpill(factor float64) Rules {
	r.spill = factor
	return r
}

// WithObjective returns a copy of r with the service-level objective: the share
// of jobs, 0 to 1, that should be answered complete within the given time. A
// share of 0 means that there is no objective.
func (r Rules) WithObjective(share float64, within time.Duration) Rules {
	r.objectiveShare, r.objectiveTime = share, within
	return r
}

// MaxTasks returns the maximum number of tasks of a job, 0 for no limit.
func (r Rules) MaxTasks() int { return r.maxTasks }

// MaxQueue returns the maximum number of tasks that may wait at a daemon, 0 for no
// limit.
func (r Rules) MaxQueue() int { return r.maxQueue }

// Quota returns how many tasks of the team may wait and run in a data centre, 0
// for no limit.
func (r Rules) Quota() int { return r.quota }

// Burst returns the number of tasks by which a team may exceed its quota for a
// short time.
func (r Rules) Burst() int { return r.burst }

// Timeout returns the timeout of a job that sets none.
func (r Rules) Timeout() time.Duration { return r.timeout }

// MaxTimeout returns the longest timeout that a job may set.
func (r Rules) MaxTimeout() time.Duration { return r.maxTimeout }

// Lease returns how long a target lets a daemon's tasks run without a renewal.
func (r Rules) Lease() time.Duration { return r.lease }

// MessageWeight returns the weight of wasted messages against response time.
func (r Rules) MessageWeight() float64 { return r.messageWeight }

// Spill returns the wait, in round trips to another data centre, after which the
// tasks of a waiting job may start there. Zero means never.
func (r Rules) Spill() float64 { return r.spill }

// Objective returns the share of jobs that should be answered complete, and the
// time within which they should be. A share of 0 means that there is no
// objective.
func (r Rules) Objective() (share float64, within time.Duration) {
	return r.objectiveShare, r.objectiveTime
}

// Settings is one version of the settings tree, as a daemon uses it.
type Settings interface {
	// Version returns the version of the tree.
	Version() uint64
	// Rules returns the rules for a job, or false if the tree has no such team,
	// service or job kind. An empty kind selects the service's default rules.
	Rules(team, service, kind string) (Rules, bool)
	// Draining reports whether operators have set the target to get no new tasks.
	Draining(target TargetID) bool
	// Authorized reports whether the caller's key is valid for the team. If the
	// tree has no key for a team, any key is valid.
	Authorized(team, key string) bool
}
