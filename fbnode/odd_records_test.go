package fbnode

import (
	"bytes"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/charmbracelet/log"

	"github.com/filbertford/filbertford"
	"github.com/filbertford/filbertford/fbevent"
	"github.com/filbertford/filbertford/fbtimer"
)

// malformedLines returns how many records were logged as malformed.
func malformedLines(output *bytes.Buffer) int {
	return strings.Count(output.String(), fbevent.RecordMalformed.ID())
}

// TestMalformedRecordIsLoggedOncePerVersion guards against a record that is logged at each read, as
// long as another writer leaves it in the table.
func TestMalformedRecordIsLoggedOncePerVersion(t *testing.T) {
	var output bytes.Buffer
	c := newTargetCache(recordDecoder{}, log.New(&output))
	now, version := time.Minute, uint64(0)
	put := func(full bool, values ...string) { // of t00, t01 and so on
		var changes []filbertford.Change
		for i, value := range values {
			version++
			changes = append(changes, filbertford.NewChange(filbertford.NewRow("t0"+strconv.Itoa(i), []byte(value), version)))
		}
		c.apply(now, full, filbertford.NewSnapshot(version, 0, changes...))
	}
	put(true, "nordnes", "malformed", "nordnes")
	put(false, "malformed")
	if n := malformedLines(&output); n != 2 {
		t.Fatalf("%d lines about two records", n)
	}
	malformed := filbertford.NewChange(filbertford.NewRow("t00", []byte("malformed"), version))
	odd := filbertford.NewChange(filbertford.NewRow("t01", []byte("malformed"), 2))
	for range 10 {
		now += removalDelay
		c.prune(now)
		version++
		good := filbertford.NewChange(filbertford.NewRow("t02", []byte("nordnes"), version))
		c.apply(now, true, filbertford.NewSnapshot(version, 0, malformed, odd, good))
	}
	if n := malformedLines(&output); n != 2 {
		t.Errorf("%d lines about two records after ten reads", n)
	}
	if records := c.inPool("nordnes"); len(records) != 1 || records[0].Draining() {
		t.Errorf("records are %v, want that of t02", records)
	}
}

// TestMalformedRecordsOfManyTargetsAreForgotten guards against memory that another writer fills by
// writing malformed records under many keys and removing them.
func TestMalformedRecordsOfManyTargetsAreForgotten(t *testing.T) {
	var output bytes.Buffer
	c := newTargetCache(recordDecoder{}, log.New(&output))
	for i := range 100 {
		row := filbertford.NewRow("odd-"+strconv.Itoa(i), []byte("malformed"), uint64(2*i+1))
		c.apply(time.Minute, false, filbertford.NewSnapshot(uint64(2*i+1), 0, filbertford.NewChange(row)))
		c.apply(time.Minute, false, filbertford.NewSnapshot(uint64(2*i+2), 0, filbertford.NewRemovalChange(filbertford.NewRow(row.Key(), nil, uint64(2*i+2)))))
	}
	c.prune(time.Minute + removalDelay)
	if n := len(c.decodedVersions) + len(c.records) + len(c.rows.byKey); n != 0 {
		t.Errorf("%d entries are kept of 100 records that no longer exist", n)
	}
}

// TestDataCentresOfOddRecordsAreLimited guards against a pool for each record of another writer,
// since all daemons claim, renew and report each pool.
func TestDataCentresOfOddRecordsAreLimited(t *testing.T) {
	n := newOwner(t)
	n.opts.DataCentres = []filbertford.DataCentre{testDataCentre, "z-empty"}
	var changes []filbertford.Change
	for i := range 1000 {
		changes = append(changes, filbertford.NewChange(filbertford.NewRow("odd-"+strconv.Itoa(i), []byte("a-"+strconv.Itoa(i)), 2)))
	}
	for i := range 3 { // of a data centre that the settings don't list yet
		changes = append(changes, filbertford.NewChange(filbertford.NewRow("new-"+strconv.Itoa(i), []byte("z-new"), 2)))
	}
	n.targetsChanged(fbtimer.SinceBoot(), false, filbertford.NewSnapshot(2, 0, changes...))
	pools := make(map[filbertford.DataCentre]bool)
	for _, s := range n.specs {
		if !isShard(s.ID()) {
			pools[s.DataCentre()] = true
		}
	}
	if len(pools) > 20 || !pools[testDataCentre] || !pools["z-empty"] || !pools["z-new"] {
		t.Errorf("there are %d pools, want the listed ones, that with most targets and few others", len(pools))
	}
}
