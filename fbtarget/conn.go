package fbtarget

import (
	"context"
	"net"
	"net/http"
	"sync"

	"github.com/rotisserie/eris"
)

// errAborted is returned by writes to a connection after its abort.
var errAborted = eris.New("connection was given up")

// conn is a connection that tracks whether any byte of the current request was
// written. When a round trip has failed, the Transport may still be writing.
// Aborting the connection prevents further writes, so that it is then certain
// whether any byte can have left.
type conn struct {
	net.Conn
	mu      sync.Mutex
	aborted bool
	written bool
}

// Write writes b to the connection. It returns errAborted after an abort.
func (c *conn) Write(b []byte) (int, error) {
	if !c.beginWrite() {
		return 0, errAborted
	}
	return c.Conn.Write(b)
}

// beginWrite records that a write begins. It returns false if the connection is
// aborted and nothing may be written.
func (c *conn) beginWrite() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.aborted {
		return false
	}
	c.written = true
	return true
}

// beginRequest records that a new request uses the connection, of which no byte
// is written yet.
func (c *conn) beginRequest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.written = false
}

// abort closes the connection, makes all later writes fail and reports whether
// any byte of the current request may have left before.
func (c *conn) abort() bool {
	c.mu.Lock()
	c.aborted = true
	written := c.written
	c.mu.Unlock()
	// The request has failed already, so that an error of Close doesn't matter.
	_ = c.Close()
	return written
}

// newTransport returns a Transport with up to conns connections to a host.
func newTransport(conns int) *http.Transport {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			c, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &conn{Conn: c}, nil
		},
		DisableCompression:     true,
		IdleConnTimeout:        idleTimeout,
		MaxConnsPerHost:        conns,
		MaxIdleConnsPerHost:    conns,
		MaxResponseHeaderBytes: maxHeaderBytes,
	}
}
