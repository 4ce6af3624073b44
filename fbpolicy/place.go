package fbpolicy

import (
	"math"
	"time"

	"github.com/filbertford/filbertford"
)

// Parameters of the choice of a target.
const (
	// maxLook is how many candidates are looked at for one task, from a random
	// one on; the best of so many is hardly worse than the best of all.
	maxLook = 128
	// fullFor is how long a service without an open target isn't looked at again
	// unless a start ends.
	fullFor = time.Millisecond
	// othersGain is the weight of a new count of the other daemons' tasks.
	othersGain = 0.1
	// othersMemory is the age at which half of what is known of the other
	// daemons' usual use is forgotten, so that full targets are tried again.
	othersMemory = 2 * time.Second
	// enoughFree is the number of free slots, less the caution, above which a
	// start is sent.
	enoughFree = 0.9
	// startCaution is the number of slots more that must be free at the start.
	startCaution = 4.0
	// maxCaution bounds that number.
	maxCaution = 64.0
	// cautionStep is by how much a refusal for want of a slot raises the caution.
	cautionStep = 0.2
	// maxUnheard is how many tasks a target gets before its first reply.
	maxUnheard = 2
	// refusalGoal is the share of refused starts at message weight 0;
	// it falls to a quarter of that at weight 1.
	refusalGoal = 0.004
	// waitHandicap multiplies the expected wait for a faster target, because a
	// task that waits delays those behind it too.
	waitHandicap = 2.5
	// waitMargin is the share of the slow target's time that waiting must save.
	waitMargin = 0.1
)

// Place picks the target where the task is expected to end first, or none if
// waiting for a faster one ends it sooner.
func (a *Adaptive) Place(now time.Time, n filbertford.Need, candidates []filbertford.Candidate) (int, bool) {
	if len(candidates) == 0 {
		return 0, false
	}
	a.sweep(now)
	s := a.service(n.Service())
	if s.full && s.fullEnds == a.ends && now.Sub(s.fullAt) < fullFor {
		return 0, false
	}
	from, count := 0, len(candidates)
	if count > maxLook {
		from, count = a.rng.IntN(len(candidates)), maxLook
	}
	best, cost, probe := -1, math.MaxFloat64, false
	for k := range count {
		i := from + k
		if i >= len(candidates) {
			i -= len(candidates)
		}
		c := &candidates[i]
		sp := a.lookup(now, s, i, c)
		f := sp.factor * sp.target.jitter * sp.target.lag
		if f < cost && c.Mine() < c.Slots() && a.open(now, s, sp, c) {
			best, cost, probe = i, f, sp.target.health.state != healthy
		}
	}
	s.full = best < 0
	if s.full {
		s.fullAt, s.fullEnds = now, a.ends
		return 0, false
	}
	base := s.expect(n.Size())
	if !probe && a.waits(now, s, n, base, cost, candidates, from, count) {
		return 0, false
	}
	if n.Tries() > 0 && !a.retries.take(now) && !a.own(s.byIndex[best].target, &candidates[best]) {
		return 0, false
	}
	a.begin(now, s, s.byIndex[best], base, n)
	return best, true
}

// begin notes that a task starts at the target.
func (a *Adaptive) begin(now time.Time, s *service, sp *speed, base time.Duration, n filbertford.Need) {
	s.waitSince = time.Time{}
	sp.target.begin(now, time.Duration(float64(base)*sp.factor))
	a.retries.earn(n)
	a.probes.earn(n)
	if sp.target.health.state != healthy {
		a.probes.spend()
	}
}

// lookup returns what is known of the candidate with the given index. It is
// fast if the candidate had the same index before.
func (a *Adaptive) lookup(now time.Time, s *service, i int, c *filbertford.Candidate) *speed {
	for i >= len(s.byIndex) {
		s.byIndex = append(s.byIndex, nil)
	}
	sp := s.byIndex[i]
	if sp == nil || sp.target.id != c.ID() {
		sp = s.speed(a.target(now, c.ID()))
		s.byIndex[i] = sp
	}
	sp.target.meet(c)
	return sp
}

