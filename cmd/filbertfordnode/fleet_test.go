package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/filbertford/filbertford/fbstand"
)

// program is the path of the daemon under test.
var program string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "filbertfordnode")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	program = filepath.Join(dir, "filbertfordnode")
	build := exec.Command("go", "build", "-o", program, ".")
	build.Stderr = os.Stderr
	code := 1
	if err := build.Run(); err == nil {
		code = m.Run()
	}
	if err := os.RemoveAll(dir); err != nil {
		fmt.Fprintln(os.Stderr, err)
	}
	os.Exit(code)
}

// fleet is a number of daemons as processes, with stand-ins for the platform.
type fleet struct {
	t       testing.TB
	store   *fbstand.RowStore
	ledger  *fbstand.Ledger
	workers []*fbstand.Worker
	nodes   []*node
	base    string
	group   errgroup.Group
}

// node is a daemon's process.
type node struct {
	name    string
	zone    string
	ports   map[string]string
	command *exec.Cmd
	logs    *logBuffer
}

// logBuffer holds what a process writes.
type logBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (b *logBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.Write(p)
}

func (b *logBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.String()
}

// newFleet starts workers in the data centres in turn, and a daemon for each
// name of a data centre.
func newFleet(t testing.TB, workers int, zones ...string) *fleet {
	f := &fleet{t: t, store: fbstand.NewRowStore(), ledger: fbstand.NewLedger()}
	server := httptest.NewServer(f.store.Handler())
	f.base = server.Listener.Addr().String()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(func() {
		for _, n := range f.nodes {
			f.kill(n)
		}
		cancel()
		server.CloseClientConnections()
		server.Close()
		if err := f.group.Wait(); err != nil && !errors.Is(err, context.Canceled) {
			t.Error(err)
		}
		if t.Failed() {
			for _, n := range f.nodes {
				t.Logf("log of %s:\n%s", n.name, n.logs)
			}
		}
	})
	if err := f.store.PutRoutes(1, fbstand.RouteRow{
		Name: "jobs", Host: "depot.example", Prefix: "/jobs/", TargetDurationMS: 60, Service: "ordering", Attempts: 3, Stretch: 1.6,
	}); err != nil {
		t.Fatal(err)
	}
	for i := range workers {
		f.addWorker(ctx, fmt.Sprintf("w%d", i), zones[i%len(zones)])
	}
	for i, zone := range zones {
		f.nodes = append(f.nodes, &node{name: fmt.Sprintf("n%d", i), zone: zone, ports: freePorts(t)})
	}
	for _, n := range f.nodes {
		f.start(n)
	}
	for _, n := range f.nodes {
		f.awaitReady(n)
	}
	return f
}

func (f *fleet) addWorker(ctx context.Context, id, zone string) {
	w := fbstand.NewWorker(id, 4000, f.ledger)
	server := httptest.NewServer(w.Handler())
	f.t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	f.workers = append(f.workers, w)
	record := fbstand.WorkerRecord{
		Service: "ordering", Address: server.Listener.Addr().String(), Zone: zone, State: "ready", Slots: 8,
		Capacity: fbstand.WorkerCapacity{CPU: 4000, Memory: 8192}, Labels: []string{"a", "r1"}, Born: 1,
	}
	f.group.Go(func() error { return f.store.Register(ctx, id, record) })
}

func freePorts(t testing.TB) map[string]string {
	t.Helper()
	out := make(map[string]string)
	for _, key := range []string{"callers", "readiness", "peers", "metrics"} {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer l.Close()
		out[key] = l.Addr().String()
	}
	return out
}

func (f *fleet) start(n *node) {
	zones := make(map[string]bool)
	var names []string
	for _, other := range f.nodes {
		if !zones[other.zone] {
			zones[other.zone] = true
			names = append(names, other.zone)
		}
	}
	args := []string{"-set", "node.name=" + n.name, "-set", "node.data-centre=" + n.zone, "-set", "node.data-centres=" + strings.Join(names, ","), "-set", "node.store=" + f.base}
	for key, address := range n.ports {
		args = append(args, "-set", "node."+key+"="+address)
	}
	n.logs = &logBuffer{}
	n.command = exec.Command(program, args...)
	n.command.Stdout, n.command.Stderr = n.logs, n.logs
	if err := n.command.Start(); err != nil {
		f.t.Fatal(err)
	}
}

// kill ends a daemon's process at once and waits for it.
func (f *fleet) kill(n *node) {
	if n.command == nil {
		return
	}
	_ = n.command.Process.Kill() // it may have ended
	_ = n.command.Wait()
	n.command = nil
}

func (f *fleet) awaitReady(n *node) {
	f.t.Helper()
	f.await("readiness of "+n.name, 10*time.Second, func() bool {
		resp, err := http.Get("http://" + n.ports["readiness"] + "/-/ready")
		if err != nil {
			return false
		}
		resp.Body.Close()
		return resp.StatusCode == http.StatusOK
	})
}

