package fbpolicy

import (
	"math"
	"time"

	"github.com/filbertford/filbertford"
)

// Parameters of the health check of targets.
const (
	// badFailureRate is the assumed share of tasks that fail at a bad target.
	badFailureRate = 0.9
	// minFailureRate is the minimum assumed share of tasks that fail at a good target.
	minFailureRate = 0.005
	// failureRateGain is the weight of a new outcome in a target's failure rate.
	failureRateGain = 0.2
	// maxFailureScore bounds what one failure adds to the score, so that a single
	// job is not enough to quarantine a target.
	maxFailureScore = 4.0
	// successScore is what each success subtracts from the score: the upper bound
	// of its log likelihood ratio, ln(1/(1-badFailureRate)).
	successScore = 2.3
	// suspectScore and quarantineScore are the scores from which on a target is
	// suspect or quarantined. A suspect target is trusted again below suspectScore,
	// a quarantined one at zero.
	suspectScore    = 3.0
	quarantineScore = 6.5
	// maxScore bounds the score, so that a few successes are enough to end a
	// quarantine.
	maxScore = 9.0
	// suspectPause is how long a suspect target gets no starts after a failure.
	// Successes of tasks that still run there can end the pause early.
	suspectPause = 3 * time.Second
	// maxSuspectShare is the largest share of a service's targets that failures
	// make suspect. A single failure can be enough, and the tasks of some services
	// fail now and then at any target.
	maxSuspectShare = 0.2
	// minQuarantine is the time in quarantine before the first probe. It doubles
	// with each failed probe, up to maxQuarantine.
	minQuarantine = 5 * time.Second
	maxQuarantine = 5 * time.Minute
	// maxQuarantinedShare is the largest share of a service's targets that failures
	// put into quarantine. If more seem bad, the cause is not a single target.
	maxQuarantinedShare = 0.5
	// minHintInterval is the minimum time between two hints on a target that take
	// effect, so that daemons can't keep a good target suspect by repeating each
	// other's hints.
	minHintInterval = 10 * time.Second
)

// The states of a target's health.
const (
	healthy     = filbertford.HealthTrusted
	suspect     = filbertford.HealthSuspect
	quarantined = filbertford.HealthQuarantined
)

// health is the state of a target in Wald's sequential probability ratio test.
// The score is the log likelihood ratio of two hypotheses: the target fails
// nearly all tasks, and its tasks fail as often as elsewhere.
type health struct {
	state         filbertford.TargetHealth
	score         float64
	quarantine    time.Duration
	lastFailedJob string
}

// recordSuccess updates the target's health after a success.
func (a *Adaptive) recordSuccess(now time.Time, s *serviceStats, ts *targetStats, o filbertford.Observation) {
	s.updateFailureRate(ts, 0)
	a.jobs.recordSuccess(o.Job())
	h := &ts.target.health
	if h.score == 0 && h.state == healthy {
		return
	}
	h.score = max(h.score-successScore, 0)
	h.lastFailedJob = ""
	if h.state == suspect && h.score < suspectScore {
		ts.target.pausedUntil = time.Time{}
		a.setHealth(now, ts.target, healthy)
	}
	if h.score == 0 {
		h.quarantine = 0
		a.setHealth(now, ts.target, healthy)
	}
}

// recordFailure updates the target's health after a failure. The weight of the
// failure depends on how often tasks of the same job, and of the service, fail at
// other targets.
func (a *Adaptive) recordFailure(now time.Time, s *serviceStats, ts *targetStats, o filbertford.Observation) {
	failureRate := s.failureRateElsewhere(ts)
	s.updateFailureRate(ts, 1)
	p := a.jobs.recordFailure(o.Job(), ts.target.id, failureRate)
	h := &ts.target.health
	if o.Job() != "" && h.lastFailedJob == o.Job() {
		return
	}
	h.lastFailedJob = o.Job()
	h.score = min(h.score+min(math.Log(badFailureRate/p), maxFailureScore), maxScore)
	h.score = max(h.score, 0)
	switch {
	case h.score >= quarantineScore && s.mayEnter(quarantined, maxQuarantinedShare, h):
		h.quarantine = min(max(2*h.quarantine, minQuarantine), maxQuarantine)
		ts.target.pause(now, h.quarantine)
		a.setHealth(now, ts.target, quarantined)
	case h.score >= suspectScore && h.state != quarantined && s.mayEnter(suspect, maxSuspectShare, h):
		ts.target.pause(now, suspectPause)
		a.setHealth(now, ts.target, suspect)
	}
}

