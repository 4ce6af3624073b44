package fbsettings

import (
	"context"
	"errors"
	"strconv"
	"sync"

	"github.com/rotisserie/eris"

	"github.com/filbertford/filbertford"
	"github.com/filbertford/filbertford/fbtree"
)

const (
	// HistoryLength is the number of edits in the history.
	HistoryLength = 16_384
	// SnapshotPeriod is the number of versions between two snapshots, which are
	// complete trees in the object store.
	SnapshotPeriod = 128
	// snapshotSlots is the number of snapshots that are kept.
	snapshotSlots = 16
	// maxReadRows is the maximum number of rows in one read.
	maxReadRows = 256
)

// Keys of the table service and of the object store.
const (
	headKey        = "settings-head"
	entryPrefix    = "settings-entry-"
	snapshotPrefix = "settings-snapshot-"
)

var (
	// ErrVersionOverwritten is returned for a version that is no longer stored
	// because a later one has overwritten it.
	ErrVersionOverwritten = eris.New("version is no longer in the history")
	// ErrVersionNotFound is returned for a version that does not exist.
	ErrVersionNotFound = eris.New("no such version")
)

// Store reads and writes the settings in the platform's table service and object
// store. It is safe for concurrent use.
type Store struct {
	table         filbertford.Table
	objects       filbertford.ObjectStore
	timer         filbertford.Timer
	historyLength uint64

	mu         sync.Mutex
	cachedTree *fbtree.Tree
}

// NewStore returns a store that uses the platform's services.
func NewStore(table filbertford.Table, objects filbertford.ObjectStore, timer filbertford.Timer) *Store {
	return &Store{table: table, objects: objects, timer: timer, historyLength: HistoryLength}
}

// Head reads the head row. This is one read of one small row.
func (s *Store) Head(ctx context.Context) (Head, error) {
	rows, err := s.table.Read(ctx, headKey)
	if err != nil {
		return Head{}, eris.Wrap(err, "read head of settings")
	}
	if len(rows) != 1 {
		return Head{}, eris.Wrapf(ErrMalformed, "%d rows for the head", len(rows))
	}
	row := rows[0]
	if row.Version() == 0 {
		return Head{}, nil
	}
	head, err := decodeHead(row.Value())
	if err != nil {
		return Head{}, err
	}
	if head.version != row.Version() {
		return Head{}, eris.Wrapf(ErrMalformed, "head says version %d in row version %d", head.version, row.Version())
	}
	return head, nil
}

// Newest reads the newest tree. Before the first edit that is the default tree,
// with version 0.
func (s *Store) Newest(ctx context.Context) (*fbtree.Tree, error) {
	head, err := s.Head(ctx)
	if err != nil {
		return nil, err
	}
	return s.Load(ctx, head)
}

// Load reads the tree of the head. If the tree that it returned last is recent
// enough, it reads only the edits since that one.
func (s *Store) Load(ctx context.Context, head Head) (*fbtree.Tree, error) {
	if head.version == 0 {
		return fbtree.Default(), nil
	}
	if base := s.cachedBase(head.version); base != nil {
		tree, err := s.replay(ctx, base, head.version)
		if err == nil {
			s.updateCache(tree)
			return tree, nil
		}
		if errors.Is(err, filbertford.ErrUnavailable) {
			return nil, err
		}
	}
	tree, err := s.loadFromSnapshot(ctx, head)
	if err != nil {
		return nil, err
	}
	s.updateCache(tree)
	return tree, nil
}

// cachedBase returns the cached tree if it is not newer than the version and at
// most 2*SnapshotPeriod versions older, nil otherwise.
func (s *Store) cachedBase(version uint64) *fbtree.Tree {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.cachedTree == nil || s.cachedTree.Version() > version || version-s.cachedTree.Version() > 2*SnapshotPeriod {
		return nil
	}
	return s.cachedTree
}

func (s *Store) updateCache(tree *fbtree.Tree) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.cachedTree == nil || s.cachedTree.Version() < tree.Version() {
		s.cachedTree = tree
	}
}

