package fbcore_test

import (
	"testing"
	"time"

	"github.com/filbertford/filbertford"
	"github.com/filbertford/filbertford/fbcore"
	"github.com/filbertford/filbertford/fbpolicy"
)

// newSpillCore returns a core with one target of one slot and a remote daemon with
// the given number of free slots and a round trip time of 3 ms.
func newSpillCore(t *testing.T, free int) (*fbcore.Core, time.Time) {
	t.Helper()
	policy, err := fbpolicy.New("random", 1)
	if err != nil {
		t.Fatal(err)
	}
	now := time.Unix(1_000_000, 0)
	c := fbcore.New(fbcore.Config{
		Incarnation: 1, DataCentre: "dc", Address: "daemon:1", StartedAt: now,
		EpochLength: time.Minute, HorizonEpochs: 2, MaxSubmissions: 100, MaxAnswerBytes: 100,
	}, policy)
	target := filbertford.NewVM("t1", filbertford.RoleTarget, "dc", "target:1").WithCapacity(1, 1)
	c.Handle(now, fbcore.TargetsChanged{Targets: []filbertford.VM{target}})
	peer := filbertford.NewVM("other/entry-9", filbertford.RoleEntry, "other", "daemon:9")
	c.Handle(now, fbcore.PeersChanged{Count: 1, Remotes: []fbcore.Remote{fbcore.NewRemote(peer, free, 3*time.Millisecond)}})
	return c, now
}

// countStarts counts the local and the remote starts among actions.
func countStarts(actions []fbcore.Action) (local, remote int) {
	for _, a := range actions {
		switch a.(type) {
		case fbcore.StartTask:
			local++
		case fbcore.StartRemote:
			remote++
		}
	}
	return local, remote
}

func TestSpill(t *testing.T) {
	tests := map[string]struct {
		factor float64
		free   int
		waited time.Duration
		want   int
	}{
		"off":                  {factor: 0, free: 5, waited: time.Second},
		"wait not long enough": {factor: 10, free: 5, waited: 20 * time.Millisecond},
		"wait long enough":     {factor: 10, free: 5, waited: 30 * time.Millisecond, want: 2},
		"few remote slots":     {factor: 10, free: 1, waited: 30 * time.Millisecond, want: 1},
		"no remote slots":      {factor: 10, free: 0, waited: time.Second},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			c, now := newSpillCore(t, tt.free)
			id, err := filbertford.MintID(c.Token(now), "a")
			if err != nil {
				t.Fatal(err)
			}
			job := filbertford.NewJob("depot", "ordering", make([]filbertford.Task, 3)...).WithTimeout(time.Minute)
			local, early := countStarts(c.Handle(now, fbcore.Submit{
				Ref: 1, Delivery: filbertford.NewDelivery(id, job), Claim: fbcore.ClaimPinned,
				Rules: filbertford.Rules{}.WithSpill(tt.factor).WithLease(time.Minute),
			}))
			_, late := countStarts(c.Handle(now.Add(tt.waited), fbcore.Tick{}))
			if local != 1 || early != 0 || late != tt.want {
				t.Errorf("got %d local starts, %d remote ones immediately and %d later; want 1, 0 and %d", local, early, late, tt.want)
			}
		})
	}
}

// TestSpilledTaskRefusedByRemoteStartsLocally checks that a task that a remote
// daemon refuses waits again and starts in the own data centre.
func TestSpilledTaskRefusedByRemoteStartsLocally(t *testing.T) {
	c, now := newSpillCore(t, 1)
	id, err := filbertford.MintID(c.Token(now), "a")
	if err != nil {
		t.Fatal(err)
	}
	job := filbertford.NewJob("depot", "ordering", make([]filbertford.Task, 2)...).WithTimeout(time.Minute)
	first := c.Handle(now, fbcore.Submit{
		Ref: 1, Delivery: filbertford.NewDelivery(id, job), Claim: fbcore.ClaimPinned,
		Rules: filbertford.Rules{}.WithSpill(1).WithLease(time.Minute),
	})[0].(fbcore.StartTask)
	now = now.Add(time.Second)
	spilled := c.Handle(now, fbcore.Tick{})[0].(fbcore.StartRemote)
	c.Handle(now, fbcore.PeersChanged{Count: 1})
	c.Handle(now, fbcore.StartEnded{Start: spilled.ID, Result: filbertford.NewStartResult(filbertford.OutcomeNoSlot)})
	done := filbertford.NewStartResult(filbertford.OutcomeDone).WithFreeSlots(1)
	again := c.Handle(now, fbcore.StartEnded{Start: first.Request.ID(), Result: done})[0].(fbcore.StartTask)
	last := c.Handle(now, fbcore.StartEnded{Start: again.Request.ID(), Result: done})
	if a := last[0].(fbcore.Reply).Answer; a.Code() != filbertford.CodeComplete {
		t.Errorf("got code %s, want FB1000", a.Code())
	}
}
