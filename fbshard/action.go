package fbshard

import (
	"github.com/filbertford/filbertford"
	"github.com/filbertford/filbertford/fbsched"
)

// CallKind tells which call to the store a keeper wants made.
type CallKind string

// The calls to the store.
const (
	CallReadClaim CallKind = "read-claim"
	CallReadJobs  CallKind = "read-jobs"
	CallCommit    CallKind = "commit"
	// CallVerifyClaim reads the claim to see that it still is the keeper's.
	CallVerifyClaim CallKind = "verify-claim"
)

// StoreCall is a call to the store. Its result comes back to Called.
type StoreCall struct {
	Kind        CallKind
	Transaction *filbertford.Transaction
}

// Reply answers a caller's request.
type Reply struct {
	RequestID uint64
	State     State
	// Accepted reports whether a submission was stored.
	Accepted bool
}

// StartJob has a job run. One that was begun before may still run.
type StartJob struct {
	Route        filbertford.Route
	Workload     filbertford.Workload
	Progress     func(step, index int) fbsched.Progress
	MayBeRunning bool
}

// TaskRecorded tells that the end of a task is recorded.
type TaskRecorded struct {
	Task     filbertford.TaskKey
	Progress fbsched.Progress
}

// ShardLost tells that another keeper has the shard.
type ShardLost struct {
	Fence uint64 // of the other one
}

// RowMalformed tells that a row can't be read; its job is left alone.
type RowMalformed struct {
	Key   string
	Cause error
}
