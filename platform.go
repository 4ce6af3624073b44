package filbertford

import (
	"context"
	"errors"
)

// Errors of the platform's services.
var (
	// ErrNotFound is returned for a key that holds no row or object.
	ErrNotFound = errors.New("no such key")
	// ErrConflict is returned when a commit's check did not hold. Nothing was
	// written.
	ErrConflict = errors.New("version conflict")
	// ErrUnavailable is returned when the platform could not be reached or did
	// not answer in time. A write may or may not have taken effect.
	ErrUnavailable = errors.New("platform unavailable")
)

// Row is a row of the table service. A row that does not exist has version 0.
type Row struct {
	key     string
	value   []byte
	version uint64
}

// NewRow returns a row as read from the table service.
func NewRow(key string, value []byte, version uint64) Row {
	return Row{key: key, value: value, version: version}
}

// Key returns the row's key.
func (r Row) Key() string { return r.key }

// Value returns the row's value.
func (r Row) Value() []byte { return r.value }

// Version returns the row's version, which grows with each write.
func (r Row) Version() uint64 { return r.version }

// Write is one change of a commit: the row's value is replaced if its version
// is still the one checked.
type Write struct {
	key     string
	value   []byte
	version uint64
}

// NewWrite returns a write of value to key that takes effect only if the row's
// version is the given one, 0 for a row that must not exist yet.
func NewWrite(key string, value []byte, version uint64) Write {
	return Write{key: key, value: value, version: version}
}

// Key returns the key that is written.
func (w Write) Key() string { return w.key }

// Value returns the new value.
func (w Write) Value() []byte { return w.value }

// Version returns the version that the row must still have.
func (w Write) Version() uint64 { return w.version }

// Table is the platform's transactional table service. Its methods return
// ErrUnavailable while it is down; after a Commit that means that the writes
// may or may not have taken effect, so a writer must be able to recognise its
// own write when it reads the row again.
type Table interface {
	// Read returns the rows of the keys in their order. A missing row has
	// version 0 and no value.
	Read(ctx context.Context, keys ...string) ([]Row, error)
	// Commit applies all writes or none. It returns ErrConflict if the version
	// of any row differs from the one that its write checks.
	Commit(ctx context.Context, writes ...Write) error
}

// ObjectStore is the platform's object store.
type ObjectStore interface {
	// Put stores an object under the key, replacing what was there.
	Put(ctx context.Context, key string, data []byte) error
	// Get returns the object under the key, or ErrNotFound.
	Get(ctx context.Context, key string) ([]byte, error)
}

// VMList is the platform's list of VMs, which lags behind the truth.
type VMList interface {
	// VMs returns the live and leaving VMs that the filter selects.
	VMs(ctx context.Context, f VMFilter) ([]VM, error)
}

// VMFilter selects VMs of the platform's list. The zero VMFilter selects all.
type VMFilter struct {
	role       Role
	dataCentre DataCentre
}

// WithRole returns a copy of f that selects VMs of the role only.
func (f VMFilter) WithRole(r Role) VMFilter {
	f.role = r
	return f
}

// WithDataCentre returns a copy of f that selects VMs of the data centre only.
func (f VMFilter) WithDataCentre(dc DataCentre) VMFilter {
	f.dataCentre = dc
	return f
}

// Role returns the role that is selected, empty for all.
func (f VMFilter) Role() Role { return f.role }

// DataCentre returns the data centre that is selected, empty for all.
func (f VMFilter) DataCentre() DataCentre { return f.dataCentre }

// Selects reports whether the filter selects the VM.
func (f VMFilter) Selects(v VM) bool {
	return (f.role == "" || f.role == v.role) && (f.dataCentre == "" || f.dataCentre == v.dataCentre)
}
