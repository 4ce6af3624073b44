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
	// retryInterval is the time between an attempt that found the platform
	// unavailable and the next.
	retryInterval = 200 * time.Millisecond
	// maxUnavailableAttempts is the number of attempts that may find the platform
	// unavailable before Commit fails.
	maxUnavailableAttempts = 5
	// maxCommitConflicts is the number of races against other edits that an edit may
	// lose. Commit counts each further one as an attempt that found the platform
	// unavailable.
	maxCommitConflicts = 100
	// initRequestID is the request ID and operator of the edit that commits the
	// default tree as version 1.
	initRequestID = "init"
)

var (
	// ErrUnauthorized is returned for an edit whose operator or key is not in the
	// tree.
	ErrUnauthorized = eris.New("operator's name or key is not valid")
	// ErrTooLarge is returned for an edit that exceeds MaxRowBytes.
	ErrTooLarge = eris.New("edit is too large")
	// ErrBadEdit is returned for an edit whose operator, note or base is not
	// valid.
	ErrBadEdit = eris.New("malformed edit")
)

// CommitUnknownError is returned if it is not known whether an edit was accepted.
// Committing the edit again under the same request resolves that and accepts it at
// most once.
type CommitUnknownError struct {
	request Request
	cause   error
}

// Request returns the request under which to commit the edit again.
func (e *CommitUnknownError) Request() Request { return e.request }

// Error returns the request and the cause.
func (e *CommitUnknownError) Error() string {
	return fmt.Sprintf("edit %s may or may not have been accepted: %v", e.request, e.cause)
}

// Unwrap returns the error of the last attempt.
func (e *CommitUnknownError) Unwrap() error { return e.cause }

// Commit commits an edit as a new version. It retries an attempt that loses a race
// against an edit of other settings, and recognises an edit that an earlier attempt
// committed although its reply was lost. It returns a *ConflictError if another
// operator changed the same settings first, fbtree.Problems if the settings would
// not be valid, and a *CommitUnknownError if it is not known whether the edit was
// accepted. Any other error means that it was not accepted.
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
			return CommitResult{}, finalError(e, err, sent)
		}
	}
}

// Init commits the default tree as version 1 unless there is a version already.
func (s *Store) Init(ctx context.Context) error {
	head, err := s.Head(ctx)
	if err != nil || head.version > 0 {
		return err
	}
	_, err = s.Commit(ctx, NewEdit(Request{id: initRequestID}, initRequestID, s.timer.Now()).WithNote("default settings"))
	return err
}

// isRejection reports whether the error proves that the edit was not accepted and
// won't be.
func isRejection(err error) bool {
	var conflict *ConflictError
	var problems fbtree.Problems
	return errors.As(err, &conflict) || errors.As(err, &problems) ||
		errors.Is(err, ErrUnauthorized) || errors.Is(err, ErrTooLarge) || errors.Is(err, ErrBadEdit)
}

// finalError returns the error of Commit after its last attempt.
func finalError(e Edit, err error, sent bool) error {
	if sent {
		return &CommitUnknownError{request: e.request, cause: err}
	}
	return eris.Wrap(err, "edit was not written")
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

// tryCommit makes one attempt to commit the edit. It sets sent before it sends the
// write to the platform.
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

// relativeToDefault replaces the changes of version 1, which start from the empty
// tree, by those that start from the default tree. An edit with base 0 was made
// from the default tree, so rebase must compare it with these.
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

// write writes the edit and the new head to the table service. Before that it
// writes a snapshot to the object store if one is due.
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
