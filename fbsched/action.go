package fbsched

import (
	"time"

	"github.com/filbertford/filbertford"
)

// Action is an operation that a state machine asks its caller to carry out. It is
// one of the types in this file.
type Action interface{ action() }

// StartCall calls a target to start a run. The pool expects CallUnknown after the
// timeout, and the reply if it arrives later.
type StartCall struct {
	Request filbertford.StartRunRequest
	Timeout time.Duration
}

// StopCall calls a target to stop a run. The timeout is as in StartCall.
type StopCall struct {
	Request filbertford.StopRunRequest
	Timeout time.Duration
}

// PollCall polls a target for its lists of running and ended runs. The pool expects the
// reply or, after the timeout, CallUnknown. It numbers the polls of each target.
type PollCall struct {
	Request filbertford.PollRequest
	Number  uint64
	Timeout time.Duration
}

// SendReport sends a report to a coordinator.
type SendReport struct {
	To     filbertford.NodeID
	Report Report
}

// SendBatch sends a batch to the owner of its pool.
type SendBatch struct {
	To    filbertford.NodeID
	Batch Batch
}

// SendOffersComplete tells the owner of a pool that the coordinator has offered it all tasks of its
// best-effort jobs in the pool.
type SendOffersComplete struct {
	To    filbertford.NodeID
	Pool  filbertford.PoolID
	Fence uint64
}

// Batch returns the message to the owner: a batch without tasks.
func (s SendOffersComplete) Batch() Batch {
	return NewBatch(s.Pool, "", 0, 0, filbertford.Step{}, nil).WithFence(s.Fence)
}

// AnnounceWithdrawal tells the other daemons of the data centre, to which the caller may send the job
// again, that a job's tasks are withdrawn from a pool.
type AnnounceWithdrawal struct {
	Withdrawal Withdrawal
}

// SendWithdrawal sends a withdrawal to the owner of its pool.
type SendWithdrawal struct {
	To         filbertford.NodeID
	Withdrawal Withdrawal
}

// SendRecall sends a recall to the owner of its pool.
type SendRecall struct {
	To     filbertford.NodeID
	Recall Recall
}

// Answer answers the caller of the request with the given number.
type Answer struct {
	RequestID uint64
	Answer    filbertford.WorkloadAnswer
}

// SendConfirm sends a confirmation to the owner of its pool.
type SendConfirm struct {
	To      filbertford.NodeID
	Confirm Confirm
}

// RecordOutcome asks the shard owner to record the progress of a task of a stored job.
type RecordOutcome struct {
	Task     filbertford.TaskKey
	Progress Progress
}

// OwnerAccepted reports that the coordinator uses an owner of the pool that it had not
// accepted before, see Coordinator.SetOwner. Its stored jobs are to be resumed there.
type OwnerAccepted struct{ Pool filbertford.PoolID }

// JobStarted reports the first start of a run that the coordinator learns of for a
// stored job.
type JobStarted struct{ Job filbertford.JobKey }

// UnknownOutcome reports that a pool has reported the outcome of a task of a job that the
// coordinator doesn't have. If the job is stored and has ended, see Coordinator.HandleEnded.
type UnknownOutcome struct {
	Pool filbertford.PoolID
	Job  filbertford.JobKey
}

// PoolLost reports that a newer owner of the pool has called one of its targets.
type PoolLost struct{ Pool filbertford.PoolID }

// Event is a decision, or a change of a target's state, for logs and metrics.
type Event struct {
	Kind   EventKind
	Pool   filbertford.PoolID
	Task   filbertford.TaskKey
	Target filbertford.TargetID
	// Started is the start time of the target in Unix milliseconds, 0 if unknown.
	Started int64
	Run     uint64
	// Fence is the fencing token that the decision was taken under.
	Fence  uint64
	Reason string
	// Age is how long the run, task or state concerned has lasted, or the length of a
	// quarantine.
	Age time.Duration
	// Large states that the task of a started run needs more than half of its target.
	Large bool
	// ListsAge is the age of the target's lists that the decision is based on.
	ListsAge time.Duration
	// Admission is why a job was accepted or rejected, Priority that of its route.
	Admission filbertford.AdmissionReason
	Priority  int
}

// EventKind is the kind of an Event.
type EventKind string

// The kinds of events. The values are tags of the decisions metric.
const (
	EventRunStarted          EventKind = "start"
	EventRunEnded            EventKind = "end"
	EventTaskRequeued        EventKind = "requeue"
	EventTaskExpired         EventKind = "expired"
	EventTaskReleased        EventKind = "released"
	EventRunLost             EventKind = "lost"
	EventTargetCrashed       EventKind = "crash"
	EventTargetNotCrashed    EventKind = "silent"
	EventTaskGivenUp         EventKind = "given-up"
	EventTargetReserved      EventKind = "reserve"
	EventReservationUsed     EventKind = "reserved-start"
	EventReservationEnded    EventKind = "reservation-end"
	EventRunBackfilled       EventKind = "backfill"
	EventRunStopped          EventKind = "stop-run"
	EventRunAdopted          EventKind = "adopted"
	EventRunFound            EventKind = "found"
	EventSecondRunFound      EventKind = "second-run"
	EventStartUnanswered     EventKind = "unanswered"
	EventTargetSuspect       EventKind = "suspect"
	EventTargetQuarantined   EventKind = "quarantine"
	EventTargetTrusted       EventKind = "trusted"
	EventTargetUnreachable   EventKind = "unreachable"
	EventTargetReachable     EventKind = "reachable"
	EventTargetLeasesExpired EventKind = "lapsed"
	EventTargetAdded         EventKind = "target-new"
	EventTargetRemoved       EventKind = "target-gone"
	EventTargetDraining      EventKind = "draining"
	EventTargetSlow          EventKind = "slow"
	EventPoolFenced          EventKind = "fenced"
	EventPoolSettled         EventKind = "settled"
	EventTasksPlaced         EventKind = "placed"
	EventJobAnswered         EventKind = "answered"
	EventJobAdmitted         EventKind = "admitted"
	EventJobRejected         EventKind = "rejected"
	EventTasksRecalled       EventKind = "recalled"
	EventTaskReturned        EventKind = "returned"
	EventTasksMoved          EventKind = "moved"
	EventRecallTooLate       EventKind = "recall-late"
)

func (StartCall) action()          {}
func (StopCall) action()           {}
func (PollCall) action()           {}
func (SendReport) action()         {}
func (SendBatch) action()          {}
func (AnnounceWithdrawal) action() {}

func (SendOffersComplete) action() {}

func (SendWithdrawal) action() {}
func (SendRecall) action()     {}
func (Answer) action()         {}
func (PoolLost) action()       {}
func (SendConfirm) action()    {}
func (RecordOutcome) action()  {}
func (JobStarted) action()     {}
func (UnknownOutcome) action() {}
func (OwnerAccepted) action()  {}
func (Event) action()          {}
