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

// requestHeader is the header of all requests. The Transport doesn't change it.
var requestHeader = http.Header{
	"Content-Type": {"application/json"},
	"User-Agent":   {"filbertford"},
}

var bufferPool = sync.Pool{New: func() any { return new(bytes.Buffer) }}

// maxPooledBytes is the size of the largest buffer that is kept for reuse, in bytes.
const maxPooledBytes = 64 << 10

// release gives the body back to the pool.
func (r result) release() {
	if r.buffer != nil && r.buffer.Cap() <= maxPooledBytes {
		r.buffer.Reset()
		bufferPool.Put(r.buffer)
	}
}

// attempt follows a request over the connection that it is written to.
type attempt struct {
	conn *conn
	sent bool
}

// gotConn notes the connection that the request is about to use. A second one
// would mean that the Transport tries again, which it never should; the first
// one still counts then.
func (a *attempt) gotConn(info httptrace.GotConnInfo) {
	a.abort()
	a.conn = info.Conn.(*conn)
	a.conn.beginRequest()
}

// abort ends the request and reports whether any byte of it may have left.
// Nothing is written to its connection afterwards.
func (a *attempt) abort() bool {
	if a.conn != nil && a.conn.abort() {
		a.sent = true
	}
	return a.sent
}

// roundTrip posts the body once and reads a reply of up to limit bytes.
func roundTrip(ctx context.Context, t http.RoundTripper, address, path string, body []byte, limit int64) result {
	var a attempt
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: a.gotConn})
	resp, err := t.RoundTrip(newRequest(ctx, address, path, body))
	if err != nil {
		// Without a connection nothing was written, and the Transport asks for
		// none once RoundTrip has returned.
		return result{err: err, sent: a.abort()}
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

// newRequest returns a request that has no GetBody. Its body is of a type that
// net/http knows to be in memory, so that it leaves in one write with the header.
func newRequest(ctx context.Context, address, path string, body []byte) *http.Request {
	r := &http.Request{
		Method:        http.MethodPost,
		URL:           &url.URL{Scheme: "http", Host: address, Path: path},
		Proto:         "HTTP/1.1",
		ProtoMajor:    1,
		ProtoMinor:    1,
		Header:        requestHeader,
		Body:          io.NopCloser(bytes.NewReader(body)),
		ContentLength: int64(len(body)),
		Host:          address,
	}
	return r.WithContext(ctx)
}

// readReply reads a reply of up to limit bytes into a pooled buffer and closes
// it.
func readReply(body io.ReadCloser, limit int64) (*bytes.Buffer, error) {
	buffer := bufferPool.Get().(*bytes.Buffer)
	n, err := buffer.ReadFrom(io.LimitReader(body, limit+1))
	if closeErr := body.Close(); err == nil {
		err = closeErr
	}
	if err == nil && n > limit {
		err = eris.Errorf("reply is longer than %d bytes", limit)
	}
	return buffer, err
}
