package filbertford

import (
	"context"
	"time"
)

// StartID identifies one start of a task at a target. It is never reused.
type StartID string

// StartRequest asks a target to run a task.
type StartRequest struct {
	id      StartID
	owner   Incarnation
	service string
	args    []byte
	lease   time.Duration
}

// NewStartRequest returns the request that starts a task for an owner. The target
// stops the task when the owner's lease there has not been renewed for the
// given duration.
func NewStartRequest(id StartID, owner Incarnation, service string, args []byte, lease time.Duration) StartRequest {
	return StartRequest{id: id, owner: owner, service: service, args: args, lease: lease}
}

// ID returns the ID of the start.
func (r StartRequest) ID() StartID { return r.id }

// Owner returns the incarnation that the task runs for.
func (r StartRequest) Owner() Incarnation { return r.owner }

// Service returns the service that runs the task.
func (r StartRequest) Service() string { return r.service }

// Args returns the task's arguments. The caller must not change them.
func (r StartRequest) Args() []byte { return r.args }

// Lease returns how long the target lets the owner's tasks run without a
// renewal.
func (r StartRequest) Lease() time.Duration { return r.lease }

// StartOutcome is the outcome of a start.
type StartOutcome string

// The outcomes of a start.
const (
	// OutcomeDone means that the task ran and returned an output.
	OutcomeDone StartOutcome = "done"
	// OutcomeTaskFailed means that the task ran and failed.
	OutcomeTaskFailed StartOutcome = "task-failed"
	// OutcomeNoSlot means that the target rejected the start because it has no
	// free slot. The task did not start.
	OutcomeNoSlot StartOutcome = "no-slot"
	// OutcomeLeaving means that the target rejected the start because it is
	// shutting down. The task did not start.
	OutcomeLeaving StartOutcome = "leaving"
	// OutcomeNotSent means that the request was not sent. The task did not start.
	OutcomeNotSent StartOutcome = "unreached"
	// OutcomeStopped means that the target stopped the task, because it was
	// cancelled or its lease expired.
	OutcomeStopped StartOutcome = "stopped"
	// OutcomeUnknown means that the request may have reached the target, but no
	// valid reply was received.
	OutcomeUnknown StartOutcome = "unknown"
)

// NotStarted reports whether the outcome proves that the task did not start, so
// that it may be started at another target.
func (o StartOutcome) NotStarted() bool {
	return o == OutcomeNoSlot || o == OutcomeLeaving || o == OutcomeNotSent
}

// StartResult is the result of a start, with what the target reported about
// itself.
type StartResult struct {
	outcome      StartOutcome
	output       []byte
	detail       string
	runTime      time.Duration
	freeSlots    int
	hasFreeSlots bool
}

// NewStartResult returns a result with the outcome.
func NewStartResult(o StartOutcome) StartResult { return StartResult{outcome: o} }

// WithOutput returns a copy of r with the task's output.
func (r StartResult) WithOutput(output []byte) StartResult {
	r.output = output
	return r
}

// WithDetail returns a copy of r with a description of the error.
func (r StartResult) WithDetail(detail string) StartResult {
	r.detail = detail
	return r
}

// WithRunTime returns a copy of r with the time that the task ran at the target.
func (r StartResult) WithRunTime(d time.Duration) StartResult {
	r.runTime = d
	return r
}

// WithFreeSlots returns a copy of r with the number of free slots of the target
// when it replied.
func (r StartResult) WithFreeSlots(n int) StartResult {
	r.freeSlots, r.hasFreeSlots = n, true
	return r
}

// Outcome returns how the start ended.
func (r StartResult) Outcome() StartOutcome { return r.outcome }

// Output returns the task's output.
func (r StartResult) Output() []byte { return r.output }

// Detail returns a description of the error, or an empty string.
func (r StartResult) Detail() string { return r.detail }

// RunTime returns how long the task ran at the target, zero if that is not known.
func (r StartResult) RunTime() time.Duration { return r.runTime }

// FreeSlots returns the number of free slots of the target when it replied, and
// whether the reply had it.
func (r StartResult) FreeSlots() (int, bool) { return r.freeSlots, r.hasFreeSlots }

// Starter starts tasks at targets.
type Starter interface {
	// Start sends the request to the target, at most once, and waits for the task
	// to end. If the context is cancelled, the outcome is OutcomeUnknown, or
	// OutcomeNotSent if nothing was sent.
	Start(ctx context.Context, target VM, r StartRequest) StartResult
}

// Stopper stops tasks at targets and renews their leases.
type Stopper interface {
	// Stop asks the target, in one message, to stop the tasks of the starts.
	Stop(ctx context.Context, target VM, ids []StartID) error
	// Renew extends the owner's lease at the target, which covers all its tasks
	// there.
	Renew(ctx context.Context, target VM, owner Incarnation, lease time.Duration) error
}
