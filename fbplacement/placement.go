// Package fbplacement decides on which target with free capacity a task starts.
package fbplacement

import (
	"time"

	"github.com/filbertford/filbertford"
)

// Margin is the factor by which a run may take longer than expected and still count as
// one that meets the objective. It allows for the variance of callers' estimates.
const Margin = 1.25

// Fastest prefers the target on which the task ends first and, among equals, the one
// with the least CPU left over.
type Fastest struct{}

// Better implements filbertford.Placement.
func (Fastest) Better(_ time.Duration, a, b filbertford.FreeTarget) bool {
	return a.RunTime() < b.RunTime() || a.RunTime() == b.RunTime() && a.Leftover() < b.Leftover()
}

// SlowestInTime prefers the slowest target on which the task still meets its objective,
// so that faster ones remain free for tasks that need them. If there is none, it prefers
// the target on which the task ends first. It is of use while capacity is scarce: a task
// on a slower target ends later than it could.
type SlowestInTime struct{}

// Better implements filbertford.Placement.
func (SlowestInTime) Better(left time.Duration, a, b filbertford.FreeTarget) bool {
	aInTime, bInTime := inTime(left, a), inTime(left, b)
	switch {
	case aInTime != bInTime:
		return aInTime
	case a.RunTime() == b.RunTime():
		return a.Leftover() < b.Leftover()
	case aInTime:
		return a.RunTime() > b.RunTime()
	}
	return a.RunTime() < b.RunTime()
}

func inTime(left time.Duration, t filbertford.FreeTarget) bool {
	return time.Duration(float64(t.RunTime())*Margin) <= left
}

var (
	_ filbertford.Placement = Fastest{}
	_ filbertford.Placement = SlowestInTime{}
)
