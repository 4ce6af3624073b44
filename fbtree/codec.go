package fbtree

import (
	"bytes"
	"encoding/json"

	"github.com/rotisserie/eris"
)

// MaxChangesBytes is the maximum length in bytes of an encoded list of changes.
const MaxChangesBytes = 4 << 20

// ErrBadChanges is returned for an encoded list of changes that can't be decoded.
var ErrBadChanges = eris.New("malformed list of changes")

// wireChange is the JSON form of a change, which is sent and stored.
type wireChange struct {
	Op    Op     `json:"op"`
	Path  string `json:"path"`
	Key   string `json:"key,omitempty"`
	Value string `json:"value,omitempty"`
}

// EncodeChanges returns the changes as JSON, which DecodeChanges reads.
func EncodeChanges(changes []Change) []byte {
	wire := make([]wireChange, len(changes))
	for i, c := range changes {
		wire[i] = wireChange{Op: c.op, Path: c.path.String(), Key: c.key, Value: c.value}
	}
	// Marshalling a slice of structs of strings can't fail.
	out, _ := json.Marshal(wire)
	return out
}

// DecodeChanges decodes a list of changes. It returns an error that wraps
// ErrBadChanges if the data is malformed. It does not check keys, values or
// operations; Apply does.
func DecodeChanges(data []byte) ([]Change, error) {
	if len(data) > MaxChangesBytes {
		return nil, eris.Wrapf(ErrBadChanges, "%d bytes; want at most %d", len(data), MaxChangesBytes)
	}
	var wire []wireChange
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&wire); err != nil {
		return nil, eris.Wrap(ErrBadChanges, err.Error())
	}
	if decoder.More() {
		return nil, eris.Wrap(ErrBadChanges, "more data after the list")
	}
	changes := make([]Change, len(wire))
	for i, w := range wire {
		p, err := ParsePath(w.Path)
		if err != nil {
			return nil, eris.Wrapf(ErrBadChanges, "change %d: path %q", i, w.Path)
		}
		changes[i] = Change{op: w.Op, path: p, key: w.Key, value: w.Value}
	}
	return changes, nil
}
