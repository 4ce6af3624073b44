package fbpolicy

import (
	"math"
	"time"

	"github.com/filbertford/filbertford"
)

// Parameters of the judgement of targets.
const (
	// badFails is the share of tasks that a bad target is taken to fail.
	badFails = 0.9
	// leastFails is the least share of tasks that good targets are taken to fail.
	leastFails = 0.005
	// failGain is the weight of a new outcome for a target's share of failures.
	failGain = 0.2
	// mostBlame bounds what one failure counts, so that no single job can bring
	// a target into quarantine.
	mostBlame = 4.0
	// mostCredit bounds what one success counts.
	mostCredit = 2.3
	// suspectScore and quarantineScore are the log likelihood ratios from which
	// on a target is suspect and in quarantine. It is trusted again at zero.
	suspectScore    = 3.0
	quarantineScore = 6.5
	// maxScore bounds the score, so that a few successes end a quarantine.
	maxScore = 9.0
	// suspectHold is the pause after a failure of a suspect target. Successes of
	// tasks that still run there end it.
	suspectHold = 3 * time.Second
	// maxSuspects is the largest share of a service's targets that are suspect
	// after a single failure, for services whose tasks fail now and then.
	maxSuspects = 0.2
	// firstQuarantine is the first time in quarantine before a probe; it
	// doubles with each failed probe up to lastQuarantine.
	firstQuarantine = 5 * time.Second
	lastQuarantine  = 5 * time.Minute
	// maxQuarantined is the largest share of a service's targets that failures
	// keep out; if more seem bad, the fault lies elsewhere.
	maxQuarantined = 0.5
	// hintPause is the least time between two hints on a target that are heeded,
	// so that daemons can't keep a good target suspect among themselves.
	hintPause = 10 * time.Second
)

// The states of a target's health.
const (
	healthy     = filbertford.StandingTrusted
	suspect     = filbertford.StandingSuspect
	quarantined = filbertford.StandingQuarantined
)

// health is the judgement of a target: the log likelihood ratio of its
// outcomes under "it fails nearly everything" against "its tasks fail as they
// do elsewhere" (Wald's sequential probability ratio test).
type health struct {
	state filbertford.TargetStanding
	score float64
	pause time.Duration
	job   string
}

// credit takes in a success.
func (a *Adaptive) credit(now time.Time, s *service, sp *speed, o filbertford.Observation) {
	s.judge(sp, 0)
	a.jobs.succeeded(o.Job())
	h := &sp.target.health
	if h.score == 0 && h.state == healthy {
		return
	}
	h.score = max(h.score-mostCredit, 0)
	h.job = ""
	if h.state == suspect && h.score < suspectScore {
		sp.target.until = time.Time{}
		a.setStanding(now, sp.target, healthy)
	}
	if h.score == 0 {
		h.pause = 0
		a.setStanding(now, sp.target, healthy)
	}
}

// blame takes in a failure. What it counts depends on how tasks of the same
// job, and of the service, fare at other targets.
func (a *Adaptive) blame(now time.Time, s *service, sp *speed, o filbertford.Observation) {
	elsewhere := s.failsElsewhere(sp)
	s.judge(sp, 1)
	p := a.jobs.failed(o.Job(), sp.target.id, elsewhere)
	h := &sp.target.health
	if o.Job() != "" && h.job == o.Job() {
		return
	}
	h.job = o.Job()
	h.score = min(h.score+min(math.Log(badFails/p), mostBlame), maxScore)
	h.score = max(h.score, 0)
	switch {
	case h.score >= quarantineScore && s.mayBe(quarantined, maxQuarantined, h):
		h.pause = min(max(2*h.pause, firstQuarantine), lastQuarantine)
		sp.target.hold(now, h.pause)
		a.setStanding(now, sp.target, quarantined)
	case h.score >= suspectScore && h.state != quarantined && s.mayBe(suspect, maxSuspects, h):
		sp.target.hold(now, suspectHold)
		a.setStanding(now, sp.target, suspect)
	}
}

// mayBe reports whether one more target of the service may get the state. Of
// very few targets none may.
func (s *service) mayBe(state filbertford.TargetStanding, share float64, h *health) bool {
	if h.state == state {
		return true
	}
	n := 1
	for _, sp := range s.speeds {
		if sp.target.health.state == state {
			n++
		}
	}
	return float64(n) <= share*float64(len(s.speeds))
}

// Hint takes in a peer's standing of a target: one that a peer keeps in
// quarantine is suspect here, until a task succeeds.
func (a *Adaptive) Hint(now time.Time, id filbertford.TargetID, standing filbertford.TargetStanding) {
	t, ok := a.targets[id]
	if !ok || standing == healthy || t.health.state != healthy || now.Sub(t.hinted) < hintPause {
		return
	}
	t.hinted = now
	t.health.score = max(t.health.score, suspectScore)
	t.hold(now, suspectHold)
	a.setStanding(now, t, suspect)
}

// review trusts the targets again if it turns out that everything fails.
func (a *Adaptive) review(now time.Time) {
	for _, s := range a.services {
		if s.judged == 0 || s.failing/float64(s.judged) < 0.5 {
			continue
		}
		for _, sp := range s.speeds {
			if sp.target.health.state != healthy {
				sp.target.health = health{state: sp.target.health.state}
				sp.target.until = time.Time{}
				a.setStanding(now, sp.target, healthy)
			}
		}
	}
}

func (a *Adaptive) setStanding(now time.Time, t *target, state filbertford.TargetStanding) {
	if t.health.state == state {
		return
	}
	t.health.state = state
	if len(a.changes) < maxChanges {
		a.changes = append(a.changes, filbertford.NewStandingChange(now, t.id, state))
	}
}

// maxChanges bounds the changes that wait to be taken.
const maxChanges = 1024

// StandingChanges returns the changes since the last call.
func (a *Adaptive) StandingChanges() []filbertford.StandingChange {
	out := a.changes
	a.changes = nil
	return out
}

// judge takes in whether a task failed at the target, 1, or not, 0.
func (s *service) judge(sp *speed, failed float64) {
	if !sp.judged {
		sp.judged = true
		s.judged++
	}
	gap := failGain * (failed - sp.failing)
	sp.failing += gap
	s.failing += gap
}

func (s *service) unjudge(sp *speed) {
	if sp.judged {
		s.judged--
		s.failing -= sp.failing
	}
}

// failsElsewhere returns the mean share of failures at the other targets, each
// counted alike however many tasks it attracts.
func (s *service) failsElsewhere(sp *speed) float64 {
	sum, n := s.failing, s.judged
	if sp.judged {
		sum, n = sum-sp.failing, n-1
	}
	if n == 0 {
		return leastFails
	}
	return min(max(sum/float64(n), leastFails), 1)
}
