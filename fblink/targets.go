package fblink

import (
	"github.com/filbertford/filbertford"
	"github.com/filbertford/filbertford/fbfleet"
	"github.com/filbertford/filbertford/fbwire"
)

// TargetsPull requests the rows of the targets' table whose keys sort after a key.
type TargetsPull struct{ after string }

// NewTargetsPull returns a request for the rows after the key, all if it is empty.
func NewTargetsPull(after string) TargetsPull { return TargetsPull{after: after} }

// After returns the key.
func (p TargetsPull) After() string { return p.after }

// TargetsPush carries the rows that a TargetsPull has requested, or the first of them.
type TargetsPush struct {
	version uint64
	after   string
	rows    []filbertford.Row
	more    bool
}

// NewTargetsPush returns rows as of a version of the store, in the order of their keys, that
// sort after the given key. More states that further rows follow.
func NewTargetsPush(version uint64, after string, more bool, rows ...filbertford.Row) TargetsPush {
	return TargetsPush{version: version, after: after, rows: rows, more: more}
}

// Version returns the version of the store as of which the sender knows the table.
func (p TargetsPush) Version() uint64 { return p.version }

// After returns the key of the request.
func (p TargetsPush) After() string { return p.after }

// Rows returns the rows.
func (p TargetsPush) Rows() []filbertford.Row { return p.rows }

// More reports whether further rows follow the last one.
func (p TargetsPush) More() bool { return p.more }

func targetsToWire(m Message) *fbwire.Message {
	if pull, ok := m.(TargetsPull); ok {
		return &fbwire.Message{Kind: &fbwire.Message_TargetsPull{TargetsPull: &fbwire.TargetsPull{After: pull.after}}}
	}
	push := m.(TargetsPush)
	w := &fbwire.TargetsPush{Version: push.version, After: push.after, More: push.more}
	for _, r := range push.rows {
		w.Rows = append(w.Rows, &fbwire.TargetRow{Key: r.Key(), Version: r.Version(), Value: r.Value()})
	}
	return &fbwire.Message{Kind: &fbwire.Message_TargetsPush{TargetsPush: w}}
}

func targetsPushFromWire(w *fbwire.TargetsPush) TargetsPush {
	var rows []filbertford.Row
	for _, r := range w.GetRows() {
		rows = append(rows, filbertford.NewRow(r.GetKey(), r.GetValue(), r.GetVersion()))
	}
	return NewTargetsPush(w.GetVersion(), w.GetAfter(), w.GetMore(), rows...)
}

func targetKnowledge(w *fbwire.Beat) fbfleet.TargetKnowledge {
	switch {
	case w.GetWithoutTargets():
		return fbfleet.TargetsUnknown
	case w.GetTargets() > 0:
		return fbfleet.TargetsKnown
	}
	return fbfleet.TargetsUnstated
}