// open reports whether a start may be sent to the target: it is trusted or due
// for a probe, not frozen, and likely to have a free slot.
func (a *Adaptive) open(now time.Time, s *service, sp *speed, c *filbertford.Candidate) bool {
	t := sp.target
	if t.frozen || now.Before(t.until) {
		return false
	}
	if t.health.state != healthy && (len(t.starts) > 0 || !a.probes.allow()) {
		return false
	}
	if c.Heard().IsZero() {
		return c.Free() > 0 && c.Mine() < maxUnheard
	}
	if a.own(t, c) {
		return c.Free() > 0 || now.Sub(c.Heard()) > s.run/2
	}
	mean, deviation := t.freeSlots(now, c, s.run)
	least := enoughFree
	if a.daemons > 1 {
		least += a.caution
	}
	return mean-deviation >= least
}

// own reports whether the next task at the target would have a slot of this
// daemon's own share.
func (a *Adaptive) own(t *target, c *filbertford.Candidate) bool {
	return a.daemons > 1 && c.Mine() < t.share(c.Slots(), a.index, a.daemons)
}

// share returns how many of the target's slots are this daemon's own, when
// count daemons share the target and this is the index'th.
func (t *target) share(slots, index, count int) int {
	own := slots / count
	if (int(t.turn%uint64(count))+index)%count < slots%count {
		own++
	}
	return own
}

// freeSlots returns the expected number of free slots and its standard
// deviation. What the target told is believed less the older it is, in
// comparison with the run time of a task there.
func (t *target) freeSlots(now time.Time, c *filbertford.Candidate, run time.Duration) (mean, deviation float64) {
	told := float64(c.Slots() - c.Mine() - c.Free())
	age := float64(now.Sub(c.Heard()))
	doubt := age / (age + float64(run))
	usual := t.others * float64(othersMemory) / (float64(othersMemory) + age)
	others := told + doubt*(usual-told)
	return float64(c.Slots()-c.Mine()) - max(others, 0), math.Sqrt(doubt * t.variance)
}

// refused adjusts the caution so that the share of refused starts comes to its
// goal (a Robbins-Monro step).
func (a *Adaptive) refused(s *service, refused bool) {
	goal := refusalGoal * (1 - 0.75*s.weight)
	if refused {
		a.caution = min(a.caution+cautionStep, maxCaution)
		return
	}
	a.caution = max(a.caution-cautionStep*goal/(1-goal), 0)
}

// waits reports whether the task had better wait for a faster target than start
// at once on one of the given factor. The tasks that run on faster targets now
// tell how soon a slot comes free there. The wait is bounded by the time that
// it could save (the rule of ski rental).
func (a *Adaptive) waits(now time.Time, s *service, n filbertford.Need, base time.Duration, factor float64,
	candidates []filbertford.Candidate, from, count int,
) bool {
	rate, sum := 0.0, 0.0
	for k := range count {
		i := from + k
		if i >= len(candidates) {
			i -= len(candidates)
		}
		sp := s.byIndex[i]
		f := sp.factor * sp.target.lag
		if mine := float64(candidates[i].Mine()); mine > 0 && f < factor && sp.target.health.state == healthy {
			rate += mine / f
			sum += mine
		}
	}
	if rate == 0 {
		return false
	}
	faster := sum / rate
	rate *= float64(len(candidates)) / float64(count)
	queue := float64(max(n.Queue(), 1))
	wait := waitHandicap * queue * float64(s.run) / rate
	gain := float64(base)*(factor*(1-waitMargin)-faster) - wait
	if gain <= 0 {
		return false
	}
	if s.waitSince.IsZero() {
		s.waitSince = now
	}
	return float64(now.Sub(s.waitSince)) < float64(base)*(factor-faster)
}
