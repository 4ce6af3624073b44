package fbstandin

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// TestRunRecorderRestartedAfterDone checks that a second start of a done task is
// reported only if the first run was acknowledged before the lease expired.
func TestRunRecorderRestartedAfterDone(t *testing.T) {
	for name, c := range map[string]struct {
		pause time.Duration
		want  []string
	}{
		"acknowledged before the lease expired":    {want: []string{"t"}},
		"lease expired before the acknowledgement": {pause: 250 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			recorder := NewRunRecorder()
			w := NewWorker("w", 1000, recorder)
			leaseExpiry := func() time.Duration { return w.clock() + 200*time.Millisecond }
			if reason := w.startRun("t", 1, 100, 0, leaseExpiry()); reason != "" {
				t.Fatal(reason)
			}
			time.Sleep(time.Millisecond)
			w.endDueRuns()
			time.Sleep(c.pause)
			w.endDueRuns()
			w.acknowledge(1, 0)
			if reason := w.startRun("t", 2, 100, 0, leaseExpiry()); reason != "" {
				t.Fatal(reason)
			}
			if diff := cmp.Diff(c.want, recorder.RestartedAfterDone()); diff != "" {
				t.Errorf("RestartedAfterDone (-want +got):\n%s", diff)
			}
		})
	}
}

// TestRunRecorderOverlapping checks that two runs of a task count as overlapping if the
// second began before the first had ended, whenever the first one's worker notices its end.
func TestRunRecorderOverlapping(t *testing.T) {
	for name, c := range map[string]struct {
		duration, lease time.Duration // of the first run
		want            []string
	}{
		"first is done":                  {duration: 10 * time.Millisecond, lease: time.Second},
		"lease of the first expired":     {duration: time.Second, lease: 10 * time.Millisecond},
		"first is running":               {duration: time.Second, lease: time.Second, want: []string{"t"}},
		"first ends later than begun":    {duration: 80 * time.Millisecond, lease: time.Second, want: []string{"t"}},
		"its lease ends later than that": {duration: time.Second, lease: 80 * time.Millisecond, want: []string{"t"}},
	} {
		t.Run(name, func(t *testing.T) {
			recorder := NewRunRecorder()
			first, second := NewWorker("a", 1000, recorder), NewWorker("b", 1000, recorder)
			if reason := first.startRun("t", 1, 100, c.duration, first.clock()+c.lease); reason != "" {
				t.Fatal(reason)
			}
			time.Sleep(40 * time.Millisecond)
			if reason := second.startRun("t", 2, 100, time.Millisecond, second.clock()+time.Second); reason != "" {
				t.Fatal(reason)
			}
			time.Sleep(60 * time.Millisecond)
			first.endDueRuns()
			second.endDueRuns()
			if diff := cmp.Diff(c.want, recorder.Overlapping()); diff != "" {
				t.Errorf("Overlapping (-want +got):\n%s", diff)
			}
		})
	}
}

// TestWorkerRestart checks what calls do that arrive before, or are handled after, a
// worker's restart.
func TestWorkerRestart(t *testing.T) {
	const poll = `{"fence":1,"seenUpto":9}`
	start := func(run int) string {
		return fmt.Sprintf(`{"task":"t","run":%d,"spec":"{\"run_ms\":5000,\"cpu\":1}","deadlineMs":900,"fence":1}`, run)
	}
	for name, c := range map[string]struct {
		restartAs   *string // nil if the worker stays down
		during      bool    // the worker crashes and restarts 50 ms after it has received the call
		late        bool    // the same, and it handles the call 100 ms after that
		path, body  string
		wantStatus  int // 0 for no reply
		wantRunning []string
	}{
		"start while it is down":        {path: "/-/run-start", body: start(2)},
		"poll under the same ID":        {restartAs: ptr(""), path: "/-/hold", body: poll, wantStatus: http.StatusOK},
		"earlier run number, same ID":   {restartAs: ptr(""), path: "/-/run-start", body: start(1), wantStatus: http.StatusOK, wantRunning: []string{"t"}},
		"late start under the same ID":  {restartAs: ptr(""), late: true, path: "/-/run-start", body: start(2), wantRunning: []string{"t"}},
		"start under another ID":        {restartAs: ptr("other"), path: "/-/run-start", body: start(2), wantStatus: http.StatusMisdirectedRequest},
		"late start under another ID":   {restartAs: ptr("other"), late: true, path: "/-/run-start", body: start(2)},
		"poll held during a restart":    {restartAs: ptr(""), during: true, path: "/-/hold", body: `{"fence":1,"waitMs":2000}`},
		"late poll under the same ID":   {restartAs: ptr(""), late: true, path: "/-/hold", body: poll},
		"poll without a reply, new ID":  {restartAs: ptr("other"), late: true, path: "/-/hold", body: poll},
		"poll under another ID":         {restartAs: ptr("other"), path: "/-/hold", body: poll, wantStatus: http.StatusMisdirectedRequest},
		"stop of a run of earlier life": {restartAs: ptr(""), path: "/-/run-stop", body: `{"task":"t","run":1,"fence":1}`, wantStatus: http.StatusOK},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			recorder := NewRunRecorder()
			w := NewWorker("w", 1000, recorder)
			server := httptest.NewServer(w.Handler())
			defer server.Close()
			if status := callWorker(t, server.URL+"/-/run-start", start(1)); status != http.StatusOK {
				t.Fatalf("first start: status %d", status)
			}
			restart := func() {
				w.Crash()
				if c.restartAs != nil {
					w.Restart(*c.restartAs)
				}
			}
			if c.late {
				w.SetFaults(WorkerFaults{LoseReplyEvery: 1, DelayMS: 150})
			}
			if c.late || c.during {
				time.AfterFunc(50*time.Millisecond, restart)
			} else {
				restart()
			}
			if status := callWorker(t, server.URL+c.path, c.body); status != c.wantStatus {
				t.Errorf("got status %d, want %d", status, c.wantStatus)
			}
			if diff := cmp.Diff(c.wantRunning, w.Running()); diff != "" {
				t.Errorf("running tasks (-want +got):\n%s", diff)
			}
			if overlapping := recorder.Overlapping(); overlapping != nil {
				t.Errorf("got overlapping runs of %v although the first ended in the crash", overlapping)
			}
		})
	}
}

func ptr(s string) *string { return &s }

// callWorker calls the worker with the ID w, and returns the status of its reply or 0 if
// there is none.
func callWorker(t *testing.T, url, body string) int {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, url, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Expect-Instance", "w")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0
	}
	if err := resp.Body.Close(); err != nil {
		t.Fatal(err)
	}
	return resp.StatusCode
}