func (f *fleet) await(what string, most time.Duration, ok func() bool) {
	f.t.Helper()
	for end := time.Now().Add(most); !ok(); {
		if time.Now().After(end) {
			f.t.Fatalf("no %s within %v", what, most)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// reply is a daemon's answer to a request.
type reply struct {
	status int
	state  string
	after  string
}

// call makes a request about a job.
func (f *fleet) call(n *node, method, key, body string) (reply, error) {
	req, err := http.NewRequest(method, "http://"+n.ports["callers"]+"/jobs/"+key, strings.NewReader(body))
	if err != nil {
		return reply{}, err
	}
	req.Host = "depot.example"
	req.Header.Set("Deadline-Ms", "8000")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return reply{}, err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return reply{}, err
	}
	var state struct {
		State string `json:"state"`
	}
	if err := json.Unmarshal(data, &state); err != nil {
		return reply{}, fmt.Errorf("answer %d %q: %w", resp.StatusCode, data, err)
	}
	return reply{status: resp.StatusCode, state: state.State, after: resp.Header.Get("Retry-After")}, nil
}

// job returns the body of a job of one step.
func job(tasks, runMS int, bestEffort bool) string {
	return fmt.Sprintf(`{"spec":"{\"run_ms\":%d,\"cpu\":1000}","steps":[{"count":%d,"cpu":1000,"memMb":8,"estimateMs":%d}],"bestEffort":%t}`, runMS, tasks, runMS, bestEffort)
}

func jobKey(i int) string { return fmt.Sprintf("%016x", i+1) }

// checkOnce fails the test if two runs of a task were at work at one time.
func (f *fleet) checkOnce() {
	f.t.Helper()
	if d := f.ledger.Doubled(); len(d) > 0 {
		f.t.Errorf("tasks ran twice at a time: %v", d)
	}
}

// submitAll submits jobs through all daemons in turn and returns the answers.
func (f *fleet) submitAll(first, jobs int, body string, nodes ...*node) []reply {
	f.t.Helper()
	out := make([]reply, jobs)
	var g errgroup.Group
	g.SetLimit(20)
	for i := range jobs {
		g.Go(func() error {
			r, err := f.call(nodes[i%len(nodes)], http.MethodPost, jobKey(first+i), body)
			out[i] = r
			return err
		})
	}
	if err := g.Wait(); err != nil {
		f.t.Error(err)
	}
	return out
}

// TestBestEffortJobs runs jobs through three daemons of two data centres.
func TestBestEffortJobs(t *testing.T) {
	f := newFleet(t, 6, "nordnes", "nordnes", "sandviken")
	for i, r := range f.submitAll(0, 60, job(3, 40, true), f.nodes...) {
		if r.status != http.StatusOK || r.state != "completed" {
			t.Errorf("job %d: %+v", i, r)
		}
	}
	f.checkOnce()
	if n := len(f.ledger.Done()); n != 180 {
		t.Errorf("%d tasks are done, want 180", n)
	}
}

// TestNoSuchRoute asks for what no route allows.
func TestNoSuchRoute(t *testing.T) {
	f := newFleet(t, 1, "nordnes")
	tests := map[string]struct {
		path, body string
		want       int
	}{
		"route":     {path: "/other/0000000000000001", body: job(1, 1, true), want: http.StatusNotFound},
		"key":       {path: "/jobs/1", body: job(1, 1, true), want: http.StatusNotFound},
		"malformed": {path: "/jobs/0000000000000001", body: `{"steps":`, want: http.StatusBadRequest},
		"no steps":  {path: "/jobs/0000000000000001", body: `{"spec":""}`, want: http.StatusBadRequest},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			req, err := http.NewRequest(http.MethodPost, "http://"+f.nodes[0].ports["callers"]+tt.path, strings.NewReader(tt.body))
			if err != nil {
				t.Fatal(err)
			}
			req.Host = "depot.example"
			resp, err := http.DefaultClient.Do(req)
			if err != nil {
				t.Fatal(err)
			}
			resp.Body.Close()
			if resp.StatusCode != tt.want {
				t.Errorf("status %d, want %d", resp.StatusCode, tt.want)
			}
		})
	}
}

// TestOwnerIsKilled kills daemons one after the other while jobs run through
// another one: all are answered as completed.
func TestOwnerIsKilled(t *testing.T) {
	f := newFleet(t, 6, "nordnes", "nordnes", "nordnes")
	var g errgroup.Group
	survivor := f.nodes[2]
	g.Go(func() error {
		for i, r := range f.submitAll(0, 150, job(2, 60, true), survivor) {
			if r.status != http.StatusOK || r.state != "completed" {
				t.Errorf("job %d: %+v", i, r)
			}
		}
		return nil
	})
	time.Sleep(150 * time.Millisecond)
	f.kill(f.nodes[0])
	time.Sleep(300 * time.Millisecond)
	f.kill(f.nodes[1])
	if err := g.Wait(); err != nil {
		t.Error(err)
	}
	f.checkOnce()
}

