package fbcore

// Invariant names a property that must hold at all times.
type Invariant string

// The invariants that the core checks as it runs.
const (
	// InvariantStartOnce is broken when a task that may have started is about
	// to be started again.
	InvariantStartOnce Invariant = "a task is started at most once"
	// InvariantComplete is broken when a complete answer lacks a result.
	InvariantComplete Invariant = "a complete answer holds every result"
	// InvariantNotRun is broken when a job is refused as not run although one
	// of its tasks may have started.
	InvariantNotRun Invariant = "a job refused as not run started nothing"
	// InvariantOneAnswer is broken when a submission is answered twice in
	// different ways.
	InvariantOneAnswer Invariant = "a submission has one answer"
	// InvariantSlots is broken when a daemon runs more tasks at a target than
	// it has slots.
	InvariantSlots Invariant = "a target gets no more tasks than it has slots"
	// InvariantDeadline is broken when a task of a job whose deadline has passed
	// is started.
	InvariantDeadline Invariant = "a job past its deadline starts nothing"
	// InvariantStopped is broken when a drained daemon starts a task.
	InvariantStopped Invariant = "a drained daemon starts nothing"
)

// assert emits Violated if the condition does not hold.
func (c *Core) assert(holds bool, invariant Invariant) {
	if !holds {
		c.emit(Violated{Invariant: invariant})
	}
}
