package fbburn

import (
	"maps"
	"slices"
	"time"
)

// MaxServices is the number of services that a Recorder counts. It limits the
// memory of a recorder and the size of a snapshot with all series.
const MaxServices = 1024

// evictionInterval is the minimum time between two searches for idle services
// in a full recorder.
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

// NewRecorder returns a recorder that counts answers from the time since on.
func NewRecorder(since time.Time) *Recorder {
	return &Recorder{since: since, now: since, series: make(map[Key]*series)}
}

// Record counts an answer under the current objective of its service. It does
// not count answers of services without an objective and answers whose outcome
// is OutcomeIgnored. If now is before the latest time seen, Record uses the
// latest time.
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

// Snapshot returns the counts at the time now, with the series of buckets if
// withSeries is set. The objective of a service is that of its last answer.
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

// Outline returns a snapshot without services and the keys of the services. A
// caller can then read the services of a large recorder one at a time.
func (r *Recorder) Outline(now time.Time) (Snapshot, []Key) {
	r.setNow(now)
	return Snapshot{now: r.now, since: r.since, dropped: r.dropped}, slices.Collect(maps.Keys(r.series))
}

// Service returns the counts of one service at the time now, with its series of
// buckets if withSeries is set. It returns false if the service has no counts.
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

// ensureCapacity reports whether another service can be added. If the recorder
// is full, it removes idle services first, at most once per evictionInterval.
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
