package filbertford

import (
	"context"
	"time"
)

// Delivery is one arrival of a submission: its ID and the job it carries.
type Delivery struct {
	id  SubmissionID
	job Job
}

// NewDelivery returns a delivery of the job under the ID.
func NewDelivery(id SubmissionID, job Job) Delivery {
	return Delivery{id: id, job: job}
}

// ID returns the submission's ID.
func (d Delivery) ID() SubmissionID { return d.id }

// Job returns the job.
func (d Delivery) Job() Job { return d.job }

// Peer is another entry daemon.
type Peer interface {
	// Forward passes a delivery to the daemon at the address if it is, or is
	// the heir of, the incarnation, and returns its answer.
	Forward(ctx context.Context, address string, owner Incarnation, d Delivery) Answer
	// Cancel asks the daemon to cancel a submission of the team, any if empty,
	// and returns its answer.
	Cancel(ctx context.Context, address string, owner Incarnation, id SubmissionID, team string) Answer
	// Status asks the daemon for what it knows of a submission of the team, any
	// if empty.
	Status(ctx context.Context, address string, owner Incarnation, id SubmissionID, team string) SubmissionStatus
}

// SubmissionStatus is what an owner knows of a submission.
type SubmissionStatus struct {
	state  SubmissionState
	answer Answer
}

// SubmissionState tells how far a submission is.
type SubmissionState string

// The states of a submission.
const (
	StateRunning  SubmissionState = "running"
	StateFinished SubmissionState = "over"
	StateUnknown  SubmissionState = "unknown"
)

// NewSubmissionStatus returns a status. The answer is that of a submission that is over,
// or the reason why the state is unknown.
func NewSubmissionStatus(s SubmissionState, a Answer) SubmissionStatus {
	return SubmissionStatus{state: s, answer: a}
}

// State returns how far the submission is.
func (s SubmissionStatus) State() SubmissionState { return s.state }

// Answer returns the answer of a submission that is over, or the reason why the
// state is unknown.
func (s SubmissionStatus) Answer() Answer { return s.answer }

// Timer is a timer service that parts of a process subscribe to.
type Timer interface {
	// Now returns the present time, with a monotonic reading.
	Now() time.Time
	// Subscribe returns a channel that receives the time about every period.
	// A subscriber that is slow misses ticks. The returned function ends the
	// subscription.
	Subscribe(period time.Duration) (<-chan time.Time, func())
}
