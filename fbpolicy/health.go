package fbpolicy

import (
	"math"
	"time"

	"github.com/filbertford/filbertford"
)

// Parameters of the judgement of targets.
const (
	// badFailureRate is the share of tasks that a bad target is taken to fail.
	badFailureRate = 0.9
	// minFailureRate is the least share of tasks that good targets are taken to fail.
	minFailureRate = 0.005
	// failureRateGain is the weight of a new outcome for a target's share of failures.
	failureRateGain = 0.2
	// maxFailureScore bounds what one failure counts, so that no single job can bring
	// a target into quarantine.
	maxFailureScore = 4.0
	// successScore bounds what one success counts.
	successScore = 2.3
	// suspectScore and quarantineScore are the log likelihood ratios from which
	// on a target is suspect and in quarantine. It is trusted again at zero.
	suspectScore    = 3.0
	quarantineScore = 6.5
	// maxScore bounds the score, so that a few successes end a quarantine.
	maxScore = 9.0
	// suspectPause is the pause after a failure of a suspect target. Successes of
	// tasks that still run there end it.
	suspectPause = 3 * time.Second
	// maxSuspectShare is the largest share of a service's targets that are suspect
	// after a single failure, for services whose tasks fail now and then.
	maxSuspectShare = 0.2
	// minQuarantine is the first time in quarantine before a probe; it
	// doubles with each failed probe up to lastQuarantine.
	minQuarantine = 5 * time.Second
	maxQuarantine = 5 * time.Minute
	// maxQuarantinedShare is the largest share of a service's targets that failures
	// keep out; if more seem bad, the fault lies elsewhere.
	maxQuarantinedShare = 0.5
	// minHintInterval is the least time between two hints on a target that are heeded,
	// so that daemons can't keep a good target suspect among themselves.
	minHintInterval = 10 * time.Second
)

// The states of a target's health.
const (
	healthy     = filbertford.HealthTrusted
	suspect     = filbertford.HealthSuspect
	quarantined = filbertford.HealthQuarantined
)

// health is the judgement of a target: the log likelihood ratio of its
// outcomes under "it fails nearly everything" against "its tasks fail as they
// do elsewhere" (Wald's sequential probability ratio test).
type health struct {
	state         filbertford.TargetHealth
	score         float64
	quarantine    time.Duration
	lastFailedJob string
}

// recordSuccess takes in a success.
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
		a.setStanding(now, ts.target, healthy)
	}
	if h.score == 0 {
		h.quarantine = 0
		a.setStanding(now, ts.target, healthy)
	}
}

// recordFailure takes in a failure. What it counts depends on how tasks of the same
// job, and of the service, fare at other targets.
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
		a.setStanding(now, ts.target, quarantined)
	case h.score >= suspectScore && h.state != quarantined && s.mayEnter(suspect, maxSuspectShare, h):
		ts.target.pause(now, suspectPause)
		a.setStanding(now, ts.target, suspect)
	}
}

// mayEnter reports whether one more target of the service may get the state. Of
// very few targets none may.
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

// Hint takes in a peer's standing of a target: one that a peer keeps in
// quarantine is suspect here, until a task succeeds.
func (a *Adaptive) Hint(now time.Time, id filbertford.TargetID, standing filbertford.TargetHealth) {
	t, ok := a.targets[id]
	if !ok || standing == healthy || t.health.state != healthy || now.Sub(t.lastHint) < minHintInterval {
		return
	}
	t.lastHint = now
	t.health.score = max(t.health.score, suspectScore)
	t.pause(now, suspectPause)
	a.setStanding(now, t, suspect)
}

// restoreTrust trusts the targets again if it turns out that everything fails.
func (a *Adaptive) restoreTrust(now time.Time) {
	for _, s := range a.services {
		if s.ratedTargets == 0 || s.failureRateSum/float64(s.ratedTargets) < 0.5 {
			continue
		}
		for _, ts := range s.targets {
			if ts.target.health.state != healthy {
				ts.target.health = health{state: ts.target.health.state}
				ts.target.pausedUntil = time.Time{}
				a.setStanding(now, ts.target, healthy)
			}
		}
	}
}

func (a *Adaptive) setStanding(now time.Time, t *targetState, state filbertford.TargetHealth) {
	if t.health.state == state {
		return
	}
	t.health.state = state
	if len(a.changes) < maxHealthChanges {
		a.changes = append(a.changes, filbertford.NewHealthChange(now, t.id, state))
	}
}

// maxHealthChanges bounds the changes that wait to be taken.
const maxHealthChanges = 1024

// HealthChanges returns the changes since the last call.
func (a *Adaptive) HealthChanges() []filbertford.HealthChange {
	out := a.changes
	a.changes = nil
	return out
}

// updateFailureRate takes in whether a task failed at the target, 1, or not, 0.
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

// failureRateElsewhere returns the mean share of failures at the other targets, each
// counted alike however many tasks it attracts.
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
