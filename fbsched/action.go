package fbsched

import (
	"time"

	"github.com/filbertford/filbertford"
)

// Action is something that a state machine wants done. It is one of the types
// of this file.
type Action interface{ action() }

// StartCall calls a target to start a run.
type StartCall struct{ Order filbertford.StartRunRequest }

// StopCall calls a target to stop a run.
type StopCall struct{ Order filbertford.StopRunRequest }

// PollCall calls a target for its lists.
type PollCall struct{ Order filbertford.PollRequest }

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

// SendWithdrawal sends a withdrawal to the owner of its pool.
type SendWithdrawal struct {
	To         filbertford.NodeID
	Withdrawal Withdrawal
}

// Answer answers the caller whose request has the number.
type Answer struct {
	Request uint64
	Answer  filbertford.WorkloadAnswer
}

// SendConfirm tells a pool's owner that the end of a task is recorded.
type SendConfirm struct {
	To      filbertford.NodeID
	Confirm Confirm
}

// RecordOutcome asks for a record of a task's end: done, or a failed run.
type RecordOutcome struct {
	Task     filbertford.TaskKey
	Done     bool
	Failures int
}

// JobEnded tells that a stored job has completed, or failed.
type JobEnded struct {
	Job  filbertford.JobKey
	Kind filbertford.AnswerKind
}

// JobStarted tells that a run of a stored job's task was begun.
type JobStarted struct{ Job filbertford.JobKey }

// PoolLost tells that a newer owner has called a target of the pool.
type PoolLost struct{ Pool filbertford.PoolID }

// Event is a decision or a change of a belief, for logs and metrics.
type Event struct {
	Kind   EventKind
	Pool   filbertford.PoolID
	Task   filbertford.TaskKey
	Target filbertford.TargetID
	Run    uint64
	Reason string
	Age    time.Duration
}

// EventKind tells what a Note is about.
type EventKind string

// The kinds of notes.
const (
	EventRunStarted          EventKind = "start"
	EventRunEnded            EventKind = "end"
	EventTaskRequeued        EventKind = "requeue"
	EventTaskExpired         EventKind = "expired"
	EventRunStopped          EventKind = "stop-run"
	EventRunAdopted          EventKind = "adopted"
	EventTargetSuspect       EventKind = "suspect"
	EventTargetQuarantined   EventKind = "quarantine"
	EventTargetTrusted       EventKind = "trusted"
	EventTargetUnreachable   EventKind = "unreachable"
	EventTargetReachable     EventKind = "reachable"
	EventTargetLeasesExpired EventKind = "lapsed"
	EventTargetAdded         EventKind = "target-new"
	EventTargetRemoved       EventKind = "target-gone"
	EventTargetDraining      EventKind = "draining"
	EventPoolFenced          EventKind = "fenced"
	EventPoolSettled         EventKind = "settled"
	EventTasksPlaced         EventKind = "placed"
	EventJobAnswered         EventKind = "answered"
)

func (StartCall) action()      {}
func (StopCall) action()       {}
func (PollCall) action()       {}
func (SendReport) action()     {}
func (SendBatch) action()      {}
func (SendWithdrawal) action() {}
func (Answer) action()         {}
func (PoolLost) action()       {}
func (SendConfirm) action()    {}
func (RecordOutcome) action()  {}
func (JobEnded) action()       {}
func (JobStarted) action()     {}
func (Event) action()          {}
