package fbpolicy

import "github.com/filbertford/filbertford"

// ageing is how many seconds of a job's remaining work weigh as much as one
// second of waiting.
const ageing = 1.0

// Rank puts the jobs with the least work left first. The rank of a job falls
// steadily while it waits, so that the order of two jobs changes only when a
// task ends, and big jobs have their turn.
func (a *Adaptive) Rank(n filbertford.WaitingTask) float64 {
	s := a.service(n.Service())
	work := float64(n.Unfinished()) * s.expectedRunTime(n.Size()).Seconds()
	return work - ageing*n.Waited().Seconds()
}
