package fbpolicy

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/filbertford/filbertford"
)

// Times that a target is not used for.
const (
	// leavingHold is the hold after a target said that it is leaving.
	leavingHold = 5 * time.Second
	// firstUnreachedHold is the hold after a target could not be reached; it
	// doubles with each further time.
	firstUnreachedHold = 100 * time.Millisecond
	// lastUnreachedHold is the longest such hold.
	lastUnreachedHold = 10 * time.Second
)

// A target is taken to be frozen when none of its tasks has ended by this
// multiple of the time expected, or by frozenAfter if that is later.
const (
	frozenFactor = 6
	frozenAfter  = 300 * time.Millisecond
)

// start is a task that runs at a target for this daemon.
type start struct {
	at       time.Time
	expected time.Duration
}

// target is what a policy knows of a target as a whole.
type target struct {
	id     filbertford.TargetID
	jitter float64
	turn   uint64

	starts  []start
	used    time.Time
	replied time.Time
	lag     float64
	frozen  bool

	heard    time.Time
	others   float64
	variance float64

	health health
	until  time.Time
	hinted time.Time
	missed time.Duration
}

// jitterRange is the greatest handicap, as a share of the run time, by which a
// daemon prefers some targets among equally fast ones.
const jitterRange = 0.04

func newTarget(id filbertford.TargetID, seed uint64, now time.Time) *target {
	turn := xxhash.Sum64String(string(id))
	h := turn ^ seed*0x9e3779b97f4a7c15
	h ^= h >> 29
	h *= 0xbf58476d1ce4e5b9
	h ^= h >> 32
	return &target{id: id, jitter: 1 + jitterRange*float64(h>>11)/(1<<53), lag: 1, turn: turn >> 1, used: now}
}

// begin notes a start that is expected to run for d.
func (t *target) begin(now time.Time, d time.Duration) {
	t.starts = append(t.starts, start{at: now, expected: d})
	t.used = now
}

// end forgets the start that lasted for took.
func (t *target) end(now time.Time, took time.Duration) {
	if len(t.starts) == 0 {
		return
	}
	began := now.Add(-took)
	best, gap := 0, time.Duration(-1)
	for i, s := range t.starts {
		if d := s.at.Sub(began).Abs(); gap < 0 || d < gap {
			best, gap = i, d
		}
	}
	last := len(t.starts) - 1
	t.starts[best] = t.starts[last]
	t.starts = t.starts[:last]
	t.frozen = false
}

// hold keeps new starts from the target for d.
func (t *target) hold(now time.Time, d time.Duration) {
	if until := now.Add(d); until.After(t.until) {
		t.until = until
	}
}

// unreached holds the target, longer each time in a row.
func (t *target) unreached(now time.Time) {
	t.missed = min(max(2*t.missed, firstUnreachedHold), lastUnreachedHold)
	t.hold(now, t.missed)
}

// sweep looks for tasks that should long have ended.
func (t *target) sweep(now time.Time) {
	t.lag, t.frozen = 1, false
	if len(t.starts) == 0 {
		return
	}
	most, second := 0.0, 0.0
	due := time.Time{}
	for _, s := range t.starts {
		late := float64(now.Sub(s.at)) / float64(max(s.expected, time.Millisecond))
		if late > most {
			most, second = late, most
		} else if late > second {
			second = late
		}
		wait := max(frozenFactor*s.expected, frozenAfter)
		if d := s.at.Add(wait); due.IsZero() || d.Before(due) {
			due = d
		}
	}
	// One late task alone may have been declared too short.
	t.lag = max(1, second/2, most/8)
	t.frozen = now.After(due) && now.Sub(t.replied) > frozenAfter
}

// meet takes in what the candidate tells of the other daemons' use.
func (t *target) meet(c *filbertford.Candidate) {
	if c.Heard().Equal(t.heard) {
		return
	}
	first := t.heard.IsZero()
	t.heard = c.Heard()
	t.missed = 0
	now := float64(max(c.Slots()-c.Mine()-c.Free(), 0))
	if first {
		t.others = now
		return
	}
	gap := now - t.others
	t.others += othersGain * gap
	t.variance += othersGain * (gap*gap - t.variance)
}
