package fbqueue

import (
	"math"
	"time"
)

const (
	// reservedShare is the share of the CPU time that is kept for each priority other
	// than 0.
	reservedShare = 0.1
	// maxReserved bounds the sum of the reserved shares, so that many priorities leave
	// half of the CPU time to the order of priority.
	maxReserved = 0.5
	// shareWindow is the time constant with which started CPU time is forgotten. Tasks
	// last about a second at most, and callers wait a little longer.
	shareWindow = time.Second
)

// shares holds the CPU time that was started, by priority and in total. It decays
// exponentially.
type shares struct {
	at         time.Duration
	byPriority map[int]float64
	total      float64
}

func newShares() shares { return shares{byPriority: make(map[int]float64)} }

func (s *shares) decay(now time.Duration) {
	if now <= s.at {
		return
	}
	f := math.Exp(-float64(now-s.at) / float64(shareWindow))
	for p := range s.byPriority {
		s.byPriority[p] *= f
	}
	s.total *= f
	s.at = now
}

func (s *shares) add(now time.Duration, priority int, cpu time.Duration) {
	s.decay(now)
	s.byPriority[priority] += float64(cpu)
	s.total += float64(cpu)
}

func (s *shares) of(priority int) float64 { return s.byPriority[priority] }

// lacking reports whether the priority has received less than its reserved share, if tasks
// of so many priorities wait.
func (s *shares) lacking(priority, priorities int) bool {
	return s.byPriority[priority] < min(reservedShare, maxReserved/float64(priorities))*s.total
}
