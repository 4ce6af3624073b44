package fbburn

import (
	"maps"
	"slices"
	"time"
)

// MaxServices is the number of services that a Book counts. It bounds a book's
// memory and the size of a snapshot with all series.
const MaxServices = 1024

// evictPeriod is the least time between two searches for idle services in a
// full book.
const evictPeriod = time.Minute

// Book counts the answers of one daemon by service. It is not safe for
// concurrent use.
type Book struct {
	since   time.Time
	now     time.Time
	evicted time.Time
	dropped uint64
	series  map[Key]*series
}

// NewBook returns a book that counts from a moment on.
func NewBook(since time.Time) *Book {
	return &Book{since: since, now: since, series: make(map[Key]*series)}
}

// Record counts an answer under the objective in force. An answer to a service
// without an objective is not counted, nor is an ignored one. A moment earlier
// than the latest one counts as the latest.
func (b *Book) Record(now time.Time, k Key, objective Objective, o Outcome) {
	if objective.share <= 0 || o == OutcomeIgnored {
		return
	}
	b.advance(now)
	s, ok := b.series[k]
	if !ok {
		if !b.room() {
			b.dropped++
			return
		}
		s = newSeries()
		b.series[k] = s
	}
	s.objective = objective
	s.record(b.now, o)
}

// Snapshot returns the counts at a moment, with the series of buckets if asked
// for, under the objective of each service's last answer.
func (b *Book) Snapshot(now time.Time, withSeries bool) Snapshot {
	out, keys := b.Outline(now)
	services := make([]Service, 0, len(keys))
	for _, k := range keys {
		if s, ok := b.Service(now, k, withSeries); ok {
			services = append(services, s)
		}
	}
	return out.WithServices(services...)
}

// Outline returns a snapshot at a moment without services, and the keys of the
// services, so that a caller can take a snapshot of a large book step by step.
func (b *Book) Outline(now time.Time) (Snapshot, []Key) {
	b.advance(now)
	return Snapshot{now: b.now, since: b.since, dropped: b.dropped}, slices.Collect(maps.Keys(b.series))
}

// Service returns the counts of one service at a moment, with its series of
// buckets if asked for, or false if there are none.
func (b *Book) Service(now time.Time, k Key, withSeries bool) (Service, bool) {
	b.advance(now)
	s, ok := b.series[k]
	if !ok {
		return Service{}, false
	}
	s.minutes.advance(b.now)
	s.hours.advance(b.now)
	out := Service{key: k, objective: s.objective, windows: make(map[Window]Counts)}
	for _, w := range Windows() {
		out.windows[w] = s.window(w)
	}
	if withSeries {
		out.minutes, out.hours = s.minutes.points(), s.hours.points()
	}
	return out, true
}

func (b *Book) advance(now time.Time) {
	if now.After(b.now) {
		b.now = now
	}
}

// room reports whether there is room for another service, after the removal of
// idle ones if need be.
func (b *Book) room() bool {
	if len(b.series) < MaxServices {
		return true
	}
	if b.now.Sub(b.evicted) < evictPeriod {
		return false
	}
	b.evicted = b.now
	for k, s := range b.series {
		if s.idle(b.now) {
			delete(b.series, k)
		}
	}
	return len(b.series) < MaxServices
}
