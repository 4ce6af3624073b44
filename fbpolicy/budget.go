package fbpolicy

import (
	"time"

	"github.com/filbertford/filbertford"
)

// Parameters of the retry budget.
const (
	// retriesPerStart is how many retries a first start allows for.
	retriesPerStart = 0.1
	// retriesPerSecond is how many retries a second are allowed for in any case.
	retriesPerSecond = 20.0
	// maxRetryTokens bounds the retries that can be saved up.
	maxRetryTokens = 50.0
)

// retryBudget bounds the starts that repeat one that did not happen, so that
// they can't multiply the load.
type retryBudget struct {
	tokens   float64
	refilled time.Time
}

func newRetryBudget() retryBudget { return retryBudget{tokens: maxRetryTokens} }

// recordStart takes in a start.
func (b *retryBudget) recordStart(n filbertford.WaitingTask) {
	if n.FailedStarts() == 0 {
		b.tokens = min(b.tokens+retriesPerStart, maxRetryTokens)
	}
}

// take reports whether a retry may be sent, and counts it.
func (b *retryBudget) take(now time.Time) bool {
	if !b.refilled.IsZero() {
		b.tokens = min(b.tokens+retriesPerSecond*now.Sub(b.refilled).Seconds(), maxRetryTokens)
	}
	b.refilled = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Parameters of the probe budget.
const (
	// probesPerJob is how many probes of untrusted targets a job allows for.
	probesPerJob = 0.002
	// probesPerSecond is how many probes a second are allowed for in any case.
	probesPerSecond = 1.0 / 30
	// maxProbeTokens bounds the probes that can be saved up.
	maxProbeTokens = 2.0
)

// probeBudget bounds the jobs that are put at risk to find out whether an
// untrusted target works again.
type probeBudget struct {
	tokens float64
}

func newProbeBudget() probeBudget { return probeBudget{tokens: maxProbeTokens} }

// recordStart takes in the start of a task.
func (b *probeBudget) recordStart(n filbertford.WaitingTask) {
	b.tokens = min(b.tokens+probesPerJob/float64(max(n.Tasks(), 1)), maxProbeTokens)
}

// refill takes in that time has passed.
func (b *probeBudget) refill(d time.Duration) {
	b.tokens = min(b.tokens+probesPerSecond*d.Seconds(), maxProbeTokens)
}

func (b *probeBudget) available() bool { return b.tokens >= 1 }

func (b *probeBudget) take() { b.tokens = max(b.tokens-1, 0) }
