package filbertford

import (
	"context"
	"time"
)

// StartID names one start of a task at a target. It is never used twice.
type StartID string

// Start asks a target to run a task.
type Start struct {
	id      StartID
	owner   Incarnation
	service string
	args    []byte
	lease   time.Duration
}

// NewStart returns the request that starts a task for an owner. The target
// stops the task when the owner's lease there has not been renewed for the
// given duration.
func NewStart(id StartID, owner Incarnation, service string, args []byte, lease time.Duration) Start {
	return Start{id: id, owner: owner, service: service, args: args, lease: lease}
}

// ID returns the name of the start.
func (s Start) ID() StartID { return s.id }

// Owner returns the incarnation that the task runs for.
func (s Start) Owner() Incarnation { return s.owner }

// Service returns the service that runs the task.
func (s Start) Service() string { return s.service }

// Args returns the task's arguments. The caller must not change them.
func (s Start) Args() []byte { return s.args }

// Lease returns how long the target lets the owner's tasks run without a
// renewal.
func (s Start) Lease() time.Duration { return s.lease }

// Outcome tells how a start ended.
type Outcome string

// The outcomes of a start.
const (
	// OutcomeDone means that the task ran and gave an output.
	OutcomeDone Outcome = "done"
	// OutcomeTaskFailed means that the task ran and failed.
	OutcomeTaskFailed Outcome = "task-failed"
	// OutcomeNoSlot means that the target refused the start for want of a free
	// slot. The task did not start.
	OutcomeNoSlot Outcome = "no-slot"
	// OutcomeLeaving means that the target refused the start because it is
	// leaving. The task did not start.
	OutcomeLeaving Outcome = "leaving"
	// OutcomeUnreached means that the request never left. The task did not
	// start.
	OutcomeUnreached Outcome = "unreached"
	// OutcomeStopped means that the target stopped the task, because it was
	// cancelled or its lease ran out.
	OutcomeStopped Outcome = "stopped"
	// OutcomeUnknown means that the request may have reached the target and
	// that no valid reply came back.
	OutcomeUnknown Outcome = "unknown"
)

// NotStarted reports whether the outcome proves that the task did not start,
// so that it may be started elsewhere.
func (o Outcome) NotStarted() bool {
	return o == OutcomeNoSlot || o == OutcomeLeaving || o == OutcomeUnreached
}

// Report is what became of a start, with what the target told of itself.
type Report struct {
	outcome Outcome
	output  []byte
	detail  string
	ran     time.Duration
	free    int
	hasFree bool
}

// NewReport returns a report of the outcome.
func NewReport(o Outcome) Report { return Report{outcome: o} }

// WithOutput returns a copy of r with the task's output.
func (r Report) WithOutput(output []byte) Report {
	r.output = output
	return r
}

// WithDetail returns a copy of r that says what went wrong.
func (r Report) WithDetail(detail string) Report {
	r.detail = detail
	return r
}

// WithRan returns a copy of r with the time that the task ran at the target.
func (r Report) WithRan(d time.Duration) Report {
	r.ran = d
	return r
}

// WithFree returns a copy of r with the number of slots that the target had
// free when it replied.
func (r Report) WithFree(n int) Report {
	r.free, r.hasFree = n, true
	return r
}

// Outcome returns how the start ended.
func (r Report) Outcome() Outcome { return r.outcome }

// Output returns the task's output.
func (r Report) Output() []byte { return r.output }

// Detail returns what went wrong, or an empty string.
func (r Report) Detail() string { return r.detail }

// Ran returns how long the task ran at the target, zero if that is not known.
func (r Report) Ran() time.Duration { return r.ran }

// Free returns the number of slots that the target had free when it replied,
// and whether it told.
func (r Report) Free() (int, bool) { return r.free, r.hasFree }

// Starter starts tasks at targets.
type Starter interface {
	// Start sends one start to the target and waits for its end. It sends the
	// request at most once. A cancelled context ends the wait with
	// OutcomeUnknown, or OutcomeUnreached if nothing was sent.
	Start(ctx context.Context, target VM, s Start) Report
}

// Stopper stops tasks at targets and renews their leases.
type Stopper interface {
	// Stop tells the target, in one message, to stop the tasks of the starts.
	Stop(ctx context.Context, target VM, ids []StartID) error
	// Renew prolongs the owner's lease at the target for all its tasks there.
	Renew(ctx context.Context, target VM, owner Incarnation, lease time.Duration) error
}
