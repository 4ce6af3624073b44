package fbload

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"github.com/filbertford/filbertford"
	"github.com/filbertford/filbertford/fbclient"
)

func TestGenerateJobsIsReproducibleAndMeetsLoad(t *testing.T) {
	const load = 80.0
	m, _ := MixByName("depot")
	tests := map[string]bool{"calm": false, "bursts": true}
	for name, bursts := range tests {
		t.Run(name, func(t *testing.T) {
			steady := func(time.Duration) float64 { return load }
			jobs := GenerateJobs(m, 7, time.Minute, bursts, steady)
			again := GenerateJobs(m, 7, time.Minute, bursts, steady)
			if diff := cmp.Diff(jobs, again, cmp.AllowUnexported(Job{}, Task{})); diff != "" {
				t.Error(diff)
			}
			var halves [2]float64
			for _, j := range jobs {
				halves[int(j.due/(30*time.Second))] += j.work().Seconds() / 30
				if n, k := len(j.tasks), m.kinds[j.kind]; n < k.minTasks || n > k.maxTasks {
					t.Errorf("job of kind %s has %d tasks, want a number in the kind's range", k.name, n)
				}
			}
			if mean := (halves[0] + halves[1]) / 2; mean < 0.99*load || mean > load {
				t.Errorf("mean load %.1f, want %g to within 1 percent", mean, load)
			}
			if halves[0] < 0.8*load || halves[0] > 1.2*load {
				t.Errorf("load of the first half %.1f, want %g to within 20 percent", halves[0], load)
			}
		})
	}
}

func TestParseScheduledAction(t *testing.T) {
	tests := map[string]struct {
		want ScheduledAction
		ok   bool
	}{
		"10s=fail-all:0.1":       {NewScheduledAction(10*time.Second, ActionFailAll, 0.1), true},
		"0s=rate:1.5":            {NewScheduledAction(0, ActionRate, 1.5), true},
		"20s=heal":               {NewScheduledAction(20*time.Second, ActionHeal, 0), true},
		"5s=platform-slow:200":   {NewScheduledAction(5*time.Second, ActionPlatformSlow, 200), true},
		"10s=fail-all":           {},
		"10s=fail-all:1.5":       {},
		"10s=rate:NaN":           {},
		"10s=explode":            {},
		"-1s=heal":               {},
		"heal":                   {},
		"10s=platform-down:what": {},
	}
	for text, tt := range tests {
		t.Run(text, func(t *testing.T) {
			got, err := ParseScheduledAction(text)
			if (err == nil) != tt.ok {
				t.Errorf("ParseScheduledAction returned error %v, want one only for invalid text", err)
			}
			if diff := cmp.Diff(tt.want, got, cmp.AllowUnexported(ScheduledAction{})); diff != "" {
				t.Error(diff)
			}
		})
	}
}

func FuzzParseScheduledAction(f *testing.F) {
	f.Add("10s=fail-all:0.1")
	f.Add("1h=heal")
	f.Fuzz(func(t *testing.T, text string) {
		a, err := ParseScheduledAction(text)
		if err != nil {
			return
		}
		again, err := ParseScheduledAction(a.String())
		if err != nil || again != a {
			t.Errorf("%q parses as %v, whose text parses as %v, %v", text, a, again, err)
		}
	})
}

func TestAffectedTargetsSpanRunTimeFactors(t *testing.T) {
	targets := []target{{id: "a", factor: 1}, {id: "b", factor: 4}, {id: "c", factor: 2}, {id: "d", factor: 3}}
	tests := map[string]struct {
		action ScheduledAction
		want   []string
	}{
		"one":  {NewScheduledAction(0, ActionSlow, 0.1), []string{"d"}},
		"half": {NewScheduledAction(0, ActionSlow, 0.5), []string{"c", "b"}},
		"heal": {NewScheduledAction(0, ActionHeal, 0), []string{"a", "b", "c", "d"}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			var got []string
			for _, x := range affectedTargets(tt.action, targets) {
				got = append(got, x.id)
			}
			if diff := cmp.Diff(tt.want, got); diff != "" {
				t.Error(diff)
			}
		})
	}
}

