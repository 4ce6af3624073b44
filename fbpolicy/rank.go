package fbpolicy

import "github.com/filbertford/filbertford"

// ageing is how many seconds of remaining work one second of waiting offsets.
const ageing = 1.0

// Rank ranks jobs by their remaining work, the least first. The ranks of all jobs
// fall at the same rate while they wait, so that the order of two jobs changes
// only when a task ends, and big jobs don't starve.
func (a *Adaptive) Rank(t filbertford.WaitingTask) float64 {
	s := a.service(t.Service())
	work := float64(t.Unfinished()) * s.expectedRunTime(t.Size()).Seconds()
	return work - ageing*t.Waited().Seconds()
}
