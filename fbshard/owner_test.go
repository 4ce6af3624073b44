package fbshard

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/filbertford/filbertford"
	"github.com/filbertford/filbertford/fbsched"
)

// fakeStore applies transactions as the platform's store does.
type fakeStore struct {
	version uint64
	rows    map[filbertford.TableName]map[string]filbertford.Row
	delayed []*filbertford.Transaction // may still be applied
}

func newFakeStore() *fakeStore {
	return &fakeStore{rows: map[filbertford.TableName]map[string]filbertford.Row{
		filbertford.TableClaims: {}, filbertford.TableJobs: {},
	}}
}

func (s *fakeStore) apply(t *filbertford.Transaction) (uint64, error) {
	for _, c := range t.Conditions() {
		if s.rows[c.Table()][c.Key()].Version() != c.Version() {
			return 0, filbertford.ErrConflict
		}
	}
	s.version++
	for _, p := range t.Puts() {
		s.rows[p.Table()][p.Key()] = filbertford.NewRow(p.Key(), p.Value(), s.version)
	}
	for _, r := range t.Removals() {
		delete(s.rows[r.Table()], r.Key())
	}
	return s.version, nil
}

func (s *fakeStore) list(table filbertford.TableName) filbertford.Snapshot {
	var changes []filbertford.Change
	for _, row := range s.rows[table] {
		changes = append(changes, filbertford.NewChange(row))
	}
	return filbertford.NewSnapshot(s.version, 0, changes...)
}

// testHarness drives the owners of one shard, one after the other or at the same
// time.
type testHarness struct {
	now      time.Duration
	store    *fakeStore
	replies  map[uint64]Reply
	started  map[filbertford.JobKey]int
	recorded map[filbertford.TaskKey]bool // reported as recorded; true if done
	lost     map[*Owner]bool
	calls    map[*Owner][]StoreCall
	verified map[*Owner]int

	malformed []RowMalformed
}

func newTestHarness() *testHarness {
	return &testHarness{
		now: time.Minute, store: newFakeStore(), replies: make(map[uint64]Reply), started: make(map[filbertford.JobKey]int),
		recorded: make(map[filbertford.TaskKey]bool), lost: make(map[*Owner]bool), calls: make(map[*Owner][]StoreCall),
		verified: make(map[*Owner]int),
	}
}

// collect takes the actions of an owner and records them.
func (h *testHarness) collect(o *Owner) {
	for _, a := range o.TakeActions() {
		switch v := a.(type) {
		case StoreCall:
			h.calls[o] = append(h.calls[o], v)
		case Reply:
			h.replies[v.RequestID] = v
		case StartJob:
			h.started[v.Workload.Key()]++
		case TaskRecorded:
			h.recorded[v.Task] = h.recorded[v.Task] || v.Progress.Done()
		case ClaimVerified:
			h.verified[o]++
		case ShardLost:
			h.lost[o] = true
		case RowMalformed:
			h.malformed = append(h.malformed, v)
		}
	}
}

// callOutcome is the outcome of a call to the store.
type callOutcome string

const (
	callAnswered    callOutcome = "answered"
	callRefused     callOutcome = "refused"
	callAnswerLost  callOutcome = "applied, answer lost"
	callLost        callOutcome = "lost"
	callAppliedLate callOutcome = "applied later, answer lost"
)

// completeCall completes the oldest call of an owner with the outcome. It returns
// false if there is none.
func (h *testHarness) completeCall(o *Owner, outcome callOutcome) bool {
	if len(h.calls[o]) == 0 {
		return false
	}
	c := h.calls[o][0]
	h.calls[o] = h.calls[o][1:]
	var snap filbertford.Snapshot
	var version uint64
	var err error
	switch {
	case outcome == callRefused:
		err = filbertford.ErrRefused
	case outcome == callLost || outcome == callAppliedLate:
		err = filbertford.ErrUnavailable
		if outcome == callAppliedLate && c.Kind == CallCommit {
			h.store.delayed = append(h.store.delayed, c.Transaction)
		}
	case c.Kind == CallReadClaim, c.Kind == CallVerifyClaim:
		snap = h.store.list(filbertford.TableClaims)
	case c.Kind == CallReadJobs:
		snap = h.store.list(filbertford.TableJobs)
	default:
		version, err = h.store.apply(c.Transaction)
		if outcome == callAnswerLost {
			err = filbertford.ErrUnavailable
		}
	}
	o.HandleResult(h.now, c.Kind, snap, version, err)
	h.collect(o)
	return true
}

