package fbclient

import (
	"errors"
	"testing"

	"pgregory.net/rapid"

	"github.com/filbertford/filbertford"
)

func TestDecodeAnswer(t *testing.T) {
	tests := map[string]struct {
		body string
		ok   bool
	}{
		"complete":           {`{"id":"a","code":"FB1000","class":"complete","results":[{"output":1},{"output":2}]}`, true},
		"refused":            {`{"id":"a","code":"FB3001","class":"not-run","retry_after_ms":5}`, true},
		"unknown code":       {`{"id":"a","code":"FB2999","class":"failed"}`, true},
		"other submission":   {`{"id":"b","code":"FB1000","class":"complete","results":[{"output":1},{"output":2}]}`, false},
		"partial":            {`{"id":"a","code":"FB1000","class":"complete","results":[{"output":1}]}`, false},
		"failed with result": {`{"id":"a","code":"FB2001","class":"failed","results":[{"output":1}]}`, false},
		"mismatched class":   {`{"id":"a","code":"FB2001","class":"not-run"}`, false},
		"negative retry":     {`{"id":"a","code":"FB3001","class":"not-run","retry_after_ms":-5}`, false},
		"no code":            {`{"id":"a"}`, false},
		"unread":             {`{"code":"FB4001","class":"delivery-started-nothing"}`, true},
		"refused without ID": {`{"code":"FB3001","class":"not-run"}`, false},
		"cut":                {`{"id":"a","code":"FB10`, false},
		"two answers":        {`{"id":"a","code":"FB2001","class":"failed"}{}`, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			_, err := decodeAnswer([]byte(tt.body), "a", 2)
			if (err == nil) != tt.ok || err != nil && !errors.Is(err, ErrBadAnswer) {
				t.Errorf("decodeAnswer error = %v, want ErrBadAnswer only for an invalid answer", err)
			}
		})
	}
}

func FuzzDecodeAnswer(f *testing.F) {
	f.Add([]byte(`{"id":"a","code":"FB1000","class":"complete","results":[{"output":{"x":[1]},"target":"t1"}]}`))
	f.Add([]byte(`{"id":"a","code":"FB3001","class":"not-run","retry_after_ms":9223372036854775807}`))
	f.Add([]byte(`{"id":"a","code":"FB2004","class":"failed","detail":"\ud800"}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		a, err := decodeAnswer(body, "a", 1)
		if err != nil {
			return
		}
		if whole := len(a.Results()) == 1; whole != (a.Code() == filbertford.CodeComplete) {
			t.Errorf("answer with code %s has %d results", a.Code(), len(a.Results()))
		}
		if a.RetryAfter() < 0 {
			t.Errorf("got a negative retry-after %v", a.RetryAfter())
		}
	})
}

func FuzzDecodeStatus(f *testing.F) {
	f.Add([]byte(`{"id":"a","state":"running"}`))
	f.Add([]byte(`{"id":"a","state":"over","answer":{"id":"a","code":"FB2001","class":"failed"}}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		s, err := decodeStatus(body, "a")
		if err == nil && s.State() != filbertford.StateRunning && s.Answer().Code() == "" {
			t.Errorf("status with state %s has no answer", s.State())
		}
	})
}

// TestRetryStateNeverRunsJobTwice drives a retryState against an owner that
// loses requests, loses replies after it ran the job, refuses jobs and
// disappears. It checks that a job that ran gets no new ID, and no answer that
// it did not run.
func TestRetryStateNeverRunsJobTwice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var s retryState
		ran := make(map[int]bool)
		id := 0
		var last decision
		for range 12 {
			s.countDelivery()
			switch rapid.SampledFrom([]string{"dial", "lost", "lost after run", "complete", "refused", "busy", "gone"}).Draw(t, "event") {
			case "dial":
				last = s.handleNotSent()
			case "lost":
				last = s.handleNoAnswer()
			case "lost after run":
				ran[id] = true
				last = s.handleNoAnswer()
			case "complete":
				ran[id] = true
				last = s.handleAnswer(filbertford.NewComplete(nil))
			case "refused":
				if ran[id] {
					last = s.handleAnswer(filbertford.NewComplete(nil))
					break
				}
				last = s.handleAnswer(filbertford.NewRefusal(filbertford.CodeOverloaded, "").WithRetryAfter(1))
			case "busy":
				last = s.handleAnswer(filbertford.NewRefusal(filbertford.CodeBusy, "").WithRetryAfter(1))
			case "gone":
				last = s.handleAnswer(filbertford.NewRefusal(filbertford.CodeOwnerGone, ""))
			}
			if last.action == actionFinish {
				break
			}
			if last.action == actionNewID {
				if ran[id] {
					t.Fatal("got a new ID for a job that ran")
				}
				id++
			}
		}
		if last.action == actionFinish && ran[id] && last.answer.Code().Class() != filbertford.ClassFailed &&
			last.answer.Code() != filbertford.CodeComplete {
			t.Fatalf("got answer %s for a job that ran", last.answer.Code())
		}
	})
}
