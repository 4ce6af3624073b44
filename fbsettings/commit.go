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
	// retryInterval is the pause before an attempt is repeated because the
	// platform was unavailable.
	retryInterval = 200 * time.Millisecond
	// maxUnavailableAttempts is the number of attempts that may find the platform
	// unavailable before an edit is given up on.
	maxUnavailableAttempts = 5
	// maxCommitConflicts is the number of races against other edits that an edit may lose
	// before it is given up on.
	maxCommitConflicts = 100
	// initRequestID identifies the edit that makes version 1 of the default tree.
	initRequestID = "init"
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

// CommitUnknownError is returned when an edit may or may not have been accepted. The
// same edit can be committed again, under the same request, to find out.
type CommitUnknownError struct {
	request Request
	cause   error
}

// Request returns the request to repeat the edit under.
func (e *CommitUnknownError) Request() Request { return e.request }

// Error returns what happened.
func (e *CommitUnknownError) Error() string {
	return fmt.Sprintf("edit %s may or may not have been accepted: %v", e.request, e.cause)
}

// Unwrap returns the cause.
func (e *CommitUnknownError) Unwrap() error { return e.cause }

// Commit has an edit accepted as a new version. It repeats attempts that lose a
// race against edits of other settings, and recognises an edit that was accepted
// before, by an attempt whose reply was lost. It returns a *ConflictError if
// another operator changed the same settings first, fbtree.Problems if the
// settings would not be valid, and an *UnknownError if the platform does not
// tell whether the edit took effect; any other error means that it did not.
func (s *Store) Commit(ctx context.Context, e Edit) (CommitResult, error) {
	if err := checkEdit(e); err != nil {
		return CommitResult{}, err
	}
	sent := false
	conflicts, failures := 0, 0
	for {
		result, err := s.tryCommit(ctx, e, &sent)
		if err == nil || isRejection(err) {
			return result, err
		}
		if errors.Is(err, filbertford.ErrConflict) && conflicts < maxCommitConflicts && ctx.Err() == nil {
			conflicts++
			continue
		}
		failures++
		if failures >= maxUnavailableAttempts || s.waitForRetry(ctx) != nil {
			return CommitResult{}, giveUpError(e, err, sent)
		}
	}
}

// Init has the default tree accepted as version 1, unless there is a version.
func (s *Store) Init(ctx context.Context) error {
	head, err := s.Head(ctx)
	if err != nil || head.version > 0 {
		return err
	}
	_, err = s.Commit(ctx, NewEdit(Request{id: initRequestID}, initRequestID, s.timer.Now()).WithNote("default settings"))
	return err
}

// isRejection reports whether the error proves that the edit has not taken effect
// and won't.
func isRejection(err error) bool {
	var conflict *ConflictError
	var problems fbtree.Problems
	return errors.As(err, &conflict) || errors.As(err, &problems) ||
		errors.Is(err, ErrUnauthorized) || errors.Is(err, ErrTooLarge) || errors.Is(err, ErrBadEdit)
}

// giveUpError returns the error for an edit that was given up on.
func giveUpError(e Edit, err error, sent bool) error {
	if sent {
		return &CommitUnknownError{request: e.request, cause: err}
	}
	return eris.Wrap(err, "this attempt wrote nothing")
}

func (s *Store) waitForRetry(ctx context.Context) error {
	ticks, stop := s.timer.Subscribe(retryInterval)
	defer stop()
	select {
	case <-ticks:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func checkEdit(e Edit) error {
	for name, text := range map[string]string{"operator": e.operator, "request": e.request.id} {
		if text == "" || len(text) > MaxFieldBytes {
			return eris.Wrapf(ErrBadEdit, "%s of %d bytes; want 1 to %d", name, len(text), MaxFieldBytes)
		}
	}
	if len(e.note) > MaxFieldBytes {
		return eris.Wrapf(ErrBadEdit, "note of %d bytes; want at most %d", len(e.note), MaxFieldBytes)
	}
	return nil
}

// tryCommit tries once. It sets sent before it asks for a write.
func (s *Store) tryCommit(ctx context.Context, e Edit, sent *bool) (CommitResult, error) {
	head, err := s.Head(ctx)
	if err != nil {
		return CommitResult{}, err
	}
	if head.version < e.request.base {
		return CommitResult{}, eris.Wrapf(ErrBadEdit, "edit of version %d; the newest is %d", e.request.base, head.version)
	}
	entries, err := s.Entries(ctx, e.request.base+1, head.version)
	if err != nil {
		return CommitResult{}, err
	}
	for _, entry := range entries {
		if entry.request == e.request.id {
			return CommitResult{version: entry.version, changed: true}, nil
		}
	}
	tree, err := s.Load(ctx, head)
	if err != nil {
		return CommitResult{}, err
	}
	if !tree.AuthorizedOperator(e.operator, e.key) {
		return CommitResult{}, eris.Wrapf(ErrUnauthorized, "operator %q", e.operator)
	}
	changes, err := rebase(e.changes, relativeToDefault(entries), tree)
	if err != nil {
		return CommitResult{}, err
	}
	next, err := tree.Apply(changes...)
	if err != nil {
		return CommitResult{}, err
	}
	if head.version > 0 && next.Equal(tree) {
		return CommitResult{version: head.version}, nil
	}
	return s.write(ctx, e, head, tree, next.WithVersion(head.version+1), sent)
}

// relativeToDefault replaces what the first entry did to the empty tree by what it
// did to the default tree, which an edit of version 0 was made from.
func relativeToDefault(entries []Entry) []Entry {
	if len(entries) == 0 || entries[0].version != 1 {
		return entries
	}
	firstTree, err := (&fbtree.Tree{}).Apply(entries[0].changes...)
	if err != nil {
		return entries
	}
	entries[0].changes = fbtree.Diff(fbtree.Default(), firstTree)
	return entries
}

// write asks the table service for the new version.
func (s *Store) write(ctx context.Context, e Edit, head Head, tree, next *fbtree.Tree, sent *bool) (CommitResult, error) {
	from := tree
	if head.version == 0 {
		from = &fbtree.Tree{}
	}
	entry := Entry{
		version:  next.Version(),
		request:  e.request.id,
		operator: e.operator,
		at:       e.at,
		note:     e.note,
		changes:  fbtree.Diff(from, next),
		undo:     fbtree.Diff(next, from),
	}
	row := encodeEntry(entry)
	if len(row) > MaxRowBytes {
		return CommitResult{}, eris.Wrapf(ErrTooLarge, "%d bytes compressed; want at most %d: split the edit", len(row), MaxRowBytes)
	}
	newHead := Head{version: next.Version(), request: e.request.id, operator: e.operator, at: e.at}
	newHead.snapshot = s.takeSnapshot(ctx, head, tree)
	*sent = true
	err := s.table.Commit(ctx,
		filbertford.NewWrite(headKey, encodeHead(newHead), head.version),
		filbertford.NewWrite(s.entryKey(next.Version()), row, s.entryRowVersion(next.Version())),
	)
	if err != nil {
		return CommitResult{}, eris.Wrap(err, "commit settings")
	}
	s.updateCache(next)
	return CommitResult{version: next.Version(), changed: true}, nil
}
