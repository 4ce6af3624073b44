package fbsettings

import (
	"encoding/json"
	"time"

	"github.com/rotisserie/eris"

	"github.com/filbertford/filbertford/fbtree"
)

// MaxRowBytes is the maximum length in bytes of the row of an edit.
const MaxRowBytes = 512 << 10

// Head is the content of the head row: the newest version, who made it, and the
// version of the newest snapshot. The zero Head means that there is no version yet.
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

// At returns the time of the edit by the operator's clock.
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
	// Marshalling a struct of numbers and strings can't fail.
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

// Entry is an accepted edit in the history.
type Entry struct {
	version  uint64
	request  string
	operator string
	at       time.Time
	note     string
	changes  []fbtree.Change
	undo     []fbtree.Change
}

// Version returns the version of the edit.
func (e Entry) Version() uint64 { return e.version }

// Request returns the ID of the edit's request.
func (e Entry) Request() string { return e.request }

// Operator returns the operator who made the edit.
func (e Entry) Operator() string { return e.operator }

// At returns the time of the edit by the operator's clock.
func (e Entry) At() time.Time { return e.at }

// Note returns the operator's note.
func (e Entry) Note() string { return e.note }

// Changes returns the changes from the previous version.
func (e Entry) Changes() []fbtree.Change { return e.changes }

// Undo returns the changes that lead back to the previous version.
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
	// Marshalling a struct of numbers, strings and valid JSON can't fail.
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
