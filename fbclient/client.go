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
	// ErrNotSent is returned when the job was sent to no daemon: none could be
	// reached, or the context ended first. The job did not run.
	ErrNotSent = errors.New("the job was not sent")
	// ErrOutcomeUnknown is returned when the job may have run and no daemon
	// reported its outcome. The answer returned with it has CodeOutcomeUnknown.
	ErrOutcomeUnknown = errors.New("the outcome of the job is unknown")
	// ErrBadAnswer is returned for an answer that is malformed or incomplete, or
	// that belongs to another submission.
	ErrBadAnswer = errors.New("invalid answer")
	// ErrBadJob is returned for a job with task arguments that are not valid JSON.
	ErrBadJob = errors.New("invalid job")
)

// Defaults of a Client.
const (
	// DefaultAttempts is the maximum number of attempts to send one job.
	DefaultAttempts = 8
	// DefaultMaxAnswerBytes is the size of the largest answer that is accepted.
	DefaultMaxAnswerBytes = 32 << 20
	// DefaultMaxTokenAge is the age at which an owner token is fetched again.
	DefaultMaxTokenAge = 30 * time.Second
	// DefaultBackoff is the backoff before the first retry of a job.
	DefaultBackoff = 20 * time.Millisecond
	// DefaultTimeoutMargin is how long after the job's timeout the client still
	// waits for an answer before it sends the job again under the same ID.
	DefaultTimeoutMargin = 5 * time.Second
	// tokenTimeout is the timeout of a request for an owner token.
	tokenTimeout = 3 * time.Second
	// requestTimeout is the timeout of a status or cancel request to one endpoint.
	requestTimeout = 10 * time.Second
	// maxBackoff is the longest backoff before a retry of a job.
	maxBackoff = 2 * time.Second
	// maxIdleConnsPerHost is the number of idle connections kept per endpoint.
	maxIdleConnsPerHost = 512
	// dialTimeout is the timeout for opening a connection.
	dialTimeout = 3 * time.Second
)

// Client submits jobs to entry daemons. It is safe for concurrent use by
// multiple goroutines.
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

// Option configures a Client in New.
type Option func(*Client)

// WithKey sets the caller's key, which is sent with each request.
func WithKey(key string) Option { return func(c *Client) { c.key = key } }

// WithAttempts sets the maximum number of attempts to send one job. A value
// below 1 counts as 1.
func WithAttempts(n int) Option { return func(c *Client) { c.attempts = max(n, 1) } }

// WithBackoff sets the backoff before the first retry of a job. It doubles with
// each further retry, up to 2 seconds.
func WithBackoff(d time.Duration) Option { return func(c *Client) { c.backoff = d } }

// WithTimeoutMargin sets how long after the job's timeout the client still waits
// for an answer. For a job without a timeout it waits until the context ends.
func WithTimeoutMargin(d time.Duration) Option { return func(c *Client) { c.timeoutMargin = d } }

// WithMaxAnswerBytes sets the size of the largest answer that is accepted.
func WithMaxAnswerBytes(n int64) Option { return func(c *Client) { c.maxAnswerBytes = n } }

// WithMaxTokenAge sets the age at which an owner token is fetched again. It
// must be shorter than the daemons' resubmission horizon.
func WithMaxTokenAge(d time.Duration) Option { return func(c *Client) { c.maxTokenAge = d } }

// WithTransport replaces the HTTP transport. The transport must not retry a
// request by itself.
func WithTransport(t http.RoundTripper) Option { return func(c *Client) { c.transport = t } }

// WithLogger sets the logger to which the client logs its retries.
func WithLogger(l *log.Logger) Option { return func(c *Client) { c.logger = l } }

// New returns a client of the daemons at the endpoints, each a URL such as
// http://127.0.0.1:7100. The client uses the endpoints in round-robin order and
// for a second skips one that it could not reach. New returns an error if there
// are no endpoints or one is not an HTTP URL.
func New(endpoints []string, options ...Option) (*Client, error) {
	if len(endpoints) == 0 {
		return nil, eris.New("no endpoints given; at least one is required")
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

// parseEndpoint parses an endpoint's URL and removes trailing slashes.
func parseEndpoint(text string) (*endpoint, error) {
	text = strings.TrimSpace(text)
	u, err := url.Parse(text)
	if err != nil || u.Scheme != "http" && u.Scheme != "https" || u.Host == "" {
		return nil, eris.Errorf("endpoint %q is not a URL of the form http://host:port", text)
	}
	return &endpoint{base: strings.TrimRight(text, "/"), host: u.Hostname()}, nil
}

// endpointsByHost returns the endpoints by host. A host that several endpoints
// share maps to nil.
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

// Trace describes the deliveries of a submission.
type Trace struct {
	id         filbertford.SubmissionID
	ids        int
	deliveries int
}

// ID returns the ID that the job was last sent under, or the zero ID if it was
// never sent.
func (t Trace) ID() filbertford.SubmissionID { return t.id }

// IDs returns the number of IDs that the job was sent under.
func (t Trace) IDs() int { return t.ids }

// Deliveries returns how often the job was sent, under all IDs.
func (t Trace) Deliveries() int { return t.deliveries }
