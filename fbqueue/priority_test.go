package fbqueue

import (
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/filbertford/filbertford"
)

type queued struct {
	name        string
	priority    int
	latestStart time.Duration
	jobStarted  bool
}

func (q queued) Key() filbertford.TaskKey {
	return filbertford.NewTaskKey(filbertford.JobKey(q.name), 0, 0, 0)
}
func (q queued) Priority() int              { return q.priority }
func (q queued) LatestStart() time.Duration { return q.latestStart }
func (q queued) JobStarted() bool           { return q.jobStarted }

// TestVisitOrder guards against a wrong order of waiting tasks: those that can't meet their
// objective before others, a priority before one that lacks its share, parts of many jobs.
func TestVisitOrder(t *testing.T) {
	const now = time.Second
	tasks := []queued{
		{"late-0", 0, now - 2, false},
		{"soon-0", 0, now + 1, false},
		{"later-0", 0, now + 3, false},
		{"begun-0", 0, now + 4, true},
		{"soon-1", 1, now, false},
		{"late-2", 2, now - 1, true},
		{"soon-2", 2, now + 2, false},
		{"later-2", 2, now + 5, false},
	}
	tests := map[string]struct {
		order   filbertford.TaskOrder[queued]
		started [3]time.Duration // CPU time by priority
		want    []string
	}{
		"deadline":                    {NewDeadlineOrder[queued](), [3]time.Duration{}, []string{"soon-1", "soon-0", "soon-2", "later-0", "begun-0", "later-2", "late-0", "late-2"}},
		"priority":                    {NewPriorityOrder[queued](), [3]time.Duration{}, []string{"begun-0", "soon-0", "later-0", "soon-1", "soon-2", "later-2", "late-0", "late-2"}},
		"priority 2 lacks CPU":        {NewPriorityOrder[queued](), [3]time.Duration{80, 15, 5}, []string{"soon-2", "begun-0", "soon-0", "later-0", "soon-1", "later-2", "late-0", "late-2"}},
		"all priorities have a share": {NewPriorityOrder[queued](), [3]time.Duration{75, 15, 10}, []string{"begun-0", "soon-0", "later-0", "soon-1", "soon-2", "later-2", "late-0", "late-2"}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			for priority, cpu := range tt.started {
				tt.order.Started(now, priority, cpu)
			}
			var got []string
			tt.order.Visit(now, slices.SortedFunc(slices.Values(tasks), tt.order.Compare), func(q queued) bool { return q.latestStart >= now }, func(q queued) bool {
				if got = append(got, q.name); q.name == "soon-2" {
					tt.order.Started(now, 2, 20)
				}
				return true
			})
			if diff := cmp.Diff(tt.want, got); diff != "" {
				t.Errorf("order differs (-want +got):\n%s", diff)
			}
		})
	}
}
