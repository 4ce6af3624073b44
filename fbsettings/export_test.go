package fbsettings

// WithHistory returns s with a history of n edits, for tests of its end.
func (s *Store) WithHistory(n uint64) *Store {
	s.ring = n
	return s
}

// DecodeHead and DecodeEntry are the decoders of rows.
var (
	DecodeHead     = decodeHead
	DecodeEntry    = decodeEntry
	DecodeSnapshot = decodeSnapshot
)
