package fbstand

import (
	"slices"
	"strings"
	"sync"
	"time"
)

// Limits of the stand-in of the metadata store, as those of the platform.
const (
	maxEntries   = 100
	rowsPageSize = 500
)

// RowFaults are the faults that a RowStore shows.
type RowFaults struct {
	// Down is the answer to all calls: "busy" for a 503, "silent" for none.
	Down string `json:"down"`
	// LoseOneIn loses the answer to each n-th transaction, which is applied; 0
	// loses none.
	LoseOneIn int `json:"lose_one_in"`
	// Delay is the time by which answers are late, in milliseconds.
	DelayMS int `json:"delay_ms"`
}

// RowStore is a stand-in for the platform's metadata store: rows with versions,
// transactions under conditions, and a feed of changes.
type RowStore struct {
	mu      sync.Mutex
	begun   time.Time
	version uint64
	rows    map[rowName]storedRow
	log     []rowChange
	oldest  uint64 // the feed knows the changes after this version
	changed chan struct{}
	faults  RowFaults
	commits int
}

type rowName struct{ table, part, key string }

type storedRow struct {
	value   []byte
	version uint64
}

type rowChange struct {
	name    rowName
	row     storedRow
	deleted bool
}

// NewRowStore returns an empty store.
func NewRowStore() *RowStore {
	return &RowStore{begun: time.Now(), rows: make(map[rowName]storedRow), changed: make(chan struct{})}
}

// SetFaults replaces the faults that the store shows.
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

// Put writes a row without a condition, as operators and targets do.
func (s *RowStore) Put(table, part, key string, value []byte) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.write(rowName{table, part, key}, value)
	s.wake()
	return s.version
}

// Remove removes a row.
func (s *RowStore) Remove(table, part, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.drop(rowName{table, part, key})
	s.wake()
}

// Compact drops the history of changes.
func (s *RowStore) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.log, s.oldest = nil, s.version
	s.wake()
}

// write stores a row at the present version; the caller holds the lock.
func (s *RowStore) write(name rowName, value []byte) {
	row := storedRow{value: value, version: s.version}
	s.rows[name] = row
	s.log = append(s.log, rowChange{name: name, row: row})
}

func (s *RowStore) drop(name rowName) {
	if _, ok := s.rows[name]; !ok {
		return
	}
	delete(s.rows, name)
	s.log = append(s.log, rowChange{name: name, row: storedRow{version: s.version}, deleted: true})
}

func (s *RowStore) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// now returns the store's steady clock in milliseconds.
func (s *RowStore) now() int64 { return time.Since(s.begun).Milliseconds() }

// transact applies a transaction. If a condition does not hold, it returns the
// rows that were expected, and applies nothing.
func (s *RowStore) transact(expect map[rowName]uint64, puts map[rowName][]byte, removals []rowName) (uint64, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for name, version := range expect {
		if s.rows[name].version != version {
			return s.version, false
		}
	}
	s.version++
	for name, value := range puts {
		s.write(name, value)
	}
	for _, name := range removals {
		s.drop(name)
	}
	s.commits++
	s.wake()
	return s.version, true
}

// lose reports whether the answer to the last transaction is to be lost.
func (s *RowStore) lose() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults.LoseOneIn > 0 && s.commits%s.faults.LoseOneIn == 0
}

// scan returns up to a page of a part's rows from a key on.
func (s *RowStore) scan(table, part, from, to string, limit int) (page []rowChange, more bool, version uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for name, row := range s.rows {
		if name.table == table && name.part == part && name.key >= from && (to == "" || name.key < to) {
			page = append(page, rowChange{name: name, row: row})
		}
	}
	slices.SortFunc(page, func(a, b rowChange) int { return strings.Compare(a.name.key, b.name.key) })
	if limit <= 0 || limit > rowsPageSize {
		limit = rowsPageSize
	}
	if len(page) > limit {
		return page[:limit], true, s.version
	}
	return page, false, s.version
}

// changes returns a table's changes after a version, whether they are known, and
// what is closed when there are more.
func (s *RowStore) changes(table string, after uint64) (list []rowChange, known bool, version uint64, changed <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if after < s.oldest {
		return nil, false, s.version, s.changed
	}
	for _, c := range s.log {
		if c.name.table == table && c.row.version > after {
			list = append(list, c)
		}
	}
	return list, true, s.version, s.changed
}
