package fbsettings

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/rotisserie/eris"

	"github.com/filbertford/filbertford"
	"github.com/filbertford/filbertford/fbtree"
)

const (
	// retryPause is the pause before an attempt is repeated because the
	// platform was unavailable.
	retryPause = 200 * time.Millisecond
	// maxUnavailable is the number of attempts that may find the platform
	// unavailable before an edit is given up on.
	maxUnavailable = 5
	// maxRaces is the number of races against other edits that an edit may lose
	// before it is given up on.
	maxRaces = 100
	// initRequest identifies the edit that makes version 1 of the default tree.
	initRequest = "init"
)

var (
	// ErrUnauthorized is returned for an edit whose operator or key the tree
	// does not know.
	ErrUnauthorized = eris.New("operator's name or key is not valid")
	// ErrTooLarge is returned for an edit that does not fit into a row.
	ErrTooLarge = eris.New("edit is too large")
	// ErrBadEdit is returned for an edit whose operator, note or base is not
	// valid.
	ErrBadEdit = eris.New("malformed edit")
)

// UnknownError is returned when an edit may or may not have been accepted. The
// same edit can be committed again, under the same request, to find out.
type UnknownError struct {
	request Request
	cause   error
}

// Request returns the request to repeat the edit under.
func (e *UnknownError) Request() Request { return e.request }

// Error returns what happened.
func (e *UnknownError) Error() string {
	return fmt.Sprintf("edit %s may or may not have been accepted: %v", e.request, e.cause)
}

// Unwrap returns the cause.
func (e *UnknownError) Unwrap() error { return e.cause }

// Commit has an edit accepted as a new version. It repeats attempts that lose a
// race against edits of other settings, and recognises an edit that was accepted
// before, by an attempt whose reply was lost. It returns a *ConflictError if
// another operator changed the same settings first, fbtree.Problems if the
// settings would not be valid, and an *UnknownError if the platform does not
// tell whether the edit took effect; any other error means that it did not.
func (s *Store) Commit(ctx context.Context, e Edit) (Receipt, error) {
	if err := checkEdit(e); err != nil {
		return Receipt{}, err
	}
	sent := false
	races, failures := 0, 0
	for {
		receipt, err := s.attempt(ctx, e, &sent)
		if err == nil || decided(err) {
			return receipt, err
		}
		if errors.Is(err, filbertford.ErrConflict) && races < maxRaces && ctx.Err() == nil {
			races++
			continue
		}
		failures++
		if failures >= maxUnavailable || s.pause(ctx) != nil {
			return Receipt{}, undecided(e, err, sent)
		}
	}
}

// Init has the default tree accepted as version 1, unless there is a version.
func (s *Store) Init(ctx context.Context) error {
	head, err := s.Head(ctx)
	if err != nil || head.version > 0 {
		return err
	}
	_, err = s.Commit(ctx, NewEdit(Request{id: initRequest}, initRequest, s.timer.Now()).WithNote("default settings"))
	return err
}

// decided reports whether the error proves that the edit has not taken effect
// and won't.
func decided(err error) bool {
	var conflict *ConflictError
	var problems fbtree.Problems
	return errors.As(err, &conflict) || errors.As(err, &problems) ||
		errors.Is(err, ErrUnauthorized) || errors.Is(err, ErrTooLarge) || errors.Is(err, ErrBadEdit)
}

// undecided returns the error for an edit that was given up on.
func undecided(e Edit, err error, sent bool) error {
	if sent {
		return &UnknownError{request: e.request, cause: err}
	}
	return eris.Wrap(err, "this attempt wrote nothing")
}

func (s *Store) pause(ctx context.Context) error {
	ticks, stop := s.timer.Subscribe(retryPause)
	defer stop()
	select {
	case <-ticks:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func checkEdit(e Edit) error {
	for name, text := range map[string]string{"operator": e.who, "request": e.request.id} {
		if text == "" || len(text) > MaxNote {
			return eris.Wrapf(ErrBadEdit, "%s of %d bytes; want 1 to %d", name, len(text), MaxNote)
		}
	}
	if len(e.note) > MaxNote {
		return eris.Wrapf(ErrBadEdit, "note of %d bytes; want at most %d", len(e.note), MaxNote)
	}
	return nil
}

// attempt tries once. It sets sent before it asks for a write.
func (s *Store) attempt(ctx context.Context, e Edit, sent *bool) (Receipt, error) {
	head, err := s.Head(ctx)
	if err != nil {
		return Receipt{}, err
	}
	if head.version < e.request.base {
		return Receipt{}, eris.Wrapf(ErrBadEdit, "edit of version %d; the newest is %d", e.request.base, head.version)
	}
	entries, err := s.Entries(ctx, e.request.base+1, head.version)
	if err != nil {
		return Receipt{}, err
	}
	for _, entry := range entries {
		if entry.request == e.request.id {
			return Receipt{version: entry.version, changed: true}, nil
		}
	}
	tree, err := s.Load(ctx, head)
	if err != nil {
		return Receipt{}, err
	}
	if !tree.AuthorizedOperator(e.who, e.key) {
		return Receipt{}, eris.Wrapf(ErrUnauthorized, "operator %q", e.who)
	}
	changes, err := rebase(e.changes, sinceDefault(entries), tree)
	if err != nil {
		return Receipt{}, err
	}
	next, err := tree.Apply(changes...)
	if err != nil {
		return Receipt{}, err
	}
	if head.version > 0 && next.Equal(tree) {
		return Receipt{version: head.version}, nil
	}
	return s.write(ctx, e, head, tree, next.WithVersion(head.version+1), sent)
}

// sinceDefault replaces what the first entry did to the empty tree by what it
// did to the default tree, which an edit of version 0 was made from.
func sinceDefault(entries []Entry) []Entry {
	if len(entries) == 0 || entries[0].version != 1 {
		return entries
	}
	first, err := (&fbtree.Tree{}).Apply(entries[0].changes...)
	if err != nil {
		return entries
	}
	entries[0].changes = fbtree.Diff(fbtree.Default(), first)
	return entries
}

// write asks the table service for the new version.
func (s *Store) write(ctx context.Context, e Edit, head Head, tree, next *fbtree.Tree, sent *bool) (Receipt, error) {
	from := tree
	if head.version == 0 {
		from = &fbtree.Tree{}
	}
	entry := Entry{
		version: next.Version(),
		request: e.request.id,
		who:     e.who,
		at:      e.at,
		note:    e.note,
		changes: fbtree.Diff(from, next),
		undo:    fbtree.Diff(next, from),
	}
	row := encodeEntry(entry)
	if len(row) > MaxRow {
		return Receipt{}, eris.Wrapf(ErrTooLarge, "%d bytes compressed; want at most %d: split the edit", len(row), MaxRow)
	}
	newHead := Head{version: next.Version(), request: e.request.id, who: e.who, at: e.at}
	newHead.snapshot = s.takeSnapshot(ctx, head, tree)
	*sent = true
	err := s.table.Commit(ctx,
		filbertford.NewWrite(headKey, encodeHead(newHead), head.version),
		filbertford.NewWrite(s.entryKey(next.Version()), row, s.entryWrites(next.Version())),
	)
	if err != nil {
		return Receipt{}, eris.Wrap(err, "commit settings")
	}
	s.keep(next)
	return Receipt{version: next.Version(), changed: true}, nil
}
