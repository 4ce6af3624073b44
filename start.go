package filbertford

import (
	"context"
	"time"
)

// StartID names one start of a task at a target. It is never used twice.
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

// ID returns the name of the start.
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

// StartOutcome tells how a start ended.
type StartOutcome string

// The outcomes of a start.
const (
	// OutcomeDone means that the task ran and gave an output.
	OutcomeDone StartOutcome = "done"
	// OutcomeTaskFailed means that the task ran and failed.
	OutcomeTaskFailed StartOutcome = "task-failed"
	// OutcomeNoSlot means that the target refused the start for want of a free
	// slot. The task did not start.
	OutcomeNoSlot StartOutcome = "no-slot"
	// OutcomeLeaving means that the target refused the start because it is
	// leaving. The task did not start.
	OutcomeLeaving StartOutcome = "leaving"
	// OutcomeNotSent means that the request never left. The task did not
	// start.
	OutcomeNotSent StartOutcome = "unreached"
	// OutcomeStopped means that the target stopped the task, because it was
	// cancelled or its lease ran out.
	OutcomeStopped StartOutcome = "stopped"
	// OutcomeUnknown means that the request may have reached the target and
	// that no valid reply came back.
	OutcomeUnknown StartOutcome = "unknown"
)

// NotStarted reports whether the outcome proves that the task did not start,
// so that it may be started elsewhere.
func (o StartOutcome) NotStarted() bool {
	return o == OutcomeNoSlot || o == OutcomeLeaving || o == OutcomeNotSent
}

// StartResult is what became of a start, with what the target told of itself.
type StartResult struct {
	outcome      StartOutcome
	output       []byte
	detail       string
	runTime      time.Duration
	freeSlots    int
	hasFreeSlots bool
}

// NewStartResult returns a report of the outcome.
func NewStartResult(o StartOutcome) StartResult { return StartResult{outcome: o} }

// WithOutput returns a copy of r with the task's output.
func (r StartResult) WithOutput(output []byte) StartResult {
	r.output = output
	return r
}

// WithDetail returns a copy of r that says what went wrong.
func (r StartResult) WithDetail(detail string) StartResult {
	r.detail = detail
	return r
}

// WithRunTime returns a copy of r with the time that the task ran at the target.
func (r StartResult) WithRunTime(d time.Duration) StartResult {
	r.runTime = d
	return r
}

// WithFreeSlots returns a copy of r with the number of slots that the target had
// free when it replied.
func (r StartResult) WithFreeSlots(n int) StartResult {
	r.freeSlots, r.hasFreeSlots = n, true
	return r
}

// Outcome returns how the start ended.
func (r StartResult) Outcome() StartOutcome { return r.outcome }

// Output returns the task's output.
func (r StartResult) Output() []byte { return r.output }

// Detail returns what went wrong, or an empty string.
func (r StartResult) Detail() string { return r.detail }

// RunTime returns how long the task ran at the target, zero if that is not known.
func (r StartResult) RunTime() time.Duration { return r.runTime }

// FreeSlots returns the number of slots that the target had free when it replied,
// and whether it told.
func (r StartResult) FreeSlots() (int, bool) { return r.freeSlots, r.hasFreeSlots }

// Starter starts tasks at targets.
type Starter interface {
	// Start sends one start to the target and waits for its end. It sends the
	// request at most once. A cancelled context ends the wait with
	// OutcomeUnknown, or OutcomeUnreached if nothing was sent.
	Start(ctx context.Context, target VM, s StartRequest) StartResult
}

// Stopper stops tasks at targets and renews their leases.
type Stopper interface {
	// Stop tells the target, in one message, to stop the tasks of the starts.
	Stop(ctx context.Context, target VM, ids []StartID) error
	// Renew prolongs the owner's lease at the target for all its tasks there.
	Renew(ctx context.Context, target VM, owner Incarnation, lease time.Duration) error
}
