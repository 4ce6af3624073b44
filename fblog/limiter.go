package fblog

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"
)

// MaxLinesPerSecond is the maximum number of lines of one event in a second.
const MaxLinesPerSecond = 300

// Limiter limits how often each event is logged. Its methods are safe for
// concurrent use.
type Limiter struct {
	mu      sync.Mutex
	second  int64
	counts  map[string]int
	omitted map[string]int
}

// Omission is the number of lines of an event that were omitted.
type Omission struct {
	event string
	count int
}

// Event returns the event's number.
func (o Omission) Event() string { return o.event }

// Count returns the number of omitted lines.
func (o Omission) Count() int { return o.count }

// NewLimiter returns a limiter that allows MaxLinesPerSecond lines of each event.
func NewLimiter() *Limiter {
	return &Limiter{counts: make(map[string]int), omitted: make(map[string]int)}
}

// Allow reports whether a line of the event may be written at the time now, and
// counts it as omitted if not.
func (l *Limiter) Allow(event string, now time.Duration) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if s := int64(now / time.Second); s != l.second {
		l.second = s
		clear(l.counts)
	}
	if l.counts[event] >= MaxLinesPerSecond {
		l.omitted[event]++
		return false
	}
	l.counts[event]++
	return true
}

// TakeOmissions returns the omissions since the last call, sorted by event.
func (l *Limiter) TakeOmissions() []Omission {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []Omission
	for _, e := range slices.SortedFunc(maps.Keys(l.omitted), cmp.Compare[string]) {
		out = append(out, Omission{event: e, count: l.omitted[e]})
	}
	clear(l.omitted)
	return out
}
