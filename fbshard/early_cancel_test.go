package fbshard

import (
	"testing"

	"pgregory.net/rapid"

	"github.com/filbertford/filbertford"
)

// TestJobCancelledBeforeCommitDoesNotStart guards against the start of a job whose cancellation was acknowledged
// while its submission wasn't stored.
func TestJobCancelledBeforeCommitDoesNotStart(t *testing.T) {
	tests := map[string]struct {
		outcome  callOutcome
		answered State // before the store serves calls again, empty for not at all
		want     State
	}{
		"store refuses calls": {outcome: callRefused, answered: StateRemoved, want: StateRemoved},
		"commit is lost":      {outcome: callLost, want: StateRemoved},
		"answer is lost":      {outcome: callAnswerLost, want: StateCancelled},
		"commit is applied":   {outcome: callAnswered, want: StateCancelled},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			h := newTestHarness()
			o := New("jobs/0", "a", 1)
			h.collect(o)
			h.completeAllCalls(o)
			key := testJob(1).Key()
			o.Submit(1, testRoute, testJob(1))
			h.collect(o)
			o.Cancel(2, key)
			h.collect(o)
			if r, ok := h.replies[2]; ok {
				t.Fatalf("the cancellation is answered with %q while the commit is under way", r.State)
			}
			h.completeCall(o, tt.outcome)
			if got := h.replies[2].State; got != tt.answered {
				t.Errorf("the cancellation is answered with %q, want %q", got, tt.answered)
			}
			o.Submit(3, testRoute, testJob(1)) // another copy
			h.collect(o)
			h.completeAllCalls(o)
			if got := h.replies[2].State; got != tt.want {
				t.Errorf("the cancellation is answered with %q in the end, want %q", got, tt.want)
			}
			if j := o.jobs[key]; h.started[key] > 0 || j == nil || j.committedState() != StateCancelled {
				t.Errorf("the job was started %d times and is %+v, want cancelled", h.started[key], j)
			}
		})
	}
}

// TestCancelledJobsDoNotStartUnderFaults guards against starts, by any owner, of jobs whose cancellation was
// acknowledged.
func TestCancelledJobsDoNotStartUnderFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		h := newTestHarness()
		fence, request := uint64(1), uint64(0)
		o := New("jobs/0", "n1", fence)
		h.collect(o)
		submitted := 0
		cancels := make(map[uint64]filbertford.JobKey)
		acknowledged := make(map[filbertford.JobKey]int) // starts until then
		check := func() {
			for id, key := range cancels {
				if _, ok := h.replies[id]; !ok {
					continue
				}
				if starts, ok := acknowledged[key]; !ok {
					acknowledged[key] = h.started[key]
				} else if h.started[key] > starts {
					rt.Fatalf("job %s is started after its cancellation was acknowledged", key)
				}
			}
		}
		replace := func() {
			fence++
			o = New("jobs/0", "n2", fence)
			h.collect(o)
		}
		for range rapid.IntRange(5, 60).Draw(rt, "steps") {
			request++
			switch rapid.IntRange(0, 6).Draw(rt, "step") {
			case 0:
				submitted++
				o.Submit(request, testRoute, testJob(submitted))
			case 1:
				if submitted > 0 {
					key := testJob(rapid.IntRange(1, submitted).Draw(rt, "job")).Key()
					cancels[request] = key
					o.Cancel(request, key)
				}
			case 2:
				h.now += retryDelay
				o.Tick(h.now)
			case 3:
				if len(h.store.delayed) > 0 {
					_, _ = h.store.apply(h.store.delayed[0]) // a conflict is expected
					h.store.delayed = h.store.delayed[1:]
				}
			case 4:
				if rapid.IntRange(0, 3).Draw(rt, "rarely") == 0 {
					replace()
				}
			default:
				h.completeCall(o, rapid.SampledFrom([]callOutcome{callAnswered, callAnswered, callRefused, callAnswerLost, callLost, callAppliedLate}).Draw(rt, "fortune"))
			}
			h.collect(o)
			check()
		}
		h.completeAllCalls(o)
		check()
		replace()
		h.completeAllCalls(o)
		check()
	})
}
