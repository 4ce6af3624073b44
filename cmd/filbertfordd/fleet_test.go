package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/filbertford/filbertford/fbclient"
)

// binaries is the directory of the programs under test.
var binaries string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "filbertford")
	if err != nil {
		panic(err)
	}
	binaries = dir
	args := append([]string{"build", "-o", dir}, raceFlags...)
	build := exec.Command("go", append(args, "../filbertfordd", "../fbstandin", "../filbertford")...)
	if out, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "%s\n%v\n", out, err)
		os.Exit(exitFailed)
	}
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// Ports on the loopback address of a fleet.
const (
	platformPort = 20000
	daemonPort   = 20100 // three for each daemon
	targetPort   = 20200
)

// waitTimeout is the longest time that a test waits for a condition or a process.
const waitTimeout = 60 * time.Second

// hostCounter counts the loopback addresses in use; each fleet has a separate one.
var hostCounter struct {
	sync.Mutex
	n int
}

// fleet is a set of processes: the stand-ins and the entry daemons.
type fleet struct {
	t           testing.TB
	host        string
	targets     int
	daemons     []*process
	dataCentres []string
}

// process is a program that a test started.
type process struct {
	t    testing.TB
	cmd  *exec.Cmd
	log  *os.File
	done chan struct{}
	port int
}

// newFleet starts the stand-ins with the given number of targets, and one daemon
// for each of the named data centres, which may repeat.
func newFleet(t testing.TB, targets int, dataCentres ...string) *fleet {
	t.Helper()
	hostCounter.Lock()
	hostCounter.n++
	host := fmt.Sprintf("127.%d.%d.%d", 64+os.Getpid()>>8&63, os.Getpid()&255, hostCounter.n)
	hostCounter.Unlock()
	f := &fleet{t: t, host: host, targets: targets, dataCentres: dataCentres}
	var entries []string
	for i, dc := range dataCentres {
		entries = append(entries, fmt.Sprintf("%s=%s:%d", dc, host, daemonPort+3*i+1))
	}
	f.startProgram("fbstandin",
		"-platform", f.address(platformPort), "-target-base", f.address(targetPort),
		"-targets", strconv.Itoa(targets), "-centres", strings.Join(distinct(dataCentres), ","),
		"-entries", strings.Join(entries, ","), "-vm-lag", "50ms")
	f.await("the stand-ins", func() bool { return f.getJSON(platformPort, "/counters", nil) == nil })
	for i := range dataCentres {
		f.daemons = append(f.daemons, nil)
		f.startDaemon(i)
	}
	for i := range dataCentres {
		f.awaitReady(i)
	}
	return f
}

// startDaemon starts daemon i, or restarts it after it has ended. The
// overrides are settings in the form SECTION.KEY=VALUE.
func (f *fleet) startDaemon(i int, overrides ...string) {
	port := daemonPort + 3*i
	args := []string{
		"-set", "daemon.vm=entry-" + strconv.Itoa(i+1),
		"-set", "daemon.data-centre=" + f.dataCentres[i],
		"-set", "daemon.data-centres=" + strings.Join(distinct(f.dataCentres), ","),
		"-set", "daemon.platform=" + f.address(platformPort),
		"-set", "daemon.callers=" + f.address(port),
		"-set", "daemon.peers=" + f.address(port+1),
		"-set", "daemon.operations=" + f.address(port+2),
		"-set", "membership.heartbeat=100ms", "-set", "membership.timeout=1s",
		"-set", "membership.vm-poll=100ms", "-set", "stop.grace=200ms",
	}
	for _, o := range overrides {
		args = append(args, "-set", o)
	}
	f.daemons[i] = f.startProgram("filbertfordd", args...)
	f.daemons[i].port = port
}

// startProgram starts a program that is killed at the end of the test.
func (f *fleet) startProgram(name string, args ...string) *process {
	f.t.Helper()
	log, err := os.Create(filepath.Join(f.t.TempDir(), name+".log"))
	if err != nil {
		f.t.Fatal(err)
	}
	p := &process{t: f.t, cmd: exec.Command(filepath.Join(binaries, name), args...), log: log, done: make(chan struct{})}
	p.cmd.Stderr = log
	if err := p.cmd.Start(); err != nil {
		f.t.Fatal(err)
	}
	processes.Go(func() error {
		defer close(p.done)
		_ = p.cmd.Wait()
		return nil
	})
	f.t.Cleanup(p.killAndCheckLog)
	return p
}

// killAndCheckLog kills the program and fails the test if it logged a panic, an
// invariant violation or a data race.
func (p *process) killAndCheckLog() {
	_ = p.cmd.Process.Kill()
	<-p.done
	text, _ := os.ReadFile(p.log.Name())
	for _, pattern := range []string{"FE1007", "FE1008", "DATA RACE", "panic:"} {
		if bytes.Contains(text, []byte(pattern)) {
			p.t.Errorf("%s logged %s:\n%s", p.cmd.Path, pattern, text)
		}
	}
	if p.t.Failed() {
		p.t.Logf("%v:\n%s", p.cmd.Args, text)
	}
}

func (p *process) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

// awaitExitCode waits until the program has ended and returns its exit code.
func (p *process) awaitExitCode() int {
	select {
	case <-p.done:
		return p.cmd.ProcessState.ExitCode()
	case <-time.After(waitTimeout):
		p.t.Fatalf("%s did not exit in time", p.cmd.Path)
		return 0
	}
}

