package fbsettings

// WithHistoryLength sets the length of the history to n edits and returns s, for
// tests in which rows are overwritten.
func (s *Store) WithHistoryLength(n uint64) *Store {
	s.historyLength = n
	return s
}

// DecodeHead, DecodeEntry and DecodeSnapshot are the decoders of stored data.
var (
	DecodeHead     = decodeHead
	DecodeEntry    = decodeEntry
	DecodeSnapshot = decodeSnapshot
)
