package main

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/filbertford/filbertford"
)

// processes waits for the processes that the tests started.
var processes errgroup.Group

// newJob returns a job of tasks that each run for runMS milliseconds and output
// their name. The targets count the starts of each name.
func newJob(name string, tasks, runMS int) filbertford.Job {
	list := make([]filbertford.Task, tasks)
	for i := range list {
		args := fmt.Sprintf(`{"run_ms": %d, "echo": "%s#%d", "work": "%s#%d"}`, runMS, name, i, name, i)
		list[i] = filbertford.NewTask([]byte(args), time.Duration(runMS)*time.Millisecond)
	}
	return filbertford.NewJob("depot", "ordering", list...).WithTimeout(20 * time.Second)
}

// checkResults fails the test unless the answer is complete and holds the results
// of the named job.
func checkResults(t testing.TB, name string, tasks int, a filbertford.Answer) {
	t.Helper()
	if a.Code() != filbertford.CodeComplete || len(a.Results()) != tasks {
		t.Errorf("%s: got %s %s with %d results, want a complete answer", name, a.Code(), a.Detail(), len(a.Results()))
		return
	}
	for i, r := range a.Results() {
		var out struct {
			Echo string `json:"echo"`
		}
		if err := json.Unmarshal(r.Output(), &out); err != nil || out.Echo != fmt.Sprintf("%s#%d", name, i) {
			t.Errorf("%s: result %d is %s, want the name of the task", name, i, r.Output())
		}
	}
}

// TestConcurrentJobsThroughAllDaemons submits 1,000 concurrent jobs through four
// daemons of two data centres. Each job must get a complete answer with its own
// results, and each task must be started once.
func TestConcurrentJobsThroughAllDaemons(t *testing.T) {
	const jobs, tasks = 1000, 3
	f := newFleet(t, 8, "nordnes", "nordnes", "sandviken", "sandviken")
	for i := range 4 {
		f.awaitPeers(i, 3)
	}
	c := f.client(0, 1, 2, 3)
	var g errgroup.Group
	for i := range jobs {
		g.Go(func() error {
			name := fmt.Sprintf("job-%d", i)
			a, err := c.Submit(t.Context(), newJob(name, tasks, 5))
			if err != nil {
				return fmt.Errorf("%s: %w", name, err)
			}
			checkResults(t, name, tasks, a)
			return nil
		})
	}
	if err := g.Wait(); err != nil {
		t.Error(err)
	}
	f.checkStartedOnce()
	if n := len(f.totalCounters().StartsByWork); n != jobs*tasks {
		t.Errorf("%d tasks were started, want %d", n, jobs*tasks)
	}
}

// TestEachDaemonAnswersEachID delivers an ID of each daemon through every daemon.
// The answer must be the same each time, and each task must be started once.
func TestEachDaemonAnswersEachID(t *testing.T) {
	f := newFleet(t, 4, "nordnes", "nordnes", "sandviken")
	for i := range 3 {
		f.awaitPeers(i, 2)
	}
	for owner := range 3 {
		id := f.mintID(owner, "x")
		for via := range 3 {
			name := fmt.Sprintf("owner-%d", owner)
			a, _, err := f.client(via).SubmitAs(t.Context(), id, newJob(name, 2, 5))
			if err != nil {
				t.Fatal(err)
			}
			checkResults(t, name, 2, a)
		}
	}
	f.checkStartedOnce()
}

// mintID returns an ID from a daemon's own token.
func (f *fleet) mintID(i int, unique string) filbertford.SubmissionID {
	f.t.Helper()
	var reply struct {
		Token string `json:"token"`
	}
	if err := f.getJSON(daemonPort+3*i, "/v1/token", &reply); err != nil {
		f.t.Fatal(err)
	}
	id, err := filbertford.ParseID(reply.Token + "." + unique)
	if err != nil {
		f.t.Fatal(err)
	}
	return id
}

func submitAndCheck(t testing.TB, f *fleet, daemon int, name string) {
	t.Helper()
	a, err := f.client(daemon).Submit(t.Context(), newJob(name, 3, 5))
	if err != nil {
		t.Error(err)
	}
	checkResults(t, name, 3, a)
}

// TestTasksSpillToIdleDataCentre submits more tasks to one data centre than it has
// slots while another is idle. With the setting spill, some tasks must run in the
// other data centre, and each must be started once.
func TestTasksSpillToIdleDataCentre(t *testing.T) {
	f := newFleet(t, 4, "nordnes", "sandviken")
	f.awaitPeers(0, 1)
	f.awaitPeers(1, 1)
	f.runSettings("set", "/depot", "spill", "1")
	f.await("settings version 2", func() bool { return f.settingsVersion(0) == 2 && f.settingsVersion(1) == 2 })
	id := f.mintID(0, "x")
	const tasks = 40 // 16 slots in each data centre
	a, _, err := f.client(0).SubmitAs(t.Context(), id, newJob("spill", tasks, 200))
	if err != nil {
		t.Fatal(err)
	}
	checkResults(t, "spill", tasks, a)
	remote := 0
	for _, r := range a.Results() {
		if strings.HasPrefix(string(r.Target()), "sandviken/") {
			remote++
		}
	}
	if remote == 0 {
		t.Error("no task ran in the other data centre")
	}
	f.checkStartedOnce()
}
