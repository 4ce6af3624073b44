package fbsettings

import (
	"errors"
	"strconv"
	"strings"
	"time"

	"github.com/oklog/ulid/v2"

	"github.com/filbertford/filbertford/fbtree"
)

// MaxFieldBytes is the maximum length in bytes of the note, the request ID and the
// operator's name of an edit.
const MaxFieldBytes = 200

// ErrBadRequest is returned for a malformed request.
var ErrBadRequest = errors.New("malformed request: want VERSION.ID")

// Request identifies an edit in all attempts to commit it. It includes the version
// that the edit was made from: a repeated attempt searches the history from there
// for the edit.
type Request struct {
	base uint64
	id   string
}

// NewRequest returns a request with a new ID for an edit made from a version.
func NewRequest(base uint64) Request {
	return Request{base: base, id: ulid.Make().String()}
}

// ParseRequest parses a request in the form of Request.String.
func ParseRequest(s string) (Request, error) {
	base, id, ok := strings.Cut(s, ".")
	n, err := strconv.ParseUint(base, 10, 64)
	if !ok || err != nil || id == "" || len(id) > MaxFieldBytes {
		return Request{}, ErrBadRequest
	}
	return Request{base: n, id: id}, nil
}

// Base returns the version that the edit was made from.
func (r Request) Base() uint64 { return r.base }

// ID returns the identifier, which is unique to the edit.
func (r Request) ID() string { return r.id }

// String returns the request as VERSION.ID, which ParseRequest parses.
func (r Request) String() string { return strconv.FormatUint(r.base, 10) + "." + r.id }

// Edit is a list of changes that are accepted together or not at all.
type Edit struct {
	request  Request
	operator string
	key      string
	at       time.Time
	note     string
	changes  []fbtree.Change
}

// NewEdit returns an edit that the operator made at the time.
func NewEdit(r Request, operator string, at time.Time, changes ...fbtree.Change) Edit {
	return Edit{request: r, operator: operator, at: at, changes: changes}
}

// WithKey returns a copy of e with the operator's key. The key is compared with
// the hashes in the tree and never stored.
func (e Edit) WithKey(key string) Edit {
	e.key = key
	return e
}

// WithNote returns a copy of e with a note for the history.
func (e Edit) WithNote(note string) Edit {
	e.note = note
	return e
}

// Request returns the request that identifies the edit.
func (e Edit) Request() Request { return e.request }

// Operator returns the operator's name.
func (e Edit) Operator() string { return e.operator }

// Changes returns the changes in the order in which they are applied.
func (e Edit) Changes() []fbtree.Change { return e.changes }

// CommitResult is the result of committing an edit.
type CommitResult struct {
	version uint64
	changed bool
}

// Version returns the version in which the edit is in force.
func (r CommitResult) Version() uint64 { return r.version }

// Changed reports whether the edit made a new version. An edit whose changes were
// in force already makes none.
func (r CommitResult) Changed() bool { return r.changed }
