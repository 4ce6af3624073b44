package fbsettings

import (
	"bytes"
	"compress/gzip"
	"io"

	"github.com/rotisserie/eris"

	"github.com/filbertford/filbertford/fbtree"
)

// compressThreshold is the length in bytes above which data is compressed.
const compressThreshold = 1 << 10

// ErrMalformed is returned for a row, object or update that can't be read.
var ErrMalformed = eris.New("malformed settings data")

// gzipMagic begins compressed data. Neither JSON nor INI text begins so.
var gzipMagic = []byte{0x1f, 0x8b}

// compress returns the data, compressed if that pays.
func compress(data []byte) []byte {
	if len(data) <= compressThreshold {
		return data
	}
	var b bytes.Buffer
	w := gzip.NewWriter(&b)
	// A write to a buffer never fails.
	_, _ = w.Write(data)
	_ = w.Close()
	return b.Bytes()
}

// decompress returns the data that was packed. It refuses data that is longer than
// any tree's text.
func decompress(data []byte) ([]byte, error) {
	if !bytes.HasPrefix(data, gzipMagic) {
		return data, nil
	}
	r, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return nil, eris.Wrap(ErrMalformed, err.Error())
	}
	out, err := io.ReadAll(io.LimitReader(r, fbtree.MaxTextBytes+1))
	if err != nil {
		return nil, eris.Wrap(ErrMalformed, err.Error())
	}
	if len(out) > fbtree.MaxTextBytes {
		return nil, eris.Wrapf(ErrMalformed, "more than %d bytes", fbtree.MaxTextBytes)
	}
	return out, nil
}
