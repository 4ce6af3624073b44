package fbpolicy

import (
	"math"
	"time"

	"github.com/filbertford/filbertford"
)

// Parameters of the placement.
const (
	// maxScanned is how many candidates are examined for one task, from a random
	// one on. The best of these is hardly worse than the best of all.
	maxScanned = 128
	// fullTTL is how long Place places no task of a service after it has found no
	// available target, unless a start ends earlier.
	fullTTL = time.Millisecond
	// othersGain is the weight of a new count in the mean and variance of the other
	// daemons' tasks at a target.
	othersGain = 0.1
	// othersHalfLife is the age of a target's last reply at which the mean of the
	// other daemons' tasks counts half, so that full targets are tried again.
	othersHalfLife = 2 * time.Second
	// minFreeSlots is the number of free slots, without the slot margin, from which
	// on a start is sent.
	minFreeSlots = 0.9
	// initialSlotMargin is the initial slot margin: the number of slots that must be
	// free beyond minFreeSlots if several daemons share the targets.
	initialSlotMargin = 4.0
	// maxSlotMargin is the largest slot margin.
	maxSlotMargin = 64.0
	// slotMarginStep is how much a start that is refused for lack of a slot adds to
	// the slot margin.
	slotMarginStep = 0.2
	// maxStartsBeforeReply is how many tasks a target gets before its first reply
	// to this daemon.
	maxStartsBeforeReply = 2
	// refusalGoal is the intended share of refused starts at message weight 0. It
	// falls to a quarter of that at weight 1.
	refusalGoal = 0.004
	// waitPenalty is the factor by which the expected wait for a faster target is
	// multiplied, because a task that waits also delays the tasks behind it.
	waitPenalty = 2.5
	// minWaitSaving is the minimum share of the run time at the available target that
	// waiting for a faster one must save.
	minWaitSaving = 0.1
)

// Place picks the target at which the task is expected to finish first. It
// returns false if no target is available or the task is expected to finish
// sooner by waiting for a faster one.
func (a *Adaptive) Place(now time.Time, t filbertford.WaitingTask, candidates []filbertford.Candidate) (int, bool) {
	if len(candidates) == 0 {
		return 0, false
	}
	a.refresh(now)
	s := a.service(t.Service())
	if s.full && s.fullObservations == a.observations && now.Sub(s.fullAt) < fullTTL {
		return 0, false
	}
	from, count := 0, len(candidates)
	if count > maxScanned {
		from, count = a.rng.IntN(len(candidates)), maxScanned
	}
	best, bestFactor, probe := -1, math.MaxFloat64, false
	for k := range count {
		i := from + k
		if i >= len(candidates) {
			i -= len(candidates)
		}
		c := &candidates[i]
		ts := a.lookup(now, s, i, c)
		factor := ts.factor * ts.target.jitter * ts.target.slowdown
		if factor < bestFactor && c.OwnTasks() < c.Slots() && a.available(now, s, ts, c) {
			best, bestFactor, probe = i, factor, ts.target.health.state != healthy
		}
	}
	s.full = best < 0
	if s.full {
		s.fullAt, s.fullObservations = now, a.observations
		return 0, false
	}
	expected := s.expectedRunTime(t.Size())
	if !probe && a.shouldWait(now, s, t, expected, bestFactor, candidates, from, count) {
		return 0, false
	}
	if t.FailedStarts() > 0 && !a.retries.take(now) && !a.hasOwnSlot(s.byIndex[best].target, &candidates[best]) {
		return 0, false
	}
	a.recordStart(now, s, s.byIndex[best], expected, t)
	return best, true
}

// recordStart records the start of a task at the target.
func (a *Adaptive) recordStart(now time.Time, s *serviceStats, ts *targetStats, expected time.Duration, t filbertford.WaitingTask) {
	s.waitingSince = time.Time{}
	ts.target.addStart(now, time.Duration(float64(expected)*ts.factor))
	a.retries.recordStart(t)
	a.probes.recordStart(t)
	if ts.target.health.state != healthy {
		a.probes.take()
	}
}

// lookup returns the statistics of the candidate with the given index, after
// updating them from the candidate. It needs no map lookup if the candidate had
// the same index in the previous call.
func (a *Adaptive) lookup(now time.Time, s *serviceStats, i int, c *filbertford.Candidate) *targetStats {
	for i >= len(s.byIndex) {
		s.byIndex = append(s.byIndex, nil)
	}
	ts := s.byIndex[i]
	if ts == nil || ts.target.id != c.ID() {
		ts = s.statsFor(a.target(now, c.ID()))
		s.byIndex[i] = ts
	}
	ts.target.updateOthers(c)
	return ts
}

