package fbsettings

import (
	"errors"
	"strconv"
	"strings"
	"time"

	"github.com/oklog/ulid/v2"

	"github.com/filbertford/filbertford/fbtree"
)

// MaxFieldBytes is the length in bytes of the longest note, request ID or operator's
// name of an edit.
const MaxFieldBytes = 200

// ErrBadRequest is returned for a request that is not well formed.
var ErrBadRequest = errors.New("malformed request: want VERSION.ID")

// Request identifies an edit in all its attempts. It holds the version that the
// operator looked at, so that a repeated attempt knows where in the history its
// first one can stand.
type Request struct {
	base uint64
	id   string
}

// NewRequest returns a request of its own for an edit of a version.
func NewRequest(base uint64) Request {
	return Request{base: base, id: ulid.Make().String()}
}

// ParseRequest reads the text of a request.
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

// ID returns the identifier, which is not used by any other edit.
func (r Request) ID() string { return r.id }

// String returns the request's text, which ParseRequest reads.
func (r Request) String() string { return strconv.FormatUint(r.base, 10) + "." + r.id }

// Edit is a list of changes that an operator wants to be accepted together.
type Edit struct {
	request  Request
	operator string
	key      string
	at       time.Time
	note     string
	changes  []fbtree.Change
}

// NewEdit returns an operator's edit, made at a time.
func NewEdit(r Request, operator string, at time.Time, changes ...fbtree.Change) Edit {
	return Edit{request: r, operator: operator, at: at, changes: changes}
}

// WithKey returns a copy of e that carries the operator's key. The key is
// compared with the tree and never stored.
func (e Edit) WithKey(key string) Edit {
	e.key = key
	return e
}

// WithNote returns a copy of e with a note for the history.
func (e Edit) WithNote(note string) Edit {
	e.note = note
	return e
}

// Request returns what identifies the edit.
func (e Edit) Request() Request { return e.request }

// Operator returns the operator's name.
func (e Edit) Operator() string { return e.operator }

// Changes returns the changes in their order.
func (e Edit) Changes() []fbtree.Change { return e.changes }

// CommitResult tells how an accepted edit stands in the history.
type CommitResult struct {
	version uint64
	changed bool
}

// Version returns the version in which the edit is in force.
func (r CommitResult) Version() uint64 { return r.version }

// Changed reports whether the edit made a version of its own. An edit whose
// changes were in force already makes none.
func (r CommitResult) Changed() bool { return r.changed }
