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

func TestWorkloadRepeatsAndKeepsItsRate(t *testing.T) {
	const load = 80.0
	m, _ := MixByName("depot")
	tests := map[string]bool{"calm": false, "bursts": true}
	for name, bursts := range tests {
		t.Run(name, func(t *testing.T) {
			steady := func(time.Duration) float64 { return load }
			jobs := Workload(m, 7, time.Minute, bursts, steady)
			again := Workload(m, 7, time.Minute, bursts, steady)
			if diff := cmp.Diff(jobs, again, cmp.AllowUnexported(Job{}, Task{})); diff != "" {
				t.Error(diff)
			}
			var halves [2]float64
			for _, j := range jobs {
				halves[int(j.due/(30*time.Second))] += j.work().Seconds() / 30
				if n, k := len(j.tasks), m.kinds[j.kind]; n < k.minTasks || n > k.maxTasks {
					t.Errorf("%s with %d tasks", k.name, n)
				}
			}
			if whole := (halves[0] + halves[1]) / 2; whole < 0.99*load || whole > load {
				t.Errorf("load %.1f, want %g within a hundredth", whole, load)
			}
			if halves[0] < 0.8*load || halves[0] > 1.2*load {
				t.Errorf("load of the first half %.1f, want %g within a fifth", halves[0], load)
			}
		})
	}
}

func TestParseMoment(t *testing.T) {
	tests := map[string]struct {
		want Moment
		ok   bool
	}{
		"10s=fail-all:0.1":       {NewMoment(10*time.Second, ActFailAll, 0.1), true},
		"0s=rate:1.5":            {NewMoment(0, ActRate, 1.5), true},
		"20s=heal":               {NewMoment(20*time.Second, ActHeal, 0), true},
		"5s=platform-slow:200":   {NewMoment(5*time.Second, ActPlatformSlow, 200), true},
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
			got, err := ParseMoment(text)
			if (err == nil) != tt.ok {
				t.Errorf("error %v", err)
			}
			if diff := cmp.Diff(tt.want, got, cmp.AllowUnexported(Moment{})); diff != "" {
				t.Error(diff)
			}
		})
	}
}

func FuzzParseMoment(f *testing.F) {
	f.Add("10s=fail-all:0.1")
	f.Add("1h=heal")
	f.Fuzz(func(t *testing.T, text string) {
		m, err := ParseMoment(text)
		if err != nil {
			return
		}
		again, err := ParseMoment(m.String())
		if err != nil || again != m {
			t.Errorf("%q reads as %v, then as %v, %v", text, m, again, err)
		}
	})
}

func TestStruckSpreadsOverSpeeds(t *testing.T) {
	targets := []target{{id: "a", factor: 1}, {id: "b", factor: 4}, {id: "c", factor: 2}, {id: "d", factor: 3}}
	tests := map[string]struct {
		moment Moment
		want   []string
	}{
		"one":  {NewMoment(0, ActSlow, 0.1), []string{"d"}},
		"half": {NewMoment(0, ActSlow, 0.5), []string{"c", "b"}},
		"heal": {NewMoment(0, ActHeal, 0), []string{"a", "b", "c", "d"}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			var got []string
			for _, x := range struck(tt.moment, targets) {
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
		want    wireStarts
	}{
		"complete":                   {outcome{answer: filbertford.NewComplete(nil)}, 1, wireStarts{Tasks: 1}},
		"doubled":                    {outcome{answer: filbertford.NewComplete(nil)}, 2, wireStarts{Tasks: 2, Doubled: 1}},
		"missing":                    {outcome{answer: filbertford.NewComplete(nil)}, 0, wireStarts{Missing: 1}},
		"not run":                    {outcome{answer: refusal("FB3001")}, 0, wireStarts{}},
		"not run, untrue":            {outcome{answer: refusal("FB3001")}, 1, wireStarts{Tasks: 1, Untrue: 1}},
		"nothing started":            {outcome{answer: refusal("FB4001"), deliveries: 1, ids: 1}, 1, wireStarts{Tasks: 1, Untrue: 1}},
		"nothing by second delivery": {outcome{answer: refusal("FB4001"), deliveries: 2, ids: 1}, 1, wireStarts{Tasks: 1}},
		"unknown":                    {outcome{answer: refusal("FB2004")}, 1, wireStarts{Tasks: 1}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			r := &runner{jobs: []Job{{tasks: make([]Task, 1)}}, outcomes: []outcome{tt.outcome}, logger: log.New(io.Discard)}
			r.works = map[string]int{r.work(0, 0): tt.starts}
			if diff := cmp.Diff(tt.want, r.checkStarts()); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// fakeBench serves a platform with one target that answers probes at once, and
// the counters of one daemon.
func fakeBench(t *testing.T) (platform string, faults *atomic.Int32) {
	faults = new(atomic.Int32)
	var server *httptest.Server
	server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		address := strings.TrimPrefix(server.URL, "http://")
		switch r.URL.Path {
		case "/vms":
			_ = json.NewEncoder(w).Encode(map[string]any{"vms": []wireVM{{ID: "t1", Role: "target", State: "live", Address: address, Slots: 8}}})
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

// refuser refuses every job.
type refuser struct{}

func (refuser) SubmitTraced(context.Context, filbertford.Job) (filbertford.Answer, fbclient.Trace, error) {
	return filbertford.NewRefusal(filbertford.CodeOverloaded, ""), fbclient.Trace{}, nil
}

func TestRunMeasuresRefusalsAndSwitchesFaults(t *testing.T) {
	platform, faults := fakeBench(t)
	m, _ := MixByName("atlas")
	l := NewLoad(m, 5, 500*time.Millisecond, platform, []string{platform}).
		WithMoments(NewMoment(0, ActFailAll, 1), NewMoment(0, ActPlatformDown, 0))
	result, err := l.Run(t.Context(), refuser{}, log.New(io.Discard))
	if err != nil {
		t.Fatal(err)
	}
	if result.Jobs() == 0 || result.Refusals()["FB3001"] != result.Jobs() || result.Accepted() != 0 {
		t.Errorf("%d jobs, refusals %v, %d accepted", result.Jobs(), result.Refusals(), result.Accepted())
	}
	if faults.Load() != 2 {
		t.Errorf("%d faults switched, want 2", faults.Load())
	}
	if !result.Sound() || result.wire.Factors[0] != 2 {
		t.Errorf("sound %v, factors %v", result.Sound(), result.wire.Factors)
	}
}

func TestResultReadsItsOwnJSON(t *testing.T) {
	h := newHistogram()
	recordRatio(h, 3*time.Second, 2*time.Second)
	want := Result{wire: wireResult{Label: "random", OverIdeal: ratios(h), Seconds: []wireSecond{{Jobs: 1}}}}
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
		t.Errorf("mean %v, want 1.5", got.OverIdeal().Mean())
	}
}
