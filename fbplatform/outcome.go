package fbplatform

import (
	"bytes"
	"context"

	"github.com/filbertford/filbertford"
)

// CommitOutcome is the outcome of a commit whose reply was not received.
type CommitOutcome string

// The outcomes of a commit.
const (
	// CommitApplied means that the commit was applied.
	CommitApplied CommitOutcome = "applied"
	// CommitSuperseded means that another commit was applied first. This one was not
	// applied and never will be.
	CommitSuperseded CommitOutcome = "lost"
	// CommitPending means that the commit has not been applied but may still be. The
	// same writes may be committed again: because of the versions that they check,
	// at most one of the attempts succeeds.
	CommitPending CommitOutcome = "open"
	// CommitUnknown means that the rows have been written again, so that they don't
	// show whether the commit was applied.
	CommitUnknown CommitOutcome = "unknown"
)

// ResolveCommit reads the rows of a commit that returned filbertford.ErrUnavailable
// and returns the commit's outcome. It is also needed if a second attempt returned
// ErrConflict, since the first may have been applied. Each value must be one that no
// other writer writes at that version, for instance because it contains an ID.
func ResolveCommit(ctx context.Context, t filbertford.Table, writes ...filbertford.Write) (CommitOutcome, error) {
	keys := make([]string, 0, len(writes))
	for _, w := range writes {
		keys = append(keys, w.Key())
	}
	rows, err := t.Read(ctx, keys...)
	if err != nil {
		return CommitUnknown, err
	}
	// The commit is atomic, so one row with a known outcome decides for all.
	outcome := CommitPending
	for i, w := range writes {
		switch s := rowOutcome(w, rows[i]); s {
		case CommitApplied, CommitSuperseded:
			return s, nil
		case CommitUnknown:
			outcome = s
		}
	}
	return outcome, nil
}

// rowOutcome returns the outcome of a write, given the row as it is now.
func rowOutcome(w filbertford.Write, r filbertford.Row) CommitOutcome {
	switch {
	case r.Version() == w.Version():
		return CommitPending
	case r.Version() != w.Version()+1:
		return CommitUnknown
	case bytes.Equal(r.Value(), w.Value()):
		return CommitApplied
	default:
		return CommitSuperseded
	}
}
