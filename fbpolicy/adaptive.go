package fbpolicy

import (
	"math/rand/v2"
	"time"

	"github.com/filbertford/filbertford"
)

// sweepPeriod is how often everything that changes with time alone is brought
// up to date.
const sweepPeriod = 100 * time.Millisecond

// forgetTargets is the time without a reply after which a target that is not
// in use is forgotten.
const forgetTargets = 10 * time.Minute

// Adaptive is the default policy. It learns how fast each target runs each
// service, how many slots the other daemons use there, and which targets fail
// what runs elsewhere. docs/POLICY.md tells the ways that were weighed.
type Adaptive struct {
	rng      *rand.Rand
	seed     uint64
	targets  map[filbertford.TargetID]*target
	services map[string]*service
	jobs     jobTable
	quotas   map[string]*quota
	retries  retryBudget
	probes   probeBudget
	ends     uint64
	caution  float64
	index    int
	daemons  int
	swept    time.Time
	changes  []filbertford.StandingChange
}

var (
	_ filbertford.Policy   = (*Adaptive)(nil)
	_ filbertford.Standing = (*Adaptive)(nil)
	_ filbertford.Sharer   = (*Adaptive)(nil)
)

// NewAdaptive returns an adaptive policy that has seen nothing yet.
func NewAdaptive(seed uint64) *Adaptive {
	return &Adaptive{
		rng:      newRand(seed),
		seed:     seed,
		targets:  make(map[filbertford.TargetID]*target),
		services: make(map[string]*service),
		jobs:     newJobTable(),
		quotas:   make(map[string]*quota),
		retries:  newRetryBudget(),
		probes:   newProbeBudget(),
		caution:  startCaution,
	}
}

// Share tells the policy that count daemons share the targets and that this
// one is the index'th of them, from 0.
func (a *Adaptive) Share(index, count int) {
	a.index, a.daemons = index, count
}

// Observe learns from the end of a start.
func (a *Adaptive) Observe(now time.Time, o filbertford.Observation) {
	a.ends++
	a.sweep(now)
	s := a.service(o.Service())
	sp := s.speed(a.target(now, o.Target()))
	sp.target.end(now, o.Took())
	if o.Outcome() != filbertford.OutcomeUnknown && o.Outcome() != filbertford.OutcomeUnreached {
		sp.target.replied = now
	}
	switch o.Outcome() {
	case filbertford.OutcomeDone:
		s.learn(now, sp, o.Size(), ranFor(o))
		a.credit(now, s, sp, o)
		a.refused(s, false)
	case filbertford.OutcomeStopped:
		s.learnAtLeast(now, sp, o.Size(), ranFor(o))
	case filbertford.OutcomeTaskFailed, filbertford.OutcomeUnknown:
		a.blame(now, s, sp, o)
	case filbertford.OutcomeNoSlot:
		a.refused(s, true)
	case filbertford.OutcomeLeaving:
		sp.target.hold(now, leavingHold)
	case filbertford.OutcomeUnreached:
		sp.target.unreached(now)
	}
}

// ranFor returns how long the task ran, as far as that is known.
func ranFor(o filbertford.Observation) time.Duration {
	if o.Ran() > 0 {
		return o.Ran()
	}
	return o.Took()
}

func (a *Adaptive) target(now time.Time, id filbertford.TargetID) *target {
	t, ok := a.targets[id]
	if !ok {
		t = newTarget(id, a.seed, now)
		a.targets[id] = t
	}
	return t
}

func (a *Adaptive) service(name string) *service {
	s, ok := a.services[name]
	if !ok {
		s = newService()
		a.services[name] = s
	}
	return s
}

// sweep brings up to date what changes with time alone.
func (a *Adaptive) sweep(now time.Time) {
	past := now.Sub(a.swept)
	if past < sweepPeriod {
		return
	}
	if a.swept.IsZero() {
		past = 0
	}
	a.swept = now
	a.probes.pass(past)
	for id, t := range a.targets {
		t.sweep(now)
		if len(t.starts) == 0 && now.Sub(t.used) > forgetTargets {
			delete(a.targets, id)
			for _, s := range a.services {
				s.forget(id)
			}
		}
	}
	for _, s := range a.services {
		s.sweep(now, past)
	}
	a.review(now)
}
