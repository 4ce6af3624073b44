package fbapi

import (
	"bytes"
	"io"
)

// maxSizeHint bounds the memory that is allocated before a body is read, since
// the caller's Content-Length may be wrong.
const maxSizeHint = 64 << 10

// readAll reads r until EOF. The size hint may be negative or wrong.
func readAll(r io.Reader, sizeHint int64) ([]byte, error) {
	var b bytes.Buffer
	b.Grow(int(min(max(sizeHint, 0), maxSizeHint)) + bytes.MinRead)
	_, err := b.ReadFrom(r)
	return b.Bytes(), err
}
