package fbclient

import (
	"context"
	"crypto/rand"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/filbertford/filbertford"
)

// endpointBackoff is how long an endpoint that could not be reached is passed
// over while others can be.
const endpointBackoff = time.Second

// maxPreferredTokenAge is how long a token is used by which a daemon steers new jobs to
// another one.
const maxPreferredTokenAge = time.Second

// endpoint is a daemon's address with the newest owner tokens that it gave: one
// that may be its own, and one by which it steers jobs to another endpoint. A
// job that goes to the endpoint of the daemon that its ID names needs no
// forwarding.
type endpoint struct {
	base string
	host string

	mu        sync.Mutex
	own       cachedToken
	preferred cachedToken
	failedAt  time.Time
}

// cachedToken is a token and when it was given.
type cachedToken struct {
	token      filbertford.Token
	receivedAt time.Time
}

// fresh reports whether there is a token younger than age.
func (g cachedToken) fresh(now time.Time, age time.Duration) bool {
	return !g.token.IsZero() && now.Sub(g.receivedAt) < age
}

// cacheToken remembers a token that an answer of the endpoint carried. Text that
// is not a token is ignored.
func (c *Client) cacheToken(e *endpoint, text string, now time.Time) {
	t, err := filbertford.ParseToken(text)
	if err != nil {
		return
	}
	cached := cachedToken{token: t, receivedAt: now}
	isPreferred := c.endpointFor(e, t) != e
	e.mu.Lock()
	defer e.mu.Unlock()
	e.failedAt = time.Time{}
	if isPreferred {
		e.preferred = cached
		return
	}
	e.own, e.preferred = cached, cachedToken{}
}

// endpointFor returns the endpoint of the daemon that a token names if the endpoints'
// hosts tell, else the given one.
func (c *Client) endpointFor(e *endpoint, t filbertford.Token) *endpoint {
	host, _, err := net.SplitHostPort(t.Address())
	if err != nil || c.byHost[host] == nil {
		return e
	}
	return c.byHost[host]
}

// dropToken forgets a token that a daemon refused.
func (e *endpoint) dropToken(t filbertford.Token) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, cached := range []*cachedToken{&e.own, &e.preferred} {
		if cached.token.String() == t.String() {
			*cached = cachedToken{}
		}
	}
}

// freshToken returns a kept token that is young enough. A token that steers to
// an endpoint that failed lately is passed over.
func (c *Client) freshToken(e *endpoint, now time.Time) (filbertford.Token, bool) {
	e.mu.Lock()
	own, preferred := e.own, e.preferred
	e.mu.Unlock()
	if preferred.fresh(now, min(c.maxTokenAge, maxPreferredTokenAge)) && !c.endpointFor(e, preferred.token).inBackoff(now) {
		return preferred.token, true
	}
	return own.token, own.fresh(now, c.maxTokenAge)
}

func (e *endpoint) markFailed(now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.failedAt = now
}

func (e *endpoint) inBackoff(now time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return !e.failedAt.IsZero() && now.Sub(e.failedAt) < endpointBackoff
}

// pickEndpoint returns the next endpoint, passing over those that failed lately unless
// all did.
func (c *Client) pickEndpoint() *endpoint {
	now := time.Now()
	first := int(c.next.Add(1) - 1)
	for i := range c.endpoints {
		e := c.endpoints[(first+i)%len(c.endpoints)]
		if !e.inBackoff(now) {
			return e
		}
	}
	return c.endpoints[first%len(c.endpoints)]
}

// mintID returns a new ID from a live token of the endpoint.
func (c *Client) mintID(ctx context.Context, e *endpoint) (filbertford.SubmissionID, error) {
	t, ok := c.freshToken(e, time.Now())
	if !ok {
		var err error
		if t, err = c.fetchToken(ctx, e); err != nil {
			return filbertford.SubmissionID{}, err
		}
	}
	id, err := filbertford.MintID(t, rand.Text())
	return id, eris.Wrap(err, "mint a submission ID")
}

// fetchToken asks the endpoint for a token.
func (c *Client) fetchToken(ctx context.Context, e *endpoint) (filbertford.Token, error) {
	ctx, cancel := context.WithTimeout(ctx, tokenTimeout)
	defer cancel()
	resp, err := c.doWithoutBody(ctx, http.MethodGet, e, "/v1/token")
	if err != nil {
		return filbertford.Token{}, err
	}
	defer closeBody(resp)
	body, err := c.readBody(resp.Body)
	if err != nil {
		return filbertford.Token{}, err
	}
	t, err := decodeToken(body)
	if err != nil {
		return filbertford.Token{}, eris.Wrapf(err, "token from %s, status %d", e.base, resp.StatusCode)
	}
	c.cacheToken(e, t.String(), time.Now())
	return t, nil
}

// doWithoutBody sends a request without a body.
func (c *Client) doWithoutBody(ctx context.Context, method string, e *endpoint, path string) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, method, e.base+path, nil)
	if err != nil {
		return nil, eris.Wrap(err, "make a request")
	}
	c.authorize(req)
	resp, err := c.transport.RoundTrip(req)
	if err != nil {
		e.markFailed(time.Now())
		return nil, eris.Wrapf(err, "%s %s", method, e.base+path)
	}
	return resp, nil
}

func (c *Client) authorize(req *http.Request) {
	if c.key != "" {
		req.Header.Set("Authorization", "Bearer "+c.key)
	}
}

// readBody reads a body whole, up to the size limit.
func (c *Client) readBody(r io.Reader) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(r, c.maxAnswerBytes+1))
	if err != nil {
		return nil, eris.Wrap(err, "read the answer")
	}
	if int64(len(body)) > c.maxAnswerBytes {
		return nil, eris.Wrapf(ErrBadAnswer, "the answer is longer than %d bytes", c.maxAnswerBytes)
	}
	return body, nil
}

// closeBody reads the rest of a small body, so that the connection can be used
// again, and closes it.
func closeBody(resp *http.Response) {
	_, _ = io.CopyN(io.Discard, resp.Body, 4<<10)
	_ = resp.Body.Close()
}
