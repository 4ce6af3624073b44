package fbcore_test

import (
	"strconv"
	"testing"
	"time"

	"github.com/filbertford/filbertford"
	"github.com/filbertford/filbertford/fbcore"
)

// stoppedParts returns the parts of the table of a stopped daemon of incarnation 1
// with the given number of submissions, one per part.
func stoppedParts(t *testing.T, submissions int) ([]fbcore.TablePart, filbertford.Token, time.Time) {
	t.Helper()
	c, now := newBenchCore(t, "random", 0)
	token := c.Token(now)
	for i := range submissions {
		id, err := filbertford.MintID(token, strconv.Itoa(i))
		if err != nil {
			t.Fatal(err)
		}
		job := filbertford.NewJob("depot", "ordering", filbertford.NewTask(nil, 0)).WithTimeout(time.Second)
		c.Handle(now, fbcore.Submit{
			Ref: fbcore.Ref(i + 1), Delivery: filbertford.NewDelivery(id, job), Claim: fbcore.ClaimPinned, Rules: simRules(),
		})
		c.Handle(now, fbcore.Cancel{Ref: 99, ID: id})
	}
	c.Handle(now, fbcore.StopRequested{})
	return c.TableParts(now, 1), token, now
}

func TestSuccessorAnswersForCompleteTablesOnly(t *testing.T) {
	tests := map[string]struct {
		parts []int // in the order in which they reach the successor
		want  filbertford.Code
	}{
		"whole":           {parts: []int{0, 1, 2}, want: filbertford.CodeCancelled},
		"out of order":    {parts: []int{2, 0, 1}, want: filbertford.CodeCancelled},
		"twice":           {parts: []int{0, 0, 1, 1, 2}, want: filbertford.CodeCancelled},
		"first part lost": {parts: []int{1, 2}, want: filbertford.CodeOwnerGone},
		"last part lost":  {parts: []int{0, 1}, want: filbertford.CodeOwnerGone},
		"last part alone": {parts: []int{2}, want: filbertford.CodeOwnerGone},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			parts, token, now := stoppedParts(t, 3)
			successor := fbcore.New(fbcore.Config{
				Incarnation: 2, StartedAt: now, EpochLength: time.Second, HorizonEpochs: 2, MaxSubmissions: 10,
			}, nil)
			for _, i := range tt.parts {
				successor.Handle(now, fbcore.PartReceived{Part: parts[i]})
			}
			for i := range 3 {
				id, err := filbertford.MintID(token, strconv.Itoa(i))
				if err != nil {
					t.Fatal(err)
				}
				d := filbertford.NewDelivery(id, filbertford.Job{})
				reply := successor.Handle(now, fbcore.Submit{Ref: 1, Delivery: d, Claim: fbcore.ClaimPinned})[0].(fbcore.Reply)
				if got := reply.Answer.Code(); got != tt.want {
					t.Errorf("submission %d: got code %s, want %s", i, got, tt.want)
				}
			}
		})
	}
}
