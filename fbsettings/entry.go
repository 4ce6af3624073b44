package fbsettings

import (
	"encoding/json"
	"time"

	"github.com/rotisserie/eris"

	"github.com/filbertford/filbertford/fbtree"
)

// MaxRowBytes is the length in bytes of the largest row that holds an edit.
const MaxRowBytes = 512 << 10

// Head is the newest accepted version and who made it. The zero Head means that
// no version was accepted yet.
type Head struct {
	version  uint64
	request  string
	operator string
	at       time.Time
	snapshot uint64
}

// Version returns the newest version.
func (h Head) Version() uint64 { return h.version }

// Operator returns the operator who made the version.
func (h Head) Operator() string { return h.operator }

// At returns when the version was made, by the operator's clock.
func (h Head) At() time.Time { return h.at }

// headWire is the value of the head row.
type headWire struct {
	Version  uint64 `json:"version"`
	Request  string `json:"request"`
	Operator string `json:"who"`
	AtMS     int64  `json:"at_ms"`
	Snapshot uint64 `json:"snapshot"`
}

func encodeHead(h Head) []byte {
	// A struct of numbers and strings can always be marshalled.
	out, _ := json.Marshal(headWire{
		Version:  h.version,
		Request:  h.request,
		Operator: h.operator,
		AtMS:     h.at.UnixMilli(),
		Snapshot: h.snapshot,
	})
	return out
}

func decodeHead(data []byte) (Head, error) {
	var w headWire
	if err := json.Unmarshal(data, &w); err != nil {
		return Head{}, eris.Wrapf(ErrMalformed, "head: %v", err)
	}
	if w.Version == 0 || w.Snapshot > w.Version {
		return Head{}, eris.Wrapf(ErrMalformed, "head: version %d, snapshot %d", w.Version, w.Snapshot)
	}
	return Head{version: w.Version, request: w.Request, operator: w.Operator, at: time.UnixMilli(w.AtMS).UTC(), snapshot: w.Snapshot}, nil
}

// Entry is one accepted edit in the history.
type Entry struct {
	version  uint64
	request  string
	operator string
	at       time.Time
	note     string
	changes  []fbtree.Change
	undo     []fbtree.Change
}

// Version returns the version that the edit made.
func (e Entry) Version() uint64 { return e.version }

// Request returns the identifier of the edit's request.
func (e Entry) Request() string { return e.request }

// Operator returns the operator.
func (e Entry) Operator() string { return e.operator }

// At returns when the edit was made, by the operator's clock.
func (e Entry) At() time.Time { return e.at }

// Note returns the operator's note.
func (e Entry) Note() string { return e.note }

// Changes returns the changes from the version before.
func (e Entry) Changes() []fbtree.Change { return e.changes }

// Undo returns the changes that lead back to the version before.
func (e Entry) Undo() []fbtree.Change { return e.undo }

// entryWire is the value of an edit's row.
type entryWire struct {
	Version  uint64          `json:"version"`
	Request  string          `json:"request"`
	Operator string          `json:"who"`
	AtMS     int64           `json:"at_ms"`
	Note     string          `json:"note,omitempty"`
	Changes  json.RawMessage `json:"changes"`
	Undo     json.RawMessage `json:"undo"`
}

func encodeEntry(e Entry) []byte {
	// A struct of numbers, strings and JSON can always be marshalled.
	out, _ := json.Marshal(entryWire{
		Version:  e.version,
		Request:  e.request,
		Operator: e.operator,
		AtMS:     e.at.UnixMilli(),
		Note:     e.note,
		Changes:  fbtree.EncodeChanges(e.changes),
		Undo:     fbtree.EncodeChanges(e.undo),
	})
	return compress(out)
}

func decodeEntry(data []byte) (Entry, error) {
	text, err := decompress(data)
	if err != nil {
		return Entry{}, err
	}
	var w entryWire
	if err := json.Unmarshal(text, &w); err != nil {
		return Entry{}, eris.Wrapf(ErrMalformed, "entry: %v", err)
	}
	changes, err := fbtree.DecodeChanges(w.Changes)
	if err != nil {
		return Entry{}, eris.Wrapf(ErrMalformed, "entry %d: %v", w.Version, err)
	}
	undo, err := fbtree.DecodeChanges(w.Undo)
	if err != nil {
		return Entry{}, eris.Wrapf(ErrMalformed, "entry %d: %v", w.Version, err)
	}
	return Entry{
		version:  w.Version,
		request:  w.Request,
		operator: w.Operator,
		at:       time.UnixMilli(w.AtMS).UTC(),
		note:     w.Note,
		changes:  changes,
		undo:     undo,
	}, nil
}
