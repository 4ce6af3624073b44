package fbclient

import "sync"

// Parameters of a client's retry budget, in retries.
const (
	maxRetryBudget    = 100.0
	retryBudgetPerJob = 0.2
)

// retryBudget limits the retries of refused jobs over all jobs of a client, so
// that retries can't multiply the load on daemons that refuse jobs for lack of
// capacity. It starts with maxRetryBudget retries, and each job adds
// retryBudgetPerJob.
type retryBudget struct {
	mu      sync.Mutex
	retries float64
}

func newRetryBudget() *retryBudget { return &retryBudget{retries: maxRetryBudget} }

// deposit adds retryBudgetPerJob for a new job, up to maxRetryBudget.
func (b *retryBudget) deposit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.retries = min(b.retries+retryBudgetPerJob, maxRetryBudget)
}

// withdraw takes one retry from the budget. It reports false if less than one
// is left.
func (b *retryBudget) withdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.retries < 1 {
		return false
	}
	b.retries--
	return true
}
