package fbapi_test

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/google/go-cmp/cmp"

	"github.com/filbertford/filbertford"
	"github.com/filbertford/filbertford/fbapi"
)

// fakeDispatcher completes every job with each task's arguments as its output.
type fakeDispatcher struct {
	token  string
	panics bool
}

func (f fakeDispatcher) Submit(_ context.Context, d filbertford.Delivery) filbertford.Answer {
	if f.panics {
		panic("dispatcher failed")
	}
	results := make([]filbertford.Result, len(d.Job().Tasks()))
	for i, t := range d.Job().Tasks() {
		results[i] = filbertford.NewResult(t.Args(), "t1")
	}
	return filbertford.NewComplete(results)
}

func (fakeDispatcher) Cancel(context.Context, filbertford.SubmissionID, string) filbertford.Answer {
	return filbertford.NewRefusal(filbertford.CodeCancelled, "")
}

func (fakeDispatcher) Status(context.Context, filbertford.SubmissionID, string) filbertford.SubmissionStatus {
	return filbertford.NewSubmissionStatus(filbertford.StateRunning, filbertford.Answer{})
}

func (f fakeDispatcher) Token() string                  { return f.token }
func (fakeDispatcher) Ready() bool                      { return true }
func (fakeDispatcher) Authenticate(team, _ string) bool { return team != "locked" }
func (fakeDispatcher) TeamOf(string) (string, bool)     { return "", true }

func startServer(t testing.TB, d fbapi.Dispatcher) string {
	t.Helper()
	limits := fbapi.Limits{MaxBody: 1 << 20, MaxHeader: 16 << 10, ReadTimeout: 10 * time.Second, IdleTimeout: time.Minute}
	s := httptest.NewServer(fbapi.NewServer(d, limits, log.New(io.Discard)).Handler)
	t.Cleanup(s.Close)
	return s.URL
}

// reply is the part of an answer that the tests check.
type reply struct {
	Status int    `json:"-"`
	ID     string `json:"id"`
	Code   string `json:"code"`
	Class  string `json:"class"`
}

