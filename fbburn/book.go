package fbburn

import "time"

// MaxServices is the number of services that a Book counts. It bounds a book's
// memory.
const MaxServices = 2048

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
// for. The objective function, if not nil, gives the objective in force; a
// service that it doesn't know keeps the one of its last answer.
func (b *Book) Snapshot(now time.Time, withSeries bool, objective func(Key) (Objective, bool)) Snapshot {
	b.advance(now)
	out := Snapshot{now: b.now, since: b.since, dropped: b.dropped}
	for k, s := range b.series {
		s.minutes.advance(b.now)
		s.hours.advance(b.now)
		service := Service{key: k, objective: s.objective, windows: make(map[Window]Counts)}
		if objective != nil {
			if current, ok := objective(k); ok {
				service.objective = current
			}
		}
		for _, w := range Windows() {
			service.windows[w] = s.window(w)
		}
		if withSeries {
			service.minutes, service.hours = s.minutes.points(), s.hours.points()
		}
		out.services = append(out.services, service)
	}
	out.sort()
	return out
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