// replay returns the tree with the edits after its version up to the version to
// applied.
func (s *Store) replay(ctx context.Context, tree *fbtree.Tree, to uint64) (*fbtree.Tree, error) {
	entries, err := s.Entries(ctx, tree.Version()+1, to)
	if err != nil {
		return nil, err
	}
	var changes []fbtree.Change
	for _, e := range entries {
		changes = append(changes, e.changes...)
	}
	next, err := tree.Apply(changes...)
	if err != nil {
		return nil, eris.Wrapf(err, "settings versions %d to %d", tree.Version()+1, to)
	}
	return next.WithVersion(to), nil
}

// TreeAt reads the tree of a version. It returns ErrVersionNotFound or
// ErrVersionOverwritten if the history does not have it.
func (s *Store) TreeAt(ctx context.Context, version uint64) (*fbtree.Tree, error) {
	tree, err := s.Newest(ctx)
	if err != nil {
		return nil, err
	}
	if version == 0 || version > tree.Version() {
		return nil, eris.Wrapf(ErrVersionNotFound, "version %d; want 1 to %d", version, tree.Version())
	}
	return s.revert(ctx, tree, version)
}

// revert returns the tree with the edits after the version to undone.
func (s *Store) revert(ctx context.Context, tree *fbtree.Tree, to uint64) (*fbtree.Tree, error) {
	entries, err := s.Entries(ctx, to+1, tree.Version())
	if err != nil {
		return nil, err
	}
	var changes []fbtree.Change
	for i := len(entries) - 1; i >= 0; i-- {
		changes = append(changes, entries[i].undo...)
	}
	older, err := tree.Apply(changes...)
	if err != nil {
		return nil, eris.Wrapf(err, "settings versions %d back to %d", tree.Version(), to)
	}
	return older.WithVersion(to), nil
}

// Entries reads the edits of the versions from first to last, inclusive. It returns
// none for an empty range, and ErrVersionOverwritten if one of them has been
// overwritten.
func (s *Store) Entries(ctx context.Context, first, last uint64) ([]Entry, error) {
	if first == 0 || first > last {
		return nil, nil
	}
	if last-first >= s.historyLength {
		return nil, eris.Wrapf(ErrVersionOverwritten, "version %d; the history holds %d", first, s.historyLength)
	}
	entries := make([]Entry, 0, last-first+1)
	for first <= last {
		end := min(last, first+maxReadRows-1)
		batch, err := s.readEntries(ctx, first, end)
		if err != nil {
			return nil, err
		}
		entries = append(entries, batch...)
		first = end + 1
	}
	return entries, nil
}

func (s *Store) readEntries(ctx context.Context, first, last uint64) ([]Entry, error) {
	var keys []string
	for v := first; v <= last; v++ {
		keys = append(keys, s.entryKey(v))
	}
	rows, err := s.table.Read(ctx, keys...)
	if err != nil {
		return nil, eris.Wrap(err, "read edits of settings")
	}
	if len(rows) != len(keys) {
		return nil, eris.Wrapf(ErrMalformed, "%d rows for %d edits", len(rows), len(keys))
	}
	entries := make([]Entry, len(rows))
	for i, row := range rows {
		if entries[i], err = s.decodeEntryRow(row, first+uint64(i)); err != nil {
			return nil, err
		}
	}
	return entries, nil
}

// decodeEntryRow decodes the row of the edit of the version. It fails if the row
// has the edit of another version.
func (s *Store) decodeEntryRow(row filbertford.Row, version uint64) (Entry, error) {
	if row.Version() == 0 {
		return Entry{}, eris.Wrapf(ErrVersionNotFound, "version %d", version)
	}
	e, err := decodeEntry(row.Value())
	if err != nil {
		return Entry{}, err
	}
	if e.version > version && (e.version-version)%s.historyLength == 0 {
		return Entry{}, eris.Wrapf(ErrVersionOverwritten, "version %d", version)
	}
	if e.version != version {
		return Entry{}, eris.Wrapf(ErrMalformed, "row of version %d holds version %d", version, e.version)
	}
	return e, nil
}

// entryKey returns the key of the row of the edit of a version.
func (s *Store) entryKey(version uint64) string {
	return entryPrefix + strconv.FormatUint(version%s.historyLength, 10)
}

// entryRowVersion returns the version that the row of an edit must have before the
// edit is written, which is the number of its earlier writes.
func (s *Store) entryRowVersion(version uint64) uint64 { return (version - 1) / s.historyLength }
