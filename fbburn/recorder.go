package fbburn

import (
	"maps"
	"slices"
	"time"
)

// MaxServices is the number of services that a Book counts. It bounds a book's
// memory and the size of a snapshot with all series.
const MaxServices = 1024

// evictionInterval is the least time between two searches for idle services in a
// full book.
const evictionInterval = time.Minute

// Recorder counts the answers of one daemon by service. It is not safe for
// concurrent use.
type Recorder struct {
	since        time.Time
	now          time.Time
	lastEviction time.Time
	dropped      uint64
	series       map[Key]*series
}

// NewRecorder returns a book that counts from a moment on.
func NewRecorder(since time.Time) *Recorder {
	return &Recorder{since: since, now: since, series: make(map[Key]*series)}
}

// Record counts an answer under the objective in force. An answer to a service
// without an objective is not counted, nor is an ignored one. A moment earlier
// than the latest one counts as the latest.
func (r *Recorder) Record(now time.Time, k Key, objective Objective, o Outcome) {
	if objective.share <= 0 || o == OutcomeIgnored {
		return
	}
	r.setNow(now)
	s, ok := r.series[k]
	if !ok {
		if !r.ensureCapacity() {
			r.dropped++
			return
		}
		s = newSeries()
		r.series[k] = s
	}
	s.objective = objective
	s.record(r.now, o)
}

// Snapshot returns the counts at a moment, with the series of buckets if asked
// for, under the objective of each service's last answer.
func (r *Recorder) Snapshot(now time.Time, withSeries bool) Snapshot {
	out, keys := r.Outline(now)
	services := make([]Service, 0, len(keys))
	for _, k := range keys {
		if s, ok := r.Service(now, k, withSeries); ok {
			services = append(services, s)
		}
	}
	return out.WithServices(services...)
}

// Outline returns a snapshot at a moment without services, and the keys of the
// services, so that a caller can take a snapshot of a large book step by step.
func (r *Recorder) Outline(now time.Time) (Snapshot, []Key) {
	r.setNow(now)
	return Snapshot{now: r.now, since: r.since, dropped: r.dropped}, slices.Collect(maps.Keys(r.series))
}

// Service returns the counts of one service at a moment, with its series of
// buckets if asked for, or false if there are none.
func (r *Recorder) Service(now time.Time, k Key, withSeries bool) (Service, bool) {
	r.setNow(now)
	s, ok := r.series[k]
	if !ok {
		return Service{}, false
	}
	s.minutes.advance(r.now)
	s.hours.advance(r.now)
	out := Service{key: k, objective: s.objective, windows: make(map[Window]Counts)}
	for _, w := range Windows() {
		out.windows[w] = s.window(w)
	}
	if withSeries {
		out.minutes, out.hours = s.minutes.points(), s.hours.points()
	}
	return out, true
}

func (r *Recorder) setNow(now time.Time) {
	if now.After(r.now) {
		r.now = now
	}
}

// ensureCapacity reports whether there is room for another service, after the removal of
// idle ones if need be.
func (r *Recorder) ensureCapacity() bool {
	if len(r.series) < MaxServices {
		return true
	}
	if r.now.Sub(r.lastEviction) < evictionInterval {
		return false
	}
	r.lastEviction = r.now
	for k, s := range r.series {
		if s.idle(r.now) {
			delete(r.series, k)
		}
	}
	return len(r.series) < MaxServices
}