// completeAllCalls advances the time and lets the store answer all calls.
func (h *testHarness) completeAllCalls(o *Owner) {
	for range 100 {
		h.now += retryDelay
		o.Tick(h.now)
		h.collect(o)
		for h.completeCall(o, callAnswered) {
		}
	}
}

func testJob(i int) filbertford.Workload {
	step := filbertford.NewStep(2, filbertford.NewResources(1, 1, 0), time.Second)
	return filbertford.NewWorkload(filbertford.JobKey(fmt.Sprintf("%016x", i)), "spec", step)
}

var testRoute = filbertford.NewRoute("h", "/p/", "svc").WithPolicy(0, 2)

// TestOwnerHandlesRequests submits jobs, completes one, cancels the other and
// requests their states.
func TestOwnerHandlesRequests(t *testing.T) {
	h := newTestHarness()
	o := New("jobs/0", "n1", 5)
	h.collect(o)
	o.Submit(1, testRoute, testJob(1))
	o.Submit(2, testRoute, testJob(2))
	h.completeAllCalls(o)
	for r := uint64(1); r <= 2; r++ {
		if !h.replies[r].Accepted {
			t.Errorf("submission %d was not accepted", r)
		}
	}
	if n, ok := o.Waiting("h", "/p/"); n != 2 || !ok {
		t.Errorf("%d jobs wait (known: %t), want 2", n, ok)
	}
	for index := range 2 {
		o.RecordTask(filbertford.NewTaskKey(testJob(1).Key(), 0, 0, index), fbsched.NewProgress(true, 0))
	}
	o.State(3, testJob(1).Key())
	h.collect(o)
	if got := h.replies[3].State; got == StateCompleted {
		t.Error("job is shown as completed before the commit of its outcome")
	}
	h.completeAllCalls(o)
	o.Cancel(4, testJob(2).Key())
	h.completeAllCalls(o)
	o.State(5, testJob(1).Key())
	o.State(6, testJob(2).Key())
	o.State(7, "00000000000000ff")
	h.collect(o)
	for r, want := range map[uint64]State{4: StateCancelled, 5: StateCompleted, 6: StateCancelled, 7: StateRemoved} {
		if got := h.replies[r].State; got != want {
			t.Errorf("request %d: state %q, want %q", r, got, want)
		}
	}
}

// TestReplacedOwnerCommitsNothing checks that a transaction of an earlier owner
// changes nothing once another daemon has claimed the shard.
func TestReplacedOwnerCommitsNothing(t *testing.T) {
	h := newTestHarness()
	first := New("jobs/0", "n1", 5)
	h.collect(first)
	h.completeAllCalls(first)
	second := New("jobs/0", "n2", 6)
	h.collect(second)
	h.completeAllCalls(second)
	first.Submit(1, testRoute, testJob(1))
	h.collect(first)
	h.completeAllCalls(first)
	if _, ok := h.replies[1]; ok || !h.lost[first] {
		t.Errorf("replaced owner sent reply %+v or did not emit ShardLost", h.replies[1])
	}
	if n := len(h.store.rows[filbertford.TableJobs]); n != 0 {
		t.Errorf("%d jobs are stored, want none", n)
	}
}

