package fbnode

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/charmbracelet/log"

	"github.com/filbertford/filbertford"
	"github.com/filbertford/filbertford/fbevent"
)

// targetCache holds the target records as last read from the store.
type targetCache struct {
	rows            *rowCache
	decoder         Decoder
	log             *log.Logger
	records         map[string]filbertford.TargetRecord
	decodedVersions map[string]uint64
	readAt          time.Duration // when the records were last read, 0 if never
	version         uint64        // of the store as of which the records are known, 0 for none
	fromDaemon      bool          // the rows are those of another daemon
	sortedKeys      []string      // of the rows, nil if they have changed
	// removedAt holds the times at which rows were removed or became malformed. Their
	// records are kept for removalDelay.
	removedAt map[string]time.Duration
	malformed map[string]bool // targets whose last row can't be decoded
	// departed holds the targets whose record was removed although they were not
	// draining.
	departed map[string]departure
}

// departure describes the removal of a target's record.
type departure struct {
	rec       filbertford.TargetRecord
	removedAt time.Duration
}

const (
	// removalDelay is how long a record is kept after its row was removed. Rows that
	// expired while the store was unavailable are written again within two seconds
	// of its return.
	removalDelay = 2500 * time.Millisecond
	// departureTimeout is how long a departed target counts as one that may still
	// run tasks of an earlier owner of its pool.
	departureTimeout = 20 * time.Second
)

func newTargetCache(d Decoder, l *log.Logger) *targetCache {
	return &targetCache{
		rows: newRowCache(), decoder: d, log: l,
		records:         make(map[string]filbertford.TargetRecord),
		decodedVersions: make(map[string]uint64),
		removedAt:       make(map[string]time.Duration),
		malformed:       make(map[string]bool),
		departed:        make(map[string]departure),
	}
}

// apply applies the whole table if full is set and changes of it otherwise. It
// reports whether any row has changed. A target whose record can't be decoded gets no
// tasks, but may still run some, like one whose record was removed.
func (t *targetCache) apply(now time.Duration, full bool, s filbertford.Snapshot) bool {
	if !t.rows.apply(full, s) {
		return false
	}
	t.sortedKeys = nil
	for key := range t.records {
		if _, ok := t.rows.byKey[key]; !ok && t.removedAt[key] == 0 {
			t.removedAt[key] = now
		}
	}
	for key, row := range t.rows.byKey {
		if v, ok := t.decodedVersions[key]; ok && v == row.Version() {
			continue
		}
		t.decodedVersions[key] = row.Version()
		rec, err := t.decoder.DecodeTarget(key, row.Value())
		if err != nil {
			fbevent.RecordMalformed.Log(t.log, "target", key, "version", row.Version(), "error", err)
			t.setMalformed(now, key)
			continue
		}
		t.records[key] = rec
		delete(t.removedAt, key)
		delete(t.malformed, key)
		delete(t.departed, key)
	}
	t.dropVersions()
	return true
}

// dropVersions drops the decoded versions of the targets that have neither a row nor a record. That
// of a malformed row is kept while the row exists, so that the row is logged only once.
func (t *targetCache) dropVersions() {
	maps.DeleteFunc(t.decodedVersions, func(key string, _ uint64) bool {
		_, hasRow := t.rows.byKey[key]
		_, hasRecord := t.records[key]
		return !hasRow && !hasRecord
	})
}

func (t *targetCache) setMalformed(now time.Duration, key string) {
	rec, ok := t.records[key]
	if !ok {
		return
	}
	t.records[key] = rec.WithDraining(true)
	t.malformed[key] = true
	if t.removedAt[key] == 0 {
		t.removedAt[key] = now
	}
}

// prune drops the records whose rows were removed removalDelay ago or earlier, and
// reports whether there were any.
func (t *targetCache) prune(now time.Duration) bool {
	pruned := false
	for key, at := range t.removedAt {
		if now-at < removalDelay {
			continue
		}
		if rec := t.records[key]; !rec.Draining() || t.malformed[key] {
			t.departed[key] = departure{rec: rec, removedAt: now}
		}
		delete(t.records, key)
		delete(t.removedAt, key)
		delete(t.malformed, key)
		pruned = true
	}
	if pruned {
		t.dropVersions()
	}
	for key, d := range t.departed {
		if now-d.removedAt > departureTimeout {
			delete(t.departed, key)
		}
	}
	return pruned
}

// departures returns the records of the targets that have left a pool without draining
// first, sorted by ID.
func (t *targetCache) departures(id filbertford.PoolID) []filbertford.TargetRecord {
	var out []filbertford.TargetRecord
	for _, key := range slices.Sorted(maps.Keys(t.departed)) {
		if rec := t.departed[key].rec; dataCentrePool(rec.DataCentre()) == id {
			out = append(out, rec)
		}
	}
	return out
}

// inPool returns the records of a pool's targets, sorted by ID.
func (t *targetCache) inPool(id filbertford.PoolID) []filbertford.TargetRecord {
	var out []filbertford.TargetRecord
	for _, key := range slices.Sorted(maps.Keys(t.records)) {
		if rec := t.records[key]; dataCentrePool(rec.DataCentre()) == id {
			out = append(out, rec)
		}
	}
	return out
}

// dataCentres returns the data centres of all targets, those with the most targets first.
func (t *targetCache) dataCentres() []filbertford.DataCentre {
	counts := make(map[filbertford.DataCentre]int)
	for _, rec := range t.records {
		counts[rec.DataCentre()]++
	}
	return slices.SortedFunc(maps.Keys(counts), func(a, b filbertford.DataCentre) int {
		return cmp.Or(cmp.Compare(counts[b], counts[a]), cmp.Compare(a, b))
	})
}
