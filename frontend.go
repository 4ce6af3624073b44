package filbertford

import (
	"context"
	"time"
)

// AnswerKind is the kind of an answer to a request about a workload.
type AnswerKind string

// The kinds of answers.
const (
	// AnswerCompleted means that all tasks are done.
	AnswerCompleted AnswerKind = "completed"
	// AnswerFailed means that the job has failed and is not retried.
	AnswerFailed AnswerKind = "failed"
	// AnswerNotRun means that the job was rejected and will not run.
	AnswerNotRun AnswerKind = "not-run"
	// AnswerTooLarge means that the job was rejected and can never be accepted.
	AnswerTooLarge AnswerKind = "too-large"
	// AnswerUnknown means that the job's outcome is not known.
	AnswerUnknown AnswerKind = "unknown"
	// AnswerAccepted means that the job is stored.
	AnswerAccepted AnswerKind = "accepted"
	// AnswerState means that the answer holds a stored job's state.
	AnswerState AnswerKind = "state"
	// AnswerNotFound means that the job is not known.
	AnswerNotFound AnswerKind = "gone"
)

// WorkloadAnswer is the answer to a request about a workload.
type WorkloadAnswer struct {
	kind       AnswerKind
	retryAfter time.Duration
	reason     string
	state      string
}

// NewWorkloadAnswer returns an answer. The reason explains an answer that reports
// an error.
func NewWorkloadAnswer(kind AnswerKind, reason string) WorkloadAnswer {
	return WorkloadAnswer{kind: kind, reason: reason}
}

// WithRetryAfter returns a copy of a that asks the caller to retry after d.
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

// RetryAfter returns the time after which the caller may retry.
func (a WorkloadAnswer) RetryAfter() time.Duration { return a.retryAfter }

// Reason returns the reason of an answer that reports an error.
func (a WorkloadAnswer) Reason() string { return a.reason }

// Caller is the caller that waits for the answer to a request.
type Caller interface {
	// Disconnected reports whether the caller has closed its connection, at the latest when
	// the daemon has received that from the network. The context of a request ends later.
	Disconnected() bool
}

// Frontend answers the requests of callers.
type Frontend interface {
	// Routes returns the current routes, nil if none have been read yet.
	Routes() *Routes
	// RoutesMayBeOld reports whether there may be newer routes than those of Routes, so that
	// a route that they lack may exist.
	RoutesMayBeOld() bool
	// Ready reports whether the daemon accepts new connections. While it does
	// not, it closes connections after their request.
	Ready() bool
	// Stopping reports whether the daemon is shutting down, so that connections
	// must be closed after their request.
	Stopping() bool
	// Execute runs a best-effort job and returns its outcome. The job is
	// cancelled when the context ends, and not begun if the caller has left. The
	// timeout is how long the caller waits, 0 if unknown.
	Execute(ctx context.Context, c Caller, r Route, w Workload, timeout time.Duration) WorkloadAnswer
	// Submit stores a job, unless the caller has left before. From then on the job
	// runs to its end, even if the caller disconnects or the daemon stops.
	Submit(ctx context.Context, c Caller, r Route, w Workload, timeout time.Duration) WorkloadAnswer
	// State returns a stored job's state.
	State(ctx context.Context, r Route, key JobKey, timeout time.Duration) WorkloadAnswer
	// Cancel cancels a stored job.
	Cancel(ctx context.Context, r Route, key JobKey, timeout time.Duration) WorkloadAnswer
	// Waiting returns the number of stored jobs of the route none of whose tasks
	// has started. It returns false if the number isn't known, for example because the
	// owner of some of them can't be reached.
	Waiting(ctx context.Context, r Route) (int, bool)
}
