package filbertford

import (
	"context"
	"errors"
)

// Errors of the platform's services.
var (
	// ErrNotFound is returned for a key without a row or object.
	ErrNotFound = errors.New("no such key")
	// ErrConflict is returned when a row does not have the version that a commit
	// requires. Nothing was written.
	ErrConflict = errors.New("version conflict")
	// ErrUnavailable is returned when the platform could not be reached or did
	// not answer in time. A write may or may not have taken effect.
	ErrUnavailable = errors.New("platform unavailable")
)

// Row is a row of the table service. A row that doesn't exist has version 0.
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

// Version returns the row's version, which increases with each write.
func (r Row) Version() uint64 { return r.version }

// Write is one write of a commit: it replaces the row's value if the row still
// has the required version.
type Write struct {
	key     string
	value   []byte
	version uint64
}

// NewWrite returns a write of value to key that takes effect only if the row has
// the given version, 0 for a row that must not exist yet.
func NewWrite(key string, value []byte, version uint64) Write {
	return Write{key: key, value: value, version: version}
}

// Key returns the row's key.
func (w Write) Key() string { return w.key }

// Value returns the new value.
func (w Write) Value() []byte { return w.value }

// Version returns the required version.
func (w Write) Version() uint64 { return w.version }

// Table is the platform's transactional table service. Its methods return
// ErrUnavailable while it is down. If Commit returns ErrUnavailable, the writes
// may or may not have taken effect, so a writer must be able to recognise its
// own write when it reads the row again.
type Table interface {
	// Read returns the rows of the keys, in the order of the keys. A missing row
	// has version 0 and no value.
	Read(ctx context.Context, keys ...string) ([]Row, error)
	// Commit applies all writes or none. It returns ErrConflict if the version
	// of any row differs from the one that its write requires.
	Commit(ctx context.Context, writes ...Write) error
}

// ObjectStore is the platform's object store.
type ObjectStore interface {
	// Put stores an object under the key and replaces one that is there.
	Put(ctx context.Context, key string, data []byte) error
	// Get returns the object under the key, or ErrNotFound if there is none.
	Get(ctx context.Context, key string) ([]byte, error)
}

// VMList is the platform's list of VMs, which may be out of date.
type VMList interface {
	// VMs returns the live and leaving VMs that match the filter.
	VMs(ctx context.Context, f VMFilter) ([]VM, error)
}

// VMFilter selects VMs in the platform's list. The zero VMFilter selects all.
type VMFilter struct {
	role       Role
	dataCentre DataCentre
}

// WithRole returns a copy of f that selects only VMs of the role.
func (f VMFilter) WithRole(r Role) VMFilter {
	f.role = r
	return f
}

// WithDataCentre returns a copy of f that selects only VMs of the data centre.
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
