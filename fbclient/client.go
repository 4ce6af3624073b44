package fbclient

import (
	"errors"
	"net"
	"net/http"
	"net/url"
	"strings"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/rotisserie/eris"

	"github.com/filbertford/filbertford"
)

// Errors of a Client. Callers test for them with errors.Is.
var (
	// ErrNotSent is returned when no daemon was given the job: none could be
	// reached, or the context ended first. The job did not run.
	ErrNotSent = errors.New("the job was not sent")
	// ErrOutcomeUnknown is returned when the job may have run and no daemon told
	// how it ended. The answer that goes with it is of CodeOutcomeUnknown.
	ErrOutcomeUnknown = errors.New("the outcome of the job is unknown")
	// ErrBadAnswer is returned for an answer that is not whole or not that of
	// the submission asked for.
	ErrBadAnswer = errors.New("invalid answer")
	// ErrBadJob is returned for a job that can't be sent.
	ErrBadJob = errors.New("invalid job")
)

// Defaults of a Client.
const (
	// DefaultAttempts is how often one job is sent at most.
	DefaultAttempts = 8
	// DefaultMaxAnswerBytes is the size in bytes of the largest answer that is read.
	DefaultMaxAnswerBytes = 32 << 20
	// DefaultMaxTokenAge is the age from which on an owner token is fetched anew.
	DefaultMaxTokenAge = 30 * time.Second
	// DefaultBackoff is the first wait before a job is sent again.
	DefaultBackoff = 20 * time.Millisecond
	// DefaultTimeoutMargin is how long an answer is waited for beyond the job's
	// timeout, before the job is sent again under the same ID.
	DefaultTimeoutMargin = 5 * time.Second
	// tokenTimeout bounds a request for an owner token.
	tokenTimeout = 3 * time.Second
	// requestTimeout bounds a request about a submission to one endpoint.
	requestTimeout = 10 * time.Second
	// maxBackoff bounds the wait before a job is sent again.
	maxBackoff = 2 * time.Second
	// maxIdleConnsPerHost is the number of idle connections kept for each endpoint.
	maxIdleConnsPerHost = 512
	// dialTimeout bounds the setup of a connection.
	dialTimeout = 3 * time.Second
)

// Client submits jobs to entry daemons. It may be used by many goroutines.
type Client struct {
	endpoints      []*endpoint
	byHost         map[string]*endpoint
	next           atomic.Uint32
	transport      http.RoundTripper
	key            string
	attempts       int
	maxAnswerBytes int64
	maxTokenAge    time.Duration
	backoff        time.Duration
	timeoutMargin  time.Duration
	retryBudget    *retryBudget
	logger         *log.Logger
}

// Option changes a Client that is being made.
type Option func(*Client)

// WithKey sets the caller's key, which is sent with each request.
func WithKey(key string) Option { return func(c *Client) { c.key = key } }

// WithAttempts sets how often one job is sent at most, at least once.
func WithAttempts(n int) Option { return func(c *Client) { c.attempts = max(n, 1) } }

// WithBackoff sets the first wait before a job is sent again. Each further wait
// is twice as long.
func WithBackoff(d time.Duration) Option { return func(c *Client) { c.backoff = d } }

// WithTimeoutMargin sets how long an answer is waited for beyond the job's timeout.
// An answer to a job without a timeout is waited for until the context ends.
func WithTimeoutMargin(d time.Duration) Option { return func(c *Client) { c.timeoutMargin = d } }

// WithMaxAnswerBytes sets the size in bytes of the largest answer that is read.
func WithMaxAnswerBytes(n int64) Option { return func(c *Client) { c.maxAnswerBytes = n } }

// WithMaxTokenAge sets the age from which on an owner token is fetched anew. It
// has to be shorter than the daemons' resubmission horizon.
func WithMaxTokenAge(d time.Duration) Option { return func(c *Client) { c.maxTokenAge = d } }

// WithTransport replaces the HTTP transport. It must not send a request twice
// by itself.
func WithTransport(t http.RoundTripper) Option { return func(c *Client) { c.transport = t } }

// WithLogger makes the client log its retries.
func WithLogger(l *log.Logger) Option { return func(c *Client) { c.logger = l } }

// New returns a client of the daemons at the endpoints, each a URL such as
// http://127.0.0.1:7100. It uses them in turn and goes on to the next when one
// can't be reached.
func New(endpoints []string, options ...Option) (*Client, error) {
	if len(endpoints) == 0 {
		return nil, eris.New("no endpoint given; at least one is needed")
	}
	c := &Client{
		attempts:       DefaultAttempts,
		maxAnswerBytes: DefaultMaxAnswerBytes,
		maxTokenAge:    DefaultMaxTokenAge,
		backoff:        DefaultBackoff,
		timeoutMargin:  DefaultTimeoutMargin,
		retryBudget:    newRetryBudget(),
	}
	for _, text := range endpoints {
		e, err := parseEndpoint(text)
		if err != nil {
			return nil, err
		}
		c.endpoints = append(c.endpoints, e)
	}
	c.byHost = endpointsByHost(c.endpoints)
	for _, option := range options {
		option(c)
	}
	if c.transport == nil {
		c.transport = newTransport()
	}
	return c, nil
}

// Close closes the client's idle connections.
func (c *Client) Close() {
	if t, ok := c.transport.(*http.Transport); ok {
		t.CloseIdleConnections()
	}
}

// parseEndpoint reads the endpoint's URL, less a slash at its end.
func parseEndpoint(text string) (*endpoint, error) {
	text = strings.TrimSpace(text)
	u, err := url.Parse(text)
	if err != nil || u.Scheme != "http" && u.Scheme != "https" || u.Host == "" {
		return nil, eris.Errorf("endpoint %q is not a URL of the form http://host:port", text)
	}
	return &endpoint{base: strings.TrimRight(text, "/"), host: u.Hostname()}, nil
}

// endpointsByHost returns the endpoints whose host no other endpoint has.
func endpointsByHost(endpoints []*endpoint) map[string]*endpoint {
	out := make(map[string]*endpoint)
	for _, e := range endpoints {
		if _, duplicate := out[e.host]; duplicate {
			out[e.host] = nil
			continue
		}
		out[e.host] = e
	}
	return out
}

func newTransport() *http.Transport {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConns:        0,
		MaxIdleConnsPerHost: maxIdleConnsPerHost,
		IdleConnTimeout:     time.Minute,
		DisableCompression:  true,
	}
}

// Trace tells what a submission took.
type Trace struct {
	id         filbertford.SubmissionID
	ids        int
	deliveries int
}

// ID returns the ID that the job was last sent under, the zero ID if it was
// never sent.
func (t Trace) ID() filbertford.SubmissionID { return t.id }

// IDs returns the number of IDs that the job was sent under.
func (t Trace) IDs() int { return t.ids }

// Deliveries returns how often the job was sent, under all IDs.
func (t Trace) Deliveries() int { return t.deliveries }
