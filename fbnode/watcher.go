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
	// minBackoff and longestPause bound the time between two tries while the
	// store can't be reached; it doubles.
	minBackoff = 100 * time.Millisecond
	maxBackoff = time.Second
	// watchTimeout is the longest that the store holds back an answer without
	// changes. A connection that went silent is noticed that much later.
	watchTimeout = 2 * time.Second
	// ownerReadPeriod is the time between two reads of the targets' records, which each
	// target writes with every heartbeat, by a daemon that owns a pool; idlePace
	// that by one that owns none.
	ownerReadPeriod = 400 * time.Millisecond
	idleReadPeriod  = 2 * time.Second
)

// tableWatcher keeps a copy of a table of the store up to date.
type tableWatcher struct {
	store filbertford.Store
	table filbertford.TableName
	log   *log.Logger
	// readPeriod returns the least time between two reads of changes: a table whose rows
	// are written all the time would else be read for each of them.
	readPeriod func() time.Duration
	// wake ends the pause before the next read.
	wake chan struct{}
	// apply takes the whole table or its changes.
	apply func(full bool, s filbertford.Snapshot)
}

// run reads the table, and then its changes, until the context ends.
func (m *tableWatcher) run(ctx context.Context) error {
	var version uint64
	synced, unavailable := false, false
	backoff := minBackoff
	for ctx.Err() == nil {
		snap, err := m.read(ctx, synced, version)
		switch {
		case ctx.Err() != nil:
		case errors.Is(err, filbertford.ErrCompacted):
			fbevent.HistoryCompacted.Log(m.log, "table", m.table, "version", version)
			synced = false
			m.sleep(ctx, minBackoff)
		case err != nil:
			if !unavailable {
				fbevent.StoreUnreachable.Log(m.log, "table", m.table, "version", version, "error", err)
			}
			unavailable = true
			m.sleep(ctx, backoff)
			backoff = min(2*backoff, maxBackoff)
		default:
			if unavailable {
				fbevent.StoreReachable.Log(m.log, "table", m.table, "version", snap.Version())
			}
			m.apply(!synced, snap)
			version, synced, unavailable, backoff = snap.Version(), true, false, minBackoff
			m.sleep(ctx, m.readPeriod())
		}
	}
	return ctx.Err()
}

func (m *tableWatcher) read(ctx context.Context, synced bool, version uint64) (filbertford.Snapshot, error) {
	if synced {
		return m.store.Watch(ctx, m.table, version, watchTimeout)
	}
	return m.store.List(ctx, m.table, "")
}

func (m *tableWatcher) sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	select {
	case <-ctx.Done():
	case <-m.wake:
	case <-time.After(d):
	}
}

// rowCache is a copy of a table. Rows never go back to an older version, not even
// when a read returns old data.
type rowCache struct {
	byKey map[string]filbertford.Row
}

func newRowCache() *rowCache { return &rowCache{byKey: make(map[string]filbertford.Row)} }

// apply takes in the whole table or changes, and reports whether anything is
// new.
func (r *rowCache) apply(full bool, s filbertford.Snapshot) bool {
	changed := false
	present := make(map[string]bool, len(s.Changes()))
	for _, c := range s.Changes() {
		key := c.Row().Key()
		cached, ok := r.byKey[key]
		if ok && c.Row().Version() < cached.Version() {
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
		if !ok || c.Row().Version() != cached.Version() {
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
