package fbplatform

import (
	"bytes"
	"context"

	"github.com/filbertford/filbertford"
)

// Settlement tells what became of a commit whose reply did not come.
type Settlement string

// The settlements of a commit.
const (
	// SettledApplied means that the commit has taken effect.
	SettledApplied Settlement = "applied"
	// SettledLost means that another commit came first. This one has not taken
	// effect and never will.
	SettledLost Settlement = "lost"
	// SettledOpen means that the commit has not taken effect yet but may still
	// do so. The same writes may be committed again: the versions that they
	// check let at most one of the attempts through.
	SettledOpen Settlement = "open"
	// SettledUnknown means that the rows have been written again since, so
	// that they don't show whether the commit was among the writes.
	SettledUnknown Settlement = "unknown"
)

// Settle reads the rows of a commit that gave filbertford.ErrUnavailable and
// tells whether it took effect. An ErrConflict from a second attempt needs it
// as well, since the first may have come through. Each value must be one that
// no other writer writes at that version, for instance by an ID in it.
func Settle(ctx context.Context, t filbertford.Table, writes ...filbertford.Write) (Settlement, error) {
	keys := make([]string, 0, len(writes))
	for _, w := range writes {
		keys = append(keys, w.Key())
	}
	rows, err := t.Read(ctx, keys...)
	if err != nil {
		return SettledUnknown, err
	}
	// The commit is atomic, so that one row that is sure decides for all.
	result := SettledOpen
	for i, w := range writes {
		switch s := settleRow(w, rows[i]); s {
		case SettledApplied, SettledLost:
			return s, nil
		case SettledUnknown:
			result = s
		}
	}
	return result, nil
}

// settleRow compares a row with the write to it.
func settleRow(w filbertford.Write, r filbertford.Row) Settlement {
	switch {
	case r.Version() == w.Version():
		return SettledOpen
	case r.Version() != w.Version()+1:
		return SettledUnknown
	case bytes.Equal(r.Value(), w.Value()):
		return SettledApplied
	default:
		return SettledLost
	}
}