// TestPausedOwner stops a daemon by SIGSTOP, lets others take over and wakes it.
func TestPausedOwner(t *testing.T) {
	f := newFleet(t, 4, "nordnes", "nordnes", "nordnes")
	var g errgroup.Group
	g.Go(func() error {
		f.submitAll(0, 120, job(2, 60, true), f.nodes[1], f.nodes[2])
		return nil
	})
	for range 2 {
		if err := f.nodes[0].command.Process.Signal(syscall.SIGSTOP); err != nil {
			t.Fatal(err)
		}
		time.Sleep(900 * time.Millisecond)
		if err := f.nodes[0].command.Process.Signal(syscall.SIGCONT); err != nil {
			t.Fatal(err)
		}
		time.Sleep(400 * time.Millisecond)
	}
	if err := g.Wait(); err != nil {
		t.Error(err)
	}
	f.checkOnce()
}

// TestWorkersMisbehave has workers lose answers, carry calls out late, fail and
// hang.
func TestWorkersMisbehave(t *testing.T) {
	tests := map[string]fbstand.WorkerFaults{
		"lost answers": {LoseOneIn: 5},
		"late":         {LoseOneIn: 7, LateMS: 1500},
		"fails":        {Fail: true},
		"hangs":        {Hang: true},
	}
	for name, faults := range tests {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, 6, "nordnes", "nordnes")
			f.workers[0].SetFaults(faults)
			for i, r := range f.submitAll(0, 40, job(2, 40, true), f.nodes...) {
				if r.status != http.StatusOK || r.state != "completed" {
					t.Errorf("job %d: %+v", i, r)
				}
			}
			f.checkOnce()
		})
	}
}

// TestStoreIsAway serves jobs while the store answers nothing.
func TestStoreIsAway(t *testing.T) {
	for _, how := range []string{"busy", "silent"} {
		t.Run(how, func(t *testing.T) {
			f := newFleet(t, 4, "nordnes", "nordnes")
			f.store.SetFaults(fbstand.RowFaults{Down: how})
			for i, r := range f.submitAll(0, 40, job(2, 30, true), f.nodes...) {
				if r.status != http.StatusOK || r.state != "completed" {
					t.Errorf("job %d: %+v", i, r)
				}
			}
			f.checkOnce()
		})
	}
}

// TestStopCutsNothing stops a daemon by SIGTERM while it answers requests.
func TestStopCutsNothing(t *testing.T) {
	f := newFleet(t, 4, "nordnes", "nordnes")
	var g errgroup.Group
	g.Go(func() error {
		for i, r := range f.submitAll(0, 8, job(1, 1000, true), f.nodes[0]) {
			if r.status != http.StatusOK || r.state != "completed" {
				t.Errorf("job %d: %+v", i, r)
			}
		}
		return nil
	})
	time.Sleep(300 * time.Millisecond)
	if err := f.nodes[0].command.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	if err := g.Wait(); err != nil {
		t.Error(err)
	}
	if err := f.nodes[0].command.Wait(); err != nil {
		t.Errorf("the daemon ended with %v", err)
	}
	f.nodes[0].command = nil
	f.checkOnce()
}

// TestStoredJobsSurvive accepts jobs, kills all daemons and starts them again:
// each job completes, and none of its tasks is done twice.
func TestStoredJobsSurvive(t *testing.T) {
	f := newFleet(t, 4, "nordnes", "nordnes")
	f.store.SetFaults(fbstand.RowFaults{LoseOneIn: 9})
	for i, r := range f.submitAll(0, 20, job(3, 250, false), f.nodes...) {
		if r.status != http.StatusOK {
			t.Errorf("job %d: %+v", i, r)
		}
	}
	for _, n := range f.nodes {
		f.kill(n)
	}
	for _, n := range f.nodes {
		f.start(n)
	}
	for i := range 20 {
		f.await("end of job "+jobKey(i), 20*time.Second, func() bool {
			r, err := f.call(f.nodes[i%2], http.MethodGet, jobKey(i), "")
			return err == nil && r.status == http.StatusOK && r.state == "completed"
		})
	}
	f.checkOnce()
	for task, n := range f.ledger.Done() {
		if n > 1 {
			t.Errorf("%s was done %d times", task, n)
		}
	}
}

// TestStoredJobIsCancelled cancels a job that runs: its tasks stop.
func TestStoredJobIsCancelled(t *testing.T) {
	f := newFleet(t, 2, "nordnes", "nordnes")
	if r, err := f.call(f.nodes[0], http.MethodPost, jobKey(0), job(4, 20_000, false)); err != nil || r.status != http.StatusOK {
		t.Fatal(r, err)
	}
	running := func() int { return len(f.workers[0].Running()) + len(f.workers[1].Running()) }
	f.await("start of all tasks", 3*time.Second, func() bool { return running() == 4 })
	if r, err := f.call(f.nodes[1], http.MethodDelete, jobKey(0), ""); err != nil || r.status != http.StatusOK {
		t.Fatal(r, err)
	}
	f.await("end of all tasks", time.Second, func() bool { return running() == 0 })
	if r, err := f.call(f.nodes[0], http.MethodGet, jobKey(0), ""); err != nil || r.state != "cancelled" {
		t.Error(r, err)
	}
	if r, err := f.call(f.nodes[0], http.MethodGet, jobKey(7), ""); err != nil || r.status != http.StatusGone {
		t.Error("a job that nobody submitted:", r, err)
	}
}
