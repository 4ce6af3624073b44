package filbertford

import "time"

// RunOutlook is the expected end of a run on a target.
type RunOutlook struct {
	demand   Resources
	end      time.Duration
	expected time.Duration
}

// NewRunOutlook returns the outlook of a run with the demand that is expected to take the
// given time and to end at end.
func NewRunOutlook(demand Resources, expected, end time.Duration) RunOutlook {
	return RunOutlook{demand: demand, expected: expected, end: end}
}

// Demand returns what the run uses.
func (r RunOutlook) Demand() Resources { return r.demand }

// End returns when the run is expected to end.
func (r RunOutlook) End() time.Duration { return r.end }

// Expected returns how long the run was expected to take when it started.
func (r RunOutlook) Expected() time.Duration { return r.expected }

// TargetOutlook is the free capacity of a target now and as its runs end.
type TargetOutlook struct {
	id     TargetID
	free   Resources
	factor float64
	runs   []RunOutlook
}

// NewTargetOutlook returns the outlook of a target. Runs there take factor times as long as
// estimated.
func NewTargetOutlook(id TargetID, free Resources, factor float64, runs ...RunOutlook) TargetOutlook {
	return TargetOutlook{id: id, free: free, factor: factor, runs: runs}
}

// ID returns the target's name.
func (t TargetOutlook) ID() TargetID { return t.id }

// Factor returns by how much runs take longer than estimated.
func (t TargetOutlook) Factor() float64 { return t.factor }

// Runs returns the runs. The caller must not change them.
func (t TargetOutlook) Runs() []RunOutlook { return t.runs }

// FreeAt returns what is expected to be free at the given time if nothing else starts.
func (t TargetOutlook) FreeAt(at time.Duration) Resources {
	free := t.free
	for _, r := range t.runs {
		if r.end <= at {
			free = free.Add(r.demand)
		}
	}
	return free
}

// AfterNextEnd returns what is expected to be free when the next run has ended.
func (t TargetOutlook) AfterNextEnd() Resources {
	var next RunOutlook
	for i, r := range t.runs {
		if i == 0 || r.end < next.end {
			next = r
		}
	}
	return t.free.Add(next.demand)
}

// LargeTask is a waiting task that fits on no target now.
type LargeTask struct {
	key      TaskKey
	demand   Resources
	estimate time.Duration
	due      time.Duration
}

// NewLargeTask returns a task with the demand and the estimated run time, which misses its
// objective if it ends after due.
func NewLargeTask(key TaskKey, demand Resources, estimate, due time.Duration) LargeTask {
	return LargeTask{key: key, demand: demand, estimate: estimate, due: due}
}

// Key returns the key of the task.
func (t LargeTask) Key() TaskKey { return t.key }

// Demand returns what the task needs.
func (t LargeTask) Demand() Resources { return t.demand }

// Estimate returns the estimated run time.
func (t LargeTask) Estimate() time.Duration { return t.estimate }

// Due returns the time after which the task misses its objective.
func (t LargeTask) Due() time.Duration { return t.due }

// Reservation keeps a target for a task from the time at which the target is expected to
// have enough free.
type Reservation struct {
	task   TaskKey
	demand Resources
	target TargetID
	made   time.Duration
	at     time.Duration
	until  time.Duration
}

// NewReservation returns a reservation of the target for the task that is made at the given
// time. The target is expected to be free at at, and the reservation is given up if it isn't
// by until.
func NewReservation(t LargeTask, target TargetID, made, at, until time.Duration) Reservation {
	return Reservation{task: t.key, demand: t.demand, target: target, made: made, at: at, until: until}
}

// Task returns the key of the task.
func (r Reservation) Task() TaskKey { return r.task }

// Target returns the reserved target.
func (r Reservation) Target() TargetID { return r.target }

// Made returns when the reservation was made.
func (r Reservation) Made() time.Duration { return r.made }

// At returns when the target is expected to have enough free.
func (r Reservation) At() time.Duration { return r.at }

// Until returns when the reservation is given up.
func (r Reservation) Until() time.Duration { return r.until }

// Spare returns what a less urgent task may use of the target beyond the start of the
// task. Parts of it are negative if the target is not expected to be free in time.
func (r Reservation) Spare(t TargetOutlook) Resources { return t.FreeAt(r.at).Sub(r.demand) }

// ReservationPlan holds the reservations of targets for large tasks. A task and a target
// have at most one each. It is not safe for concurrent use.
type ReservationPlan interface {
	// Reserve reserves one of the targets for the task, and reports whether there is one
	// that is not reserved, has enough capacity and can be expected to be free.
	Reserve(now time.Duration, t LargeTask, targets []TargetOutlook) (Reservation, bool)
	// Release ends the reservation for a task.
	Release(task TaskKey)
	// ForTask returns the reservation for the task.
	ForTask(task TaskKey) (Reservation, bool)
	// Reserved reports whether the target is reserved.
	Reserved(target TargetID) bool
	// All returns the reservations, the earliest first.
	All() []Reservation
}
