package filbertford

import (
	"context"
	"errors"
	"time"
)

// ErrCompacted is returned by Store.Watch when the store no longer has the
// requested changes. The table must be read again.
var ErrCompacted = errors.New("requested changes were compacted")

// ErrRefused is returned by Store.Commit when the store rejected the transaction
// and wrote nothing.
var ErrRefused = errors.New("store rejected the call")

// TableName names a table of the platform's store.
type TableName string

// The tables that the daemons use.
const (
	// TableRoutes holds the routes, which operators write.
	TableRoutes TableName = "routes"
	// TableTargets holds the records of targets, which the targets write.
	TableTargets TableName = "targets"
	// TableNodes holds the records of daemons, which the daemons write.
	TableNodes TableName = "nodes"
	// TableClaims holds the owners of pools, and a partition for each shard of
	// the stored jobs with the shard's owner.
	TableClaims TableName = "claims"
	// TableJobs holds the stored jobs, in a partition for each shard.
	TableJobs TableName = "jobs"
)

// Change is a row as read from the store, or the removal of one.
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

// Removed reports whether the row was removed.
func (c Change) Removed() bool { return c.removed }

// Snapshot holds the rows of a table, or the changes of its rows, up to a version
// of the store.
type Snapshot struct {
	version uint64
	now     int64
	changes []Change
}

// NewSnapshot returns the changes up to the version. Now is the time on the
// store's clock, in milliseconds, at which they were read.
func NewSnapshot(version uint64, now int64, changes ...Change) Snapshot {
	return Snapshot{version: version, now: now, changes: changes}
}

// Version returns the version of the store.
func (s Snapshot) Version() uint64 { return s.version }

// Now returns the time on the store's monotonic clock in milliseconds.
func (s Snapshot) Now() int64 { return s.now }

// Changes returns the rows or changes.
func (s Snapshot) Changes() []Change { return s.changes }

// Condition is the version that a row must have for a transaction to be applied.
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

// Transaction is a set of changes to the rows of one partition, which the store
// applies all or none.
type Transaction struct {
	partition  string
	conditions []Condition
	puts       []Put
	removals   []Removal
}

// NewTransaction returns an empty transaction on the rows of a partition.
func NewTransaction(partition string) *Transaction { return &Transaction{partition: partition} }

// Expect adds the condition that the row has the version, 0 for a row that must
// not exist.
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

// Partition returns the partition of the rows.
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
	// List returns all rows of a partition of a table.
	List(ctx context.Context, table TableName, partition string) (Snapshot, error)
	// Watch returns the changes of a table after the version as soon as there is
	// one, or none after the wait. It returns ErrCompacted if the store no longer
	// has them.
	Watch(ctx context.Context, table TableName, after uint64, wait time.Duration) (Snapshot, error)
	// Commit applies a transaction and returns the new version of its rows. It
	// returns ErrConflict if a condition does not hold, and ErrRefused if the
	// store rejected the transaction and wrote nothing. If it returns
	// ErrUnavailable, the transaction may have been applied, or may still be
	// while its conditions hold.
	Commit(ctx context.Context, t *Transaction) (uint64, error)
}
