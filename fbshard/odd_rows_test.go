package fbshard

import (
	"math"
	"strings"
	"testing"
	"time"

	"github.com/filbertford/filbertford"
	"github.com/filbertford/filbertford/fbsched"
)

// overwriteJob replaces the row of a job, as another writer does.
func (h *testHarness) overwriteJob(i int, value string) {
	h.store.version++
	key := string(testJob(i).Key())
	h.store.rows[filbertford.TableJobs][key] = filbertford.NewRow(key, []byte(value), h.store.version)
}

// completeCalls lets the store answer up to limit calls in 10 s, and reports whether that were all.
func (h *testHarness) completeCalls(o *Owner, limit int) bool {
	for range 100 {
		h.now += retryDelay
		o.Tick(h.now)
		h.collect(o)
		for h.completeCall(o, callAnswered) {
			if limit--; limit < 0 {
				return false
			}
		}
	}
	return true
}

// oddJobRows are values that no owner writes for a job.
func oddJobRows() map[string]string {
	rows := map[string]string{
		"empty": "", "bytes": "\x00\xff", "null": "null", "list": "[]", "objects": strings.Repeat(`{"a":`, 20_000), "no steps": `{"state":"queued"}`,
	}
	whole := `{"state":"queued","host":"h","prefix":"/p/","service":"svc","priority":0,"attempts":2,"stretch":1,"slack_us":0,"spec":"spec",` +
		`"steps":[{"count":2,"cpu":1,"memory":1,"gpu":0,"estimate_us":1000000,"after":[],"max_per_target":0,"done":[]}],"failures":{},"crashes":{}}`
	const long = 60_000
	numbers := []string{"99999999999999999999", "-1", "1.5", `"5"`, "[5]", strings.Repeat("[", 20_000) + strings.Repeat("]", 20_000)}
	maximum := append(numbers, "9223372036854775807")
	for field, values := range map[string][]string{
		"state": {`""`, `"x"`, `"gone"`, "5", "null"}, "priority": {"99999999999999999999", "1.5", `"5"`}, "attempts": {"99999999999999999999", "1.5", `"5"`},
		"stretch": {"1e400", `"1"`}, "slack_us": {"99999999999999999999", "1e3", `"5"`}, "spec": {"5", `"` + strings.Repeat("x", long) + `"`},
		"count": append(numbers, "0", "null", "5000"), "cpu": maximum, "memory": maximum, "gpu": maximum,
		"estimate_us": append(maximum, "9223372036854775"), "after": {"[0]", "[-1]", "5", `["a"]`}, "max_per_target": append(numbers, "1e3"),
		"done":     {"[2]", "[-1]", "[99999999999999999999]", "5", `["a"]`, "{}"},
		"failures": {"[]", `{"00000000000000aa.0.0.0":"a"}`, `{"00000000000000aa.0.0.0":99999999999999999999}`, "5"}, "crashes": {"[]", "5"},
		"service": {"5", "{}"}, "host": {"5", "[]"}, "prefix": {"5", "{}"}, "steps": {"null", "5", "{}", "[]", "[5]", `"x"`},
	} {
		for _, value := range values {
			rows[field+" "+value[:min(len(value), 30)]] = strings.Replace(whole, `"`+field+`":`, `"`+field+`":`+value+`,"other":`, 1)
		}
	}
	return rows
}

// TestOddJobRowsAreRejected guards against stored jobs that no caller has submitted, with sizes and
// times that overflow.
func TestOddJobRowsAreRejected(t *testing.T) {
	for name, value := range oddJobRows() {
		if j, err := decodeJob("00000000000000aa", []byte(value)); err == nil {
			t.Errorf("%s: accepted in the state %.20q", name, j.state)
		} else if len(err.Error()) > 400 {
			t.Errorf("%s: the error has %d bytes", name, len(err.Error()))
		}
	}
}

// TestOddPoliciesOfJobRowsAreLimited guards against objectives and attempts that overflow. The job
// stays: a caller may have submitted it.
func TestOddPoliciesOfJobRowsAreLimited(t *testing.T) {
	for _, policy := range []string{
		`"priority":9223372036854775807`, `"priority":-1`, `"attempts":0`, `"attempts":9223372036854775807`, `"attempts":-1`, `"stretch":-1`, `"stretch":1e300`,
		`"slack_us":9223372036854775807`, `"slack_us":-9223372036854775808`, `"failures":{"00000000000000aa.0.0.0":-1}`, `"crashes":{"00000000000000aa.0.0.0":-1}`,
	} {
		j, err := decodeJob("00000000000000aa", []byte(`{"state":"queued","steps":[{"count":1,"estimate_us":1000000}],`+policy+`}`))
		if err != nil {
			t.Errorf("%s: %v", policy, err)
			continue
		}
		r, p := j.route, j.progress(0, 0)
		if due := r.Objective(time.Second); due < -200*365*24*time.Hour || due > 200*365*24*time.Hour {
			t.Errorf("%s: the objective is %v", policy, due)
		}
		if r.Priority() < 0 || r.Priority() > math.MaxInt32 || r.Attempts() < 1 || r.Attempts() > math.MaxInt32 || p.Failures() < 0 || p.Crashes() < 0 {
			t.Errorf("%s: priority %d, %d attempts, %d failures, %d crashes", policy, r.Priority(), r.Attempts(), p.Failures(), p.Crashes())
		}
	}
}

