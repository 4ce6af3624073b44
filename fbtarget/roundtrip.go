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

// result is the result of a round trip. The body is in a pooled buffer and valid
// until release.
type result struct {
	status int
	body   []byte
	err    error
	// sent reports whether any byte of the request may have left, if err is not
	// nil.
	sent   bool
	buffer *bytes.Buffer
}

// requestHeader is shared by all requests, since the Transport doesn't modify it.
var requestHeader = http.Header{
	"Content-Type": {"application/json"},
	"User-Agent":   {"filbertford"},
}

var bufferPool = sync.Pool{New: func() any { return new(bytes.Buffer) }}

// maxPooledBytes is the capacity of the largest buffer that is kept for reuse.
const maxPooledBytes = 64 << 10

// release returns the body's buffer to the pool.
func (r result) release() {
	if r.buffer != nil && r.buffer.Cap() <= maxPooledBytes {
		r.buffer.Reset()
		bufferPool.Put(r.buffer)
	}
}

// attempt tracks the connection that a request is written to.
type attempt struct {
	conn *conn
	sent bool
}

// gotConn records the connection that the Transport has chosen for the request.
// A second call would mean that the Transport retries the request, which it must
// not do. Bytes written to the first connection still count as sent in that case.
func (a *attempt) gotConn(info httptrace.GotConnInfo) {
	a.abort()
	a.conn = info.Conn.(*conn)
	a.conn.beginRequest()
}

// abort aborts the connection of the request, if there is one, and reports
// whether any byte of the request may have left.
func (a *attempt) abort() bool {
	if a.conn != nil && a.conn.abort() {
		a.sent = true
	}
	return a.sent
}

// roundTrip sends the body in a POST request once and reads a reply of up to
// limit bytes. It returns an error for statuses other than 200 and 503.
func roundTrip(ctx context.Context, t http.RoundTripper, address, path string, body []byte, limit int64) result {
	var a attempt
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: a.gotConn})
	resp, err := t.RoundTrip(newRequest(ctx, address, path, body))
	if err != nil {
		// Without a connection nothing was written, and the Transport assigns
		// none to the request after RoundTrip has returned.
		return result{err: err, sent: a.abort()}
	}
	r := result{status: resp.StatusCode, sent: true}
	if r.status != http.StatusOK && r.status != http.StatusServiceUnavailable {
		// The body is not read: for status 101 it is the connection itself, whose
		// reads don't return when the context ends.
		r.err = errors.Join(eris.Errorf("unexpected status %d", r.status), resp.Body.Close())
		return r
	}
	r.buffer, r.err = readReply(resp.Body, limit)
	if r.err == nil {
		r.body = r.buffer.Bytes()
	}
	return r
}

// newRequest returns a request without GetBody. Its body is of a type that net/http
// recognises as in memory, so that header and body are sent in one write.
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

// readReply reads a body of up to limit bytes into a pooled buffer and closes the
// body. It returns the buffer also on errors.
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
