package fbqueue

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/filbertford/filbertford"
)

// TestReserve guards against a reservation of a target that is free later than another one, that
// is too small or reserved already, and that can only be free when it is too late for the task.
func TestReserve(t *testing.T) {
	const now, ms = time.Minute, time.Millisecond
	cores := func(n int) filbertford.Resources { return filbertford.NewResources(n*1000, 0, 0) }
	run := func(cpu int, left time.Duration) filbertford.RunOutlook {
		return filbertford.NewRunOutlook(cores(cpu), 400*ms, now+left)
	}
	target := func(id filbertford.TargetID, factor float64, free int, runs ...filbertford.RunOutlook) filbertford.TargetOutlook {
		return filbertford.NewTargetOutlook(id, cores(free), factor, runs...)
	}
	tests := map[string]struct {
		targets  []filbertford.TargetOutlook
		due      time.Duration
		want     filbertford.TargetID // empty for none
		at, late time.Duration        // after now, and after that
	}{
		"two runs end first":     {targets: []filbertford.TargetOutlook{target("a", 1, 4, run(14, 10*ms), run(14, 90*ms)), target("b", 1, 4, run(14, 40*ms), run(14, 50*ms))}, want: "b", at: 50 * ms, late: 100 * ms},
		"one run is enough":      {targets: []filbertford.TargetOutlook{target("a", 1, 8, run(12, 70*ms), run(12, 20*ms)), target("b", 1, 0, run(16, 30*ms), run(16, 40*ms))}, want: "a", at: 20 * ms, late: 100 * ms},
		"free now":               {targets: []filbertford.TargetOutlook{target("a", 1, 4, run(28, 10*ms)), target("b", 1, 32)}, want: "b", late: 20 * ms},
		"faster target is later": {targets: []filbertford.TargetOutlook{target("a", 1.7, 4, run(28, 10*ms)), target("b", 0.7, 4, run(28, 60*ms))}, want: "b", at: 60 * ms, late: 100 * ms},
		"too small":              {targets: []filbertford.TargetOutlook{target("a", 1, 2, run(14, 10*ms))}},
		"reserved":               {targets: []filbertford.TargetOutlook{target("taken", 1, 4, run(28, 10*ms)), target("b", 1, 4, run(28, 60*ms))}, want: "b", at: 60 * ms, late: 100 * ms},
		"too late for the task":  {targets: []filbertford.TargetOutlook{target("a", 1, 4, run(28, 200*ms))}, due: now + 250*ms},
		"task is late already":   {targets: []filbertford.TargetOutlook{target("a", 1, 4, run(28, 200*ms))}, due: now, want: "a", at: 200 * ms, late: 100 * ms},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			plan := NewPlan()
			other := filbertford.NewLargeTask(filbertford.NewTaskKey("other", 0, 0, 0), cores(20), 100*ms, now+time.Hour)
			if _, ok := plan.Reserve(now, other, []filbertford.TargetOutlook{target("taken", 1, 32)}); !ok {
				t.Fatal("the other task has no reservation")
			}
			if tt.due == 0 {
				tt.due = now + time.Hour
			}
			r, ok := plan.Reserve(now, filbertford.NewLargeTask(filbertford.NewTaskKey("job", 0, 0, 0), cores(20), 100*ms, tt.due), tt.targets)
			if ok != (tt.want != "") {
				t.Fatalf("reserved %v on %q, want %q", ok, r.Target(), tt.want)
			}
			if !ok {
				return
			}
			got, want := []any{r.Target(), r.At() - now, r.Until() - r.At()}, []any{tt.want, tt.at, tt.late}
			if diff := cmp.Diff(want, got); diff != "" {
				t.Errorf("reservation differs (-want +got):\n%s", diff)
			}
		})
	}
}
