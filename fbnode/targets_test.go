package fbnode

import (
	"io"
	"strings"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/google/go-cmp/cmp"
	"github.com/rotisserie/eris"

	"github.com/filbertford/filbertford"
)

// TestMalformedRecordKeepsTargetKnown checks that a target whose record has become malformed gets
// no tasks, but isn't forgotten: it may still run tasks of an earlier owner of its pool.
func TestMalformedRecordKeepsTargetKnown(t *testing.T) {
	c := newTargetCache(recordDecoder{}, log.New(io.Discard))
	now := time.Minute
	row := func(version uint64, value string) filbertford.Snapshot {
		return filbertford.NewSnapshot(version, 0, filbertford.NewChange(filbertford.NewRow("t00", []byte(value), version)))
	}
	c.apply(now, true, row(1, "nordnes"))
	now += time.Second
	c.apply(now, false, row(2, "malformed"))
	records := c.inPool("nordnes")
	if len(records) != 1 || !records[0].Draining() {
		t.Fatalf("records are %v, want the target as draining", records)
	}
	c.prune(now + removalDelay)
	if n := len(c.inPool("nordnes")); n != 0 {
		t.Errorf("%d records after the delay, want 0", n)
	}
	var departed []filbertford.TargetID
	for _, rec := range c.departures("nordnes") {
		departed = append(departed, rec.Instance().ID())
	}
	if diff := cmp.Diff([]filbertford.TargetID{"t00"}, departed); diff != "" {
		t.Errorf("departures (-want +got):\n%s", diff)
	}
	c.apply(now+removalDelay, false, row(3, "nordnes"))
	if records := c.inPool("nordnes"); len(records) != 1 || records[0].Draining() || len(c.departures("nordnes")) > 0 {
		t.Errorf("records are %v after a good one, departures %v", records, c.departures("nordnes"))
	}
}

// recordDecoder decodes the value of a row as the target's data centre.
type recordDecoder struct{}

func (recordDecoder) IsRoutes(filbertford.Row) bool { return false }

func (recordDecoder) IsEvacuation(row filbertford.Row) bool {
	return strings.HasPrefix(row.Key(), "evacuate/")
}

func (recordDecoder) DecodeEvacuation(row filbertford.Row) (filbertford.DataCentre, error) {
	name := strings.TrimPrefix(row.Key(), "evacuate/")
	if name == "" {
		return "", eris.New("no name")
	}
	return filbertford.DataCentre(name), nil
}

func (recordDecoder) DecodeRoutes([]byte) (*filbertford.Routes, error) {
	return nil, eris.New("no routes")
}

func (recordDecoder) DecodeTarget(id string, value []byte) (filbertford.TargetRecord, error) {
	if string(value) == "malformed" {
		return filbertford.TargetRecord{}, eris.New("malformed")
	}
	instance := filbertford.NewTargetInstance(filbertford.TargetID(id), 1)
	return filbertford.NewTargetRecord(instance, "ordering", id+":80", filbertford.DataCentre(strings.TrimSpace(string(value))), filbertford.NewResources(4000, 1000, 0)), nil
}
