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

// MaxBody is the largest size of a reply and of a stored object in bytes.
const MaxBody = 8 << 20

// Limits of the client's connections.
const (
	dialTimeout = time.Second
	idleTimeout = 30 * time.Second
	maxConns    = 8
	// maxHeaderBytes is the largest size of a reply's header.
	maxHeaderBytes = 64 << 10
)

// Client calls the platform. It returns filbertford.ErrUnavailable for every failed
// request and unexpected reply, and never retries a request.
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
// request fails after the timeout.
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

// Close closes idle connections.
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

// request is a request to the platform. If it has an ETag, the reply has a body only
// if its ETag differs.
type request struct {
	method string
	path   string
	etag   string
	body   []byte
}

// reply is the platform's reply to a request.
type reply struct {
	status int
	etag   string
	body   []byte
}

// do sends a request once and reads the reply.
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
	if r.etag != "" {
		req.Header.Set("If-None-Match", r.etag)
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
	return reply{status: resp.StatusCode, etag: resp.Header.Get("ETag"), body: body}, nil
}

// readBody reads and closes a reply's body of up to MaxBody bytes.
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
