package filbertford

import (
	"context"
	"errors"
	"time"
)

// ErrCompacted is returned by Store.Watch when the store has dropped the
// changes that were asked for. The table must be read again.
var ErrCompacted = errors.New("history is gone")

// ErrRefused is returned by Store.Commit when the store did nothing.
var ErrRefused = errors.New("store refused the call")

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
	// TableClaims holds who owns which pool, and a part for each shard of the
	// stored jobs with its keeper.
	TableClaims TableName = "claims"
	// TableJobs holds the stored jobs, a part for each shard.
	TableJobs TableName = "jobs"
)

// Change is a row of the store as it was read, or the removal of one.
type Change struct {
	row     Row
	removed bool
}

// NewChange returns a change to the row's value.
func NewChange(row Row) Change { return Change{row: row} }

// NewRemovalChange returns the removal of the row.
func NewRemovalChange(row Row) Change { return Change{row: row, removed: true} }

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

// Condition is the version that a row must have for a transaction to apply.
type Condition struct {
	table   TableName
	key     string
	version uint64
}

// Table returns the row's table.
func (c Condition) Table() TableName { return c.table }

// Key returns the row's key.
func (c Condition) Key() string { return c.key }

// Version returns the version that the row must have, 0 for a row that must not
// exist.
func (c Condition) Version() uint64 { return c.version }

// Put is a row that a transaction writes.
type Put struct {
	table TableName
	key   string
	value []byte
}

// Table returns the row's table.
func (p Put) Table() TableName { return p.table }

// Key returns the row's key.
func (p Put) Key() string { return p.key }

// Value returns the row's new value.
func (p Put) Value() []byte { return p.value }

// Removal is a row that a transaction removes.
type Removal struct {
	table TableName
	key   string
}

// Table returns the row's table.
func (r Removal) Table() TableName { return r.table }

// Key returns the row's key.
func (r Removal) Key() string { return r.key }

// Transaction is a change of rows of one part that applies whole or not at all.
type Transaction struct {
	partition  string
	conditions []Condition
	puts       []Put
	removals   []Removal
}

// NewTransaction returns an empty transaction on the rows of a part.
func NewTransaction(partition string) *Transaction { return &Transaction{partition: partition} }

// Expect adds the condition that the row has the version, 0 for none.
func (t *Transaction) Expect(table TableName, key string, version uint64) *Transaction {
	t.conditions = append(t.conditions, Condition{table: table, key: key, version: version})
	return t
}

// Put adds a row to write.
func (t *Transaction) Put(table TableName, key string, value []byte) *Transaction {
	t.puts = append(t.puts, Put{table: table, key: key, value: value})
	return t
}

// Remove adds a row to remove.
func (t *Transaction) Remove(table TableName, key string) *Transaction {
	t.removals = append(t.removals, Removal{table: table, key: key})
	return t
}

// Partition returns the part of the rows.
func (t *Transaction) Partition() string { return t.partition }

// Conditions returns the conditions.
func (t *Transaction) Conditions() []Condition { return t.conditions }

// Puts returns the rows to write.
func (t *Transaction) Puts() []Put { return t.puts }

// Removals returns the rows to remove.
func (t *Transaction) Removals() []Removal { return t.removals }

// Store is the platform's store of versioned rows. Its methods return
// ErrUnavailable while it can't be reached.
type Store interface {
	// List returns all rows of a part of a table.
	List(ctx context.Context, table TableName, part string) (Snapshot, error)
	// Watch returns the changes of a table after the version as soon as there
	// is one, or none after the wait. It returns ErrHistoryGone if they are not
	// known any more.
	Watch(ctx context.Context, table TableName, after uint64, wait time.Duration) (Snapshot, error)
	// Commit applies a transaction and returns the version that its rows have
	// then. It returns ErrConflict if a condition does not hold, and ErrRefused
	// if the store did nothing. After ErrUnavailable the transaction may have
	// been applied, or may yet be while its conditions hold.
	Commit(ctx context.Context, t *Transaction) (uint64, error)
}
