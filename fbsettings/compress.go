package fbsettings

import (
	"bytes"
	"compress/gzip"
	"io"

	"github.com/rotisserie/eris"

	"github.com/filbertford/filbertford/fbtree"
)

// compressThreshold is the length in bytes above which compress compresses data.
const compressThreshold = 1 << 10

// ErrMalformed is returned for a row, object or update that can't be decoded.
var ErrMalformed = eris.New("malformed settings data")

// gzipMagic is the prefix of compressed data. JSON and INI text never start with
// it.
var gzipMagic = []byte{0x1f, 0x8b}

// compress returns the data, compressed if it is longer than compressThreshold.
func compress(data []byte) []byte {
	if len(data) <= compressThreshold {
		return data
	}
	var b bytes.Buffer
	w := gzip.NewWriter(&b)
	// Writing to a buffer can't fail.
	_, _ = w.Write(data)
	_ = w.Close()
	return b.Bytes()
}

// decompress returns the data that was passed to compress. It returns an error that
// wraps ErrMalformed if the decompressed data exceeds fbtree.MaxTextBytes.
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
