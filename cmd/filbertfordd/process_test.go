package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/filbertford/filbertford"
	"github.com/filbertford/filbertford/fbclient"
)

// group waits for the processes that the tests started.
var group errgroup.Group

// work returns a job of tasks that echo their names, each of which counts as
// one piece of work at the targets.
func work(name string, tasks, runMS int) filbertford.Job {
	list := make([]filbertford.Task, tasks)
	for i := range list {
		args := fmt.Sprintf(`{"run_ms": %d, "echo": "%s#%d", "work": "%s#%d"}`, runMS, name, i, name, i)
		list[i] = filbertford.NewTask([]byte(args), time.Duration(runMS)*time.Millisecond)
	}
	return filbertford.NewJob("depot", "ordering", list...).WithTimeout(20 * time.Second)
}

// checkOwn fails the test unless the answer is complete and that of the job.
func checkOwn(t testing.TB, name string, tasks int, a filbertford.Answer) {
	t.Helper()
	if a.Code() != filbertford.CodeComplete || len(a.Results()) != tasks {
		t.Errorf("%s: %s %s with %d results", name, a.Code(), a.Detail(), len(a.Results()))
		return
	}
	for i, r := range a.Results() {
		var out struct {
			Echo string `json:"echo"`
		}
		if err := json.Unmarshal(r.Output(), &out); err != nil || out.Echo != fmt.Sprintf("%s#%d", name, i) {
			t.Errorf("%s: result %d is %s", name, i, r.Output())
		}
	}
}

// TestThousandJobs submits 1,000 jobs at once through four daemons of two data
// centres: each is answered whole and with its own results.
func TestThousandJobs(t *testing.T) {
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
			a, err := c.Submit(t.Context(), work(name, tasks, 5))
			if err != nil {
				return fmt.Errorf("%s: %w", name, err)
			}
			checkOwn(t, name, tasks, a)
			return nil
		})
	}
	if err := g.Wait(); err != nil {
		t.Error(err)
	}
	f.checkOnce()
	if n := len(f.counted().Works); n != jobs*tasks {
		t.Errorf("%d pieces of work were done, want %d", n, jobs*tasks)
	}
}

// TestEveryIDThroughEveryDaemon delivers IDs of each daemon through each other:
// the answer is the same, and the work is done once.
func TestEveryIDThroughEveryDaemon(t *testing.T) {
	f := newFleet(t, 4, "nordnes", "nordnes", "sandviken")
	for i := range 3 {
		f.awaitPeers(i, 2)
	}
	for owner := range 3 {
		id := f.mint(owner, "x")
		for via := range 3 {
			name := fmt.Sprintf("owner-%d", owner)
			a, _, err := f.client(via).SubmitAs(t.Context(), id, work(name, 2, 5))
			if err != nil {
				t.Fatal(err)
			}
			checkOwn(t, name, 2, a)
		}
	}
	f.checkOnce()
}

// mint returns an ID from a daemon's own token.
func (f *fleet) mint(i int, unique string) filbertford.SubmissionID {
	f.t.Helper()
	var reply struct {
		Token string `json:"token"`
	}
	if err := f.get(daemonPort+3*i, "/v1/token", &reply); err != nil {
		f.t.Fatal(err)
	}
	id, err := filbertford.ParseID(reply.Token + "." + unique)
	if err != nil {
		f.t.Fatal(err)
	}
	return id
}

// load submits jobs until it is stopped and keeps their IDs.
type load struct {
	f      *fleet
	stop   context.CancelFunc
	g      errgroup.Group
	failed atomic.Int64

	mu   sync.Mutex
	done map[string]filbertford.SubmissionID
}

// startLoad submits jobs one after another in each of several goroutines.
func startLoad(f *fleet, c *fbclient.Client, goroutines int) *load {
	ctx, cancel := context.WithCancel(context.Background())
	l := &load{f: f, stop: cancel, done: make(map[string]filbertford.SubmissionID)}
	for n := range goroutines {
		l.g.Go(func() error {
			for i := 0; ctx.Err() == nil; i++ {
				l.submit(c, fmt.Sprintf("load-%d-%d", n, i))
			}
			return nil
		})
	}
	return l
}

