package fbcommand

import (
	"io"

	"github.com/rotisserie/eris"
)

// readBounded reads all of in. It returns an error if that is more than limit bytes.
func readBounded(in io.Reader, limit int64) ([]byte, error) {
	text, err := io.ReadAll(io.LimitReader(in, limit+1))
	if err != nil {
		return nil, err
	}
	if int64(len(text)) > limit {
		return nil, eris.Errorf("the input is longer than %d bytes", limit)
	}
	return text, nil
}
