package fbpolicy

import (
	"math/rand/v2"
	"time"

	"github.com/filbertford/filbertford"
)

// refreshInterval is the minimum time between two updates of the state that
// changes with time alone.
const refreshInterval = 100 * time.Millisecond

// targetRetention is how long the state of a target without running tasks is
// kept after its last start.
const targetRetention = 10 * time.Minute

// Adaptive is the default policy. It estimates how fast each target runs each
// service, how many slots the other daemons use there, and which targets fail
// tasks that succeed elsewhere. docs/POLICY.md describes the alternatives that
// were considered.
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

// NewAdaptive returns an adaptive policy without observations.
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

// SetShare sets the number of daemons that share the targets and the index of
// this daemon among them, counted from 0.
func (a *Adaptive) SetShare(index, count int) {
	a.daemonIndex, a.daemonCount = index, count
}

// Observe updates the estimates with the outcome of a start.
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

// runTime returns how long the task ran at the target or, if that is not known,
// how long the whole start took.
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

// refresh updates the state that changes with time alone, at most once per
// refreshInterval.
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
				s.remove(id)
			}
		}
	}
	for _, s := range a.services {
		s.decaySpeeds(now, elapsed)
	}
	a.restoreTrust(now)
}