// available reports whether a start may be sent to the target: it is trusted or
// due for a probe, not paused or frozen, and likely to have a free slot.
func (a *Adaptive) available(now time.Time, s *serviceStats, ts *targetStats, c *filbertford.Candidate) bool {
	t := ts.target
	if t.frozen || now.Before(t.pausedUntil) {
		return false
	}
	if t.health.state != healthy && (len(t.starts) > 0 || !a.probes.available()) {
		return false
	}
	if c.LastReply().IsZero() {
		return c.Free() > 0 && c.OwnTasks() < maxStartsBeforeReply
	}
	if a.hasOwnSlot(t, c) {
		return c.Free() > 0 || now.Sub(c.LastReply()) > s.meanRunTime/2
	}
	mean, deviation := t.freeSlots(now, c, s.meanRunTime)
	required := minFreeSlots
	if a.daemonCount > 1 {
		required += a.slotMargin
	}
	return mean-deviation >= required
}

// hasOwnSlot reports whether the next task at the target would use a slot of this
// daemon's own share.
func (a *Adaptive) hasOwnSlot(t *targetState, c *filbertford.Candidate) bool {
	return a.daemonCount > 1 && c.OwnTasks() < t.ownSlots(c.Slots(), a.daemonIndex, a.daemonCount)
}

// ownSlots returns the share of the target's slots that belongs to the daemon
// with the given index, counted from 0, if count daemons share the target.
func (t *targetState) ownSlots(slots, index, count int) int {
	n := slots / count
	if (int(t.idHash%uint64(count))+index)%count < slots%count {
		n++
	}
	return n
}

// freeSlots returns the expected number of free slots and its standard
// deviation. The older the target's last reply is in comparison with the mean run
// time, the less it counts against the mean of earlier replies.
func (t *targetState) freeSlots(now time.Time, c *filbertford.Candidate, meanRunTime time.Duration) (mean, deviation float64) {
	reported := float64(c.Slots() - c.OwnTasks() - c.Free())
	age := float64(now.Sub(c.LastReply()))
	staleness := age / (age + float64(meanRunTime))
	decayedMean := t.othersMean * float64(othersHalfLife) / (float64(othersHalfLife) + age)
	others := reported + staleness*(decayedMean-reported)
	return float64(c.Slots()-c.OwnTasks()) - max(others, 0), math.Sqrt(staleness * t.othersVariance)
}

// adjustSlotMargin adjusts the slot margin after a start, which was refused or
// not, so that the share of refused starts converges to its goal (a
// Robbins-Monro step).
func (a *Adaptive) adjustSlotMargin(s *serviceStats, refused bool) {
	goal := refusalGoal * (1 - 0.75*s.messageWeight)
	if refused {
		a.slotMargin = min(a.slotMargin+slotMarginStep, maxSlotMargin)
		return
	}
	a.slotMargin = max(a.slotMargin-slotMarginStep*goal/(1-goal), 0)
}

// shouldWait reports whether the task is expected to finish sooner if it waits
// for a faster target than if it starts now at one with the given factor. The
// number of this daemon's tasks that run on faster targets determines how soon a
// slot there is expected to become free. As in the ski rental problem, the wait
// is bounded by the time that it could save.
func (a *Adaptive) shouldWait(now time.Time, s *serviceStats, t filbertford.WaitingTask, expected time.Duration, factor float64,
	candidates []filbertford.Candidate, from, count int,
) bool {
	rate, ownTasksSum := 0.0, 0.0
	for k := range count {
		i := from + k
		if i >= len(candidates) {
			i -= len(candidates)
		}
		ts := s.byIndex[i]
		f := ts.factor * ts.target.slowdown
		if ownTasks := float64(candidates[i].OwnTasks()); ownTasks > 0 && f < factor && ts.target.health.state == healthy {
			rate += ownTasks / f
			ownTasksSum += ownTasks
		}
	}
	if rate == 0 {
		return false
	}
	fasterFactor := ownTasksSum / rate
	rate *= float64(len(candidates)) / float64(count)
	position := float64(max(t.QueuePosition(), 1))
	wait := waitPenalty * position * float64(s.meanRunTime) / rate
	gain := float64(expected)*(factor*(1-minWaitSaving)-fasterFactor) - wait
	if gain <= 0 {
		return false
	}
	if s.waitingSince.IsZero() {
		s.waitingSince = now
	}
	return float64(now.Sub(s.waitingSince)) < float64(expected)*(factor-fasterFactor)
}
