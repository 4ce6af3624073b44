package fbnode

import (
	"maps"
	"slices"

	"github.com/charmbracelet/log"

	"github.com/filbertford/filbertford"
	"github.com/filbertford/filbertford/fbevent"
)

// targetTable holds the records of targets as last read.
type targetTable struct {
	rows    *rows
	decoder Decoder
	log     *log.Logger
	records map[string]filbertford.TargetRecord
	decoded map[string]uint64
}

func newTargetTable(d Decoder, l *log.Logger) *targetTable {
	return &targetTable{
		rows: newRows(), decoder: d, log: l,
		records: make(map[string]filbertford.TargetRecord),
		decoded: make(map[string]uint64),
	}
}

// apply takes in the whole table or changes, and reports whether any record is
// new. A record that can't be read names no target.
func (t *targetTable) apply(full bool, s filbertford.Snapshot) bool {
	if !t.rows.apply(full, s) {
		return false
	}
	for key := range t.records {
		if _, ok := t.rows.byKey[key]; !ok {
			delete(t.records, key)
			delete(t.decoded, key)
		}
	}
	for key, row := range t.rows.byKey {
		if v, ok := t.decoded[key]; ok && v == row.Version() {
			continue
		}
		t.decoded[key] = row.Version()
		rec, err := t.decoder.DecodeTarget(key, row.Value())
		if err != nil {
			fbevent.RecordMalformed.Log(t.log, "target", key, "version", row.Version(), "error", err)
			delete(t.records, key)
			continue
		}
		t.records[key] = rec
	}
	return true
}

// pool returns the records of a pool's targets, by name.
func (t *targetTable) pool(id filbertford.PoolID) []filbertford.TargetRecord {
	var out []filbertford.TargetRecord
	for _, key := range slices.Sorted(maps.Keys(t.records)) {
		if rec := t.records[key]; homePool(rec.Zone()) == id {
			out = append(out, rec)
		}
	}
	return out
}

// zones returns the data centres of all targets.
func (t *targetTable) zones() []filbertford.DataCentre {
	seen := make(map[filbertford.DataCentre]bool)
	for _, rec := range t.records {
		seen[rec.Zone()] = true
	}
	return slices.Sorted(maps.Keys(seen))
}
