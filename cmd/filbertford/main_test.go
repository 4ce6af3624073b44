package main_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/filbertford/filbertford"
	"github.com/filbertford/filbertford/fbclient"
)

// Timeouts of the tests, far above their usual duration.
const (
	readyTimeout = "30s"
	jobTimeout   = 2 * time.Minute
)

// system is a set of stand-ins and daemons that run as separate processes.
type system struct {
	bin        string
	platform   string
	targetBase string // address of the first target
	endpoints  []string
	operations []string
	daemons    []*exec.Cmd
}

// startSystem builds the programs, starts the stand-ins and two daemons, and waits
// until the daemons are ready.
func startSystem(t *testing.T) *system {
	t.Helper()
	s := &system{bin: t.TempDir()}
	build := exec.CommandContext(t.Context(), "go", "build", "-o", s.bin, "../filbertford", "../filbertfordd", "../fbstandin")
	if out, err := build.CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	host := nextHost()
	address := func(port int) string { return net.JoinHostPort(host, strconv.Itoa(port)) }
	s.platform, s.targetBase = address(platformPort), address(targetPort)
	s.start(t, "fbstandin", "-platform", s.platform, "-vm-lag", "100ms", "-targets", "4", "-target-base", s.targetBase,
		"-entries", "nordnes="+address(daemonPort+1)+",nordnes="+address(daemonPort+4))
	for i := range 2 {
		firstPort := daemonPort + 3*i
		callers, peers, operations := address(firstPort), address(firstPort+1), address(firstPort+2)
		s.daemons = append(s.daemons, s.start(t, "filbertfordd", "-set", fmt.Sprintf("daemon.vm=entry-%d", i+1),
			"-set", "daemon.platform="+s.platform, "-set", "daemon.callers="+callers, "-set", "daemon.peers="+peers,
			"-set", "daemon.operations="+operations, "-set", "stop.grace=0s", "-set", "daemon.data-centres=nordnes"))
		s.endpoints = append(s.endpoints, "http://"+callers)
		s.operations = append(s.operations, "http://"+operations)
	}
	s.command(t, 0, "ready", "-endpoints", strings.Join(s.endpoints, ","), "-wait", readyTimeout)
	return s
}

// start starts a program and kills it at the end of the test.
func (s *system) start(t *testing.T, name string, args ...string) *exec.Cmd {
	t.Helper()
	c := exec.Command(filepath.Join(s.bin, name), args...)
	if testing.Verbose() {
		c.Stderr = os.Stderr
	}
	if err := c.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = c.Process.Kill()
		_ = c.Wait()
	})
	return c
}

// command runs filbertford, checks its exit code and returns its output.
func (s *system) command(t *testing.T, want int, args ...string) string {
	t.Helper()
	c := exec.CommandContext(t.Context(), filepath.Join(s.bin, "filbertford"), args...)
	out, err := c.Output()
	if got := c.ProcessState.ExitCode(); got != want {
		t.Fatalf("filbertford %v: got exit code %d, %v\n%s", args, got, err, out)
	}
	return string(out)
}

// Ports of a system. Each system has its own loopback address.
const (
	platformPort = 20000
	daemonPort   = 20100 // three for each daemon
	targetPort   = 20200 // one for each target
)

// hostCount is the number of loopback addresses that nextHost has returned.
var hostCount atomic.Int64

// nextHost returns a loopback address that no other system uses. Outgoing
// connections of this machine use 127.0.0.1, so none of them
// occupies a port of the returned address.
func nextHost() string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 128+pid>>8&63, pid&255, hostCount.Add(1))
}

// TestThousandConcurrentJobs sends 1,000 concurrent jobs to daemons that run as
// separate processes and checks that each job gets its own complete answer.
func TestThousandConcurrentJobs(t *testing.T) {
	s := startSystem(t)
	client, err := fbclient.New(s.endpoints)
	if err != nil {
		t.Fatal(err)
	}
	defer client.Close()
	ctx, cancel := context.WithTimeout(t.Context(), jobTimeout)
	defer cancel()
	var g errgroup.Group
	for n := range 1000 {
		g.Go(func() error { return submitEcho(ctx, client, n) })
	}
	if err := g.Wait(); err != nil {
		t.Error(err)
	}
}

// submitEcho submits a job of three tasks and checks that each result is that
// of its own task.
func submitEcho(ctx context.Context, client *fbclient.Client, n int) error {
	tasks := make([]filbertford.Task, 3)
	for i := range tasks {
		tasks[i] = filbertford.NewTask(fmt.Appendf(nil, `{"run_ms":5,"echo":"%d-%d"}`, n, i), 5*time.Millisecond)
	}
	job := filbertford.NewJob("depot", "ordering", tasks...).WithKind("stock-check").WithTimeout(time.Minute)
	a, err := client.Submit(ctx, job)
	if err != nil || a.Code() != filbertford.CodeComplete {
		return fmt.Errorf("job %d: %s %s, %v", n, a.Code(), a.Detail(), err)
	}
	for i, r := range a.Results() {
		var output struct{ Echo string }
		if err := json.Unmarshal(r.Output(), &output); err != nil || output.Echo != fmt.Sprintf("%d-%d", n, i) {
			return fmt.Errorf("job %d, task %d: output %s, %v", n, i, r.Output(), err)
		}
	}
	return nil
}

// TestCommandsAgainstDaemons runs the commands against daemons. It stops a daemon
// under load, and the command load checks that no work was started twice.
func TestCommandsAgainstDaemons(t *testing.T) {
	s := startSystem(t)
	endpoints, operations := strings.Join(s.endpoints, ","), strings.Join(s.operations, ",")
	s.command(t, 0, "submit", "-endpoints", endpoints, "-tasks", "3", "-run", "20ms", "-id", "order-17")
	s.command(t, 0, "submit", "-endpoints", endpoints, "-tasks", "3", "-run", "20ms", "-id", "order-17")
	s.command(t, 4, "submit", "-endpoints", endpoints, "-team", "nobody")
	for _, name := range []string{"vms", "targets"} {
		if out := s.command(t, 0, name, "-operations", operations); !strings.Contains(out, "live") {
			t.Errorf("%s does not list any live entry:\n%s", name, out)
		}
	}
	file := filepath.Join(t.TempDir(), "out.json")
	var g errgroup.Group
	g.Go(func() error {
		time.Sleep(2 * time.Second)
		return s.daemons[1].Process.Signal(syscall.SIGTERM)
	})
	s.command(t, 0, "load", "-endpoints", endpoints, "-operations", s.operations[0], "-platform", "http://"+s.platform,
		"-rate", "0.4", "-for", "3s", "-warm-up", "0s", "-attempts", "8", "-json", file,
		"-at", "0s=cut-reply:0.25", "-at", "1s=heal")
	if err := g.Wait(); err != nil {
		t.Error(err)
	}
	s.command(t, 0, "report", "-out", filepath.Join(t.TempDir(), "report.html"), file)
	if err := s.daemons[1].Wait(); err != nil {
		t.Errorf("stopped daemon exited with %v, want success", err)
	}
}
