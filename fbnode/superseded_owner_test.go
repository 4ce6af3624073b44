package fbnode

import (
	"testing"
	"time"
)

// TestSupersededOwner cuts an owner from its successor, and each from the targets that the
// other reaches. The coordinator reaches both owners.
func TestSupersededOwner(t *testing.T) {
	for name, successorReachesRuns := range map[string]bool{"owner reaches the runs": false, "successor reaches the runs": true} {
		t.Run(name, func(t *testing.T) {
			s := newQuietFleet(t, 3, 2, 4, "casa", "rabat")
			s.submit("casa-2", "job", 2, 5*time.Second, 12*time.Second)
			s.advance(time.Second)
			if got := s.tasksOf("job"); got != 2 {
				t.Fatalf("%d tasks are running, want 2", got)
			}
			withRuns, without := "casa-t0", "casa-t1"
			if len(s.targetByID("casa-t0").runs) == 0 {
				withRuns, without = without, withRuns
			}
			ownerReaches, successorReaches := withRuns, without
			if successorReachesRuns {
				ownerReaches, successorReaches = without, withRuns
			}
			const length = 4 * time.Second
			s.cutAll(length, []string{"casa-0"}, []string{"casa-1", successorReaches})
			s.cutAll(length, []string{"casa-1"}, []string{ownerReaches})
			s.advance(length)
			for _, v := range s.violations {
				t.Error(v)
			}
		})
	}
}
