package fbstandin_test

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"golang.org/x/sync/errgroup"

	"github.com/filbertford/filbertford/fbstandin"
)

// reply is the part of a reply to a start that the tests check.
type reply struct {
	ID     string `json:"id"`
	Status string `json:"status"`
	RanUS  int64  `json:"ran_us"`
	Free   int    `json:"free"`
}

// post calls the handler with a POST request, without a connection.
func post(h http.Handler, path, body string) *httptest.ResponseRecorder {
	w := httptest.NewRecorder()
	h.ServeHTTP(w, httptest.NewRequest(http.MethodPost, path, strings.NewReader(body)))
	return w
}

func start(t *testing.T, h http.Handler, body string) (int, reply) {
	t.Helper()
	w := post(h, "/v1/start", body)
	var r reply
	if err := json.Unmarshal(w.Body.Bytes(), &r); err != nil {
		t.Errorf("%v: reply %q", err, w.Body)
	}
	return w.Code, r
}

func TestTargetRunTimes(t *testing.T) {
	tests := map[string]struct {
		factor float64
		faults fbstandin.TargetFaults
		body   string
		want   reply
	}{
		"default":                 {factor: 1, body: `{"id":"s","args":{},"lease_ms":1000}`, want: reply{ID: "s", Status: "done", RanUS: 5000, Free: 2}},
		"declared":                {factor: 1, body: `{"id":"s","args":{"run_ms":70},"lease_ms":1000}`, want: reply{ID: "s", Status: "done", RanUS: 70_000, Free: 2}},
		"arguments not an object": {factor: 1, body: `{"id":"s","args":"x","lease_ms":1000}`, want: reply{ID: "s", Status: "done", RanUS: 5000, Free: 2}},
		"slow":                    {factor: 2, body: `{"id":"s","args":{"run_ms":70},"lease_ms":1000}`, want: reply{ID: "s", Status: "done", RanUS: 140_000, Free: 2}},
		"slower":                  {factor: 2, faults: fbstandin.TargetFaults{}.WithSlowFactor(3), body: `{"id":"s","args":{"run_ms":70},"lease_ms":1000}`, want: reply{ID: "s", Status: "done", RanUS: 420_000, Free: 2}},
		"lease expires":           {factor: 1, body: `{"id":"s","args":{"run_ms":70},"lease_ms":50}`, want: reply{ID: "s", Status: "stopped", RanUS: 50_000, Free: 2}},
		"fails":                   {factor: 1, body: `{"id":"s","args":{"run_ms":70,"fail":true},"lease_ms":1000}`, want: reply{ID: "s", Status: "task-failed", RanUS: 70_000, Free: 2}},
		"all tasks fail":          {factor: 1, faults: fbstandin.TargetFaults{}.WithFailAll(), body: `{"id":"s","args":{"run_ms":70},"lease_ms":1000}`, want: reply{ID: "s", Status: "task-failed", Free: 2}},
		"leaving":                 {factor: 1, faults: fbstandin.TargetFaults{}.WithLeaving(), body: `{"id":"s","args":{},"lease_ms":1000}`, want: reply{ID: "s", Status: "leaving", Free: 2}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				target := fbstandin.NewTarget("t1", 2, tt.factor)
				target.SetFaults(tt.faults)
				_, got := start(t, target.Handler(), tt.body)
				if diff := cmp.Diff(tt.want, got); diff != "" {
					t.Error(diff)
				}
			})
		})
	}
}

func TestTargetRenewsLeaseOfOneOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := fbstandin.NewTarget("t1", 3, 1).Handler()
		var g errgroup.Group
		got := make([]reply, 2)
		for i, body := range []string{
			`{"id":"a","owner":"1","args":{"run_ms":90},"lease_ms":50}`,
			`{"id":"b","owner":"2","args":{"run_ms":90},"lease_ms":50}`,
		} {
			g.Go(func() error {
				_, got[i] = start(t, h, body)
				return nil
			})
		}
		time.Sleep(40 * time.Millisecond)
		post(h, "/v1/renew", `{"owner":"2","lease_ms":60}`)
		_ = g.Wait()
		want := []reply{
			{ID: "a", Status: "stopped", RanUS: 50_000, Free: 2},
			{ID: "b", Status: "done", RanUS: 90_000, Free: 3},
		}
		if diff := cmp.Diff(want, got); diff != "" {
			t.Error(diff)
		}
	})
}

func TestTargetRejectsStartWithoutSlotAndStopsTasks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		target := fbstandin.NewTarget("t1", 1, 1)
		h := target.Handler()
		var g errgroup.Group
		var first reply
		g.Go(func() error {
			_, first = start(t, h, `{"id":"a","args":{"run_ms":1000,"work":"w"},"lease_ms":5000}`)
			return nil
		})
		time.Sleep(time.Millisecond)
		code, second := start(t, h, `{"id":"b","args":{"work":"w"},"lease_ms":5000}`)
		if code != http.StatusServiceUnavailable || second.Status != "no-slot" || second.Free != 0 {
			t.Errorf("start at a target without free slots: got %d %+v, want 503, no-slot and 0 free slots", code, second)
		}
		post(h, "/v1/stop", `{"ids":["a","b"]}`)
		_ = g.Wait()
		if first.Status != "stopped" || first.Free != 1 {
			t.Errorf("stopped task: got %+v, want stopped and 1 free slot", first)
		}
		_, again := start(t, h, `{"id":"a","args":{"work":"w"},"lease_ms":5000}`)
		if again.Status != "done" {
			t.Errorf("repeated start: got %+v, want done", again)
		}
		n := target.Counters()
		if n.Starts() != 2 || n.Repeats() != 1 || n.Refusals() != 1 || n.Running() != 0 {
			t.Errorf("got counters %+v, want 2 starts, 1 repeat, 1 refusal and none running", n)
		}
		if diff := cmp.Diff(map[string]int{"w": 2}, n.StartsByWork()); diff != "" {
			t.Error(diff)
		}
	})
}

func TestFrozenTargetHandlesNoRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		target := fbstandin.NewTarget("t1", 1, 1)
		h := target.Handler()
		post(h, "/faults/target", `{"freeze": true}`)
		var g errgroup.Group
		startedAt := time.Now()
		g.Go(func() error {
			start(t, h, `{"id":"a","args":{},"lease_ms":5000}`)
			return nil
		})
		time.Sleep(time.Second)
		if n := target.Counters().Starts(); n != 0 {
			t.Errorf("got %d starts at a frozen target, want 0", n)
		}
		post(h, "/faults/target", `{}`)
		_ = g.Wait()
		if got := time.Since(startedAt); got != time.Second+5*time.Millisecond {
			t.Errorf("start took %v, want 1.005s", got)
		}
	})
}

func TestInvalidRequestsAreRejected(t *testing.T) {
	target := fbstandin.NewTarget("t1", 1, 1).Handler()
	platform := fbstandin.NewPlatform(0).Handler()
	tests := map[string]struct {
		handler    http.Handler
		path, body string
	}{
		"invalid JSON":               {handler: target, path: "/v1/start", body: `{`},
		"negative run time":          {handler: target, path: "/v1/start", body: `{"args": {"run_ms": -1}}`},
		"run time above the maximum": {handler: target, path: "/v1/start", body: `{"args": {"run_ms": 1e300}}`},
		"unknown value of cut":       {handler: target, path: "/faults/target", body: `{"cut": "later"}`},
		"VM without ID":              {handler: platform, path: "/vms", body: `{"address": "127.0.0.1:1"}`},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			if w := post(tt.handler, tt.path, tt.body); w.Code != http.StatusBadRequest {
				t.Errorf("got status %d, want 400", w.Code)
			}
		})
	}
}
