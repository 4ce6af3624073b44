package fbsched

import (
	"maps"
	"slices"
	"time"

	"github.com/filbertford/filbertford"
)

// recordChange is a change of the table of target records.
type recordChange struct {
	at      time.Duration
	id      filbertford.TargetID
	rec     filbertford.TargetRecord
	removed bool
}

// recordCache is an owner's view of the target records. Like that of a daemon, it keeps
// records for some time after their removal, and targets that left without draining.
type recordCache struct {
	next      int // the first change that it has not read
	records   map[filbertford.TargetID]filbertford.TargetRecord
	removedAt map[filbertford.TargetID]time.Duration
	departed  map[filbertford.TargetID]departedRecord
}

// departedRecord is the record of a target that left without draining, and when it did.
type departedRecord struct {
	rec filbertford.TargetRecord
	at  time.Duration
}

// read applies the changes up to the given time.
func (c *recordCache) read(now time.Duration, table []recordChange, upTo time.Duration) bool {
	changed := false
	for c.next < len(table) && table[c.next].at <= upTo {
		change := table[c.next]
		c.next++
		changed = true
		if change.removed {
			if _, ok := c.records[change.id]; ok && c.removedAt[change.id] == 0 {
				c.removedAt[change.id] = now
			}
			continue
		}
		c.records[change.id] = change.rec
		delete(c.removedAt, change.id)
		delete(c.departed, change.id)
	}
	return changed
}

// prune drops the records that were removed long ago.
func (c *recordCache) prune(now time.Duration) bool {
	pruned := false
	for id, at := range c.removedAt {
		if now-at < cacheRemovalDelay {
			continue
		}
		if !c.records[id].Draining() {
			c.departed[id] = departedRecord{rec: c.records[id], at: now}
		}
		delete(c.records, id)
		delete(c.removedAt, id)
		pruned = true
	}
	maps.DeleteFunc(c.departed, func(_ filbertford.TargetID, d departedRecord) bool { return now-d.at > cacheDepartureLimit })
	return pruned
}

// list returns the records of a pool's targets.
func (c *recordCache) list(pool filbertford.PoolID) []filbertford.TargetRecord {
	var out []filbertford.TargetRecord
	for _, id := range slices.Sorted(maps.Keys(c.records)) {
		if rec := c.records[id]; filbertford.PoolID(rec.DataCentre()) == pool {
			out = append(out, rec)
		}
	}
	return out
}

// writeRecord writes or removes a record after the delay.
func (r *overlapRun) writeRecord(delay time.Duration, rec filbertford.TargetRecord, removed bool) {
	r.after(delay, func() {
		if removed && r.plan.scenario.stored && r.recordedAgain(rec) {
			return
		}
		r.tracef("store: record of %s, started at %d, removed %v, draining %v", rec.Instance().ID(), rec.Instance().StartedAt(), removed, rec.Draining())
		r.table = append(r.table, recordChange{at: r.now, id: rec.Instance().ID(), rec: rec, removed: removed})
	})
}

// recordedAgain reports whether a target that has started again under its ID has written a newer
// record. That isn't removed with the earlier one, or the pool would have lost the target for good.
func (r *overlapRun) recordedAgain(rec filbertford.TargetRecord) bool {
	for _, change := range slices.Backward(r.table) {
		if change.id == rec.Instance().ID() {
			return !change.removed && change.rec.Instance().StartedAt() != rec.Instance().StartedAt()
		}
	}
	return false
}