func request(t *testing.T, method, url, id, body string) reply {
	t.Helper()
	req, err := http.NewRequest(method, url, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	if id != "" {
		req.Header.Set(fbapi.HeaderID, id)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	out := reply{Status: resp.StatusCode}
	if err := json.NewDecoder(resp.Body).Decode(&out); err != nil {
		t.Fatalf("%s: %v", resp.Status, err)
	}
	return out
}

func TestSubmit(t *testing.T) {
	token := filbertford.NewToken(7, 0, "nordnes", "127.0.0.1:1").String()
	const job = `{"team": "depot", "service": "ordering", "tasks": [{"args": {"a": 1}, "size_ms": 5}]}`
	tests := map[string]struct {
		d    fakeDispatcher
		id   string
		body string
		want reply
	}{
		"complete":                 {id: "k", body: job, want: reply{200, "k", "FB1000", "complete"}},
		"no ID and no token":       {body: job, want: reply{503, "", "FB4012", "delivery-started-nothing"}},
		"malformed ID":             {id: "fb1.x", body: job, want: reply{400, "", "FB4001", "delivery-started-nothing"}},
		"not JSON":                 {id: "k", body: `{"team"`, want: reply{400, "k", "FB4001", "delivery-started-nothing"}},
		"not a job":                {id: "k", body: `[1]`, want: reply{400, "k", "FB4001", "delivery-started-nothing"}},
		"unknown field":            {id: "k", body: `{"teams": "x"}`, want: reply{400, "k", "FB4001", "delivery-started-nothing"}},
		"two jobs":                 {id: "k", body: job + job, want: reply{400, "k", "FB4001", "delivery-started-nothing"}},
		"invalid UTF-8":            {id: "k", body: "{\"team\": \"\xff\"}", want: reply{400, "k", "FB4001", "delivery-started-nothing"}},
		"negative timeout":         {id: "k", body: `{"timeout_ms": -1}`, want: reply{400, "k", "FB4001", "delivery-started-nothing"}},
		"timeout of a year":        {id: "k", body: `{"timeout_ms": 31536000000}`, want: reply{400, "k", "FB4001", "delivery-started-nothing"}},
		"negative size":            {id: "k", body: `{"tasks": [{"size_ms": -5}]}`, want: reply{400, "k", "FB4001", "delivery-started-nothing"}},
		"10,000 tasks":             {id: "k", body: `{"tasks": [` + strings.Repeat("{},", 9999) + `{}]}`, want: reply{413, "k", "FB4003", "delivery-started-nothing"}},
		"10 MB":                    {id: "k", body: `{"team": "` + strings.Repeat("x", 10<<20), want: reply{413, "k", "FB4003", "delivery-started-nothing"}},
		"long team":                {id: "k", body: `{"team": "` + strings.Repeat("x", 100) + `"}`, want: reply{400, "k", "FB4001", "delivery-started-nothing"}},
		"deep nesting":             {id: "k", body: strings.Repeat("[", 100_000), want: reply{400, "k", "FB4001", "delivery-started-nothing"}},
		"invalid key for the team": {id: "k", body: `{"team": "locked"}`, want: reply{401, "k", "FB4010", "delivery-started-nothing"}},
		"panic in the dispatcher":  {d: fakeDispatcher{panics: true}, id: "k", body: job, want: reply{502, "k", "FB2004", "failed"}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			got := request(t, http.MethodPost, startServer(t, tt.d)+"/v1/jobs", tt.id, tt.body)
			if diff := cmp.Diff(tt.want, got); diff != "" {
				t.Errorf("-want +got:\n%s", diff)
			}
		})
	}
	got := request(t, http.MethodPost, startServer(t, fakeDispatcher{token: token})+"/v1/jobs", "", job)
	if got.Code != "FB1000" || !strings.HasPrefix(got.ID, token+".") {
		t.Errorf("job without an ID: got answer %+v, want code FB1000 and an ID of the daemon's token", got)
	}
}

func TestRequestsOtherThanSubmit(t *testing.T) {
	url := startServer(t, fakeDispatcher{})
	tests := map[string]struct {
		method, path string
		status       int
		code         string
	}{
		"cancel":       {http.MethodDelete, "/v1/jobs/k", 409, "FB2003"},
		"status":       {http.MethodGet, "/v1/jobs/k", 200, ""},
		"malformed ID": {http.MethodGet, "/v1/jobs/fb1.x", 400, "FB4001"},
		"no token":     {http.MethodGet, "/v1/token", 503, "FB4012"},
		"no such path": {http.MethodGet, "/v2/jobs", 404, "FB4011"},
		"wrong method": {http.MethodPut, "/v1/jobs", 400, "FB4001"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			got := request(t, tt.method, url+tt.path, "", "")
			if got.Status != tt.status || got.Code != tt.code {
				t.Errorf("got %d %s, want %d %s", got.Status, got.Code, tt.status, tt.code)
			}
		})
	}
}

// FuzzSubmit checks that the answer to any body has a known code.
func FuzzSubmit(f *testing.F) {
	limits := fbapi.Limits{MaxBody: 1 << 16, MaxHeader: 1 << 14}
	h := fbapi.NewServer(fakeDispatcher{}, limits, log.New(io.Discard)).Handler
	f.Add([]byte(`{"team": "depot", "tasks": [{"args": 1}]}`))
	f.Add([]byte(`{"tasks": [{"args": "\ud800"}]}`))
	f.Add([]byte("\xff"))
	f.Fuzz(func(t *testing.T, body []byte) {
		req := httptest.NewRequest(http.MethodPost, "/v1/jobs", strings.NewReader(string(body)))
		req.Header.Set(fbapi.HeaderID, "k")
		w := httptest.NewRecorder()
		h.ServeHTTP(w, req)
		var out reply
		if err := json.Unmarshal(w.Body.Bytes(), &out); err != nil {
			t.Fatalf("%d %q: %v", w.Code, w.Body, err)
		}
		if _, ok := filbertford.Codes()[filbertford.Code(out.Code)]; !ok {
			t.Errorf("got unknown code %q", out.Code)
		}
	})
}
