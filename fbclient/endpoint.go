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

// endpointBackoff is how long an endpoint that could not be reached is skipped
// while others can be reached.
const endpointBackoff = time.Second

// maxPreferredTokenAge is how long a preferred token is used. It is short, since
// a daemon returns the token of another daemon while that one is less loaded.
const maxPreferredTokenAge = time.Second

// endpoint is a daemon's address with the latest owner tokens that the daemon
// returned: own, which may be the daemon's own, and preferred, which names the
// daemon of another endpoint that new jobs should go to. A job sent to the
// endpoint of the daemon that its ID names needs no forwarding.
type endpoint struct {
	base string
	host string

	mu        sync.Mutex
	own       cachedToken
	preferred cachedToken
	failedAt  time.Time
}

// cachedToken is a token and the time at which it was received.
type cachedToken struct {
	token      filbertford.Token
	receivedAt time.Time
}

// fresh reports whether there is a token and it is younger than age.
func (t cachedToken) fresh(now time.Time, age time.Duration) bool {
	return !t.token.IsZero() && now.Sub(t.receivedAt) < age
}

// cacheToken stores a token from an answer of the endpoint. Text that is not a
// token is ignored.
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

// endpointFor returns the endpoint of the daemon that a token names, or e if no
// endpoint, or more than one, has the daemon's host.
func (c *Client) endpointFor(e *endpoint, t filbertford.Token) *endpoint {
	host, _, err := net.SplitHostPort(t.Address())
	if err != nil || c.byHost[host] == nil {
		return e
	}
	return c.byHost[host]
}

// dropToken removes a token that a daemon refused.
func (e *endpoint) dropToken(t filbertford.Token) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, cached := range []*cachedToken{&e.own, &e.preferred} {
		if cached.token.String() == t.String() {
			*cached = cachedToken{}
		}
	}
}

// freshToken returns a cached token that has not exceeded its maximum age. It
// skips a preferred token if its endpoint failed less than endpointBackoff ago.
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

// pickEndpoint returns the next endpoint in round-robin order. It skips endpoints
// that failed less than endpointBackoff ago unless all did.
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

// mintID returns a new ID from a cached or newly fetched token of the endpoint.
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

// fetchToken requests a token from the endpoint and caches it.
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
		return nil, eris.Wrap(err, "create request")
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

// readBody reads a whole body. It returns ErrBadAnswer if the body exceeds the
// size limit.
func (c *Client) readBody(r io.Reader) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(r, c.maxAnswerBytes+1))
	if err != nil {
		return nil, eris.Wrap(err, "read response body")
	}
	if int64(len(body)) > c.maxAnswerBytes {
		return nil, eris.Wrapf(ErrBadAnswer, "answer is longer than %d bytes", c.maxAnswerBytes)
	}
	return body, nil
}

// closeBody reads the rest of a small body, so that the connection can be
// reused, and closes it.
func closeBody(resp *http.Response) {
	_, _ = io.CopyN(io.Discard, resp.Body, 4<<10)
	_ = resp.Body.Close()
}
