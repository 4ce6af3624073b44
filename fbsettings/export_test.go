package fbsettings

// WithHistoryLength returns s with a history of n edits, for tests of its end.
func (s *Store) WithHistoryLength(n uint64) *Store {
	s.historyLength = n
	return s
}

// DecodeHead and DecodeEntry are the decoders of rows.
var (
	DecodeHead     = decodeHead
	DecodeEntry    = decodeEntry
	DecodeSnapshot = decodeSnapshot
)
