package fbpolicy

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/filbertford/filbertford"
)

// Times for which a target gets no starts.
const (
	// leavingPause is the pause after a target has replied that it is leaving.
	leavingPause = 5 * time.Second
	// minSendBackoff is the pause after a start could not be sent to a target. It
	// doubles with each further failure in a row.
	minSendBackoff = 100 * time.Millisecond
	// maxSendBackoff is the longest such pause.
	maxSendBackoff = 10 * time.Second
)

// A target counts as frozen if one of its tasks has run for frozenFactor times
// the expected time, and for frozenAfter at least, and the target has sent no
// reply for frozenAfter.
const (
	frozenFactor = 6
	frozenAfter  = 300 * time.Millisecond
)

// start is a task of this daemon that runs at a target.
type start struct {
	startedAt time.Time
	expected  time.Duration
}

// targetState holds the state of a target that doesn't depend on the service.
// othersMean and othersVariance are those of the number of slots that other
// daemons use.
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

	health      health
	pausedUntil time.Time
	lastHint    time.Time
	sendBackoff time.Duration
}

// maxJitter is the largest share by which a daemon overestimates run times at a
// target, so that different daemons prefer different targets among equally fast
// ones.
const maxJitter = 0.04

func newTargetState(id filbertford.TargetID, seed uint64, now time.Time) *targetState {
	idHash := xxhash.Sum64String(string(id))
	h := idHash ^ seed*0x9e3779b97f4a7c15
	h ^= h >> 29
	h *= 0xbf58476d1ce4e5b9
	h ^= h >> 32
	return &targetState{id: id, jitter: 1 + maxJitter*float64(h>>11)/(1<<53), slowdown: 1, idHash: idHash >> 1, lastStart: now}
}

// addStart adds a start that is expected to run for the given time.
func (t *targetState) addStart(now time.Time, expected time.Duration) {
	t.starts = append(t.starts, start{startedAt: now, expected: expected})
	t.lastStart = now
}

// removeStart removes the start whose age is closest to the elapsed time.
func (t *targetState) removeStart(now time.Time, elapsed time.Duration) {
	if len(t.starts) == 0 {
		return
	}
	startedAt := now.Add(-elapsed)
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

// pause prevents new starts at the target for d.
func (t *targetState) pause(now time.Time, d time.Duration) {
	if until := now.Add(d); until.After(t.pausedUntil) {
		t.pausedUntil = until
	}
}

// backOff pauses the target after a start could not be sent, twice as long each
// time in a row.
func (t *targetState) backOff(now time.Time) {
	t.sendBackoff = min(max(2*t.sendBackoff, minSendBackoff), maxSendBackoff)
	t.pause(now, t.sendBackoff)
}

// updateSlowdown computes from overdue tasks how much slower the target is than
// estimated, and whether it is frozen.
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
	// A single overdue task may just have too small a declared size, so it counts
	// less than the second one.
	t.slowdown = max(1, second/2, largest/8)
	t.frozen = now.After(frozenAt) && now.Sub(t.lastReply) > frozenAfter
}

// updateOthers updates the number of slots that other daemons use from the
// candidate if the target has replied since the last call.
func (t *targetState) updateOthers(c *filbertford.Candidate) {
	if c.LastReply().Equal(t.othersUpdated) {
		return
	}
	first := t.othersUpdated.IsZero()
	t.othersUpdated = c.LastReply()
	t.sendBackoff = 0
	others := float64(max(c.Slots()-c.OwnTasks()-c.Free(), 0))
	if first {
		t.othersMean = others
		return
	}
	delta := others - t.othersMean
	t.othersMean += othersGain * delta
	t.othersVariance += othersGain * (delta*delta - t.othersVariance)
}
