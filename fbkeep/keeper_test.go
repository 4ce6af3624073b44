package fbkeep

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/filbertford/filbertford"
)

// fakeStore applies transactions as the platform's store does.
type fakeStore struct {
	version uint64
	rows    map[filbertford.TableName]map[string]filbertford.Row
	late    []*filbertford.Transaction // may yet be applied
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

// keeperWorld drives keepers of one shard, one after the other or at once.
type keeperWorld struct {
	now      time.Duration
	store    *fakeStore
	replies  map[uint64]Reply
	begun    map[filbertford.JobKey]int
	finished map[filbertford.TaskKey]bool // confirmed ends
	lost     map[*Keeper]bool
	calls    map[*Keeper][]Call
	verified map[*Keeper]int
}

func newKeeperWorld() *keeperWorld {
	return &keeperWorld{
		now: time.Minute, store: newFakeStore(), replies: make(map[uint64]Reply), begun: make(map[filbertford.JobKey]int),
		finished: make(map[filbertford.TaskKey]bool), lost: make(map[*Keeper]bool), calls: make(map[*Keeper][]Call),
		verified: make(map[*Keeper]int),
	}
}

// collect takes a keeper's actions in.
func (w *keeperWorld) collect(k *Keeper) {
	for _, a := range k.TakeActions() {
		switch v := a.(type) {
		case Call:
			w.calls[k] = append(w.calls[k], v)
		case Reply:
			w.replies[v.Number] = v
		case Begin:
			w.begun[v.Workload.Key()]++
		case Confirmed:
			w.finished[v.Task] = w.finished[v.Task] || v.Progress.Done()
		case Verified:
			w.verified[k]++
		case Lost:
			w.lost[k] = true
		}
	}
}

// fortune is what becomes of a call.
type fortune string

const (
	answered  fortune = "answered"
	refused   fortune = "refused"
	unheard   fortune = "applied, answer lost"
	neverDone fortune = "lost"
	muchLater fortune = "applied later, answer lost"
)

// carry carries out a keeper's oldest call.
func (w *keeperWorld) carry(k *Keeper, f fortune) bool {
	if len(w.calls[k]) == 0 {
		return false
	}
	c := w.calls[k][0]
	w.calls[k] = w.calls[k][1:]
	var snap filbertford.Snapshot
	var version uint64
	var err error
	switch {
	case f == refused:
		err = filbertford.ErrRefused
	case f == neverDone || f == muchLater:
		err = filbertford.ErrUnavailable
		if f == muchLater && c.Kind == CallCommit {
			w.store.late = append(w.store.late, c.Transaction)
		}
	case c.Kind == CallReadClaim, c.Kind == CallVerifyClaim:
		snap = w.store.list(filbertford.TableClaims)
	case c.Kind == CallReadJobs:
		snap = w.store.list(filbertford.TableJobs)
	default:
		version, err = w.store.apply(c.Transaction)
		if f == unheard {
			err = filbertford.ErrUnavailable
		}
	}
	k.Called(w.now, c.Kind, snap, version, err)
	w.collect(k)
	return true
}

// settle lets all calls be answered.
func (w *keeperWorld) settle(k *Keeper) {
	for range 100 {
		w.now += retryPause
		k.Tick(w.now)
		w.collect(k)
		for w.carry(k, answered) {
		}
	}
}

func testJob(i int) filbertford.Workload {
	step := filbertford.NewStep(2, filbertford.NewDemand(1, 1, 0), time.Second)
	return filbertford.NewWorkload(filbertford.JobKey(fmt.Sprintf("%016x", i)), "spec", step)
}

var testRoute = filbertford.NewRoute("h", "/p/", "svc").WithPolicy(0, 2)

// TestKeeperServes accepts, runs, completes and cancels jobs.
func TestKeeperServes(t *testing.T) {
	w := newKeeperWorld()
	k := New("jobs/0", "n1", 5)
	w.collect(k)
	k.Submit(1, testRoute, testJob(1))
	k.Submit(2, testRoute, testJob(2))
	w.settle(k)
	for r := uint64(1); r <= 2; r++ {
		if !w.replies[r].Accepted {
			t.Errorf("request %d was not accepted", r)
		}
	}
	if k.Waiting("h", "/p/") != 2 {
		t.Errorf("%d jobs wait", k.Waiting("h", "/p/"))
	}
	for index := range 2 {
		k.Record(filbertford.NewTaskKey(testJob(1).Key(), 0, 0, index), true, 0)
	}
	k.State(3, testJob(1).Key())
	w.collect(k)
	if got := w.replies[3].State; got == StateCompleted {
		t.Error("shown as completed before the end was stored")
	}
	w.settle(k)
	k.Cancel(4, testJob(2).Key())
	w.settle(k)
	k.State(5, testJob(1).Key())
	k.State(6, testJob(2).Key())
	k.State(7, "00000000000000ff")
	w.collect(k)
	for r, want := range map[uint64]State{4: StateCancelled, 5: StateCompleted, 6: StateCancelled, 7: StateGone} {
		if got := w.replies[r].State; got != want {
			t.Errorf("request %d: %q, want %q", r, got, want)
		}
	}
}

// TestNewerKeeperWins: an earlier keeper's transaction changes nothing once
// another has claimed the shard.
func TestNewerKeeperWins(t *testing.T) {
	w := newKeeperWorld()
	first := New("jobs/0", "n1", 5)
	w.collect(first)
	w.settle(first)
	second := New("jobs/0", "n2", 6)
	w.collect(second)
	w.settle(second)
	first.Submit(1, testRoute, testJob(1))
	w.collect(first)
	w.settle(first)
	if _, ok := w.replies[1]; ok || !w.lost[first] {
		t.Errorf("the earlier keeper answered %+v", w.replies[1])
	}
	if n := len(w.store.rows[filbertford.TableJobs]); n != 0 {
		t.Errorf("%d jobs are stored", n)
	}
}

// TestKeepersLoseNothing draws faults of the store and changes of keepers: what
// was accepted stays, and confirmed ends are stored.
func TestKeepersLoseNothing(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		w := newKeeperWorld()
		fence := uint64(1)
		k := New("jobs/0", "n1", fence)
		w.collect(k)
		submitted := 0
		for range rapid.IntRange(5, 60).Draw(rt, "steps") {
			switch rapid.IntRange(0, 6).Draw(rt, "step") {
			case 0:
				submitted++
				k.Submit(uint64(submitted), testRoute, testJob(submitted))
			case 1:
				if submitted > 0 {
					job := testJob(rapid.IntRange(1, submitted).Draw(rt, "job")).Key()
					if w.begun[job] > 0 {
						k.Record(filbertford.NewTaskKey(job, 0, 0, rapid.IntRange(0, 1).Draw(rt, "task")), true, 0)
					}
				}
			case 2:
				w.now += retryPause
				k.Tick(w.now)
			case 3:
				if len(w.store.late) > 0 {
					_, _ = w.store.apply(w.store.late[0]) // a conflict is what should happen
					w.store.late = w.store.late[1:]
				}
			case 4:
				if rapid.IntRange(0, 3).Draw(rt, "rarely") == 0 {
					fence++
					k = New("jobs/0", "n2", fence)
				}
			default:
				w.carry(k, rapid.SampledFrom([]fortune{answered, answered, answered, refused, unheard, neverDone, muchLater}).Draw(rt, "fortune"))
			}
			w.collect(k)
		}
		w.settle(k)
		for _, t := range w.store.late {
			if _, err := w.store.apply(t); err == nil {
				rt.Fatal("a transaction of unknown outcome was applied after it had been resolved")
			}
		}
		fence++
		last := New("jobs/0", "n3", fence)
		w.collect(last)
		w.settle(last)
		for r, reply := range w.replies {
			if reply.Accepted && last.jobs[testJob(int(r)).Key()] == nil {
				rt.Fatalf("job %d was accepted and is lost", r)
			}
		}
		for task, done := range w.finished {
			if done && !last.jobs[task.Job()].progress(task.Step(), task.Index()).Done() {
				rt.Fatalf("the end of %v was confirmed and is lost", task)
			}
		}
	})
}

