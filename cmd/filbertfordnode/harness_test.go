package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/filbertford/filbertford/fbstandin"
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

// targetDurationMS is the constant part of the route's latency objective in
// milliseconds. Jobs are abandoned after three times the objective, which must not
// happen on a busy machine.
const targetDurationMS = 2000

// fleet runs daemons as processes, with stand-ins for the platform.
type fleet struct {
	t            testing.TB
	store        *fbstandin.RowStore
	runs         *fbstandin.RunRecorder
	workers      []*fbstandin.Worker
	nodes        []*node
	storeAddress string
	group        errgroup.Group
}

// node is a daemon that runs as a process.
type node struct {
	name       string
	dataCentre string
	ports      map[string]string
	command    *exec.Cmd
	logs       *logBuffer
}

// logBuffer holds the output of a process.
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

// newFleet starts one daemon for each element of dataCentres, and workers in these
// data centres in turn. It returns once all daemons are ready.
func newFleet(t testing.TB, workers int, dataCentres ...string) *fleet {
	f := &fleet{t: t, store: fbstandin.NewRowStore(), runs: fbstandin.NewRunRecorder()}
	server := httptest.NewServer(f.store.Handler())
	f.storeAddress = server.Listener.Addr().String()
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
	if err := f.store.PutRoutes(1, fbstandin.RouteRow{
		Name: "jobs", Host: "depot.example", Prefix: "/jobs/", TargetDurationMS: targetDurationMS, Service: "ordering", Attempts: 3, Stretch: 1.6,
	}); err != nil {
		t.Fatal(err)
	}
	for i := range workers {
		f.addWorker(ctx, fmt.Sprintf("w%d", i), dataCentres[i%len(dataCentres)])
	}
	for i, dataCentre := range dataCentres {
		f.nodes = append(f.nodes, &node{name: fmt.Sprintf("n%d", i), dataCentre: dataCentre, ports: freePorts(t)})
	}
	for _, n := range f.nodes {
		f.start(n)
	}
	for _, n := range f.nodes {
		f.waitReady(n)
	}
	return f
}

func (f *fleet) addWorker(ctx context.Context, id, dataCentre string) {
	w := fbstandin.NewWorker(id, 4000, f.runs)
	server := httptest.NewServer(w.Handler())
	f.t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	f.workers = append(f.workers, w)
	record := fbstandin.WorkerRecord{
		Service: "ordering", Address: server.Listener.Addr().String(), Zone: dataCentre, State: "ready", Slots: 8,
		Capacity: fbstandin.WorkerCapacity{CPU: 4000, Memory: 8192}, Labels: []string{"a", "r1"},
	}
	f.group.Go(func() error { return f.store.Register(ctx, w, record) })
}

func freePorts(t testing.TB) map[string]string {
	t.Helper()
	out := make(map[string]string)
	for _, key := range []string{"callers", "readiness", "peers", "metrics"} {
		address, err := fbstandin.FreeAddress()
		if err != nil {
			t.Fatal(err)
		}
		out[key] = address
	}
	return out
}

func (f *fleet) start(n *node) {
	seen := make(map[string]bool)
	var names []string
	for _, other := range f.nodes {
		if !seen[other.dataCentre] {
			seen[other.dataCentre] = true
			names = append(names, other.dataCentre)
		}
	}
	args := []string{"-set", "node.name=" + n.name, "-set", "node.data-centre=" + n.dataCentre, "-set", "node.data-centres=" + strings.Join(names, ","), "-set", "node.store=" + f.storeAddress}
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

// kill sends SIGKILL to a daemon and waits for its process to end.
func (f *fleet) kill(n *node) {
	if n.command == nil {
		return
	}
	_ = n.command.Process.Kill() // fails if the process has ended
	_ = n.command.Wait()
	n.command = nil
}

func (f *fleet) waitReady(n *node) {
	f.t.Helper()
	f.waitFor("readiness of "+n.name, 10*time.Second, func() bool {
		resp, err := http.Get("http://" + n.ports["readiness"] + "/-/ready")
		if err != nil {
			return false
		}
		resp.Body.Close()
		return resp.StatusCode == http.StatusOK
	})
}

func (f *fleet) waitFor(what string, timeout time.Duration, condition func() bool) {
	f.t.Helper()
	for deadline := time.Now().Add(timeout); !condition(); {
		if time.Now().After(deadline) {
			f.t.Fatalf("no %s within %v", what, timeout)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// reply is a daemon's reply to a request.
type reply struct {
	latency    time.Duration
	status     int
	state      string
	retryAfter string
}

// call sends a request about a job to a daemon.
func (f *fleet) call(n *node, method, key, body string) (reply, error) {
	req, err := http.NewRequest(method, "http://"+n.ports["callers"]+"/jobs/"+key, strings.NewReader(body))
	if err != nil {
		return reply{}, err
	}
	req.Host = "depot.example"
	req.Header.Set("Deadline-Ms", "8000")
	start := time.Now()
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
		return reply{}, fmt.Errorf("reply with status %d and body %q: %w", resp.StatusCode, data, err)
	}
	return reply{latency: time.Since(start), status: resp.StatusCode, state: state.State, retryAfter: resp.Header.Get("Retry-After")}, nil
}

// jobBody returns the request body of a job with one step.
func jobBody(tasks, runMS int, bestEffort bool) string {
	return fmt.Sprintf(`{"spec":"{\"run_ms\":%d,\"cpu\":1000}","steps":[{"count":%d,"cpu":1000,"memMb":8,"estimateMs":%d}],"bestEffort":%t}`, runMS, tasks, runMS, bestEffort)
}

func jobKey(i int) string { return fmt.Sprintf("%016x", i+1) }

// checkNoOverlappingRuns fails the test if two runs of a task overlapped.
func (f *fleet) checkNoOverlappingRuns() {
	f.t.Helper()
	if overlapping := f.runs.Overlapping(); len(overlapping) > 0 {
		f.t.Errorf("got tasks with overlapping runs: %v, want none", overlapping)
	}
}

// submitAll submits count jobs to the daemons in turn and returns the replies.
func (f *fleet) submitAll(firstJob, count int, body string, nodes ...*node) []reply {
	f.t.Helper()
	out := make([]reply, count)
	var g errgroup.Group
	g.SetLimit(20)
	for i := range count {
		g.Go(func() error {
			r, err := f.call(nodes[i%len(nodes)], http.MethodPost, jobKey(firstJob+i), body)
			out[i] = r
			return err
		})
	}
	if err := g.Wait(); err != nil {
		f.t.Error(err)
	}
	return out
}
