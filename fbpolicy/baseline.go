package fbpolicy

import (
	"math/rand/v2"
	"time"

	"github.com/filbertford/filbertford"
)

// staleAfter is the age after which a baseline ignores a target's reply that it has
// no free slot.
const staleAfter = 50 * time.Millisecond

// picker chooses one of the candidates for which usable is true. It returns false
// if there is none.
type picker func(b *baseline, now time.Time, candidates []filbertford.Candidate) (int, bool)

// baseline is a policy that ignores observations: jobs go in the order of their
// arrival, admission only bounds the queue, and pick chooses the target.
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

// Admit rejects jobs that can never run or don't fit into the queue.
func (b *baseline) Admit(_ time.Time, j filbertford.Job, r filbertford.Rules, l filbertford.Load) filbertford.AdmissionDecision {
	if d := checkSize(j, r); !d.Admitted() {
		return d
	}
	if r.MaxQueue() > 0 && l.Waiting()+len(j.Tasks()) > r.MaxQueue() {
		return filbertford.NewRejection(filbertford.CodeOverloaded, minRetryAfter)
	}
	return filbertford.AdmissionDecision{}
}

// Rank ranks jobs by their arrival, the oldest first.
func (b *baseline) Rank(t filbertford.WaitingTask) float64 { return -t.Waited().Seconds() }

// Place picks a target that may have a free slot.
func (b *baseline) Place(now time.Time, _ filbertford.WaitingTask, candidates []filbertford.Candidate) (int, bool) {
	return b.pick(b, now, candidates)
}

// Observe does nothing.
func (b *baseline) Observe(time.Time, filbertford.Observation) {}

// usable reports whether a slot of the target may be free: one is estimated to be
// free, or the target's last reply is older than staleAfter.
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

// nextUsable returns the index of the first usable candidate from the given index
// on, and continues at the first candidate after the last one.
func nextUsable(now time.Time, candidates []filbertford.Candidate, from int) (int, bool) {
	for k := range candidates {
		i := (from + k) % len(candidates)
		if usable(now, candidates[i]) {
			return i, true
		}
	}
	return 0, false
}
