package fbsched

import (
	"fmt"
	"testing"
	"time"

	"github.com/filbertford/filbertford"
)

const leavingJob filbertford.JobKey = "00000000000000aa"

// newObjectiveCoordinator returns a coordinator that admits jobs by their objective, with a
// pool p that a owns.
func newObjectiveCoordinator(now time.Duration) *Coordinator {
	c := NewCoordinator("p")
	c.SetScheduling(filbertford.Scheduling{}.WithAdmission(filbertford.AdmitByObjective))
	c.SetOwner(now, "p", "a", 1)
	c.Tick(now)
	return c
}

// submitTo submits a job of tasks of one core and 100 ms, which must end within 220 ms.
func submitTo(c *Coordinator, now time.Duration, request uint64, key filbertford.JobKey, tasks int) {
	step := filbertford.NewStep(tasks, filbertford.NewResources(1000, 1, 0), 100*time.Millisecond)
	route := filbertford.NewRoute("h", "/p/", "ordering").WithPolicy(1, 3).WithObjective(1.6, 60*time.Millisecond, 0)
	c.Submit(now, request, route, filbertford.NewWorkload(key, "", step).WithBestEffort(true), 2*time.Second)
}

// describeActions returns the offers, recalls and answers of a coordinator in short.
func describeActions(c *Coordinator) (out string) {
	for _, a := range c.TakeActions() {
		switch v := a.(type) {
		case SendBatch:
			out += fmt.Sprintf("%d to %s resume %t, ", len(v.Batch.Items()), v.To, v.Batch.Resume())
		case SendRecall:
			out += fmt.Sprintf("recall from %s, ", v.To)
		case Answer:
			out += fmt.Sprintf("%s, ", v.Answer.Kind())
		}
	}
	return out
}

// TestRecalledJob guards against an answer "not run" to a job of which a task was started
// while its recall was under way, and against a job that is forgotten when the recall, or
// the reports that answer it, are lost with the owner or the connection.
func TestRecalledJob(t *testing.T) {
	report := func(fence uint64, index int, s Status) func(*Coordinator, time.Duration) {
		return func(c *Coordinator, now time.Duration) {
			started := s == StatusStarted || s == StatusDone
			c.HandleReport(now, NewReport("p", fence, filbertford.NewTaskKey(leavingJob, 0, 0, index), s, 0).WithStarted(started))
		}
	}
	owner := func(node filbertford.NodeID, fence uint64) func(*Coordinator, time.Duration) {
		return func(c *Coordinator, now time.Duration) { c.SetOwner(now, "p", node, fence) }
	}
	resume := func(c *Coordinator, now time.Duration) { c.Resume(now, "p") }
	type step struct {
		do   func(*Coordinator, time.Duration)
		want string
	}
	tests := map[string][]step{
		"all tasks return":    {{report(1, 0, StatusReturned), ""}, {report(1, 1, StatusReturned), "not-run, "}},
		"one has started":     {{report(1, 0, StatusStarted), ""}, {report(1, 1, StatusReturned), "1 to a resume false, "}},
		"one starts later":    {{report(1, 0, StatusReturned), ""}, {report(1, 1, StatusStarted), "1 to a resume false, "}},
		"another owner":       {{owner("", 0), ""}, {owner("b", 2), "2 to b resume true, 1 to b resume true, "}, {report(1, 0, StatusReturned), ""}, {report(2, 0, StatusReturned), ""}},
		"the connection ends": {{resume, "2 to a resume true, 1 to a resume true, "}, {report(1, 0, StatusDone), ""}, {report(1, 1, StatusDone), "completed, "}},
		"no answer":           {{func(c *Coordinator, now time.Duration) { c.Tick(now + 2*time.Second) }, ""}},
	}
	for name, steps := range tests {
		t.Run(name, func(t *testing.T) {
			now := time.Minute
			c := newObjectiveCoordinator(now)
			submitTo(c, now, 1, leavingJob, 2)
			now += 80 * time.Millisecond
			submitTo(c, now, 2, "00000000000000bb", 1)
			describeActions(c)
			now += 50 * time.Millisecond // the first can't meet its objective any more
			c.Tick(now)
			if got, want := describeActions(c), "recall from a, "; got != want {
				t.Fatalf("actions %q, want %q", got, want)
			}
			for i, s := range steps {
				s.do(c, now)
				if got := describeActions(c); got != s.want {
					t.Errorf("step %d: actions %q, want %q", i, got, s.want)
				}
			}
		})
	}
}

// TestAdmissionByReports guards against jobs that are rejected because reports are missing
// or old, or queued behind work that can't use the free targets.
func TestAdmissionByReports(t *testing.T) {
	full := NewCapacity("ordering", nil, 4000, time.Second).WithRate(4000, NewWaitingWork(0, 500*time.Millisecond), NewWaitingWork(2, 500*time.Millisecond))
	gap := NewCapacity("ordering", []int{800, 1500}, 4000, time.Second).WithRate(4000, NewWaitingWork(0, time.Second)).WithFactors(1, []float64{1, 1})
	slowGap := gap.WithFactors(1, []float64{1, 3})
	tests := map[string]struct {
		report *Capacity
		age    time.Duration
		want   string
	}{
		"no report":                 {nil, 0, "1 to a resume false, "},
		"old report":                {&full, 2 * time.Second, "1 to a resume false, "},
		"much work waits":           {&full, 0, "not-run, "},
		"a target is free":          {&gap, 0, "1 to a resume false, "},
		"only a slow one is free":   {&slowGap, 0, "not-run, "},
		"no target has been listed": {&Capacity{service: "ordering"}, 0, "1 to a resume false, "},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			now := time.Minute
			c := newObjectiveCoordinator(now)
			if tt.report != nil {
				c.SetCapacities("p", 1, []Capacity{*tt.report})
			}
			submitTo(c, now+tt.age, 1, leavingJob, 1)
			if got := describeActions(c); got != tt.want {
				t.Errorf("actions %q, want %q", got, tt.want)
			}
		})
	}
}
