package fbview

import (
	"time"

	"github.com/filbertford/filbertford"
)

// Action is something that the daemon does on behalf of a View: ReadRow,
// CommitRow, AskPromise or Adopted.
type Action interface{ action() }

// ReadRow asks for the view's row. Its outcome goes to RowRead.
type ReadRow struct {
	// Key is the key of the row.
	Key string
	// RequestedAt is the time of the question, to be handed back with the answer.
	RequestedAt time.Time
}

// CommitRow asks for one commit of the view's row. Its outcome goes to
// CommitDone.
type CommitRow struct {
	// Write is the change. It must be sent at most once.
	Write filbertford.Write
	// RequestedAt is the time of the question, to be handed back with the answer.
	RequestedAt time.Time
}

// RequestPromises asks members for a promise each. The outcomes go to PromiseReply.
type RequestPromises struct {
	// Members are all members of the view but the daemon itself.
	Members []Member
	// Epoch is the epoch of the view.
	Epoch uint64
	// Period is the lease period that the asker counts with.
	Period time.Duration
	// RequestedAt is the time of the question, to be handed back with the answer.
	RequestedAt time.Time
}

// Adopted tells that the daemon uses another view from now on.
type Adopted struct {
	// Row is the view.
	Row Row
}

func (ReadRow) action()         {}
func (CommitRow) action()       {}
func (RequestPromises) action() {}
func (Adopted) action()         {}

// CommitOutcome tells how a commit ended.
type CommitOutcome string

// The outcomes of a commit.
const (
	// CommitApplied means that the row holds what was written.
	CommitApplied CommitOutcome = "applied"
	// CommitConflict means that the row had changed before. Nothing was
	// written.
	CommitConflict CommitOutcome = "conflict"
	// CommitUnknown means that the write may have taken effect or may still
	// take effect.
	CommitUnknown CommitOutcome = "unknown"
)

// Promise answers a member that asked whether its view is the newest.
type Promise struct {
	promised bool
	epoch    uint64
}

// NewPromise returns a promise, or a refusal, by a daemon that uses the view of
// the epoch.
func NewPromise(promised bool, epoch uint64) Promise {
	return Promise{promised: promised, epoch: epoch}
}

// Promised reports whether the daemon has sent no commit of a newer view.
func (p Promise) Promised() bool { return p.promised }

// Epoch returns the epoch of the view that the daemon uses.
func (p Promise) Epoch() uint64 { return p.epoch }