func (l *load) submit(c *fbclient.Client, name string) {
	a, trace, err := c.SubmitTraced(context.Background(), work(name, 2, 20))
	if err != nil || a.Code() != filbertford.CodeComplete {
		l.failed.Add(1)
		l.f.t.Errorf("%s: %s %s, %v", name, a.Code(), a.Detail(), err)
		return
	}
	checkOwn(l.f.t, name, 2, a)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.done[name] = trace.ID()
}

// finish ends the load and returns the IDs of its jobs by their names.
func (l *load) finish() map[string]filbertford.SubmissionID {
	l.stop()
	_ = l.g.Wait()
	return l.done
}

// count returns how many jobs are over.
func (l *load) count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.done)
}

// TestGracefulStop ends a daemon under load: readiness goes first, nothing in
// flight is cut, and the exit code is 0.
func TestGracefulStop(t *testing.T) {
	f := newFleet(t, 8, "nordnes", "nordnes")
	f.awaitPeers(0, 1)
	f.awaitPeers(1, 1)
	l := startLoad(f, f.client(0, 1), 16)
	f.await("load", func() bool { return l.count() > 50 })
	f.daemons[0].signal(syscall.SIGTERM)
	f.await("loss of readiness", func() bool {
		resp, err := http.Get(f.endpoint(0) + "/readyz")
		if err != nil {
			return true
		}
		defer resp.Body.Close()
		return resp.StatusCode == http.StatusServiceUnavailable
	})
	if code := f.daemons[0].exitCode(); code != exitOK {
		t.Errorf("exit code %d", code)
	}
	before := l.count()
	f.await("load on the other daemon", func() bool { return l.count() > before+50 })
	l.finish()
	f.checkOnce()
}

// TestRollingRestart restarts all daemons one after another under load: nothing
// is lost or doubled, and resubmissions get the real answers afterwards.
func TestRollingRestart(t *testing.T) {
	f := newFleet(t, 8, "nordnes", "nordnes", "nordnes")
	for i := range 3 {
		f.awaitPeers(i, 2)
	}
	l := startLoad(f, f.client(0, 1, 2), 12)
	for i := range 3 {
		before := l.count()
		f.await("load", func() bool { return l.count() > before+50 })
		f.daemons[i].signal(syscall.SIGTERM)
		if code := f.daemons[i].exitCode(); code != exitOK {
			t.Errorf("daemon %d: exit code %d", i, code)
		}
		f.boot(i)
		f.awaitReady(i)
		for j := range 3 {
			f.awaitPeers(j, 2)
		}
	}
	done := l.finish()
	c := f.client(0, 1, 2)
	for name, id := range done {
		a, _, err := c.SubmitAs(t.Context(), id, work(name, 2, 20))
		if err != nil {
			t.Fatalf("%s: %v", name, err)
		}
		checkOwn(t, name, 2, a)
	}
	f.checkOnce()
	t.Logf("%d jobs", len(done))
}

// TestKilledOwner kills a daemon with jobs in flight. Resubmissions through
// another are answered with a truth, nothing starts twice, and the slots come
// back when the dead daemon's lease has lapsed.
func TestKilledOwner(t *testing.T) {
	f := newFleet(t, 2, "nordnes", "nordnes")
	f.awaitPeers(0, 1)
	f.awaitPeers(1, 1)
	id := f.mint(0, "x")
	job := work("killed", 4, 600_000)
	job = job.WithTimeout(time.Minute)
	var g errgroup.Group
	g.Go(func() error {
		_, _, _ = f.client(0).SubmitAs(t.Context(), id, job)
		return nil
	})
	f.await("start", func() bool { return f.counted().Running == 4 })
	f.daemons[0].kill()
	_ = g.Wait()
	a, _, err := f.client(1).SubmitAs(t.Context(), id, job)
	truthful := err != nil || a.Code() == filbertford.CodeOutcomeUnknown ||
		a.Code().Class() == filbertford.ClassNotStarted
	if !truthful {
		t.Errorf("a resubmission after the owner's death was answered %s", a.Code())
	}
	f.await("slots of the dead daemon", func() bool { return f.counted().Running == 0 })
	checkOwnVia(t, f, 1, "after")
	f.checkOnce()
}

func checkOwnVia(t testing.TB, f *fleet, via int, name string) {
	t.Helper()
	a, err := f.client(via).Submit(t.Context(), work(name, 3, 5))
	if err != nil {
		t.Error(err)
	}
	checkOwn(t, name, 3, a)
}

