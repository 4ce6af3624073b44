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

// Limits and times of the platform's store, as the pages state them.
const (
	storeAnswer  = 4 * time.Millisecond
	maxPage      = 500
	maxEntries   = 100
	maxRowBytes  = 65536
	maxFeedWait  = 30 * time.Second
	operatorPart = "op"
)

type rowID struct{ table, part, key string }

type storedRow struct {
	value []byte
	ver   uint64
}

type change struct {
	id      rowID
	row     storedRow
	deleted bool
}

// store is a stand-in for the platform's metadata store.
type store struct {
	rec *record

	mu      sync.Mutex
	start   time.Time
	ver     uint64
	rows    map[rowID]storedRow
	history []change
	changed chan struct{}
	// lastConditional is the machine that last wrote under a condition.
	lastConditional string
}

func newStore(rec *record) *store {
	return &store{rec: rec, start: time.Now(), rows: make(map[rowID]storedRow), changed: make(chan struct{})}
}

// leader returns the machine that last wrote under a condition.
func (s *store) leader() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lastConditional
}

// owner returns the machine that has last claimed the tasks of a zone, as its row says.
func (s *store) owner(zone string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var row struct {
		Node string `json:"node"`
	}
	_ = json.Unmarshal(s.rows[rowID{"claims", "", zone}].value, &row) // without a row there is no machine
	return row.Node
}

// put writes a row as the operator and the workers do.
func (s *store) put(table, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ver++
	s.write(rowID{table, "", key}, value)
	s.notify()
}

func (s *store) remove(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	id := rowID{table, "", key}
	if _, ok := s.rows[id]; !ok {
		return
	}
	s.ver++
	s.drop(id)
	s.notify()
}

func (s *store) write(id rowID, value []byte) {
	r := storedRow{value: value, ver: s.ver}
	s.rows[id] = r
	s.history = append(s.history, change{id: id, row: r})
}

func (s *store) drop(id rowID) {
	if _, ok := s.rows[id]; !ok {
		return
	}
	delete(s.rows, id)
	s.history = append(s.history, change{id: id, row: storedRow{ver: s.ver}, deleted: true})
}

func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

type rowBody struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Ver     uint64 `json:"ver"`
	Deleted bool   `json:"deleted,omitempty"`
}

type rowsBody struct {
	Rows      []rowBody `json:"rows"`
	MorePages bool      `json:"morePages"`
	Ver       uint64    `json:"ver"`
	NowMS     int64     `json:"nowMs"`
}

type txBody struct {
	Expect []rowBody `json:"expectRev"`
	Puts   []rowBody `json:"puts"`
	Remove []rowBody `json:"remove"`
}

func bodyOf(id rowID, r storedRow) rowBody {
	return rowBody{Table: id.table, Part: id.part, Key: id.key, Value: r.value, Ver: r.ver}
}

// handler returns the handler of the calls of one machine.
func (s *store) handler(machine string) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /-/rows-tx", func(w http.ResponseWriter, r *http.Request) { s.transaction(machine, w, r) })
	mux.HandleFunc("GET /-/rows-get", s.get)
	mux.HandleFunc("GET /-/rows-feed", s.feed)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(storeAnswer)
		mux.ServeHTTP(w, r)
	})
}

func (s *store) transaction(machine string, w http.ResponseWriter, r *http.Request) {
	var t txBody
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil || len(t.Expect)+len(t.Puts)+len(t.Remove) > maxEntries {
		http.Error(w, "bad transaction", http.StatusBadRequest)
		return
	}
	for _, p := range t.Puts {
		if len(p.Value) > maxRowBytes || p.Table == operatorPart || p.Table == "servers" {
			http.Error(w, "bad row", http.StatusForbidden)
			return
		}
	}
	body, ok := s.commit(machine, t)
	status := http.StatusOK
	if !ok {
		status = http.StatusPreconditionFailed
	}
	writeJSON(w, status, body)
}

func (s *store) commit(machine string, t txBody) (rowsBody, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	body := rowsBody{Rows: []rowBody{}, Ver: s.ver, NowMS: time.Since(s.start).Milliseconds()}
	for _, e := range t.Expect {
		id := rowID{e.Table, e.Part, e.Key}
		if s.rows[id].ver != e.Ver {
			for _, e := range t.Expect {
				id := rowID{e.Table, e.Part, e.Key}
				if r, ok := s.rows[id]; ok {
					body.Rows = append(body.Rows, bodyOf(id, r))
				}
			}
			return body, false
		}
	}
	if len(t.Expect) > 0 {
		s.lastConditional = machine
	}
	s.ver++
	for _, p := range t.Puts {
		s.write(rowID{p.Table, p.Part, p.Key}, p.Value)
	}
	for _, p := range t.Remove {
		s.drop(rowID{p.Table, p.Part, p.Key})
	}
	s.notify()
	body.Ver = s.ver
	return body, true
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	table, part, from, to := q.Get("table"), q.Get("part"), q.Get("from"), q.Get("target")
	limit, err := strconv.Atoi(q.Get("limit"))
	if err != nil || limit <= 0 || limit > maxPage {
		limit = maxPage
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	body := rowsBody{Rows: []rowBody{}, Ver: s.ver, NowMS: time.Since(s.start).Milliseconds()}
	for id, row := range s.rows {
		if id.table == table && id.part == part && id.key >= from && (to == "" || id.key < to) {
			body.Rows = append(body.Rows, bodyOf(id, row))
		}
	}
	slices.SortFunc(body.Rows, func(a, b rowBody) int { return strings.Compare(a.Key, b.Key) })
	if len(body.Rows) > limit {
		body.Rows, body.MorePages = body.Rows[:limit], true
	}
	writeJSON(w, http.StatusOK, body)
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	table := q.Get("table")
	after, err := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, waitErr := strconv.Atoi(q.Get("waitMs"))
	if err != nil || waitErr != nil {
		http.Error(w, "bad query", http.StatusBadRequest)
		return
	}
	timer := time.NewTimer(min(time.Duration(wait)*time.Millisecond, maxFeedWait))
	defer timer.Stop()
	for {
		body, changed := s.changesAfter(table, after)
		if len(body.Rows) > 0 {
			writeJSON(w, http.StatusOK, body)
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			writeJSON(w, http.StatusOK, body)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) changesAfter(table string, after uint64) (rowsBody, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	body := rowsBody{Rows: []rowBody{}, Ver: s.ver, NowMS: time.Since(s.start).Milliseconds()}
	i, _ := slices.BinarySearchFunc(s.history, after+1, func(c change, v uint64) int {
		switch {
		case c.row.ver < v:
			return -1
		case c.row.ver > v:
			return 1
		}
		return 0
	})
	for i > 0 && s.history[i-1].row.ver > after { // rows of one transaction share a version
		i--
	}
	for _, c := range s.history[i:] {
		if c.id.table != table || c.row.ver <= after {
			continue
		}
		if len(body.Rows) >= maxPage && body.Rows[len(body.Rows)-1].Ver != c.row.ver {
			body.MorePages, body.Ver = true, body.Rows[len(body.Rows)-1].Ver
			break
		}
		b := bodyOf(c.id, c.row)
		b.Deleted = c.deleted
		body.Rows = append(body.Rows, b)
	}
	return body, s.changed
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // fails only if the caller has left
}
