package fbstandin

import (
	"slices"
	"strings"
	"sync"
	"time"
)

// Limits of the metadata store, the same as the platform's.
const (
	maxTransactionEntries = 100
	maxPageSize           = 500
	maxValueBytes         = 64 << 10
)

// RowFaults are the faults that a RowStore simulates.
type RowFaults struct {
	// Outage is "busy" to answer all calls with a 503, "silent" to answer none, or
	// empty for no outage.
	Outage string `json:"down"`
	// LoseReplyEvery applies every n-th transaction without sending its reply; 0
	// sends all replies.
	LoseReplyEvery int `json:"lose_one_in"`
	// DelayMS is the delay of each call in milliseconds.
	DelayMS int `json:"delay_ms"`
}

// RowStore is a stand-in for the platform's metadata store: rows with versions,
// conditional transactions and a feed of changes.
type RowStore struct {
	mu               sync.Mutex
	startedAt        time.Time
	version          uint64
	rows             map[rowID]storedRow
	changeLog        []rowChange
	compactedVersion uint64 // the feed has the changes after this version
	changed          chan struct{}
	faults           RowFaults
	commits          int
}

type rowID struct{ table, partition, key string }

type storedRow struct {
	value   []byte
	version uint64
}

type rowChange struct {
	id      rowID
	row     storedRow
	deleted bool
}

// NewRowStore returns an empty store.
func NewRowStore() *RowStore {
	return &RowStore{startedAt: time.Now(), rows: make(map[rowID]storedRow), changed: make(chan struct{})}
}

// SetFaults replaces the faults that the store simulates.
func (s *RowStore) SetFaults(f RowFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

func (s *RowStore) currentFaults() RowFaults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// Put writes a row without a condition, as operators and targets do, and returns
// its version.
func (s *RowStore) Put(table, partition, key string, value []byte) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.writeRow(rowID{table, partition, key}, value)
	s.notifyWaiters()
	return s.version
}

// Remove removes a row.
func (s *RowStore) Remove(table, partition, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.deleteRow(rowID{table, partition, key})
	s.notifyWaiters()
}

// Compact discards the history of changes, so that requests for the feed from an
// earlier version get a 410.
func (s *RowStore) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.changeLog, s.compactedVersion = nil, s.version
	s.notifyWaiters()
}

// writeRow stores a row at the current version. The caller holds the lock.
func (s *RowStore) writeRow(id rowID, value []byte) {
	row := storedRow{value: value, version: s.version}
	s.rows[id] = row
	s.changeLog = append(s.changeLog, rowChange{id: id, row: row})
}

func (s *RowStore) deleteRow(id rowID) {
	if _, ok := s.rows[id]; !ok {
		return
	}
	delete(s.rows, id)
	s.changeLog = append(s.changeLog, rowChange{id: id, row: storedRow{version: s.version}, deleted: true})
}

func (s *RowStore) notifyWaiters() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// now returns the store's monotonic clock in milliseconds.
func (s *RowStore) now() int64 { return time.Since(s.startedAt).Milliseconds() }

// commit applies a transaction and returns the new version. If a row isn't at its
// expected version, it applies nothing and returns the current version and false.
func (s *RowStore) commit(expected map[rowID]uint64, puts map[rowID][]byte, removals []rowID) (uint64, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, version := range expected {
		if s.rows[id].version != version {
			return s.version, false
		}
	}
	s.version++
	for id, value := range puts {
		s.writeRow(id, value)
	}
	for _, id := range removals {
		s.deleteRow(id)
	}
	s.commits++
	s.notifyWaiters()
	return s.version, true
}

// loseReply reports whether to discard the reply to the last applied
// transaction.
func (s *RowStore) loseReply() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults.LoseReplyEvery > 0 && s.commits%s.faults.LoseReplyEvery == 0
}

// scan returns one page of a partition's rows with keys in [from, to), sorted by
// key, whether there are more, and the store's version. If to is empty, the range
// has no upper bound.
func (s *RowStore) scan(table, partition, from, to string, limit int) (page []rowChange, more bool, version uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, row := range s.rows {
		if id.table == table && id.partition == partition && id.key >= from && (to == "" || id.key < to) {
			page = append(page, rowChange{id: id, row: row})
		}
	}
	slices.SortFunc(page, func(a, b rowChange) int { return strings.Compare(a.id.key, b.id.key) })
	if limit <= 0 || limit > maxPageSize {
		limit = maxPageSize
	}
	if len(page) > limit {
		return page[:limit], true, s.version
	}
	return page, false, s.version
}

// changes returns a table's changes after a version, whether the store still has
// all of them, the current version, and a channel that is closed at the next
// change.
func (s *RowStore) changes(table string, after uint64) (list []rowChange, retained bool, version uint64, changed <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if after < s.compactedVersion {
		return nil, false, s.version, s.changed
	}
	for _, c := range s.changeLog {
		if c.id.table == table && c.row.version > after {
			list = append(list, c)
		}
	}
	return list, true, s.version, s.changed
}