// TestFrozenOwner stops a daemon for longer than its lease. It learns of the
// lapse when it goes on, answers the job as unknown, and works again.
func TestFrozenOwner(t *testing.T) {
	f := newFleet(t, 2, "nordnes", "nordnes")
	f.awaitPeers(0, 1)
	id := f.mint(0, "x")
	type ending struct {
		a   filbertford.Answer
		err error
	}
	over := make(chan ending, 1)
	group.Go(func() error {
		a, _, err := f.client(0).SubmitAs(t.Context(), id, work("frozen", 2, 600_000).WithTimeout(time.Minute))
		over <- ending{a, err}
		return nil
	})
	f.await("start", func() bool { return f.counted().Running == 2 })
	f.daemons[0].signal(syscall.SIGSTOP)
	f.await("lapse of the lease", func() bool { return f.counted().Running == 0 })
	f.daemons[0].signal(syscall.SIGCONT)
	got := <-over
	if code := got.a.Code(); code != filbertford.CodeOutcomeUnknown && !errors.Is(got.err, fbclient.ErrOutcomeUnknown) {
		t.Errorf("the frozen daemon's job was answered %s, %v", code, got.err)
	}
	checkOwnVia(t, f, 0, "thawed")
	f.checkOnce()
}

// TestCutConnections cuts the connections to targets at each point and lets
// targets answer wrongly: no work is started twice, and each job is answered.
func TestCutConnections(t *testing.T) {
	tests := map[string]string{
		"before the request": `{"cut": "before"}`,
		"after the start":    `{"cut": "after-start"}`,
		"in the reply":       `{"cut": "reply"}`,
		"reply twice":        `{"twice": true}`,
		"another task":       `{"wrong_id": true}`,
		"fails everything":   `{"fail_all": true}`,
	}
	f := newFleet(t, 3, "nordnes")
	c := f.client(0)
	for name, fault := range tests {
		t.Run(name, func(t *testing.T) {
			f.fault(targetPort, "target", fault)
			codes := make(map[filbertford.Code]int)
			for i := range 20 {
				a, err := c.Submit(t.Context(), work(strings.ReplaceAll(name, " ", "-")+fmt.Sprint(i), 6, 5))
				if err != nil && !errors.Is(err, fbclient.ErrOutcomeUnknown) {
					t.Error(err)
				}
				codes[a.Code()]++
			}
			f.fault(targetPort, "target", `{}`)
			f.checkOnce()
			t.Log(codes)
		})
	}
}

// TestPlatformOutage takes the platform away: pinned jobs go on, and a daemon
// that boots meanwhile gets its settings from its peers.
func TestPlatformOutage(t *testing.T) {
	f := newFleet(t, 4, "nordnes", "nordnes")
	f.awaitPeers(0, 1)
	f.awaitPeers(1, 1)
	f.fault(platformPort, "platform", `{"down": true}`)
	for i := range 20 {
		checkOwnVia(t, f, i%2, fmt.Sprintf("outage-%d", i))
	}
	f.daemons[1].kill()
	f.boot(1, "daemon.seeds="+f.address(daemonPort+1))
	f.awaitReady(1)
	checkOwnVia(t, f, 1, "booted")
	f.fault(platformPort, "platform", `{"down": false}`)
	checkOwnVia(t, f, 1, "back")
	f.checkOnce()
}

// TestSpill loads one data centre beyond its slots while another is idle: with
// the setting, tasks go there, and each runs once.
func TestSpill(t *testing.T) {
	f := newFleet(t, 4, "nordnes", "sandviken")
	f.awaitPeers(0, 1)
	f.awaitPeers(1, 1)
	f.settings("set", "/depot", "spill", "1")
	f.await("the setting", func() bool { return f.version(0) == 2 && f.version(1) == 2 })
	id := f.mint(0, "x")
	const tasks = 40 // 16 slots in each data centre
	a, _, err := f.client(0).SubmitAs(t.Context(), id, work("spill", tasks, 200))
	if err != nil {
		t.Fatal(err)
	}
	checkOwn(t, "spill", tasks, a)
	away := 0
	for _, r := range a.Results() {
		if strings.HasPrefix(string(r.Target()), "sandviken/") {
			away++
		}
	}
	if away == 0 {
		t.Error("no task ran in the other data centre")
	}
	f.checkOnce()
}

