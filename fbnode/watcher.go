package fbnode

import (
	"context"
	"errors"
	"time"

	"github.com/charmbracelet/log"

	"github.com/filbertford/filbertford"
	"github.com/filbertford/filbertford/fbevent"
)

// Periods and timeouts of a tableWatcher.
const (
	// minBackoff and maxBackoff bound the time between two attempts while the store
	// can't be reached. It doubles with each attempt.
	minBackoff = 100 * time.Millisecond
	maxBackoff = time.Second
	// watchWait is the longest time that the store holds a watch request without
	// changes. It adds to the time until a dead connection is detected.
	watchWait = 2 * time.Second
	// routesWatchWait is that of the routes, which must be in force soon after a change, also
	// if the connection was lost just before.
	routesWatchWait = time.Second
	// ownerReadPeriod is the time between two reads of the target records by a daemon
	// that owns a pool, candidateReadPeriod that by a daemon that ranks high enough to
	// claim one, idleReadPeriod that by any other: it has no use for the records, and
	// each target writes its own with every heartbeat. idleReadPeriod is shorter than
	// the time for which the platform keeps changes.
	ownerReadPeriod     = 400 * time.Millisecond
	candidateReadPeriod = 2 * time.Second
	idleReadPeriod      = 12 * time.Second
	// recordsTimeout is how long a new owner with old records waits for a read before
	// it starts tasks.
	recordsTimeout = 300 * time.Millisecond
)

// tableWatcher reads a table of the store and its changes, to keep a cache of the
// table up to date.
type tableWatcher struct {
	store filbertford.Store
	table filbertford.TableName
	log   *log.Logger
	wait  time.Duration // for changes, at the store
	// readPeriod returns the shortest time between two reads of changes. Without it,
	// a table whose rows are written all the time would be read for each write.
	readPeriod func() time.Duration
	// wake ends the wait before the next read.
	wake chan struct{}
	// apply is called with the whole table if full is set and with changes of it
	// otherwise.
	apply func(full bool, s filbertford.Snapshot)
}

// run reads the table and then watches it for changes until the context ends.
func (w *tableWatcher) run(ctx context.Context) error {
	var version uint64
	synced, unavailable := false, false
	backoff := minBackoff
	for ctx.Err() == nil {
		snap, err := w.read(ctx, synced, version)
		switch {
		case ctx.Err() != nil:
		case errors.Is(err, filbertford.ErrCompacted):
			fbevent.HistoryCompacted.Log(w.log, "table", w.table, "version", version)
			synced = false
			w.sleep(ctx, minBackoff)
		case err != nil:
			if !unavailable {
				fbevent.StoreUnreachable.Log(w.log, "table", w.table, "version", version, "error", err)
			}
			unavailable = true
			w.sleep(ctx, backoff)
			backoff = min(2*backoff, maxBackoff)
		default:
			if unavailable {
				fbevent.StoreReachable.Log(w.log, "table", w.table, "version", snap.Version())
			}
			w.apply(!synced, snap)
			version, synced, unavailable, backoff = snap.Version(), true, false, minBackoff
			w.sleep(ctx, w.readPeriod())
		}
	}
	return ctx.Err()
}

func (w *tableWatcher) read(ctx context.Context, synced bool, version uint64) (filbertford.Snapshot, error) {
	if synced {
		return w.store.Watch(ctx, w.table, version, w.wait)
	}
	return w.store.List(ctx, w.table, "")
}

func (w *tableWatcher) sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	select {
	case <-ctx.Done():
	case <-w.wake:
	case <-time.After(d):
	}
}

// rowCache is a copy of a table. A row is never replaced by an older version, not
// even when a read returns old data.
type rowCache struct {
	byKey map[string]filbertford.Row
}

func newRowCache() *rowCache { return &rowCache{byKey: make(map[string]filbertford.Row)} }

// apply applies the whole table if full is set and changes of it otherwise. It
// reports whether any row has changed.
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
