package filbertford

import (
	"context"
	"time"
)

// Delivery is one arrival of a submission at a daemon: the submission's ID and
// its job. A caller that resubmits causes another delivery.
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
	// Forward sends a delivery to the daemon at the address and returns its
	// answer. The daemon accepts it if its own incarnation, or one whose
	// successor it is, is the owner.
	Forward(ctx context.Context, address string, owner Incarnation, d Delivery) Answer
	// Cancel asks the daemon to cancel a submission and returns its answer. The
	// submission must be one of the team, unless the team is empty.
	Cancel(ctx context.Context, address string, owner Incarnation, id SubmissionID, team string) Answer
	// Status asks the daemon for the status of a submission. The submission must
	// be one of the team, unless the team is empty.
	Status(ctx context.Context, address string, owner Incarnation, id SubmissionID, team string) SubmissionStatus
}

// SubmissionStatus is the status of a submission at its owner.
type SubmissionStatus struct {
	state  SubmissionState
	answer Answer
}

// SubmissionState is the state of a submission at its owner.
type SubmissionState string

// The states of a submission.
const (
	StateRunning  SubmissionState = "running"
	StateFinished SubmissionState = "over"
	StateUnknown  SubmissionState = "unknown"
)

// NewSubmissionStatus returns a status. The answer is that of a finished
// submission, or the reason why the state is unknown.
func NewSubmissionStatus(s SubmissionState, a Answer) SubmissionStatus {
	return SubmissionStatus{state: s, answer: a}
}

// State returns the submission's state.
func (s SubmissionStatus) State() SubmissionState { return s.state }

// Answer returns the answer of a finished submission, or the reason why the
// state is unknown.
func (s SubmissionStatus) Answer() Answer { return s.answer }

// Timer is a source of the time and of periodic ticks.
type Timer interface {
	// Now returns the current time, with a monotonic clock reading.
	Now() time.Time
	// Subscribe returns a channel on which the current time is sent about every
	// period. Ticks are dropped if the receiver is slow. The returned function
	// ends the subscription.
	Subscribe(period time.Duration) (<-chan time.Time, func())
}