// mayEnter reports whether the target with health h may get the state: the share
// of the service's targets in the state must not exceed share. If the service has
// very few targets, none may.
func (s *serviceStats) mayEnter(state filbertford.TargetHealth, share float64, h *health) bool {
	if h.state == state {
		return true
	}
	n := 1
	for _, ts := range s.targets {
		if ts.target.health.state == state {
			n++
		}
	}
	return float64(n) <= share*float64(len(s.targets))
}

// Hint updates the health of a target from that at a peer. A target that a peer
// doesn't trust becomes suspect until a task succeeds.
func (a *Adaptive) Hint(now time.Time, id filbertford.TargetID, health filbertford.TargetHealth) {
	t, ok := a.targets[id]
	if !ok || health == healthy || t.health.state != healthy || now.Sub(t.lastHint) < minHintInterval {
		return
	}
	t.lastHint = now
	t.health.score = max(t.health.score, suspectScore)
	t.pause(now, suspectPause)
	a.setHealth(now, t, suspect)
}

// restoreTrust trusts all targets of a service again if their mean failure rate
// is at least one half, because then the cause is not a single target.
func (a *Adaptive) restoreTrust(now time.Time) {
	for _, s := range a.services {
		if s.ratedTargets == 0 || s.failureRateSum/float64(s.ratedTargets) < 0.5 {
			continue
		}
		for _, ts := range s.targets {
			if ts.target.health.state != healthy {
				ts.target.health = health{state: ts.target.health.state}
				ts.target.pausedUntil = time.Time{}
				a.setHealth(now, ts.target, healthy)
			}
		}
	}
}

func (a *Adaptive) setHealth(now time.Time, t *targetState, state filbertford.TargetHealth) {
	if t.health.state == state {
		return
	}
	t.health.state = state
	if len(a.changes) < maxHealthChanges {
		a.changes = append(a.changes, filbertford.NewHealthChange(now, t.id, state))
	}
}

// maxHealthChanges is the maximum number of changes that are kept for
// HealthChanges. Further ones are dropped.
const maxHealthChanges = 1024

// HealthChanges returns the changes since the last call.
func (a *Adaptive) HealthChanges() []filbertford.HealthChange {
	out := a.changes
	a.changes = nil
	return out
}

// updateFailureRate adds an outcome at the target to its failure rate: 1 for a
// failure, 0 for a success.
func (s *serviceStats) updateFailureRate(ts *targetStats, failed float64) {
	if !ts.rated {
		ts.rated = true
		s.ratedTargets++
	}
	delta := failureRateGain * (failed - ts.failureRate)
	ts.failureRate += delta
	s.failureRateSum += delta
}

func (s *serviceStats) removeFailureRate(ts *targetStats) {
	if ts.rated {
		s.ratedTargets--
		s.failureRateSum -= ts.failureRate
	}
}

// failureRateElsewhere returns the mean failure rate of the other targets. Each
// target has the same weight, independent of its number of tasks.
func (s *serviceStats) failureRateElsewhere(ts *targetStats) float64 {
	sum, n := s.failureRateSum, s.ratedTargets
	if ts.rated {
		sum, n = sum-ts.failureRate, n-1
	}
	if n == 0 {
		return minFailureRate
	}
	return min(max(sum/float64(n), minFailureRate), 1)
}
