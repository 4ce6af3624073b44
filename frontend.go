package filbertford

import (
	"context"
	"time"
)

// AnswerKind tells how a request about a workload was answered.
type AnswerKind string

// The kinds of answers.
const (
	// AnswerCompleted tells that all tasks are done.
	AnswerCompleted AnswerKind = "completed"
	// AnswerFailed tells that the job has failed for good.
	AnswerFailed AnswerKind = "failed"
	// AnswerNotRun tells that the job was not accepted and never runs.
	AnswerNotRun AnswerKind = "not-run"
	// AnswerUnknown tells that the job's outcome is not known.
	AnswerUnknown AnswerKind = "unknown"
	// AnswerAccepted tells that the job is stored.
	AnswerAccepted AnswerKind = "accepted"
	// AnswerState tells a stored job's state.
	AnswerState AnswerKind = "state"
	// AnswerNotFound tells that the job is not known.
	AnswerNotFound AnswerKind = "gone"
)

// WorkloadAnswer is the answer to a request about a workload.
type WorkloadAnswer struct {
	kind       AnswerKind
	retryAfter time.Duration
	reason     string
	state      string
}

// NewWorkloadAnswer returns an answer with the reason for logs.
func NewWorkloadAnswer(kind AnswerKind, reason string) WorkloadAnswer {
	return WorkloadAnswer{kind: kind, reason: reason}
}

// WithRetryAfter returns a copy of a that asks the caller to come back after
// the time.
func (a WorkloadAnswer) WithRetryAfter(d time.Duration) WorkloadAnswer {
	a.retryAfter = d
	return a
}

// WithState returns a copy of a with a stored job's state.
func (a WorkloadAnswer) WithState(state string) WorkloadAnswer {
	a.state = state
	return a
}

// State returns a stored job's state.
func (a WorkloadAnswer) State() string { return a.state }

// Kind returns the kind of the answer.
func (a WorkloadAnswer) Kind() AnswerKind { return a.kind }

// RetryAfter returns when the caller may come back.
func (a WorkloadAnswer) RetryAfter() time.Duration { return a.retryAfter }

// Reason returns a text for logs.
func (a WorkloadAnswer) Reason() string { return a.reason }

// Frontend answers the requests of callers.
type Frontend interface {
	// Routes returns the routes in force, nil if there are none yet.
	Routes() *Routes
	// Ready reports whether new connections are welcome. While they are not,
	// connections are closed after their request.
	Ready() bool
	// Stopping reports whether the daemon is about to end, so that connections
	// are to be closed after their request.
	Stopping() bool
	// Execute runs a best-effort job to its end. The job is cancelled when the
	// context ends. The patience is how long the caller waits, 0 if unknown.
	Execute(ctx context.Context, r Route, w Workload, patience time.Duration) WorkloadAnswer
	// Submit stores a job, which then runs to its end whatever happens.
	Submit(ctx context.Context, r Route, w Workload, patience time.Duration) WorkloadAnswer
	// State tells a stored job's state.
	State(ctx context.Context, r Route, key JobKey, patience time.Duration) WorkloadAnswer
	// Cancel cancels a stored job.
	Cancel(ctx context.Context, r Route, key JobKey, patience time.Duration) WorkloadAnswer
	// Waiting returns the number of stored jobs of the route of which no task has
	// begun.
	Waiting(ctx context.Context, r Route) int
}
