package fblimit

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"time"

	"github.com/rotisserie/eris"
)

const (
	// DecodedFactor is the memory of a body while it is decoded, for each of its bytes: the
	// body, its decoded form and what the decoder leaves behind.
	DecodedFactor = 3
	// firstBuffer is the size of the first buffer of a body of unknown length, in bytes.
	firstBuffer = 4 << 10
	// discardTimeout is how long the rest of a refused body is read and dropped, so that a
	// caller that sends it at once can read the answer.
	discardTimeout = 500 * time.Millisecond
	// maxRetryAfter is the longest Retry-After of a refused request. Refused callers come
	// back at different times.
	maxRetryAfter = 3 * time.Second
)

// Errors of ReadBody, beside ErrExhausted and ErrTooLarge.
var (
	// ErrBodyTooLarge means that a body is longer than its limit.
	ErrBodyTooLarge = eris.New("the body is too large")
	// ErrStalled means that the caller sent too little for too long.
	ErrStalled = eris.New("the body made no progress")
)

// ReadBody reads the body of a request, of at most limit bytes, after it has taken the memory for
// the body and its decoded form. The memory returns to the account when the request ends. Without
// a limiter only the size is limited.
func ReadBody(r *http.Request, limit int) ([]byte, error) {
	if r.ContentLength > int64(limit) {
		return nil, ErrBodyTooLarge
	}
	b := bodyReader{conn: connOf(r.Context()), body: r.Body, limit: limit}
	size := firstBuffer
	if r.ContentLength >= 0 {
		// The additional byte makes the read of the whole body return the end, too.
		size = int(r.ContentLength) + 1
	}
	data, err := b.read(min(size, limit+1))
	if err == nil && b.conn != nil {
		b.conn.setPhase(phaseAnswer)
	}
	return data, err
}

// bodyReader reads a body.
type bodyReader struct {
	conn  *conn // nil without limits
	body  io.Reader
	limit int
}

func (b bodyReader) read(size int) ([]byte, error) {
	if err := b.reserve(size); err != nil {
		return nil, err
	}
	data := make([]byte, 0, size)
	for {
		if len(data) == cap(data) {
			grown, err := b.grow(data)
			if err != nil {
				return nil, err
			}
			data = grown
		}
		if b.conn != nil {
			b.conn.extendReadDeadline()
		}
		n, err := b.body.Read(data[len(data):cap(data)])
		data = data[:len(data)+n]
		switch {
		case len(data) > b.limit:
			return nil, ErrBodyTooLarge
		case errors.Is(err, io.EOF):
			return data, nil
		case errors.Is(err, os.ErrDeadlineExceeded):
			if b.conn != nil {
				b.conn.limiter.recorder.recordClosed(causeStalled, b.conn)
			}
			return nil, ErrStalled
		case err != nil:
			return nil, err
		}
	}
}

// grow returns a copy of the data with twice the capacity.
func (b bodyReader) grow(data []byte) ([]byte, error) {
	size := min(2*cap(data), b.limit+1)
	if err := b.reserve(size); err != nil {
		return nil, err
	}
	grown := append(make([]byte, 0, size), data...)
	if b.conn != nil {
		b.conn.giveBack(DecodedFactor * int64(cap(data)))
	}
	return grown, nil
}

func (b bodyReader) reserve(size int) error {
	if b.conn == nil {
		return nil
	}
	return b.conn.reserve(DecodedFactor * int64(size))
}

// extendReadDeadline sets the deadline of the next read by what the caller has sent so far.
func (c *conn) extendReadDeadline() {
	c.mu.Lock()
	deadline := c.caughtUpAt.Add(c.limiter.opts.BodyTimeout)
	c.mu.Unlock()
	_ = c.SetReadDeadline(deadline) // fails if the connection is closed
}

// giveBack returns n bytes that the request holds to the account.
func (c *conn) giveBack(n int64) {
	c.mu.Lock()
	n = min(n, c.held)
	c.held -= n
	c.mu.Unlock()
	c.limiter.release(n)
}

// Hold changes the memory that the current request holds to n bytes, until it ends. It returns
// ErrExhausted or ErrTooLarge if they don't fit. Without a limiter it does nothing.
func Hold(ctx context.Context, n int) error {
	if c := connOf(ctx); c != nil {
		return c.resize(int64(n))
	}
	return nil
}

// Refuse prepares the answer to a request whose body isn't read to its end: the connection is
// closed after the answer.
func Refuse(w http.ResponseWriter) {
	w.Header().Set("Connection", "close")
	// It fails if the connection is closed, or in a test without one.
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(discardTimeout))
}

// RetryAfter returns when a refused caller may come back.
func RetryAfter() time.Duration {
	return time.Second + rand.N(maxRetryAfter-time.Second)
}
