package fblimit

import (
	"context"
	"math"
	"net"
	"net/http"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/charmbracelet/log"
	"github.com/rotisserie/eris"
	"github.com/uber-go/tally/v4"
	"golang.org/x/sync/semaphore"
	"golang.org/x/sys/unix"

	"github.com/filbertford/filbertford/fbconn"
)

const (
	// ConnectionBytes is the memory that an open connection counts with: the stack and the
	// buffers of the goroutine that serves it, and the bytes that the kernel has received.
	ConnectionBytes = 48 << 10
	// receiveBuffer is the size in bytes of the kernel's buffer of a connection. The kernel
	// doubles it for its own use.
	receiveBuffer = 16 << 10
	// stalledAfter is the lag after which a connection is closed if others need its place.
	stalledAfter = time.Second
)

// Errors of a reservation of memory.
var (
	// ErrExhausted means that callers hold too much at the moment.
	ErrExhausted = eris.New("callers hold all the memory that is set aside for them")
	// ErrTooLarge means that a request needs more than all callers together may hold.
	ErrTooLarge = eris.New("the request needs more memory than is set aside for callers")
)

// Options are the limits of a Limiter.
type Options struct {
	// Connections is the maximum number of open connections.
	Connections int
	// Memory is the maximum memory of all connections and requests in bytes.
	Memory int
	// BodyTimeout is the longest time by which a request may be behind BodyRate.
	BodyTimeout time.Duration
	// BodyRate is the number of bytes that a caller must send in a second.
	BodyRate int
	// WriteTimeout is the longest time that a caller may take to read a part of an answer.
	WriteTimeout time.Duration
}

// Limiter bounds what the callers of one listener hold. Its methods are safe for concurrent use.
type Limiter struct {
	opts     Options
	memory   *semaphore.Weighted
	recorder *recorder
	mu       sync.Mutex
	conns    map[*conn]struct{}
}

// New returns a limiter without connections.
func New(opts Options, logger *log.Logger, metrics tally.Scope) *Limiter {
	return &Limiter{
		opts:     opts,
		memory:   semaphore.NewWeighted(int64(opts.Memory)),
		recorder: newRecorder(logger, metrics),
		conns:    make(map[*conn]struct{}),
	}
}

// Listen opens a TCP listener whose connections have a small receive buffer: what a caller sends
// beyond the request that is being served stays with the caller.
func Listen(address string) (net.Listener, error) {
	lc := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
		return c.Control(func(fd uintptr) {
			// A kernel that refuses the size keeps its own.
			_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, receiveBuffer)
		})
	}}
	return lc.Listen(context.Background(), "tcp", address)
}

// Attach applies the limits to the server's requests. The server must serve a listener that
// Limit returned.
func (l *Limiter) Attach(s *http.Server) {
	s.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		return context.WithValue(fbconn.NewContext(ctx, c), connKey{}, c)
	}
	s.ConnState = func(nc net.Conn, state http.ConnState) {
		if c, ok := nc.(*conn); ok && state == http.StateIdle {
			c.setPhase(phaseIdle)
		}
	}
	next := s.Handler
	s.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := connOf(r.Context())
		if c == nil {
			next.ServeHTTP(w, r)
			return
		}
		defer c.endRequest()
		if err := c.beginRequest(r); err != nil {
			Refuse(w)
			w.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(RetryAfter().Seconds()))))
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
		next.ServeHTTP(w, r)
	})
}

// Limit returns a listener that accepts connections from inner up to the limits. At a limit it
// closes the connection with the largest lag in favour of a new one, or the new one if all others
// wait for answers.
func (l *Limiter) Limit(inner net.Listener) net.Listener {
	return &listener{Listener: inner, limiter: l}
}

// listener is a listener with limits.
type listener struct {
	net.Listener
	limiter *Limiter
}

// Accept implements net.Listener.
func (s *listener) Accept() (net.Conn, error) {
	for {
		nc, err := s.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := s.limiter.admit(nc); c != nil {
			return c, nil
		}
		_ = nc.Close() // the caller is refused either way
	}
}

// admit returns a new connection with its share of the memory, or nil if there is no place for it.
func (l *Limiter) admit(nc net.Conn) *conn {
	c := newConn(nc, l)
	if !l.makeRoom(ConnectionBytes, evictAny) {
		l.recorder.recordRefusal(causeMemory, c)
		return nil
	}
	l.mu.Lock()
	for len(l.conns) >= l.opts.Connections {
		victim := l.largestLag(evictAny)
		if victim == nil {
			l.mu.Unlock()
			l.memory.Release(ConnectionBytes)
			l.recorder.recordRefusal(causeConnections, c)
			return nil
		}
		l.evictLocked(victim, causeConnections)
	}
	l.conns[c] = struct{}{}
	l.recorder.recordConnections(len(l.conns))
	l.mu.Unlock()
	l.recorder.addMemory(ConnectionBytes)
	return c
}

// makeRoom takes n bytes from the account. If they don't fit, it closes connections that may be
// evicted until they do, and takes nothing if there are too few of these.
func (l *Limiter) makeRoom(n int64, which eviction) bool {
	if l.memory.TryAcquire(n) {
		return true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for {
		victim := l.largestLag(which)
		if victim == nil {
			return l.memory.TryAcquire(n)
		}
		l.evictLocked(victim, causeMemory)
		if l.memory.TryAcquire(n) {
			return true
		}
	}
}

// eviction tells which connections may be closed for another caller.
type eviction string

const (
	// evictStalled allows connections without a request and those that have stalled.
	evictStalled eviction = "stalled"
	// evictAny allows all connections whose request isn't complete, too.
	evictAny eviction = "any"
)

// largestLag returns the connection to close first: of those that have stalled, else of those
// without a request, else of the others the one with the largest lag. It returns nil if there is
// none that may be closed. The caller must hold the lock.
func (l *Limiter) largestLag(which eviction) *conn {
	now := time.Now()
	var victim *conn
	var best lag
	for c := range l.conns {
		if g, ok := c.lag(now, which); ok && (victim == nil || g.exceeds(best)) {
			victim, best = c, g
		}
	}
	return victim
}

// evictLocked closes a connection and returns what it holds to the account. The goroutine that
// serves it frees the memory as soon as it sees the end of the connection.
func (l *Limiter) evictLocked(c *conn, why cause) {
	l.removeLocked(c)
	_ = c.Conn.Close() // it is lost either way
	l.recorder.recordClosed(why, c)
}

func (l *Limiter) removeLocked(c *conn) {
	if _, ok := l.conns[c]; !ok {
		return
	}
	delete(l.conns, c)
	l.recorder.recordConnections(len(l.conns))
	l.release(c.end() + ConnectionBytes)
}

func (l *Limiter) remove(c *conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.removeLocked(c)
}

func (l *Limiter) release(n int64) {
	if n > 0 {
		l.memory.Release(n)
		l.recorder.addMemory(-n)
	}
}