func TestCheckStarts(t *testing.T) {
	refusal := func(code filbertford.Code) filbertford.Answer { return filbertford.NewRefusal(code, "") }
	tests := map[string]struct {
		outcome outcome
		starts  int
		want    startsJSON
	}{
		"complete":                       {outcome{answer: filbertford.NewComplete(nil)}, 1, startsJSON{Tasks: 1}},
		"doubled":                        {outcome{answer: filbertford.NewComplete(nil)}, 2, startsJSON{Tasks: 2, StartedTwice: 1}},
		"missing":                        {outcome{answer: filbertford.NewComplete(nil)}, 0, startsJSON{MissingOfComplete: 1}},
		"not run":                        {outcome{answer: refusal("FB3001")}, 0, startsJSON{}},
		"not run, but started":           {outcome{answer: refusal("FB3001")}, 1, startsJSON{Tasks: 1, StartedThoughNotRun: 1}},
		"not started, but started":       {outcome{answer: refusal("FB4001"), deliveries: 1, ids: 1}, 1, startsJSON{Tasks: 1, StartedThoughNotRun: 1}},
		"not started by second delivery": {outcome{answer: refusal("FB4001"), deliveries: 2, ids: 1}, 1, startsJSON{Tasks: 1}},
		"unknown":                        {outcome{answer: refusal("FB2004")}, 1, startsJSON{Tasks: 1}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			r := &runner{jobs: []Job{{tasks: make([]Task, 1)}}, outcomes: []outcome{tt.outcome}, logger: log.New(io.Discard)}
			r.startsByWork = map[string]int{r.workID(0, 0): tt.starts}
			if diff := cmp.Diff(tt.want, r.checkStarts()); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// newFakeSystem serves a platform with one target that answers probes immediately, and
// the counters of one daemon. It returns the URL of all three and the number of
// requests that set faults.
func newFakeSystem(t *testing.T) (platform string, faults *atomic.Int32) {
	faults = new(atomic.Int32)
	var server *httptest.Server
	server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		address := strings.TrimPrefix(server.URL, "http://")
		switch r.URL.Path {
		case "/vms":
			_ = json.NewEncoder(w).Encode(map[string]any{"vms": []vmJSON{{ID: "t1", Role: "target", State: "live", Address: address, Slots: 8}}})
		case "/v1/start":
			_, _ = io.WriteString(w, `{"status":"done","ran_us":160100}`)
		case "/counters":
			_, _ = io.WriteString(w, `{"starts":5,"refusals":1}`)
		case "/metrics.json":
			_, _ = io.WriteString(w, `{"forwards":3,"uptime":"long"}`)
		case "/faults/target", "/faults/platform":
			faults.Add(1)
		default:
			t.Errorf("unexpected request for %s", r.URL.Path)
		}
	}))
	t.Cleanup(server.Close)
	return server.URL, faults
}

// refusingSubmitter is a Submitter that refuses every job.
type refusingSubmitter struct{}

func (refusingSubmitter) SubmitTraced(context.Context, filbertford.Job) (filbertford.Answer, fbclient.Trace, error) {
	return filbertford.NewRefusal(filbertford.CodeOverloaded, ""), fbclient.Trace{}, nil
}

func TestRunCountsRefusalsAndInjectsFaults(t *testing.T) {
	platform, faults := newFakeSystem(t)
	m, _ := MixByName("atlas")
	l := NewLoad(m, 5, 500*time.Millisecond, platform, []string{platform}).
		WithActions(NewScheduledAction(0, ActionFailAll, 1), NewScheduledAction(0, ActionPlatformDown, 0))
	result, err := l.Run(t.Context(), refusingSubmitter{}, log.New(io.Discard))
	if err != nil {
		t.Fatal(err)
	}
	if result.Jobs() == 0 || result.Refusals()["FB3001"] != result.Jobs() || result.Accepted() != 0 {
		t.Errorf("got %d jobs, refusals %v, %d accepted, want all jobs refused with FB3001", result.Jobs(), result.Refusals(), result.Accepted())
	}
	if faults.Load() != 2 {
		t.Errorf("got %d requests that set faults, want 2", faults.Load())
	}
	if !result.Consistent() || result.data.Factors[0] != 2 {
		t.Errorf("got consistent %v and factors %v, want true and a factor of 2", result.Consistent(), result.data.Factors)
	}
}

func TestResultJSONRoundTrip(t *testing.T) {
	h := newHistogram()
	recordRatio(h, 3*time.Second, 2*time.Second)
	want := Result{data: resultJSON{Label: "random", OverIdeal: summariseRatios(h), Seconds: []secondJSON{{Jobs: 1}}}}
	b, err := json.Marshal(want)
	if err != nil {
		t.Fatal(err)
	}
	var got Result
	if err := json.Unmarshal(b, &got); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(want, got, cmp.AllowUnexported(Result{}), cmpopts.EquateEmpty()); diff != "" {
		t.Error(diff)
	}
	if got.OverIdeal().Mean() != 1.5 {
		t.Errorf("mean ratio %v, want 1.5", got.OverIdeal().Mean())
	}
}
