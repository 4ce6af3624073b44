package fbsched

import (
	"testing"
	"time"

	"github.com/filbertford/filbertford"
)

// TestOutcomeOfEndedJobIsReleased guards against ends that targets keep for ever, because the last
// confirmation to their pool was lost and the coordinator has forgotten the job.
func TestOutcomeOfEndedJobIsReleased(t *testing.T) {
	for name, tt := range map[string]struct {
		status Status
		known  bool
		want   bool
	}{
		"done":           {status: StatusDone, want: true},
		"failed":         {status: StatusFailed, want: true},
		"started":        {status: StatusStarted},
		"of a known job": {status: StatusDone, known: true},
	} {
		t.Run(name, func(t *testing.T) {
			now := time.Minute
			c := newStoredCoordinator(now, false)
			if !tt.known {
				c.DropStored(deadlyJob)
			}
			c.TakeActions()
			c.HandleReport(now, NewReport(testPool, 5, filbertford.NewTaskKey(deadlyJob, 0, 0, 0), tt.status, 0))
			asked := false
			for _, a := range c.TakeActions() {
				if v, ok := a.(UnknownOutcome); ok {
					asked = true
					c.HandleEnded(v.Pool, v.Job)
				}
			}
			released := false
			for _, a := range c.TakeActions() {
				if v, ok := a.(SendWithdrawal); ok {
					released = v.To == "a" && v.Withdrawal.Job() == deadlyJob
				}
			}
			if asked != tt.want || released != tt.want {
				t.Errorf("asked for the job: %t, withdrawn: %t, want %t", asked, released, tt.want)
			}
		})
	}
}