// kill ends the program with SIGKILL.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.done
}

func (f *fleet) address(port int) string { return f.host + ":" + strconv.Itoa(port) }

// endpoint returns the URL of a daemon's listener for callers.
func (f *fleet) endpoint(i int) string { return "http://" + f.address(daemonPort+3*i) }

// client returns a client of the daemons with the given numbers.
func (f *fleet) client(numbers ...int) *fbclient.Client {
	f.t.Helper()
	var endpoints []string
	for _, i := range numbers {
		endpoints = append(endpoints, f.endpoint(i))
	}
	c, err := fbclient.New(endpoints)
	if err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(c.Close)
	return c
}

// getJSON decodes a JSON reply into value, or discards the reply if value is nil.
func (f *fleet) getJSON(port int, path string, value any) error {
	resp, err := http.Get("http://" + f.address(port) + path)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("%s: %s", path, resp.Status)
	}
	if value == nil {
		_, err = io.Copy(io.Discard, resp.Body)
		return err
	}
	return json.NewDecoder(resp.Body).Decode(value)
}

// setFaults sets the faults that a stand-in injects.
func (f *fleet) setFaults(port int, kind, body string) {
	f.t.Helper()
	resp, err := http.Post("http://"+f.address(port)+"/faults/"+kind, "application/json", strings.NewReader(body))
	if err != nil {
		f.t.Fatal(err)
	}
	defer resp.Body.Close()
	if resp.StatusCode >= http.StatusMultipleChoices {
		f.t.Fatalf("set faults %s: got status %s", body, resp.Status)
	}
}

// targetCounters are the counters of a stand-in target.
type targetCounters struct {
	Starts       int            `json:"starts"`
	Repeats      int            `json:"repeats"`
	Refusals     int            `json:"refusals"`
	Renewals     int            `json:"renewals"`
	Running      int            `json:"running"`
	StartsByWork map[string]int `json:"works"`
}

// totalCounters returns the sums of the counters of all targets.
func (f *fleet) totalCounters() targetCounters {
	f.t.Helper()
	sum := targetCounters{StartsByWork: make(map[string]int)}
	for i := range f.targets {
		var c targetCounters
		if err := f.getJSON(targetPort+i, "/counters", &c); err != nil {
			f.t.Fatal(err)
		}
		sum.Starts += c.Starts
		sum.Repeats += c.Repeats
		sum.Refusals += c.Refusals
		sum.Renewals += c.Renewals
		sum.Running += c.Running
		for name, n := range c.StartsByWork {
			sum.StartsByWork[name] += n
		}
	}
	return sum
}

// checkStartedOnce fails the test if any work was started twice.
func (f *fleet) checkStartedOnce() {
	f.t.Helper()
	c := f.totalCounters()
	if c.Repeats > 0 {
		f.t.Errorf("targets received %d repeated start IDs, want none", c.Repeats)
	}
	for name, n := range c.StartsByWork {
		if n > 1 {
			f.t.Errorf("work %q was started %d times, want once", name, n)
		}
	}
}

// runSettings runs a settings command of the operators' command line against the
// stand-in platform.
func (f *fleet) runSettings(args ...string) {
	f.t.Helper()
	args = append([]string{"settings"}, args...)
	cmd := exec.Command(filepath.Join(binaries, "filbertford"), args...)
	cmd.Env = append(os.Environ(), "FILBERTFORD_PLATFORM="+f.address(platformPort), "FILBERTFORD_OPERATOR=test")
	if out, err := cmd.CombinedOutput(); err != nil {
		f.t.Fatalf("%v: %v\n%s", args, err, out)
	}
}

// settingsVersion returns the settings version that a daemon uses, 0 if the daemon
// does not reply.
func (f *fleet) settingsVersion(i int) int {
	var reply struct {
		Version int `json:"version"`
	}
	if err := f.getJSON(daemonPort+3*i+2, "/v1/settings", &reply); err != nil {
		return 0
	}
	return reply.Version
}

func (f *fleet) awaitReady(i int) {
	f.t.Helper()
	f.await(fmt.Sprintf("daemon %d", i), func() bool { return f.getJSON(daemonPort+3*i, "/readyz", nil) == nil })
}

// awaitPeers waits until a daemon reports the given number of other daemons as
// live.
func (f *fleet) awaitPeers(i, others int) {
	f.t.Helper()
	f.await(fmt.Sprintf("%d peers of daemon %d", others, i), func() bool {
		var vms []struct {
			State string `json:"state"`
		}
		if err := f.getJSON(daemonPort+3*i+2, "/v1/vms", &vms); err != nil {
			return false
		}
		live := 0
		for _, vm := range vms {
			if vm.State == "live" {
				live++
			}
		}
		return live == others
	})
}

// await polls a condition until it holds.
func (f *fleet) await(condition string, holds func() bool) {
	f.t.Helper()
	for deadline := time.Now().Add(waitTimeout); !holds(); {
		if time.Now().After(deadline) {
			f.t.Fatalf("%s: condition not met within %v", condition, waitTimeout)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

func distinct(names []string) []string {
	var out []string
	seen := make(map[string]bool)
	for _, n := range names {
		if !seen[n] {
			seen[n] = true
			out = append(out, n)
		}
	}
	return out
}