// TestOverwrittenRowOfJobDoesNotStopShard guards against a shard that accepts, ends and cancels no jobs
// any more, since another writer has left a row in the place of one of its jobs.
func TestOverwrittenRowOfJobDoesNotStopShard(t *testing.T) {
	h := newTestHarness()
	o := New("jobs/0", "n1", 5)
	h.collect(o)
	o.Submit(1, testRoute, testJob(1))
	o.Submit(2, testRoute, testJob(2))
	h.completeAllCalls(o)
	h.overwriteJob(1, "{")
	for index := range 2 {
		o.RecordTask(filbertford.NewTaskKey(testJob(1).Key(), 0, 0, index), fbsched.NewProgress(true, 0))
	}
	o.Cancel(3, testJob(2).Key())
	o.Submit(4, testRoute, testJob(4))
	if !h.completeCalls(o, 100) {
		t.Fatal("more than 100 calls in 10 s")
	}
	o.State(5, testJob(1).Key())
	h.collect(o)
	if h.replies[3].State != StateCancelled || !h.replies[4].Accepted || h.replies[5].State != StateCompleted {
		t.Errorf("replies are %+v", h.replies)
	}
	row := h.store.rows[filbertford.TableJobs][string(testJob(1).Key())]
	if j, err := decodeJob(testJob(1).Key(), row.Value()); err != nil || j.state != StateCompleted {
		t.Errorf("the row of the job is %q, error %v", row.Value(), err)
	}
}

// TestSubmissionOverOddRowDoesNotStopShard guards against a shard that accepts no jobs any more, since
// a job is submitted whose row can't be decoded. The row may be that of the same job, so it stays.
func TestSubmissionOverOddRowDoesNotStopShard(t *testing.T) {
	h := newTestHarness()
	h.overwriteJob(1, "{")
	o := New("jobs/0", "n1", 5)
	h.completeAllCalls(o)
	o.Submit(1, testRoute, testJob(1))
	o.Submit(2, testRoute, testJob(2))
	if !h.completeCalls(o, 100) {
		t.Fatal("more than 100 calls in 10 s")
	}
	o.Submit(3, testRoute, testJob(1))
	o.Submit(4, testRoute, testJob(4))
	if !h.completeCalls(o, 100) {
		t.Fatal("more than 100 calls in 10 s after the second submission")
	}
	if h.replies[1].Accepted || h.replies[3].Accepted || !h.replies[2].Accepted || !h.replies[4].Accepted || h.started[testJob(1).Key()] != 0 {
		t.Errorf("replies are %+v, started %v", h.replies, h.started)
	}
	if row := h.store.rows[filbertford.TableJobs][string(testJob(1).Key())]; string(row.Value()) != "{" {
		t.Errorf("the row that can't be decoded is now %q", row.Value())
	}
	o.State(5, testJob(1).Key())
	h.completeCalls(o, 100)
	h.now += time.Minute
	o.Tick(h.now)
	h.collect(o)
	if len(o.requests) > 0 {
		t.Errorf("%d requests are kept", len(o.requests))
	}
}

// TestOddClaimsAreReadRarely guards against an owner that reads a claim of another writer again and
// again, without a pause, or that panics at it.
func TestOddClaimsAreReadRarely(t *testing.T) {
	for name, tt := range map[string]struct {
		claim  string
		serves bool
	}{
		"empty": {}, "bytes": {claim: "\x00\xff"}, "list": {claim: "[]"}, "nested": {claim: strings.Repeat("[", 20_000) + strings.Repeat("]", 20_000)},
		"objects": {claim: strings.Repeat(`{"a":`, 20_000)}, "text": {claim: `{"node":"n1","fence":"3"}`}, "negative": {claim: `{"node":"n1","fence":-1}`},
		"too large": {claim: `{"node":"n1","fence":99999999999999999999}`}, "fraction": {claim: `{"node":"n1","fence":1.5}`},
		"digits": {claim: `{"node":"n1","fence":` + strings.Repeat("9", 50_000) + `}`}, "exponent": {claim: `{"node":"n1","fence":1e3}`},
		"number as a name": {claim: `{"node":5,"fence":3}`}, "maximum": {claim: `{"node":"n1","fence":18446744073709551615}`},
		"null": {claim: "null", serves: true}, "no fence": {claim: `{"node":"n1"}`, serves: true}, "long name": {claim: `{"node":"` + strings.Repeat("x", 60_000) + `","fence":3}`, serves: true},
	} {
		h := newTestHarness()
		h.store.version++
		h.store.rows[filbertford.TableClaims][claimKey] = filbertford.NewRow(claimKey, []byte(tt.claim), h.store.version)
		o := New("jobs/0", "n2", 5)
		h.collect(o)
		o.Submit(1, testRoute, testJob(1))
		if !h.completeCalls(o, 10) {
			t.Errorf("%s: more than 10 calls in 10 s", name)
		}
		for _, m := range h.malformed {
			if len(m.Cause.Error()) > 300 {
				t.Errorf("%s: the error has %d bytes", name, len(m.Cause.Error()))
			}
		}
		if h.replies[1].Accepted != tt.serves {
			t.Errorf("%s: accepted %v, want %v, phase %q", name, h.replies[1].Accepted, tt.serves, o.phase)
		}
	}
}
