package fbshard

import (
	"github.com/filbertford/filbertford"
	"github.com/filbertford/filbertford/fbsched"
)

// CallKind is the kind of a call to the store.
type CallKind string

// The calls to the store.
const (
	CallReadClaim CallKind = "read-claim"
	CallReadJobs  CallKind = "read-jobs"
	CallCommit    CallKind = "commit"
	// CallVerifyClaim reads the claim to check that this daemon still has it.
	CallVerifyClaim CallKind = "verify-claim"
)

// StoreCall requests a call to the store. Its result is passed to HandleResult.
type StoreCall struct {
	Kind        CallKind
	Transaction *filbertford.Transaction
}

// Reply is the reply to a caller's request.
type Reply struct {
	RequestID uint64
	State     State
	// Accepted reports whether a submission was stored.
	Accepted bool
}

// StartJob requests that a job is run. If MayBeRunning is set, runs that were
// started before may still be running.
type StartJob struct {
	Route        filbertford.Route
	Workload     filbertford.Workload
	Progress     func(step, index int) fbsched.Progress
	MayBeRunning bool
}

// TaskRecorded reports that the outcome of a task, or of a failed run, is stored.
type TaskRecorded struct {
	Task     filbertford.TaskKey
	Progress fbsched.Progress
}

// ShardLost reports that another daemon has claimed the shard.
type ShardLost struct {
	Fence uint64 // of the other owner
}

// RowMalformed reports that a row could not be decoded or encoded. The row of a job
// is left unchanged.
type RowMalformed struct {
	Key   string
	Cause error
}
