package fbpolicy

import (
	"time"

	"github.com/filbertford/filbertford"
)

// Parameters of the retry budget.
const (
	// retryShare is how many retries a first start allows for.
	retryShare = 0.1
	// retryRate is how many retries a second are allowed for in any case.
	retryRate = 20.0
	// maxRetries bounds the retries that can be saved up.
	maxRetries = 50.0
)

// retryBudget bounds the starts that repeat one that did not happen, so that
// they can't multiply the load.
type retryBudget struct {
	left float64
	last time.Time
}

func newRetryBudget() retryBudget { return retryBudget{left: maxRetries} }

// earn takes in a start.
func (b *retryBudget) earn(n filbertford.Need) {
	if n.Tries() == 0 {
		b.left = min(b.left+retryShare, maxRetries)
	}
}

// take reports whether a retry may be sent, and counts it.
func (b *retryBudget) take(now time.Time) bool {
	if !b.last.IsZero() {
		b.left = min(b.left+retryRate*now.Sub(b.last).Seconds(), maxRetries)
	}
	b.last = now
	if b.left < 1 {
		return false
	}
	b.left--
	return true
}

// Parameters of the probe budget.
const (
	// probeShare is how many probes of untrusted targets a job allows for.
	probeShare = 0.002
	// probeRate is how many probes a second are allowed for in any case.
	probeRate = 1.0 / 30
	// maxProbes bounds the probes that can be saved up.
	maxProbes = 2.0
)

// probeBudget bounds the jobs that are put at risk to find out whether an
// untrusted target works again.
type probeBudget struct {
	left float64
}

func newProbeBudget() probeBudget { return probeBudget{left: maxProbes} }

// earn takes in the start of a task.
func (b *probeBudget) earn(n filbertford.Need) {
	b.left = min(b.left+probeShare/float64(max(n.Tasks(), 1)), maxProbes)
}

// pass takes in that time has passed.
func (b *probeBudget) pass(d time.Duration) {
	b.left = min(b.left+probeRate*d.Seconds(), maxProbes)
}

func (b *probeBudget) allow() bool { return b.left >= 1 }

func (b *probeBudget) spend() { b.left = max(b.left-1, 0) }
