package fbclient

import "sync"

// The retry budget of a client, in retries.
const (
	maxRetryBudget    = 100.0
	retryBudgetPerJob = 0.2
)

// retryBudget bounds the retries of refused jobs over all jobs of a client, so that
// retries can't multiply the load of daemons that refuse for want of capacity.
// Each job adds a share of a retry.
type retryBudget struct {
	mu      sync.Mutex
	retries float64
}

func newRetryBudget() *retryBudget { return &retryBudget{retries: maxRetryBudget} }

// deposit credits a job.
func (b *retryBudget) deposit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.retries = min(b.retries+retryBudgetPerJob, maxRetryBudget)
}

// withdraw takes a retry from the budget and reports whether there was one.
func (b *retryBudget) withdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.retries < 1 {
		return false
	}
	b.retries--
	return true
}
