package fblimit

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/uber-go/tally/v4"

	"github.com/filbertford/filbertford/fbevent"
)

// cause is why a request is refused or a connection closed.
type cause string

// The causes.
const (
	causeMemory      cause = "memory"      // the account is exhausted
	causeTooLarge    cause = "too-large"   // the request needs more than the whole account
	causeConnections cause = "connections" // the maximum number of connections is open
	causeStalled     cause = "stalled"     // the caller stopped sending a body
	causeUnread      cause = "unread"      // the caller doesn't read the answer
)

// linePeriod is the shortest time between two log lines of an event and a cause.
const linePeriod = time.Second

// recorder counts and logs refusals and closed connections.
type recorder struct {
	log         *log.Logger
	metrics     tally.Scope
	connections tally.Gauge
	memory      tally.Gauge
	held        atomic.Int64

	mu    sync.Mutex
	lines map[line]*omitted
}

// line identifies the lines that are limited together.
type line struct {
	event string
	cause cause
}

// omitted counts what has happened since the last line.
type omitted struct {
	loggedAt time.Time
	count    int
}

func newRecorder(logger *log.Logger, metrics tally.Scope) *recorder {
	return &recorder{
		log: logger, metrics: metrics, lines: make(map[line]*omitted),
		connections: metrics.Gauge("caller_connections"), memory: metrics.Gauge("caller_memory_bytes"),
	}
}

func (r *recorder) recordConnections(n int) { r.connections.Update(float64(n)) }

func (r *recorder) addMemory(n int64) { r.memory.Update(float64(r.held.Add(n))) }

func (r *recorder) recordRefusal(why cause, c *conn) {
	r.record("callers_refused", fbevent.RequestRefused, why, c)
}

func (r *recorder) recordClosed(why cause, c *conn) {
	r.record("callers_closed", fbevent.ConnectionClosed, why, c)
}

// record counts an event and logs it with the number of those since the last line.
func (r *recorder) record(counter string, e fbevent.Event, why cause, c *conn) {
	r.metrics.Tagged(map[string]string{"cause": string(why)}).Counter(counter).Inc(1)
	r.mu.Lock()
	o := r.lines[line{e.ID(), why}]
	if o == nil {
		o = &omitted{}
		r.lines[line{e.ID(), why}] = o
	}
	o.count++
	count, now := o.count, time.Now()
	if now.Sub(o.loggedAt) < linePeriod {
		r.mu.Unlock()
		return
	}
	o.loggedAt, o.count = now, 0
	r.mu.Unlock()
	e.Log(r.log, "cause", why, "count", count, "caller", c.RemoteAddr(), "held_bytes", r.held.Load())
}
