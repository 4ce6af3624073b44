package fbburn

// Counts holds numbers of answers by outcome.
type Counts struct {
	good, bad, overQuota uint64
}

// NewCounts returns counts of the given numbers of answers.
func NewCounts(good, bad, overQuota uint64) Counts {
	return Counts{good: good, bad: bad, overQuota: overQuota}
}

// Good returns the number of jobs that were answered complete in time.
func (c Counts) Good() uint64 { return c.good }

// Bad returns the number of valid requests that were not answered complete in
// time.
func (c Counts) Bad() uint64 { return c.bad }

// OverQuota returns the number of requests refused because the team was over its
// quota.
func (c Counts) OverQuota() uint64 { return c.overQuota }

// Total returns the number of answers that count against the objective.
func (c Counts) Total() uint64 { return c.good + c.bad }

// Add returns the sum of c and o.
func (c Counts) Add(o Counts) Counts {
	return Counts{good: c.good + o.good, bad: c.bad + o.bad, overQuota: c.overQuota + o.overQuota}
}

// GoodShare returns the share of good answers in Total, from 0 to 1. It is 1 if
// Total is 0.
func (c Counts) GoodShare() float64 {
	if c.Total() == 0 {
		return 1
	}
	return float64(c.good) / float64(c.Total())
}

// BurnRate returns the burn rate under an objective of the given share of good
// answers. It is 0 if Total is 0 or if share is not between 0 and 1.
func (c Counts) BurnRate(share float64) float64 {
	if c.Total() == 0 || share <= 0 || share >= 1 {
		return 0
	}
	return float64(c.bad) / float64(c.Total()) / (1 - share)
}
