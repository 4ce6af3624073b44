package fblimit

import (
	"cmp"
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
)

// phase is what a connection is used for at a moment.
type phase string

// The phases of a connection.
const (
	phaseIdle   phase = "idle"   // no byte of a request has arrived
	phaseHeader phase = "header" // of a request
	phaseBody   phase = "body"   // of a request
	phaseAnswer phase = "answer" // the request is complete
	phaseEnded  phase = "ended"  // what the connection held has been returned
)

// freeHeader is the number of bytes of a header that ConnectionBytes covers.
const freeHeader = 4 << 10

// headerFactor is the memory of a decoded header for each of its bytes. Its fields count
// with fieldBytes each in addition, beyond freeFields.
const (
	headerFactor = 3
	fieldBytes   = 256
	freeFields   = 32
)

// writePiece is the largest part of an answer that is written with one deadline, in bytes.
const writePiece = 16 << 10

// conn is a connection of a caller. Deadlines of net.Conn are for the server that serves it.
type conn struct {
	net.Conn
	limiter *Limiter

	mu     sync.Mutex
	phase  phase
	header int64 // bytes of the header that have arrived
	fields int64 // memory of the fields of the header beyond freeFields, in bytes
	held   int64 // bytes that the request has taken from the account
	// caughtUpAt is when a caller that sends at BodyRate would have sent what has arrived. It is
	// never later than the last byte.
	caughtUpAt time.Time
	writing    bool // an answer is being written
}

// connKey is the key of the connection in the context of a request.
type connKey struct{}

// connOf returns the connection in a context, nil if there is none with limits.
func connOf(ctx context.Context) *conn {
	c, _ := ctx.Value(connKey{}).(*conn)
	return c
}

func newConn(nc net.Conn, l *Limiter) *conn {
	return &conn{Conn: nc, limiter: l, phase: phaseIdle, caughtUpAt: time.Now()}
}

// SyscallConn implements syscall.Conn.
func (c *conn) SyscallConn() (syscall.RawConn, error) {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, eris.New("the connection has no descriptor")
	}
	return sc.SyscallConn()
}

// Read implements net.Conn. It fails if the account has no room for the header that it reads.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 && !c.received(n) {
		return 0, ErrExhausted
	}
	return n, err
}

// received counts bytes that have arrived. It returns false if they are part of a header for
// which the account has no room.
func (c *conn) received(n int) bool {
	c.mu.Lock()
	now := time.Now()
	if c.phase == phaseIdle {
		c.phase, c.header, c.caughtUpAt = phaseHeader, 0, now
	}
	c.catchUp(n, now)
	if c.phase != phaseHeader {
		c.mu.Unlock()
		return true
	}
	before := max(c.header, freeHeader)
	c.header += int64(n)
	excess := headerFactor * (c.header - before)
	c.mu.Unlock()
	return excess <= 0 || c.reserve(excess) == nil
}

// catchUp moves caughtUpAt by the time that n bytes take at BodyRate. The caller must hold the lock.
func (c *conn) catchUp(n int, now time.Time) {
	c.caughtUpAt = c.caughtUpAt.Add(time.Duration(n) * time.Second / time.Duration(c.limiter.opts.BodyRate))
	if c.caughtUpAt.After(now) {
		c.caughtUpAt = now
	}
}

// Write implements net.Conn. A caller that doesn't read a part of an answer within WriteTimeout
// loses the connection.
func (c *conn) Write(p []byte) (int, error) {
	written := 0
	for {
		piece := p[written:min(written+writePiece, len(p))]
		now := c.beginWrite()
		if err := c.SetWriteDeadline(now.Add(c.limiter.opts.WriteTimeout)); err != nil {
			return written, err
		}
		n, err := c.Conn.Write(piece)
		c.endWrite(err)
		written += n
		if err != nil || written == len(p) {
			return written, err
		}
	}
}

func (c *conn) beginWrite() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	c.writing, c.caughtUpAt = true, now
	return now
}

