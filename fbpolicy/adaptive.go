package fbpolicy

import (
	"math/rand/v2"
	"time"

	"github.com/filbertford/filbertford"
)

// Adaptive is the default policy.
type Adaptive struct {
	rng *rand.Rand
}

var _ filbertford.Policy = (*Adaptive)(nil)

// NewAdaptive returns an adaptive policy that has seen nothing yet.
func NewAdaptive(seed uint64) *Adaptive {
	return &Adaptive{rng: newRand(seed)}
}

// Admit decides on a job that has just arrived.
func (a *Adaptive) Admit(_ time.Time, j filbertford.Job, r filbertford.Rules, l filbertford.Load) filbertford.Verdict {
	if v := checkSize(j, r); !v.Admitted() {
		return v
	}
	if r.MaxQueue() > 0 && l.Waiting()+len(j.Tasks()) > r.MaxQueue() {
		return filbertford.NewRejection(filbertford.CodeOverloaded, minRetryAfter)
	}
	return filbertford.Verdict{}
}

// Rank puts jobs with little work left first.
func (a *Adaptive) Rank(n filbertford.Need) float64 {
	return float64(n.Left()) - n.Waited().Seconds()
}

// Place picks the target with the most slots believed to be free.
func (a *Adaptive) Place(now time.Time, _ filbertford.Need, candidates []filbertford.Candidate) (int, bool) {
	best, found := 0, false
	for i, c := range candidates {
		if usable(now, c) && (!found || c.Free() > candidates[best].Free()) {
			best, found = i, true
		}
	}
	return best, found
}

// Observe learns from the end of a start.
func (a *Adaptive) Observe(time.Time, filbertford.Observation) {}
