package main

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Limits and times of the platform's store, as the settings of a process state them.
const (
	rowBytes     = 65536
	maxCallBytes = 1 << 20
	maxEntries   = 100
	maxPageRows  = 500
	maxFeedWait  = 30 * time.Second
	answerTime   = 4 * time.Millisecond
)

// store is a stand-in of the platform's metadata store.
type store struct {
	lab     *lab
	started time.Time

	mu      sync.Mutex
	version uint64
	rows    map[rowKey]storedRow
	changes []row
	changed chan struct{}
	leader  *daemon // that wrote last under a condition
}

type rowKey struct{ table, part, key string }

type storedRow struct {
	value   []byte
	version uint64
}

// row is a row in a body.
type row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Ver     uint64 `json:"ver"`
	Deleted bool   `json:"deleted,omitempty"`
}

func (r row) id() rowKey { return rowKey{r.Table, r.Part, r.Key} }

type rows struct {
	Rows      []row  `json:"rows"`
	MorePages bool   `json:"morePages"`
	Ver       uint64 `json:"ver"`
	NowMS     int64  `json:"nowMs"`
}

type transaction struct {
	ExpectRev []row `json:"expectRev"`
	Puts      []row `json:"puts"`
	Remove    []row `json:"remove"`
}

func newStore(l *lab) *store {
	return &store{lab: l, started: time.Now(), rows: make(map[rowKey]storedRow), changed: make(chan struct{})}
}

// serveDaemon serves the store for a daemon at an address of its own, which shows whose calls are whose.
func (s *store) serveDaemon(d *daemon) (*server, error) {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /-/rows-tx", func(w http.ResponseWriter, r *http.Request) { s.transact(d, w, r) })
	mux.HandleFunc("GET /-/rows-get", s.get)
	mux.HandleFunc("GET /-/rows-feed", s.feed)
	return s.lab.serve(mux)
}

// lastWriter returns the daemon that wrote last under a condition.
func (s *store) lastWriter() *daemon {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.leader
}

// put writes a row as the operator and the workers do.
func (s *store) put(table, key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err) // the values are those of this program
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.write(rowKey{table, "", key}, data)
	s.notify()
}

// drop removes a row.
func (s *store) drop(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.remove(rowKey{table, "", key})
	s.notify()
}

func (s *store) write(id rowKey, value []byte) {
	s.rows[id] = storedRow{value, s.version}
	s.changes = append(s.changes, row{Table: id.table, Part: id.part, Key: id.key, Value: value, Ver: s.version})
}

func (s *store) remove(id rowKey) {
	if _, ok := s.rows[id]; ok {
		delete(s.rows, id)
		s.changes = append(s.changes, row{Table: id.table, Part: id.part, Key: id.key, Ver: s.version, Deleted: true})
	}
}

func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) now() int64 { return time.Since(s.started).Milliseconds() }

func (s *store) transact(d *daemon, w http.ResponseWriter, r *http.Request) {
	time.Sleep(answerTime)
	var t transaction
	r.Body = http.MaxBytesReader(w, r.Body, maxCallBytes)
	if err := decode(r, &t); err != nil {
		s.refuse(w, http.StatusRequestEntityTooLarge, "the call can't be read: "+err.Error())
		return
	}
	if len(t.ExpectRev)+len(t.Puts)+len(t.Remove) > maxEntries {
		s.refuse(w, http.StatusBadRequest, "too many entries")
		return
	}
	for _, p := range t.Puts {
		if len(p.Value) > rowBytes {
			s.refuse(w, http.StatusBadRequest, "the row "+p.Key+" has "+strconv.Itoa(len(p.Value))+" bytes, at most "+strconv.Itoa(rowBytes)+" are taken")
			return
		}
		if p.Table == "op" || p.Table == "servers" {
			s.refuse(w, http.StatusForbidden, "not the system's table")
			return
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	conflict := false
	current := rows{Rows: []row{}, NowMS: s.now()}
	for _, e := range t.ExpectRev {
		stored := s.rows[e.id()]
		conflict = conflict || stored.version != e.Ver
		if stored.version != 0 {
			current.Rows = append(current.Rows, row{Table: e.Table, Part: e.Part, Key: e.Key, Value: stored.value, Ver: stored.version})
		}
	}
	if conflict {
		current.Ver = s.version
		reply(w, http.StatusPreconditionFailed, current)
		return
	}
	if len(t.ExpectRev) > 0 {
		s.leader = d
	}
	s.version++
	for _, p := range t.Puts {
		s.write(p.id(), p.Value)
	}
	for _, d := range t.Remove {
		s.remove(d.id())
	}
	s.notify()
	reply(w, http.StatusOK, rows{Rows: []row{}, Ver: s.version, NowMS: s.now()})
}

// refuse refuses a call, of which nothing was done.
func (s *store) refuse(w http.ResponseWriter, status int, reason string) {
	s.lab.note("store refuses a call with %d: %.200s", status, reason)
	reply(w, status, map[string]string{"error": reason})
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	time.Sleep(answerTime)
	q := r.URL.Query()
	limit, _ := strconv.Atoi(q.Get("limit")) // 0 without one
	if limit <= 0 || limit > maxPageRows {
		limit = maxPageRows
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	out := rows{Rows: []row{}, Ver: s.version, NowMS: s.now()}
	var all []row
	for id, stored := range s.rows {
		if id.table == q.Get("table") && id.part == q.Get("part") && id.key >= q.Get("from") && (q.Get("target") == "" || id.key < q.Get("target")) {
			all = append(all, row{Table: id.table, Part: id.part, Key: id.key, Value: stored.value, Ver: stored.version})
		}
	}
	slices.SortFunc(all, func(a, b row) int { return strings.Compare(a.Key, b.Key) })
	size := 0
	for _, r := range all {
		if size += len(r.Value); len(out.Rows) == limit || size > maxCallBytes && len(out.Rows) > 0 {
			out.MorePages = true
			break
		}
		out.Rows = append(out.Rows, r)
	}
	reply(w, http.StatusOK, out)
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	time.Sleep(answerTime)
	q := r.URL.Query()
	after, err := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, err2 := strconv.Atoi(q.Get("waitMs"))
	if err != nil || err2 != nil {
		s.refuse(w, http.StatusBadRequest, "after or waitMs is not a number")
		return
	}
	timer := time.NewTimer(min(time.Duration(wait)*time.Millisecond, maxFeedWait))
	defer timer.Stop()
	for {
		out, changed := s.changesAfter(q.Get("table"), after)
		if len(out.Rows) > 0 {
			reply(w, http.StatusOK, out)
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			reply(w, http.StatusOK, out)
			return
		case <-r.Context().Done():
			return
		case <-s.lab.ctx.Done():
			return
		}
	}
}

// changesAfter returns the changes of a table after a version, and a channel that is closed at the
// next change.
func (s *store) changesAfter(table string, after uint64) (rows, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := rows{Rows: []row{}, Ver: s.version, NowMS: s.now()}
	first, _ := slices.BinarySearchFunc(s.changes, after+1, func(c row, ver uint64) int {
		switch {
		case c.Ver < ver:
			return -1
		case c.Ver > ver:
			return 1
		}
		return 0
	})
	for _, c := range s.changes[first:] {
		if c.Table == table {
			out.Rows = append(out.Rows, c)
		}
	}
	return out, s.changed
}
