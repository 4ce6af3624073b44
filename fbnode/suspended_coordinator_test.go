package fbnode

import (
	"testing"
	"time"
)

// TestSuspendedCoordinatorOffersNothing pauses a coordinator until its caller may have sent the
// job elsewhere.
func TestSuspendedCoordinatorOffersNothing(t *testing.T) {
	s := newQuietFleet(t, 3, 2, 4, "casa")
	s.tickLast = true
	s.submit("casa-1", "job", 2, 4*time.Second, 9*time.Second)
	s.advance(time.Second)
	s.pauseDaemon("casa-1", 2500*time.Millisecond)
	s.advance(2400 * time.Millisecond)
	if got := s.tasksOf("job"); got != 0 {
		t.Fatalf("%d tasks are running without their coordinator", got)
	}
	runs := s.runs
	s.advance(time.Second)
	if s.runs != runs {
		t.Errorf("%d runs started after the coordinator resumed", s.runs-runs)
	}
}
