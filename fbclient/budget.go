package fbclient

import "sync"

// The retry budget of a client, in retries.
const (
	budgetMax   = 100.0
	budgetShare = 0.2
)

// budget bounds the retries of refused jobs over all jobs of a client, so that
// retries can't multiply the load of daemons that refuse for want of capacity.
// Each job adds a share of a retry.
type budget struct {
	mu   sync.Mutex
	left float64
}

func newBudget() *budget { return &budget{left: budgetMax} }

// earn credits a job.
func (b *budget) earn() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.left = min(b.left+budgetShare, budgetMax)
}

// spend takes a retry from the budget and reports whether there was one.
func (b *budget) spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.left < 1 {
		return false
	}
	b.left--
	return true
}
