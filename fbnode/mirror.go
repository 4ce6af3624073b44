package fbnode

import (
	"context"
	"errors"
	"time"

	"github.com/charmbracelet/log"

	"github.com/filbertford/filbertford"
	"github.com/filbertford/filbertford/fbevent"
)

// Times of a mirror.
const (
	// firstPause and longestPause bound the time between two tries while the
	// store can't be reached; it doubles.
	firstPause   = 100 * time.Millisecond
	longestPause = time.Second
	// watchWait is the longest that the store holds back an answer without
	// changes. A connection that went silent is noticed that much later.
	watchWait = 2 * time.Second
	// ownerPace is the time between two reads of the targets' records, which each
	// target writes with every heartbeat, by a daemon that owns a pool; idlePace
	// that by one that owns none.
	ownerPace = 400 * time.Millisecond
	idlePace  = 2 * time.Second
)

// mirror keeps a copy of a table of the store up to date.
type mirror struct {
	store filbertford.Store
	table filbertford.TableName
	log   *log.Logger
	// pace returns the least time between two reads of changes: a table whose rows
	// are written all the time would else be read for each of them.
	pace func() time.Duration
	// hurry ends the pause before the next read.
	hurry chan struct{}
	// apply takes the whole table or its changes.
	apply func(full bool, s filbertford.Snapshot)
}

// run reads the table, and then its changes, until the context ends.
func (m *mirror) run(ctx context.Context) error {
	var version uint64
	synced, lost := false, false
	pause := firstPause
	for ctx.Err() == nil {
		snap, err := m.read(ctx, synced, version)
		switch {
		case ctx.Err() != nil:
		case errors.Is(err, filbertford.ErrHistoryGone):
			fbevent.HistoryGone.Log(m.log, "table", m.table, "version", version)
			synced = false
			m.sleep(ctx, firstPause)
		case err != nil:
			if !lost {
				fbevent.StoreLost.Log(m.log, "table", m.table, "version", version, "error", err)
			}
			lost = true
			m.sleep(ctx, pause)
			pause = min(2*pause, longestPause)
		default:
			if lost {
				fbevent.StoreBack.Log(m.log, "table", m.table, "version", snap.Version())
			}
			m.apply(!synced, snap)
			version, synced, lost, pause = snap.Version(), true, false, firstPause
			m.sleep(ctx, m.pace())
		}
	}
	return ctx.Err()
}

func (m *mirror) read(ctx context.Context, synced bool, version uint64) (filbertford.Snapshot, error) {
	if synced {
		return m.store.Watch(ctx, m.table, version, watchWait)
	}
	return m.store.List(ctx, m.table, "")
}

func (m *mirror) sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	select {
	case <-ctx.Done():
	case <-m.hurry:
	case <-time.After(d):
	}
}

// rows is a copy of a table. Rows never go back to an older version, not even
// when a read returns old data.
type rows struct {
	byKey map[string]filbertford.Row
}

func newRows() *rows { return &rows{byKey: make(map[string]filbertford.Row)} }

// apply takes in the whole table or changes, and reports whether anything is
// new.
func (r *rows) apply(full bool, s filbertford.Snapshot) bool {
	changed := false
	present := make(map[string]bool, len(s.Changes()))
	for _, c := range s.Changes() {
		key := c.Row().Key()
		known, ok := r.byKey[key]
		if ok && c.Row().Version() < known.Version() {
			present[key] = true
			continue
		}
		if c.Removed() {
			if ok {
				delete(r.byKey, key)
				changed = true
			}
			continue
		}
		present[key] = true
		if !ok || c.Row().Version() != known.Version() {
			r.byKey[key] = c.Row()
			changed = true
		}
	}
	if !full {
		return changed
	}
	for key, row := range r.byKey {
		if !present[key] && row.Version() <= s.Version() {
			delete(r.byKey, key)
			changed = true
		}
	}
	return changed
}
