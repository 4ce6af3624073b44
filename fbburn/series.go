package fbburn

import "time"

// Widths and numbers of the buckets of a series. Buckets start at whole minutes
// and hours of Unix time, so that those of several daemons can be added up.
const (
	minuteWidth       = time.Minute
	hourWidth         = time.Hour
	minuteBucketCount = 6 * 60
	hourBucketCount   = 3 * 24
)

// bucket counts the answers of a minute or an hour, up to 4,294,967,295 of each
// outcome.
type bucket struct {
	good, bad, overQuota uint32
}

func (b *bucket) add(o Outcome) {
	switch o {
	case OutcomeGood:
		b.good++
	case OutcomeBad:
		b.bad++
	case OutcomeOverQuota:
		b.overQuota++
	}
}

func (b bucket) counts() Counts {
	return NewCounts(uint64(b.good), uint64(b.bad), uint64(b.overQuota))
}

// ring is a ring buffer of the newest buckets of one width. The index of a bucket
// is its start in widths since the Unix epoch; bucket i is stored at i modulo the
// number of buckets.
type ring struct {
	width   time.Duration
	head    int64
	buckets []bucket
}

// index returns the index of the bucket that contains the time now.
func (r *ring) index(now time.Time) int64 { return now.Unix() / int64(r.width/time.Second) }

// advance makes the bucket that contains now the newest one and clears those
// after the previous newest. If now is before the newest bucket, advance does
// nothing: a clock that goes backwards never clears a bucket.
func (r *ring) advance(now time.Time) {
	to := r.index(now)
	if to <= r.head {
		return
	}
	n := int64(len(r.buckets))
	for i := max(r.head+1, to-n+1); i <= to; i++ {
		r.buckets[i%n] = bucket{}
	}
	r.head = to
}

// record counts an answer in the newest bucket.
func (r *ring) record(now time.Time, o Outcome) {
	r.advance(now)
	r.buckets[r.head%int64(len(r.buckets))].add(o)
}

// sum returns the counts of the newest n buckets.
func (r *ring) sum(n int) Counts {
	var out Counts
	for i := range min(n, len(r.buckets)) {
		out = out.Add(r.countsAt(r.head - int64(i)))
	}
	return out
}

// countsAt returns the counts of a bucket that the ring still holds.
func (r *ring) countsAt(index int64) Counts {
	if index < 0 {
		return Counts{}
	}
	return r.buckets[index%int64(len(r.buckets))].counts()
}

// points returns the buckets that are not empty, oldest first.
func (r *ring) points() []Point {
	var out []Point
	for i := r.head - int64(len(r.buckets)) + 1; i <= r.head; i++ {
		if c := r.countsAt(i); c != (Counts{}) {
			if out == nil {
				out = make([]Point, 0, r.head-i+1)
			}
			out = append(out, Point{start: time.Unix(i*int64(r.width/time.Second), 0).UTC(), counts: c})
		}
	}
	return out
}

// series counts the answers of one service.
type series struct {
	objective     Objective
	minutes       ring
	hours         ring
	minuteBuckets [minuteBucketCount]bucket
	hourBuckets   [hourBucketCount]bucket
}

func newSeries() *series {
	s := new(series)
	s.minutes = ring{width: minuteWidth, buckets: s.minuteBuckets[:]}
	s.hours = ring{width: hourWidth, buckets: s.hourBuckets[:]}
	return s
}

func (s *series) record(now time.Time, o Outcome) {
	s.minutes.record(now, o)
	s.hours.record(now, o)
}

// idle reports whether all buckets are older than the longest window.
func (s *series) idle(now time.Time) bool { return s.hours.index(now)-s.hours.head >= hourBucketCount }

// window returns the counts of a window, up to and including the newest bucket.
func (s *series) window(w Window) Counts {
	if w.Length() > minuteBucketCount*minuteWidth {
		return s.hours.sum(int(w.Length() / hourWidth))
	}
	return s.minutes.sum(int(w.Length() / minuteWidth))
}

// Point holds the counts of one bucket.
type Point struct {
	start  time.Time
	counts Counts
}

// Start returns the start of the bucket.
func (p Point) Start() time.Time { return p.start }

// Counts returns the counts of the bucket.
func (p Point) Counts() Counts { return p.counts }