// TestRowRoundTrip encodes a job and reads it back.
func TestRowRoundTrip(t *testing.T) {
	j := newJob(testRoute, testJob(3))
	j.done[0][1] = true
	j.failures["x"] = 2
	j.state = StateRunning
	value, err := encodeJob(j)
	if err != nil {
		t.Fatal(err)
	}
	back, err := decodeJob(testJob(3).Key(), value)
	if err != nil {
		t.Fatal(err)
	}
	if back.state != StateRunning || back.done[0][0] || !back.done[0][1] || back.failures["x"] != 2 || back.route.Attempts() != 2 {
		t.Errorf("job %+v", back)
	}
	for name, bad := range map[string]string{"not JSON": "{", "no steps": `{"state":"queued"}`, "task beyond": `{"steps":[{"count":1,"done":[4]}]}`} {
		if _, err := decodeJob("00000000000000aa", []byte(bad)); err == nil {
			t.Errorf("%s: no error", name)
		}
	}
}

// TestVerify: a keeper offers tasks to a pool again only after it has seen that it
// still has the shard.
func TestVerify(t *testing.T) {
	for name, c := range map[string]struct {
		fortune  fortune
		newer    bool
		verified int
	}{
		"still the keeper":     {fortune: answered, verified: 1},
		"answer lost once":     {fortune: neverDone, verified: 1},
		"another keeper since": {fortune: answered, newer: true},
	} {
		t.Run(name, func(t *testing.T) {
			w := newKeeperWorld()
			k := New("jobs/0", "a", 1)
			w.collect(k)
			w.settle(k)
			k.Submit(1, testRoute, testJob(1))
			w.collect(k)
			w.settle(k)
			if c.newer {
				other := New("jobs/0", "b", 2)
				w.collect(other)
				w.settle(other)
			}
			k.Verify("nordnes")
			w.collect(k)
			w.carry(k, c.fortune)
			w.settle(k)
			if w.verified[k] != c.verified || w.lost[k] != c.newer {
				t.Errorf("verified %d times, lost %v; want %d, %v", w.verified[k], w.lost[k], c.verified, c.newer)
			}
		})
	}
}
