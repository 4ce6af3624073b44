package fbpolicy

import (
	"math/rand/v2"
	"time"

	"github.com/filbertford/filbertford"
)

// staleAfter is the age from which on a baseline no longer believes that a
// target without a free slot still has none.
const staleAfter = 50 * time.Millisecond

// picker chooses among candidates of which usable tells the good ones.
type picker func(b *baseline, now time.Time, candidates []filbertford.Candidate) (int, bool)

// baseline is a policy that learns nothing: jobs go in the order of their
// arrival, the door only bounds the queue, and pick chooses the target.
type baseline struct {
	rng  *rand.Rand
	next int
	pick picker
}

var _ filbertford.Policy = (*baseline)(nil)

func newBaseline(seed uint64, pick picker) *baseline {
	return &baseline{rng: newRand(seed), pick: pick}
}

func newRand(seed uint64) *rand.Rand {
	return rand.New(rand.NewPCG(seed, 0x9e3779b97f4a7c15))
}

// Admit refuses jobs that don't fit into the queue.
func (b *baseline) Admit(_ time.Time, j filbertford.Job, r filbertford.Rules, l filbertford.Load) filbertford.AdmissionDecision {
	if v := checkSize(j, r); !v.Admitted() {
		return v
	}
	if r.MaxQueue() > 0 && l.Waiting()+len(j.Tasks()) > r.MaxQueue() {
		return filbertford.NewRejection(filbertford.CodeOverloaded, minRetryAfter)
	}
	return filbertford.AdmissionDecision{}
}

// Rank orders jobs by their arrival.
func (b *baseline) Rank(n filbertford.WaitingTask) float64 { return -n.Waited().Seconds() }

// Place picks a target whose slots are not all believed to be taken.
func (b *baseline) Place(now time.Time, _ filbertford.WaitingTask, candidates []filbertford.Candidate) (int, bool) {
	return b.pick(b, now, candidates)
}

// Observe learns nothing.
func (b *baseline) Observe(time.Time, filbertford.Observation) {}

// usable reports whether a slot of the target may be free.
func usable(now time.Time, c filbertford.Candidate) bool {
	if c.OwnTasks() >= c.Slots() {
		return false
	}
	return c.Free() > 0 || !c.LastReply().IsZero() && now.Sub(c.LastReply()) > staleAfter
}

func pickRandom(b *baseline, now time.Time, candidates []filbertford.Candidate) (int, bool) {
	if len(candidates) == 0 {
		return 0, false
	}
	return nextUsable(now, candidates, b.rng.IntN(len(candidates)))
}

func pickRoundRobin(b *baseline, now time.Time, candidates []filbertford.Candidate) (int, bool) {
	i, ok := nextUsable(now, candidates, b.next)
	if ok {
		b.next = i + 1
	}
	return i, ok
}

func pickLeastOutstanding(b *baseline, now time.Time, candidates []filbertford.Candidate) (int, bool) {
	best, found, ties := 0, false, 0
	for i, c := range candidates {
		if !usable(now, c) {
			continue
		}
		switch {
		case !found || c.OwnTasks() < candidates[best].OwnTasks():
			best, found, ties = i, true, 1
		case c.OwnTasks() == candidates[best].OwnTasks():
			ties++
			if b.rng.IntN(ties) == 0 {
				best = i
			}
		}
	}
	return best, found
}

func pickTwoChoices(b *baseline, now time.Time, candidates []filbertford.Candidate) (int, bool) {
	first, ok := pickRandom(b, now, candidates)
	if !ok {
		return 0, false
	}
	second, _ := pickRandom(b, now, candidates)
	if candidates[second].OwnTasks() < candidates[first].OwnTasks() {
		return second, true
	}
	return first, true
}

// nextUsable returns the first usable candidate from the given one on, in turn.
func nextUsable(now time.Time, candidates []filbertford.Candidate, from int) (int, bool) {
	for k := range candidates {
		i := (from + k) % len(candidates)
		if usable(now, candidates[i]) {
			return i, true
		}
	}
	return 0, false
}
