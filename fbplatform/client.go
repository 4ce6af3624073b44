// Package fbplatform is the client of the platform's table service, object
// store and VM list over HTTP.
package fbplatform

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/url"
	"time"

	"github.com/rotisserie/eris"

	"github.com/filbertford/filbertford"
)

// MaxBody is the size of the largest reply that is read and of the largest
// object that is stored, in bytes.
const MaxBody = 8 << 20

// Limits of the client's connections.
const (
	dialTimeout = time.Second
	idleTimeout = 30 * time.Second
	maxConns    = 8
	// maxHeader is the size of the largest header of a reply, in bytes.
	maxHeader = 64 << 10
)

// Client talks to the platform. Every answer other than a clear one is
// reported as filbertford.ErrUnavailable. No request is repeated.
type Client struct {
	base      string
	timeout   time.Duration
	transport *http.Transport
}

var (
	_ filbertford.Table   = (*Client)(nil)
	_ filbertford.Objects = (*Client)(nil)
	_ filbertford.VMList  = (*Client)(nil)
)

// NewClient returns a client of the platform at the address, host:port. Each
// request ends after the timeout.
func NewClient(address string, timeout time.Duration) *Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &Client{
		base:    "http://" + address,
		timeout: timeout,
		transport: &http.Transport{
			DialContext:            dialer.DialContext,
			DisableCompression:     true,
			IdleConnTimeout:        idleTimeout,
			MaxConnsPerHost:        maxConns,
			MaxIdleConnsPerHost:    maxConns,
			MaxResponseHeaderBytes: maxHeader,
		},
	}
}

// Close closes the idle connections.
func (c *Client) Close() { c.transport.CloseIdleConnections() }

// Put stores an object under the key, replacing what was there.
func (c *Client) Put(ctx context.Context, key string, data []byte) error {
	if len(data) > MaxBody {
		return eris.Errorf("object %q has %d bytes; at most %d are allowed", key, len(data), MaxBody)
	}
	status, _, err := c.do(ctx, http.MethodPut, objectPath(key), data)
	if err != nil {
		return err
	}
	if status != http.StatusNoContent {
		return unexpected(status)
	}
	return nil
}

// Object returns the object under the key, or filbertford.ErrNotFound.
func (c *Client) Object(ctx context.Context, key string) ([]byte, error) {
	status, body, err := c.do(ctx, http.MethodGet, objectPath(key), nil)
	switch {
	case err != nil:
		return nil, err
	case status == http.StatusNotFound:
		return nil, eris.Wrapf(filbertford.ErrNotFound, "object %q", key)
	case status != http.StatusOK:
		return nil, unexpected(status)
	}
	return body, nil
}

// do sends one request, once, and returns the status and body of the reply.
func (c *Client) do(ctx context.Context, method, path string, body []byte) (int, []byte, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, unavailable(err)
	}
	if method == http.MethodPost {
		req.Header.Set("Content-Type", "application/json")
	}
	if method != http.MethodGet {
		// Without GetBody the transport can't send the request again.
		req.GetBody = nil
	}
	resp, err := c.transport.RoundTrip(req)
	if err != nil {
		return 0, nil, unavailable(err)
	}
	if resp.StatusCode < http.StatusOK {
		// The body of status 101 is the connection itself, whose reads don't
		// end with the context.
		return 0, nil, errors.Join(unexpected(resp.StatusCode), resp.Body.Close())
	}
	reply, err := readBody(resp.Body)
	if err != nil {
		return 0, nil, unavailable(err)
	}
	return resp.StatusCode, reply, nil
}

// readBody reads a reply of up to MaxBody bytes and closes it.
func readBody(r io.ReadCloser) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(r, MaxBody+1))
	if closeErr := r.Close(); err == nil {
		err = closeErr
	}
	if err != nil {
		return nil, err
	}
	if len(body) > MaxBody {
		return nil, eris.Errorf("reply is longer than %d bytes", MaxBody)
	}
	return body, nil
}

func objectPath(key string) string { return "/objects/" + url.PathEscape(key) }

func unavailable(err error) error {
	return eris.Wrap(filbertford.ErrUnavailable, err.Error())
}

func unexpected(status int) error {
	return eris.Wrapf(filbertford.ErrUnavailable, "unexpected status %d", status)
}