// TestAcceptedJobsAndRecordedTasksSurviveFaults draws faults of the store and changes
// of the owner. Accepted jobs and tasks reported as recorded must remain stored.
func TestAcceptedJobsAndRecordedTasksSurviveFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		h := newTestHarness()
		fence := uint64(1)
		o := New("jobs/0", "n1", fence)
		h.collect(o)
		submitted := 0
		for range rapid.IntRange(5, 60).Draw(rt, "steps") {
			switch rapid.IntRange(0, 6).Draw(rt, "step") {
			case 0:
				submitted++
				o.Submit(uint64(submitted), testRoute, testJob(submitted))
			case 1:
				if submitted > 0 {
					job := testJob(rapid.IntRange(1, submitted).Draw(rt, "job")).Key()
					if h.started[job] > 0 {
						o.RecordTask(filbertford.NewTaskKey(job, 0, 0, rapid.IntRange(0, 1).Draw(rt, "task")), fbsched.NewProgress(true, 0))
					}
				}
			case 2:
				h.now += retryDelay
				o.Tick(h.now)
			case 3:
				if len(h.store.delayed) > 0 {
					_, _ = h.store.apply(h.store.delayed[0]) // a conflict is expected
					h.store.delayed = h.store.delayed[1:]
				}
			case 4:
				if rapid.IntRange(0, 3).Draw(rt, "rarely") == 0 {
					fence++
					o = New("jobs/0", "n2", fence)
				}
			default:
				h.completeCall(o, rapid.SampledFrom([]callOutcome{callAnswered, callAnswered, callAnswered, callRefused, callAnswerLost, callLost, callAppliedLate}).Draw(rt, "fortune"))
			}
			h.collect(o)
		}
		h.completeAllCalls(o)
		for _, t := range h.store.delayed {
			if _, err := h.store.apply(t); err == nil {
				rt.Fatal("a transaction of unknown outcome was applied after a newer claim was committed")
			}
		}
		fence++
		last := New("jobs/0", "n3", fence)
		h.collect(last)
		h.completeAllCalls(last)
		for r, reply := range h.replies {
			if reply.Accepted && last.jobs[testJob(int(r)).Key()] == nil {
				rt.Fatalf("job %d was accepted but is not stored", r)
			}
		}
		for task, done := range h.recorded {
			if done && !last.jobs[task.Job()].progress(task.Step(), task.Index()).Done() {
				rt.Fatalf("task %v was reported as done but is not stored as done", task)
			}
		}
	})
}

// TestRowRoundTrip encodes and decodes a job, and decodes malformed rows.
func TestRowRoundTrip(t *testing.T) {
	j := newJob(testRoute, testJob(3))
	j.done[0][1] = true
	j.failures["x"], j.failedRuns["x"], j.crashes["x"] = 2, 8, 1
	j.state = StateRunning
	value, err := encodeJob(j)
	if err != nil {
		t.Fatal(err)
	}
	back, err := decodeJob(testJob(3).Key(), value)
	if err != nil {
		t.Fatal(err)
	}
	if back.state != StateRunning || back.done[0][0] || !back.done[0][1] || back.failures["x"] != 2 || back.failedRuns["x"] != 8 || back.crashes["x"] != 1 || back.route.Attempts() != 2 {
		t.Errorf("decoded job %+v differs from the encoded one", back)
	}
	for name, bad := range map[string]string{"not JSON": "{", "no steps": `{"state":"queued"}`, "task out of range": `{"steps":[{"count":1,"done":[4]}]}`} {
		if _, err := decodeJob("00000000000000aa", []byte(bad)); err == nil {
			t.Errorf("%s: decoded without an error", name)
		}
	}
}

// TestVerifyClaimReportsOnlyCurrentOwner checks that an owner reports its claim as
// verified only while it owns the shard: tasks are offered to a pool again after
// that report.
func TestVerifyClaimReportsOnlyCurrentOwner(t *testing.T) {
	for name, c := range map[string]struct {
		outcome  callOutcome
		replaced bool
		verified int
	}{
		"still the owner":           {outcome: callAnswered, verified: 1},
		"answer lost once":          {outcome: callLost, verified: 1},
		"replaced by another owner": {outcome: callAnswered, replaced: true},
	} {
		t.Run(name, func(t *testing.T) {
			h := newTestHarness()
			o := New("jobs/0", "a", 1)
			h.collect(o)
			h.completeAllCalls(o)
			o.Submit(1, testRoute, testJob(1))
			h.collect(o)
			h.completeAllCalls(o)
			if c.replaced {
				other := New("jobs/0", "b", 2)
				h.collect(other)
				h.completeAllCalls(other)
			}
			o.VerifyClaim("nordnes")
			h.collect(o)
			h.completeCall(o, c.outcome)
			h.completeAllCalls(o)
			if h.verified[o] != c.verified || h.lost[o] != c.replaced {
				t.Errorf("verified %d times, lost %v; want %d, %v", h.verified[o], h.lost[o], c.verified, c.replaced)
			}
		})
	}
}
