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
	"sync"
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
	// maxHeaderBytes is the size of the largest header of a reply, in bytes.
	maxHeaderBytes = 64 << 10
)

// Client talks to the platform. Every answer other than a clear one is
// reported as filbertford.ErrUnavailable. No request is repeated.
type Client struct {
	base      string
	timeout   time.Duration
	transport *http.Transport

	mu    sync.Mutex
	lists map[filbertford.VMFilter]cachedList
}

var (
	_ filbertford.Table       = (*Client)(nil)
	_ filbertford.ObjectStore = (*Client)(nil)
	_ filbertford.VMList      = (*Client)(nil)
)

// NewClient returns a client of the platform at the address, host:port. Each
// request ends after the timeout.
func NewClient(address string, timeout time.Duration) *Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &Client{
		base:    "http://" + address,
		timeout: timeout,
		lists:   make(map[filbertford.VMFilter]cachedList),
		transport: &http.Transport{
			DialContext:            dialer.DialContext,
			DisableCompression:     true,
			IdleConnTimeout:        idleTimeout,
			MaxConnsPerHost:        maxConns,
			MaxIdleConnsPerHost:    maxConns,
			MaxResponseHeaderBytes: maxHeaderBytes,
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
	r, err := c.do(ctx, request{method: http.MethodPut, path: objectPath(key), body: data})
	if err != nil {
		return err
	}
	if r.status != http.StatusNoContent {
		return unexpectedStatus(r.status)
	}
	return nil
}

// Get returns the object under the key, or filbertford.ErrNotFound.
func (c *Client) Get(ctx context.Context, key string) ([]byte, error) {
	r, err := c.do(ctx, request{method: http.MethodGet, path: objectPath(key)})
	switch {
	case err != nil:
		return nil, err
	case r.status == http.StatusNotFound:
		return nil, eris.Wrapf(filbertford.ErrNotFound, "object %q", key)
	case r.status != http.StatusOK:
		return nil, unexpectedStatus(r.status)
	}
	return r.body, nil
}

// request is one request to the platform. A tag asks for a body only if the
// reply's tag would be another.
type request struct {
	method string
	path   string
	tag    string
	body   []byte
}

// reply is the platform's reply to a request.
type reply struct {
	status int
	tag    string
	body   []byte
}

// do sends one request, once.
func (c *Client) do(ctx context.Context, r request) (reply, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, r.method, c.base+r.path, bytes.NewReader(r.body))
	if err != nil {
		return reply{}, unavailable(err)
	}
	if r.method == http.MethodPost {
		req.Header.Set("Content-Type", "application/json")
	}
	if r.tag != "" {
		req.Header.Set("If-None-Match", r.tag)
	}
	if r.method != http.MethodGet {
		// Without GetBody the transport can't send the request again.
		req.GetBody = nil
	}
	resp, err := c.transport.RoundTrip(req)
	if err != nil {
		return reply{}, unavailable(err)
	}
	if resp.StatusCode < http.StatusOK {
		// The body of status 101 is the connection itself, whose reads don't
		// end with the context.
		return reply{}, errors.Join(unexpectedStatus(resp.StatusCode), resp.Body.Close())
	}
	body, err := readBody(resp.Body)
	if err != nil {
		return reply{}, unavailable(err)
	}
	return reply{status: resp.StatusCode, tag: resp.Header.Get("ETag"), body: body}, nil
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

func unexpectedStatus(status int) error {
	return eris.Wrapf(filbertford.ErrUnavailable, "unexpected status %d", status)
}
