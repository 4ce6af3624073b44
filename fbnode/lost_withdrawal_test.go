package fbnode

import (
	"testing"
	"time"
)

// TestWithdrawalLostWithStream resets a caller's connection and the stream to the pool's owner.
func TestWithdrawalLostWithStream(t *testing.T) {
	s := newQuietFleet(t, 2, 2, 4, "casa", "rabat")
	s.submit("casa-1", "job", 2, 6*time.Second, 9*time.Second)
	s.advance(time.Second)
	if got := s.tasksOf("job"); got != 2 {
		t.Fatalf("%d tasks are running, want 2", got)
	}
	s.breakRequests(s.daemons["casa-1"], 1)
	s.daemons["casa-1"].links["casa-0"].breakStream()
	s.advance(simRetransmit)
	if got := s.tasksOf("job"); got != 0 {
		t.Errorf("%d tasks are running when the caller sends the job again", got)
	}
}
