package fbpolicy_test

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/filbertford/filbertford"
	"github.com/filbertford/filbertford/fbpolicy"
)

// epoch is the time at which the tests of this package begin.
var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func ExampleNew() {
	p, err := fbpolicy.New(fbpolicy.NameLeastOutstanding, 1)
	if err != nil {
		fmt.Println(err)
		return
	}
	task := filbertford.NewWaitingTask("ordering", 60*time.Millisecond, 1, 1, 0)
	i, ok := p.Place(epoch, task, []filbertford.Candidate{
		filbertford.NewCandidate("t1", 8, 3, 2),
		filbertford.NewCandidate("t2", 8, 1, 2),
	})
	fmt.Println(i, ok)
	// Output: 1 true
}

func TestNewRejectsUnknownName(t *testing.T) {
	if _, err := fbpolicy.New("fastest", 1); !errors.Is(err, fbpolicy.ErrUnknownPolicy) {
		t.Errorf("got error %v, want ErrUnknownPolicy", err)
	}
}

func TestPoliciesPlaceOnlyOnFreeSlots(t *testing.T) {
	for _, name := range fbpolicy.Names() {
		t.Run(name, func(t *testing.T) {
			p, err := fbpolicy.New(name, 1)
			if err != nil {
				t.Fatal(err)
			}
			task := filbertford.NewWaitingTask("ordering", 0, 1, 1, 0)
			full := filbertford.NewCandidate("full", 2, 2, 0).WithLastReply(epoch)
			taken := filbertford.NewCandidate("taken", 2, 0, 0).WithLastReply(epoch)
			open := filbertford.NewCandidate("open", 2, 1, 1).WithLastReply(epoch)
			if i, ok := p.Place(epoch, task, []filbertford.Candidate{full, taken, open}); i != 2 || !ok {
				t.Errorf("Place = %d, %v, want 2, true", i, ok)
			}
			if _, ok := p.Place(epoch, task, []filbertford.Candidate{full, taken}); ok {
				t.Error("task placed although no slot is free")
			}
			if _, ok := p.Place(epoch, task, nil); ok {
				t.Error("task placed although there is no target")
			}
		})
	}
}
