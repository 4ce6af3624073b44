package fbpolicy

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/filbertford/filbertford"
)

// Times that a target is not used for.
const (
	// leavingPause is the hold after a target said that it is leaving.
	leavingPause = 5 * time.Second
	// minUnreachedBackoff is the hold after a target could not be reached; it
	// doubles with each further time.
	minUnreachedBackoff = 100 * time.Millisecond
	// maxUnreachedBackoff is the longest such hold.
	maxUnreachedBackoff = 10 * time.Second
)

// A target is taken to be frozen when none of its tasks has ended by this
// multiple of the time expected, or by frozenAfter if that is later.
const (
	frozenFactor = 6
	frozenAfter  = 300 * time.Millisecond
)

// start is a task that runs at a target for this daemon.
type start struct {
	startedAt time.Time
	expected  time.Duration
}

// targetState is what a policy knows of a target as a whole.
type targetState struct {
	id     filbertford.TargetID
	jitter float64
	idHash uint64

	starts    []start
	lastStart time.Time
	lastReply time.Time
	slowdown  float64
	frozen    bool

	othersUpdated  time.Time
	othersMean     float64
	othersVariance float64

	health           health
	pausedUntil      time.Time
	lastHint         time.Time
	unreachedBackoff time.Duration
}

// maxJitter is the greatest handicap, as a share of the run time, by which a
// daemon prefers some targets among equally fast ones.
const maxJitter = 0.04

func newTargetState(id filbertford.TargetID, seed uint64, now time.Time) *targetState {
	idHash := xxhash.Sum64String(string(id))
	h := idHash ^ seed*0x9e3779b97f4a7c15
	h ^= h >> 29
	h *= 0xbf58476d1ce4e5b9
	h ^= h >> 32
	return &targetState{id: id, jitter: 1 + maxJitter*float64(h>>11)/(1<<53), slowdown: 1, idHash: idHash >> 1, lastStart: now}
}

// addStart notes a start that is expected to run for d.
func (t *targetState) addStart(now time.Time, d time.Duration) {
	t.starts = append(t.starts, start{startedAt: now, expected: d})
	t.lastStart = now
}

// removeStart forgets the start that lasted for took.
func (t *targetState) removeStart(now time.Time, took time.Duration) {
	if len(t.starts) == 0 {
		return
	}
	startedAt := now.Add(-took)
	best, gap := 0, time.Duration(-1)
	for i, s := range t.starts {
		if d := s.startedAt.Sub(startedAt).Abs(); gap < 0 || d < gap {
			best, gap = i, d
		}
	}
	last := len(t.starts) - 1
	t.starts[best] = t.starts[last]
	t.starts = t.starts[:last]
	t.frozen = false
}

// pause keeps new starts from the target for d.
func (t *targetState) pause(now time.Time, d time.Duration) {
	if until := now.Add(d); until.After(t.pausedUntil) {
		t.pausedUntil = until
	}
}

// backOff holds the target, longer each time in a row.
func (t *targetState) backOff(now time.Time) {
	t.unreachedBackoff = min(max(2*t.unreachedBackoff, minUnreachedBackoff), maxUnreachedBackoff)
	t.pause(now, t.unreachedBackoff)
}

// updateSlowdown looks for tasks that should long have ended.
func (t *targetState) updateSlowdown(now time.Time) {
	t.slowdown, t.frozen = 1, false
	if len(t.starts) == 0 {
		return
	}
	largest, second := 0.0, 0.0
	frozenAt := time.Time{}
	for _, s := range t.starts {
		ratio := float64(now.Sub(s.startedAt)) / float64(max(s.expected, time.Millisecond))
		if ratio > largest {
			largest, second = ratio, largest
		} else if ratio > second {
			second = ratio
		}
		limit := max(frozenFactor*s.expected, frozenAfter)
		if d := s.startedAt.Add(limit); frozenAt.IsZero() || d.Before(frozenAt) {
			frozenAt = d
		}
	}
	// One late task alone may have been declared too short.
	t.slowdown = max(1, second/2, largest/8)
	t.frozen = now.After(frozenAt) && now.Sub(t.lastReply) > frozenAfter
}

// updateOthers takes in what the candidate tells of the other daemons' use.
func (t *targetState) updateOthers(c *filbertford.Candidate) {
	if c.LastReply().Equal(t.othersUpdated) {
		return
	}
	first := t.othersUpdated.IsZero()
	t.othersUpdated = c.LastReply()
	t.unreachedBackoff = 0
	others := float64(max(c.Slots()-c.OwnTasks()-c.Free(), 0))
	if first {
		t.othersMean = others
		return
	}
	delta := others - t.othersMean
	t.othersMean += othersGain * delta
	t.othersVariance += othersGain * (delta*delta - t.othersVariance)
}
