package fbnode

import (
	"testing"
	"time"

	"github.com/filbertford/filbertford"
)

// TestOfferToPausedOwner pauses an owner that has no successor until a job is answered that
// was offered to it.
func TestOfferToPausedOwner(t *testing.T) {
	s := newQuietFleet(t, 2, 2, 4, "casa")
	s.pauseDaemon("casa-0", 2*time.Second)
	s.advance(100 * time.Millisecond)
	s.submit("casa-1", "job", 2, 3*time.Second, 9*time.Second)
	for range 190 {
		if s.answers[filbertford.AnswerUnknown] > 0 {
			break
		}
		s.advance(10 * time.Millisecond)
	}
	if s.answers[filbertford.AnswerUnknown] == 0 {
		t.Fatalf("the job isn't answered before the owner resumes")
	}
	s.advance(simRetransmit)
	if got := s.tasksOf("job"); got != 0 {
		t.Errorf("%d tasks are running when the caller sends the job again", got)
	}
}
