package fbpolicy

import (
	"math/rand/v2"
	"time"

	"github.com/filbertford/filbertford"
)

// refreshInterval is how often everything that changes with time alone is brought
// up to date.
const refreshInterval = 100 * time.Millisecond

// targetRetention is the time without a reply after which a target that is not
// in use is forgotten.
const targetRetention = 10 * time.Minute

// Adaptive is the default policy. It learns how fast each target runs each
// service, how many slots the other daemons use there, and which targets fail
// what runs elsewhere. docs/POLICY.md tells the ways that were weighed.
type Adaptive struct {
	rng          *rand.Rand
	seed         uint64
	targets      map[filbertford.TargetID]*targetState
	services     map[string]*serviceStats
	jobs         jobTable
	quotas       map[string]*teamQuota
	retries      retryBudget
	probes       probeBudget
	observations uint64
	slotMargin   float64
	daemonIndex  int
	daemonCount  int
	refreshed    time.Time
	changes      []filbertford.HealthChange
}

var (
	_ filbertford.Policy        = (*Adaptive)(nil)
	_ filbertford.HealthTracker = (*Adaptive)(nil)
	_ filbertford.Sharer        = (*Adaptive)(nil)
)

// NewAdaptive returns an adaptive policy that has seen nothing yet.
func NewAdaptive(seed uint64) *Adaptive {
	return &Adaptive{
		rng:        newRand(seed),
		seed:       seed,
		targets:    make(map[filbertford.TargetID]*targetState),
		services:   make(map[string]*serviceStats),
		jobs:       newJobTable(),
		quotas:     make(map[string]*teamQuota),
		retries:    newRetryBudget(),
		probes:     newProbeBudget(),
		slotMargin: initialSlotMargin,
	}
}

// SetShare tells the policy that count daemons share the targets and that this
// one is the index'th of them, from 0.
func (a *Adaptive) SetShare(index, count int) {
	a.daemonIndex, a.daemonCount = index, count
}

// Observe learns from the end of a start.
func (a *Adaptive) Observe(now time.Time, o filbertford.Observation) {
	a.observations++
	a.refresh(now)
	s := a.service(o.Service())
	ts := s.statsFor(a.target(now, o.Target()))
	ts.target.removeStart(now, o.Elapsed())
	if o.Outcome() != filbertford.OutcomeUnknown && o.Outcome() != filbertford.OutcomeNotSent {
		ts.target.lastReply = now
	}
	switch o.Outcome() {
	case filbertford.OutcomeDone:
		s.recordRunTime(now, ts, o.Size(), runTime(o))
		a.recordSuccess(now, s, ts, o)
		a.adjustSlotMargin(s, false)
	case filbertford.OutcomeStopped:
		s.recordMinRunTime(now, ts, o.Size(), runTime(o))
	case filbertford.OutcomeTaskFailed, filbertford.OutcomeUnknown:
		a.recordFailure(now, s, ts, o)
	case filbertford.OutcomeNoSlot:
		a.adjustSlotMargin(s, true)
	case filbertford.OutcomeLeaving:
		ts.target.pause(now, leavingPause)
	case filbertford.OutcomeNotSent:
		ts.target.backOff(now)
	}
}

// runTime returns how long the task ran, as far as that is known.
func runTime(o filbertford.Observation) time.Duration {
	if o.RunTime() > 0 {
		return o.RunTime()
	}
	return o.Elapsed()
}

func (a *Adaptive) target(now time.Time, id filbertford.TargetID) *targetState {
	t, ok := a.targets[id]
	if !ok {
		t = newTargetState(id, a.seed, now)
		a.targets[id] = t
	}
	return t
}

func (a *Adaptive) service(name string) *serviceStats {
	s, ok := a.services[name]
	if !ok {
		s = newServiceStats()
		a.services[name] = s
	}
	return s
}

// refresh brings up to date what changes with time alone.
func (a *Adaptive) refresh(now time.Time) {
	elapsed := now.Sub(a.refreshed)
	if elapsed < refreshInterval {
		return
	}
	if a.refreshed.IsZero() {
		elapsed = 0
	}
	a.refreshed = now
	a.probes.refill(elapsed)
	for id, t := range a.targets {
		t.updateSlowdown(now)
		if len(t.starts) == 0 && now.Sub(t.lastStart) > targetRetention {
			delete(a.targets, id)
			for _, s := range a.services {
				s.forget(id)
			}
		}
	}
	for _, s := range a.services {
		s.decaySpeeds(now, elapsed)
	}
	a.restoreTrust(now)
}
