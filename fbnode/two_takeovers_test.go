package fbnode

import (
	"testing"
	"time"
)

// TestRunsEndAfterTwoTakeovers kills all daemons twice before callers send their jobs again.
func TestRunsEndAfterTwoTakeovers(t *testing.T) {
	s := newQuietFleet(t, 2, 2, 4, "casa", "rabat")
	s.submit("casa-1", "job", 2, 6*time.Second, 9*time.Second)
	s.advance(time.Second)
	if got := s.tasksOf("job"); got != 2 {
		t.Fatalf("%d tasks are running, want 2", got)
	}
	for range 2 {
		for _, name := range s.names {
			s.killDaemon(name)
			s.startDaemon(name, 100*time.Millisecond)
		}
		s.advance(simRetransmit / 2)
	}
	if got := s.tasksOf("job"); got != 0 {
		t.Errorf("%d tasks are running when the caller sends the job again", got)
	}
}
