package fbview

import (
	"time"

	"github.com/filbertford/filbertford"
)

// Action is what a View returns for the daemon to carry out: ReadRow,
// CommitRow, RequestPromises or Adopted.
type Action interface{ action() }

// ReadRow requests a read of the view's row. Its outcome goes to HandleRow or
// HandleReadError.
type ReadRow struct {
	// Key is the key of the row.
	Key string
	// RequestedAt is the time of the request, to be passed back with the outcome.
	RequestedAt time.Time
}

// CommitRow requests one commit of the view's row. Its outcome goes to
// HandleCommitOutcome.
type CommitRow struct {
	// Write is the change. It must be sent at most once.
	Write filbertford.Write
	// RequestedAt is the time of the request, to be passed back with the outcome.
	RequestedAt time.Time
}

// RequestPromises requests a promise from each of the members. The replies go to
// HandlePromise.
type RequestPromises struct {
	// Members are all members of the view except the daemon itself.
	Members []Member
	// Epoch is the epoch of the view.
	Epoch uint64
	// Period is the lease period of the view.
	Period time.Duration
	// RequestedAt is the time of the request, to be passed back with the replies.
	RequestedAt time.Time
}

// Adopted reports that the daemon uses another view from now on.
type Adopted struct {
	// Row is the view.
	Row Row
}

func (ReadRow) action()         {}
func (CommitRow) action()       {}
func (RequestPromises) action() {}
func (Adopted) action()         {}

// CommitOutcome is the outcome of a commit.
type CommitOutcome string

// The outcomes of a commit.
const (
	// CommitApplied means that the row holds the written value.
	CommitApplied CommitOutcome = "applied"
	// CommitConflict means that the row had already changed. Nothing was
	// written.
	CommitConflict CommitOutcome = "conflict"
	// CommitUnknown means that the write may have taken effect or may still
	// take effect.
	CommitUnknown CommitOutcome = "unknown"
)

// Promise is the reply to a member that requested a confirmation that its view
// is the newest.
type Promise struct {
	promised bool
	epoch    uint64
}

// NewPromise returns a promise, or a refusal if promised is false, by a daemon
// that uses the view of the epoch.
func NewPromise(promised bool, epoch uint64) Promise {
	return Promise{promised: promised, epoch: epoch}
}

// Promised reports whether the daemon has sent no commit of a newer view.
func (p Promise) Promised() bool { return p.promised }

// Epoch returns the epoch of the view that the daemon uses.
func (p Promise) Epoch() uint64 { return p.epoch }
