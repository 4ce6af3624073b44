package fbtarget

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"sync"

	"github.com/rotisserie/eris"
)

// requestBody is a body that can't be had again: unlike the readers that
// net/http knows, it gives a request no GetBody.
type requestBody struct{ bytes.Reader }

// Close does nothing.
func (*requestBody) Close() error { return nil }

// result is what came of a round trip. The body belongs to a pool and is valid
// until release.
type result struct {
	status int
	body   []byte
	err    error
	// sent tells whether the request may have left, if err is not nil.
	sent   bool
	buffer *bytes.Buffer
}

// header is the header of all requests. The Transport doesn't change it.
var header = http.Header{
	"Content-Type": {"application/json"},
	"User-Agent":   {"filbertford"},
}

var buffers = sync.Pool{New: func() any { return new(bytes.Buffer) }}

// maxPooled is the size of the largest buffer that is kept for reuse, in bytes.
const maxPooled = 64 << 10

// release gives the body back to the pool.
func (r result) release() {
	if r.buffer != nil && r.buffer.Cap() <= maxPooled {
		r.buffer.Reset()
		buffers.Put(r.buffer)
	}
}

// roundTrip posts the body once and reads a reply of up to limit bytes.
func roundTrip(ctx context.Context, t http.RoundTripper, address, path string, body []byte, limit int64) result {
	var used *conn
	var sent bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			sent = used.seal() || sent
			used = info.Conn.(*conn)
			used.begin()
		},
	})
	resp, err := t.RoundTrip(newRequest(ctx, address, path, body))
	if err != nil {
		// Without a connection nothing was written, and the Transport asks for
		// none once RoundTrip has returned.
		return result{err: err, sent: used.seal() || sent}
	}
	r := result{status: resp.StatusCode, sent: true}
	if r.status != http.StatusOK && r.status != http.StatusServiceUnavailable {
		// The body is not read: that of status 101 is the connection itself,
		// whose reads don't end with the context.
		r.err = errors.Join(eris.Errorf("unexpected status %d", r.status), resp.Body.Close())
		return r
	}
	r.buffer, r.err = readReply(resp.Body, limit)
	if r.err == nil {
		r.body = r.buffer.Bytes()
	}
	return r
}

func newRequest(ctx context.Context, address, path string, body []byte) *http.Request {
	b := &requestBody{}
	b.Reset(body)
	r := &http.Request{
		Method:        http.MethodPost,
		URL:           &url.URL{Scheme: "http", Host: address, Path: path},
		Proto:         "HTTP/1.1",
		ProtoMajor:    1,
		ProtoMinor:    1,
		Header:        header,
		Body:          b,
		ContentLength: int64(len(body)),
		Host:          address,
	}
	return r.WithContext(ctx)
}

// readReply reads a reply of up to limit bytes into a pooled buffer and closes
// it.
func readReply(body io.ReadCloser, limit int64) (*bytes.Buffer, error) {
	buffer := buffers.Get().(*bytes.Buffer)
	n, err := buffer.ReadFrom(io.LimitReader(body, limit+1))
	if closeErr := body.Close(); err == nil {
		err = closeErr
	}
	if err == nil && n > limit {
		err = eris.Errorf("reply is longer than %d bytes", limit)
	}
	return buffer, err
}
