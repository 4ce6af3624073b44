package fbsched

import (
	"time"

	"github.com/filbertford/filbertford"
)

// Action is something that a state machine wants done. It is one of the types
// of this file.
type Action interface{ action() }

// StartCall calls a target to start a run.
type StartCall struct{ Order filbertford.StartOrder }

// StopCall calls a target to stop a run.
type StopCall struct{ Order filbertford.StopOrder }

// LookCall calls a target for its lists.
type LookCall struct{ Order filbertford.LookOrder }

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

// RecordEnd asks for a record of a task's end: done, or a failed run.
type RecordEnd struct {
	Task     filbertford.TaskKey
	Done     bool
	Failures int
}

// JobEnded tells that a stored job has completed, or failed.
type JobEnded struct {
	Job  filbertford.JobKey
	Kind filbertford.AnswerKind
}

// JobBegun tells that a run of a stored job's task was begun.
type JobBegun struct{ Job filbertford.JobKey }

// LosePool tells that a newer owner has called a target of the pool.
type LosePool struct{ Pool filbertford.PoolID }

// Note is a decision or a change of a belief, for logs and metrics.
type Note struct {
	Kind   NoteKind
	Pool   filbertford.PoolID
	Task   filbertford.TaskKey
	Target filbertford.TargetID
	Run    uint64
	Reason string
	Age    time.Duration
}

// NoteKind tells what a Note is about.
type NoteKind string

// The kinds of notes.
const (
	NoteStart       NoteKind = "start"
	NoteEnd         NoteKind = "end"
	NoteRequeue     NoteKind = "requeue"
	NoteExpired     NoteKind = "expired"
	NoteStopRun     NoteKind = "stop-run"
	NoteAdopted     NoteKind = "adopted"
	NoteSuspect     NoteKind = "suspect"
	NoteQuarantine  NoteKind = "quarantine"
	NoteTrusted     NoteKind = "trusted"
	NoteUnreachable NoteKind = "unreachable"
	NoteReachable   NoteKind = "reachable"
	NoteLapsed      NoteKind = "lapsed"
	NoteTargetNew   NoteKind = "target-new"
	NoteTargetGone  NoteKind = "target-gone"
	NoteDraining    NoteKind = "draining"
	NoteFenced      NoteKind = "fenced"
	NoteSettled     NoteKind = "settled"
	NotePlaced      NoteKind = "placed"
	NoteAnswered    NoteKind = "answered"
)

func (StartCall) action()      {}
func (StopCall) action()       {}
func (LookCall) action()       {}
func (SendReport) action()     {}
func (SendBatch) action()      {}
func (SendWithdrawal) action() {}
func (Answer) action()         {}
func (LosePool) action()       {}
func (SendConfirm) action()    {}
func (RecordEnd) action()      {}
func (JobEnded) action()       {}
func (JobBegun) action()       {}
func (Note) action()           {}
