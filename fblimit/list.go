package fblimit

import (
	"bytes"
	"encoding/json"

	"github.com/rotisserie/eris"
)

// ErrTooManyItems means that a list in a body is longer than its limit.
var ErrTooManyItems = eris.New("the list is too long")

// DecodeList decodes a JSON list of at most limit items. It returns ErrTooManyItems for a longer
// one, of which it decodes no further items. With strict set, it returns an error for unknown
// fields of an item.
func DecodeList[T any](data []byte, limit int, strict bool) ([]T, error) {
	dec := json.NewDecoder(bytes.NewReader(data))
	if strict {
		dec.DisallowUnknownFields()
	}
	first, err := dec.Token()
	switch {
	case err != nil:
		return nil, err
	case first == nil: // null
		return nil, nil
	case first != json.Delim('['):
		return nil, eris.Errorf("want a list, got %.20s", data)
	}
	out := []T{}
	for dec.More() {
		if len(out) == limit {
			return nil, ErrTooManyItems
		}
		var item T
		if err := dec.Decode(&item); err != nil {
			return nil, err
		}
		out = append(out, item)
	}
	return out, nil
}
