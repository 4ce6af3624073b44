package fbtarget

import (
	"context"
	"net"
	"net/http"
	"sync"

	"github.com/rotisserie/eris"
)

// errAborted is returned by writes to a connection that was given up.
var errAborted = eris.New("connection was given up")

// conn is a connection that knows whether the current request was written to.
// The Transport's writer may still run when a round trip has failed; sealing
// the connection settles whether any byte of the request can have left.
type conn struct {
	net.Conn
	mu      sync.Mutex
	aborted bool
	written bool
}

// Write passes b on unless the connection is sealed.
func (c *conn) Write(b []byte) (int, error) {
	if !c.beginWrite() {
		return 0, errAborted
	}
	return c.Conn.Write(b)
}

// beginWrite notes that a write is about to happen, or returns false if it must not.
func (c *conn) beginWrite() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.aborted {
		return false
	}
	c.written = true
	return true
}

// beginRequest notes that a new request has the connection to itself.
func (c *conn) beginRequest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.written = false
}

// abort closes the connection, makes all later writes fail and reports whether
// any byte of the request may have left before.
func (c *conn) abort() bool {
	c.mu.Lock()
	c.aborted = true
	written := c.written
	c.mu.Unlock()
	// The connection is given up, so that an error of its end tells nothing.
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