func (c *conn) endWrite(err error) {
	c.mu.Lock()
	c.writing = false
	c.mu.Unlock()
	if errors.Is(err, os.ErrDeadlineExceeded) {
		c.limiter.recorder.recordClosed(causeUnread, c)
	}
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.limiter.remove(c)
	return c.Conn.Close()
}

func (c *conn) setPhase(p phase) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase != phaseEnded {
		c.phase, c.caughtUpAt = p, time.Now()
	}
}

// beginRequest notes that the header of a request has arrived. A body that the handler doesn't
// read has BodyTimeout to arrive. It fails if the account has no room for the decoded header.
func (c *conn) beginRequest(r *http.Request) error {
	if r.ContentLength == 0 {
		c.setPhase(phaseAnswer)
	} else {
		c.setPhase(phaseBody)
		_ = c.SetReadDeadline(time.Now().Add(c.limiter.opts.BodyTimeout)) // fails if the connection is closed
	}
	fields := -freeFields
	for _, values := range r.Header {
		fields += len(values)
	}
	if fields <= 0 {
		return nil
	}
	n := int64(fields) * fieldBytes
	c.mu.Lock()
	c.fields = n
	c.mu.Unlock()
	return c.reserve(n)
}

// endRequest returns what the request holds to the account.
func (c *conn) endRequest() {
	c.mu.Lock()
	held := c.held
	c.held, c.header, c.fields = 0, 0, 0
	c.mu.Unlock()
	c.limiter.release(held)
}

// end ends the use of the connection and returns what its request held.
func (c *conn) end() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	held := c.held
	c.held, c.phase = 0, phaseEnded
	return held
}

// reserve takes n bytes from the account for the current request.
func (c *conn) reserve(n int64) error {
	l := c.limiter
	if n > int64(l.opts.Memory)-ConnectionBytes {
		l.recorder.recordRefusal(causeTooLarge, c)
		return ErrTooLarge
	}
	if !l.makeRoom(n, evictStalled) {
		l.recorder.recordRefusal(causeMemory, c)
		return ErrExhausted
	}
	l.recorder.addMemory(n)
	c.mu.Lock()
	ended := c.phase == phaseEnded
	if !ended {
		c.held += n
	}
	c.mu.Unlock()
	if ended { // evicted meanwhile
		l.release(n)
		return net.ErrClosed
	}
	return nil
}

// resize changes what the current request holds, beside its header, to n bytes. It fails if they
// don't fit.
func (c *conn) resize(n int64) error {
	c.mu.Lock()
	n += headerFactor*max(0, c.header-freeHeader) + c.fields
	more := n - c.held
	if more <= 0 {
		c.held = n
	}
	c.mu.Unlock()
	if more > 0 {
		return c.reserve(more)
	}
	c.limiter.release(-more)
	return nil
}

// lag tells how soon a connection is to be closed if others need its place.
type lag struct {
	rank rank
	time time.Duration // by which the connection is behind
}

// rank tells what the end of a connection costs its caller.
type rank string

const (
	rankRequest rank = "request" // a request that makes progress
	rankIdle    rank = "idle"    // nothing but the connection
	rankStalled rank = "stalled" // the caller has stopped sending, or doesn't read the answer
)

// closingOrder lists the ranks, the one whose connections are closed first at the end.
var closingOrder = []rank{rankRequest, rankIdle, rankStalled}

func (g lag) exceeds(o lag) bool {
	byRank := cmp.Compare(slices.Index(closingOrder, g.rank), slices.Index(closingOrder, o.rank))
	return cmp.Or(byRank, cmp.Compare(g.time, o.time)) > 0
}

// lag returns the lag of the connection, and false if it must not be closed for others.
func (c *conn) lag(now time.Time, which eviction) (lag, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	behind := now.Sub(c.caughtUpAt)
	incomplete := c.phase == phaseHeader || c.phase == phaseBody
	switch {
	case (incomplete || c.writing) && behind >= stalledAfter:
		return lag{rankStalled, behind}, true
	case c.phase == phaseIdle:
		return lag{rankIdle, behind}, true
	case incomplete && which == evictAny:
		return lag{rankRequest, behind}, true
	}
	return lag{}, false
}
