package fbpolicy

import (
	"math"
	"time"

	"github.com/filbertford/filbertford"
)

// Parameters of the choice of a target.
const (
	// maxScanned is how many candidates are looked at for one task, from a random
	// one on; the best of so many is hardly worse than the best of all.
	maxScanned = 128
	// fullTTL is how long a service without an open target isn't looked at again
	// unless a start ends.
	fullTTL = time.Millisecond
	// othersGain is the weight of a new count of the other daemons' tasks.
	othersGain = 0.1
	// othersHalfLife is the age at which half of what is known of the other
	// daemons' usual use is forgotten, so that full targets are tried again.
	othersHalfLife = 2 * time.Second
	// minFreeSlots is the number of free slots, less the caution, above which a
	// start is sent.
	minFreeSlots = 0.9
	// initialSlotMargin is the number of slots more that must be free at the start.
	initialSlotMargin = 4.0
	// maxSlotMargin bounds that number.
	maxSlotMargin = 64.0
	// slotMarginStep is by how much a refusal for want of a slot raises the caution.
	slotMarginStep = 0.2
	// maxStartsBeforeReply is how many tasks a target gets before its first reply.
	maxStartsBeforeReply = 2
	// refusalGoal is the share of refused starts at message weight 0;
	// it falls to a quarter of that at weight 1.
	refusalGoal = 0.004
	// waitPenalty multiplies the expected wait for a faster target, because a
	// task that waits delays those behind it too.
	waitPenalty = 2.5
	// minWaitSaving is the share of the slow target's time that waiting must save.
	minWaitSaving = 0.1
)

// Place picks the target where the task is expected to end first, or none if
// waiting for a faster one ends it sooner.
func (a *Adaptive) Place(now time.Time, n filbertford.WaitingTask, candidates []filbertford.Candidate) (int, bool) {
	if len(candidates) == 0 {
		return 0, false
	}
	a.refresh(now)
	s := a.service(n.Service())
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
	expected := s.expectedRunTime(n.Size())
	if !probe && a.shouldWait(now, s, n, expected, bestFactor, candidates, from, count) {
		return 0, false
	}
	if n.FailedStarts() > 0 && !a.retries.take(now) && !a.hasOwnSlot(s.byIndex[best].target, &candidates[best]) {
		return 0, false
	}
	a.recordStart(now, s, s.byIndex[best], expected, n)
	return best, true
}

// recordStart notes that a task starts at the target.
func (a *Adaptive) recordStart(now time.Time, s *serviceStats, ts *targetStats, expected time.Duration, n filbertford.WaitingTask) {
	s.waitingSince = time.Time{}
	ts.target.addStart(now, time.Duration(float64(expected)*ts.factor))
	a.retries.recordStart(n)
	a.probes.recordStart(n)
	if ts.target.health.state != healthy {
		a.probes.take()
	}
}

// lookup returns what is known of the candidate with the given index. It is
// fast if the candidate had the same index before.
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

// available reports whether a start may be sent to the target: it is trusted or due
// for a probe, not frozen, and likely to have a free slot.
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

// hasOwnSlot reports whether the next task at the target would have a slot of this
// daemon's own share.
func (a *Adaptive) hasOwnSlot(t *targetState, c *filbertford.Candidate) bool {
	return a.daemonCount > 1 && c.OwnTasks() < t.ownSlots(c.Slots(), a.daemonIndex, a.daemonCount)
}

// ownSlots returns how many of the target's slots are this daemon's own, when
// count daemons share the target and this is the index'th.
func (t *targetState) ownSlots(slots, index, count int) int {
	n := slots / count
	if (int(t.idHash%uint64(count))+index)%count < slots%count {
		n++
	}
	return n
}

// freeSlots returns the expected number of free slots and its standard
// deviation. What the target told is believed less the older it is, in
// comparison with the run time of a task there.
func (t *targetState) freeSlots(now time.Time, c *filbertford.Candidate, run time.Duration) (mean, deviation float64) {
	reported := float64(c.Slots() - c.OwnTasks() - c.Free())
	age := float64(now.Sub(c.LastReply()))
	staleness := age / (age + float64(run))
	decayedMean := t.othersMean * float64(othersHalfLife) / (float64(othersHalfLife) + age)
	others := reported + staleness*(decayedMean-reported)
	return float64(c.Slots()-c.OwnTasks()) - max(others, 0), math.Sqrt(staleness * t.othersVariance)
}

// adjustSlotMargin adjusts the caution so that the share of refused starts comes to its
// goal (a Robbins-Monro step).
func (a *Adaptive) adjustSlotMargin(s *serviceStats, refused bool) {
	goal := refusalGoal * (1 - 0.75*s.messageWeight)
	if refused {
		a.slotMargin = min(a.slotMargin+slotMarginStep, maxSlotMargin)
		return
	}
	a.slotMargin = max(a.slotMargin-slotMarginStep*goal/(1-goal), 0)
}

// shouldWait reports whether the task had better wait for a faster target than start
// at once on one of the given factor. The tasks that run on faster targets now
// tell how soon a slot comes free there. The wait is bounded by the time that
// it could save (the rule of ski rental).
func (a *Adaptive) shouldWait(now time.Time, s *serviceStats, n filbertford.WaitingTask, expected time.Duration, factor float64,
	candidates []filbertford.Candidate, from, count int,
) bool {
	rate, sum := 0.0, 0.0
	for k := range count {
		i := from + k
		if i >= len(candidates) {
			i -= len(candidates)
		}
		ts := s.byIndex[i]
		f := ts.factor * ts.target.slowdown
		if mine := float64(candidates[i].OwnTasks()); mine > 0 && f < factor && ts.target.health.state == healthy {
			rate += mine / f
			sum += mine
		}
	}
	if rate == 0 {
		return false
	}
	fasterFactor := sum / rate
	rate *= float64(len(candidates)) / float64(count)
	queue := float64(max(n.QueuePosition(), 1))
	wait := waitPenalty * queue * float64(s.meanRunTime) / rate
	gain := float64(expected)*(factor*(1-minWaitSaving)-fasterFactor) - wait
	if gain <= 0 {
		return false
	}
	if s.waitingSince.IsZero() {
		s.waitingSince = now
	}
	return float64(now.Sub(s.waitingSince)) < float64(expected)*(factor-fasterFactor)
}
