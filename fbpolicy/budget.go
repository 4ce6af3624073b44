package fbpolicy

import (
	"time"

	"github.com/filbertford/filbertford"
)

// Parameters of the retry budget.
const (
	// retriesPerStart is how many retries each first start adds to the budget.
	retriesPerStart = 0.1
	// retriesPerSecond is how many retries are added per second, independent of
	// starts.
	retriesPerSecond = 20.0
	// maxRetryTokens is the capacity of the budget.
	maxRetryTokens = 50.0
)

// retryBudget is a token bucket that limits starts of tasks whose previous start
// is proven not to have happened, so that retries can't multiply the load.
type retryBudget struct {
	tokens   float64
	refilled time.Time
}

func newRetryBudget() retryBudget { return retryBudget{tokens: maxRetryTokens} }

// recordStart adds to the budget if the start is the task's first.
func (b *retryBudget) recordStart(t filbertford.WaitingTask) {
	if t.FailedStarts() == 0 {
		b.tokens = min(b.tokens+retriesPerStart, maxRetryTokens)
	}
}

// take reports whether a retry may be sent. If so, it takes a token.
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
	// probesPerJob is how many probes of untrusted targets each job adds to the
	// budget.
	probesPerJob = 0.002
	// probesPerSecond is how many probes are added per second, independent of
	// jobs.
	probesPerSecond = 1.0 / 30
	// maxProbeTokens is the capacity of the budget.
	maxProbeTokens = 2.0
)

// probeBudget is a token bucket that limits the jobs that are put at risk to find
// out whether an untrusted target works again.
type probeBudget struct {
	tokens float64
}

func newProbeBudget() probeBudget { return probeBudget{tokens: maxProbeTokens} }

// recordStart adds a task's share of probesPerJob.
func (b *probeBudget) recordStart(t filbertford.WaitingTask) {
	b.tokens = min(b.tokens+probesPerJob/float64(max(t.Tasks(), 1)), maxProbeTokens)
}

// refill adds the probes that probesPerSecond gives for the elapsed time.
func (b *probeBudget) refill(d time.Duration) {
	b.tokens = min(b.tokens+probesPerSecond*d.Seconds(), maxProbeTokens)
}

func (b *probeBudget) available() bool { return b.tokens >= 1 }

func (b *probeBudget) take() { b.tokens = max(b.tokens-1, 0) }
