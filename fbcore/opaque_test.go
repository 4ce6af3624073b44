package fbcore_test

import (
	"testing"
	"time"

	"github.com/filbertford/filbertford"
	"github.com/filbertford/filbertford/fbcore"
)

// submitOpaque submits a job under an opaque key and returns the code of the
// immediate answer, empty if the delivery waits.
func submitOpaque(t *testing.T, c *fbcore.Core, now time.Time, key string, claim fbcore.Claim) filbertford.Code {
	t.Helper()
	id, err := filbertford.ParseID(key)
	if err != nil {
		t.Fatal(err)
	}
	job := filbertford.NewJob("depot", "ordering", filbertford.NewTask(nil, 0)).WithTimeout(time.Minute)
	actions := c.Handle(now, fbcore.Submit{
		Ref: 1, Delivery: filbertford.NewDelivery(id, job), Digest: fbcore.Digest(job), Claim: claim,
		Rules: filbertford.Rules{}.WithLease(time.Minute),
	})
	for _, a := range actions {
		if r, ok := a.(fbcore.Reply); ok {
			return r.Answer.Code()
		}
	}
	return ""
}

func TestSubmitOpaqueKeyByClaim(t *testing.T) {
	tests := map[fbcore.Claim]filbertford.Code{
		fbcore.ClaimOwned:       "",
		fbcore.ClaimUndecided:   filbertford.CodeUndecided,
		fbcore.ClaimTooOld:      filbertford.CodeTooOld,
		fbcore.ClaimFuture:      filbertford.CodeFutureToken,
		fbcore.ClaimUnconfirmed: filbertford.CodeOwnerUnconfirmed,
	}
	for claim, want := range tests {
		t.Run(string(claim), func(t *testing.T) {
			c, now := newSpillCore(t, 0)
			if got := submitOpaque(t, c, now, "key", claim); got != want {
				t.Errorf("got code %q, want %q", got, want)
			}
		})
	}
}

// TestExpiredOpaqueKeyIsNotStartedAgain checks that the fingerprint of an opaque key
// prevents a second start after the entry of the key has been dropped.
func TestExpiredOpaqueKeyIsNotStartedAgain(t *testing.T) {
	c, now := newBenchCore(t, "random", 1)
	submitOpaque(t, c, now, "key", fbcore.ClaimOwned)
	c.Handle(now.Add(time.Minute), fbcore.Tick{}) // the job's deadline
	for s := range 10 {
		c.Handle(now.Add(time.Minute+time.Duration(s)*time.Second), fbcore.Tick{})
	}
	if ids, _ := c.Retained(); ids != 0 {
		t.Fatalf("got %d submissions retained in full, want 0", ids)
	}
	if got := submitOpaque(t, c, now.Add(2*time.Minute), "key", fbcore.ClaimOwned); got != filbertford.CodeTooOld {
		t.Errorf("expired key: got code %q, want FB2005", got)
	}
}

// TestSuccessorAnswersInheritedOpaqueKeys checks that the new owner of an opaque key
// answers it as the former owner did until the horizon has passed.
func TestSuccessorAnswersInheritedOpaqueKeys(t *testing.T) {
	former, now := newSpillCore(t, 0)
	submitOpaque(t, former, now, "key", fbcore.ClaimOwned)
	former.Handle(now, fbcore.Cancel{Ref: 2, ID: mustParse(t, "key")})
	entries := former.OpaqueEntries()
	successor, _ := newSpillCore(t, 0)
	successor.Handle(now, fbcore.PartReceived{Part: fbcore.NewTablePart(9, fbcore.Key{}, 0, 0, entries, 0)})
	if got := submitOpaque(t, successor, now, "key", fbcore.ClaimUndecided); got != filbertford.CodeCancelled {
		t.Errorf("inherited key: got code %q, want FB2003", got)
	}
	if got := submitOpaque(t, successor, now, "other", fbcore.ClaimUndecided); got != filbertford.CodeUndecided {
		t.Errorf("key that was not handed over: got code %q, want FB2007", got)
	}
	later := now.Add(time.Hour)
	successor.Handle(later, fbcore.Tick{})
	if got := submitOpaque(t, successor, later, "key", fbcore.ClaimUndecided); got != filbertford.CodeUndecided {
		t.Errorf("inherited key after the horizon: got code %q, want FB2007", got)
	}
}

func mustParse(t *testing.T, text string) filbertford.SubmissionID {
	t.Helper()
	id, err := filbertford.ParseID(text)
	if err != nil {
		t.Fatal(err)
	}
	return id
}
