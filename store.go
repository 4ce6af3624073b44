package filbertford

import (
	"context"
	"errors"
)

// ErrHistoryGone is returned by Store.Watch when the store has dropped the
// changes that were asked for. The table must be read again.
var ErrHistoryGone = errors.New("history is gone")

// TableName names a table of the platform's store.
type TableName string

// The tables that the daemons use.
const (
	// TableRoutes holds the routes, which operators write.
	TableRoutes TableName = "routes"
	// TableTargets holds the records of targets, which they write themselves.
	TableTargets TableName = "targets"
	// TableNodes holds the daemons' own records.
	TableNodes TableName = "nodes"
	// TableClaims holds who owns which pool.
	TableClaims TableName = "claims"
)

// Change is a row of the store as it was read, or the removal of one.
type Change struct {
	row     Row
	removed bool
}

// NewChange returns a change to the row's value.
func NewChange(row Row) Change { return Change{row: row} }

// NewRemoval returns the removal of the row.
func NewRemoval(row Row) Change { return Change{row: row, removed: true} }

// Row returns the row.
func (c Change) Row() Row { return c.row }

// Removed reports whether the row is gone.
func (c Change) Removed() bool { return c.removed }

// Snapshot is the content of a table, or its changes, up to a version of the
// store.
type Snapshot struct {
	version uint64
	now     int64
	changes []Change
}

// NewSnapshot returns the changes up to the version, read when the store's
// clock showed now milliseconds.
func NewSnapshot(version uint64, now int64, changes ...Change) Snapshot {
	return Snapshot{version: version, now: now, changes: changes}
}

// Version returns the version of the store.
func (s Snapshot) Version() uint64 { return s.version }

// Now returns the store's steady clock in milliseconds.
func (s Snapshot) Now() int64 { return s.now }

// Changes returns the rows.
func (s Snapshot) Changes() []Change { return s.changes }

// Store is the platform's store of versioned rows. Its methods return
// ErrUnavailable while it can't be reached; a Commit may then have taken effect,
// or may yet do so if its checks still hold.
type Store interface {
	// List returns all rows of a table.
	List(ctx context.Context, table TableName) (Snapshot, error)
	// Watch returns the changes of a table after the version as soon as there
	// is one, or none after a while. It returns ErrHistoryGone if they are not
	// known any more.
	Watch(ctx context.Context, table TableName, after uint64) (Snapshot, error)
	// Commit applies all writes to rows of the table or none. It returns
	// ErrConflict if the version of any row differs from the one that its write
	// checks.
	Commit(ctx context.Context, table TableName, writes ...Write) error
}
