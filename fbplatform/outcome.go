package fbplatform

import (
	"bytes"
	"context"

	"github.com/filbertford/filbertford"
)

// CommitOutcome tells what became of a commit whose reply did not come.
type CommitOutcome string

// The settlements of a commit.
const (
	// CommitApplied means that the commit has taken effect.
	CommitApplied CommitOutcome = "applied"
	// CommitSuperseded means that another commit came first. This one has not taken
	// effect and never will.
	CommitSuperseded CommitOutcome = "lost"
	// CommitPending means that the commit has not taken effect yet but may still
	// do so. The same writes may be committed again: the versions that they
	// check let at most one of the attempts through.
	CommitPending CommitOutcome = "open"
	// CommitUnknown means that the rows have been written again since, so
	// that they don't show whether the commit was among the writes.
	CommitUnknown CommitOutcome = "unknown"
)

// ResolveCommit reads the rows of a commit that gave filbertford.ErrUnavailable and
// tells whether it took effect. An ErrConflict from a second attempt needs it
// as well, since the first may have come through. Each value must be one that
// no other writer writes at that version, for instance by an ID in it.
func ResolveCommit(ctx context.Context, t filbertford.Table, writes ...filbertford.Write) (CommitOutcome, error) {
	keys := make([]string, 0, len(writes))
	for _, w := range writes {
		keys = append(keys, w.Key())
	}
	rows, err := t.Read(ctx, keys...)
	if err != nil {
		return CommitUnknown, err
	}
	// The commit is atomic, so that one row that is sure decides for all.
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

// rowOutcome compares a row with the write to it.
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