// TestCutOffDataCentre takes the platform and the other data centre away:
// pinned jobs are answered as before.
func TestCutOffDataCentre(t *testing.T) {
	f := newFleet(t, 4, "nordnes", "sandviken", "sandviken")
	for i := range 3 {
		f.awaitPeers(i, 2)
	}
	f.fault(platformPort, "platform", `{"down": true}`)
	f.daemons[1].signal(syscall.SIGSTOP)
	f.daemons[2].signal(syscall.SIGSTOP)
	for i := range 50 {
		checkOwnVia(t, f, 0, fmt.Sprintf("cut-%d", i))
	}
	f.daemons[1].signal(syscall.SIGCONT)
	f.daemons[2].signal(syscall.SIGCONT)
	f.checkOnce()
}

// TestSilentOwner delivers an ID whose owner is frozen through another daemon:
// the answer comes after the job's timeout and says that the outcome is unknown.
func TestSilentOwner(t *testing.T) {
	f := newFleet(t, 2, "nordnes", "nordnes")
	f.awaitPeers(0, 1)
	f.awaitPeers(1, 1)
	id := f.mint(0, "x")
	checkOwnVia(t, f, 1, "warm") // leaves an idle connection between the daemons
	f.daemons[0].signal(syscall.SIGSTOP)
	body := `{"team": "depot", "service": "ordering", "timeout_ms": 500, "tasks": [{"args": {}}]}`
	req, err := http.NewRequest(http.MethodPost, f.endpoint(1)+"/v1/jobs", strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Idempotency-Key", id.String())
	resp, err := (&http.Client{Timeout: settled}).Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	var reply struct {
		Code filbertford.Code `json:"code"`
	}
	if err := json.NewDecoder(resp.Body).Decode(&reply); err != nil || reply.Code != filbertford.CodeOutcomeUnknown {
		t.Errorf("answered %s, %v", reply.Code, err)
	}
	f.daemons[0].signal(syscall.SIGCONT)
}

// TestFrozenTarget freezes a target with tasks: their jobs end by their
// deadline, and the daemon's connections to it are given up, so that it serves
// again when it has thawed.
func TestFrozenTarget(t *testing.T) {
	f := newFleet(t, 1, "nordnes")
	c := f.client(0)
	f.fault(targetPort, "target", `{"freeze": true}`)
	for round := range 3 {
		a, err := c.Submit(t.Context(), work(fmt.Sprintf("frozen-%d", round), 8, 5).WithTimeout(500*time.Millisecond))
		if err == nil && a.Code() == filbertford.CodeComplete {
			t.Errorf("a job at a frozen target was answered %s", a.Code())
		}
	}
	f.fault(targetPort, "target", `{"freeze": false}`)
	f.await("the thawed target", func() bool {
		a, err := c.Submit(t.Context(), work(fmt.Sprintf("thawed-%d", time.Now().UnixNano()), 8, 5).WithTimeout(time.Second))
		return err == nil && a.Code() == filbertford.CodeComplete
	})
	f.checkOnce()
}

// TestOpaqueKeysAfterAStop resubmits opaque keys after the planned stop of each
// of their owners: the answers are the real ones, and nothing runs again.
func TestOpaqueKeysAfterAStop(t *testing.T) {
	f := newFleet(t, 2, "nordnes", "nordnes", "nordnes")
	for i := range 3 {
		f.awaitPeers(i, 2)
	}
	c := f.client(1, 2)
	submit := func(n int) filbertford.Answer {
		id, err := filbertford.ParseID(fmt.Sprintf("key-%d", n))
		if err != nil {
			t.Fatal(err)
		}
		a, _, err := c.SubmitAs(t.Context(), id, work(fmt.Sprintf("opaque-%d", n), 2, 5))
		if err != nil {
			t.Fatal(err)
		}
		return a
	}
	f.await("the view", func() bool { return submit(0).Code() == filbertford.CodeComplete })
	for n := range 30 {
		checkOwn(t, fmt.Sprintf("opaque-%d", n), 2, submit(n))
	}
	f.daemons[0].signal(syscall.SIGTERM)
	if code := f.daemons[0].exitCode(); code != exitOK {
		t.Errorf("exit code %d", code)
	}
	for n := range 30 {
		var a filbertford.Answer
		f.await("an owner that can be reached", func() bool {
			a = submit(n)
			return a.Code().Class() != filbertford.ClassNotStarted
		})
		checkOwn(t, fmt.Sprintf("opaque-%d", n), 2, a)
	}
	f.checkOnce()
}
