package fbcrowd

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/filbertford/filbertford/fbstandin"
)

// binaries is the directory of the programs under test. They are built without the race
// detector, which multiplies the memory of a process.
var binaries string

func TestMain(m *testing.M) { os.Exit(buildAndRun(m)) }

func buildAndRun(m *testing.M) int {
	dir, err := os.MkdirTemp("", "fbcrowd")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	binaries = dir
	build := exec.Command("go", "build", "-o", dir, "../cmd/filbertfordnode", "../cmd/filbertfordd", "../cmd/fbstandfleet", "../cmd/fbstandin")
	if out, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "%s\n%v\n", out, err)
		return 1
	}
	return m.Run()
}

// answerTimeout is the longest time that a test waits for an ordinary answer or for a process
// to become ready. It only ends tests of daemons that hang.
const answerTimeout = time.Minute

// daemon is a daemon under test, a process with limits on its memory and its descriptors.
type daemon struct {
	t           *testing.T
	command     *exec.Cmd
	memory      int // limit in bytes, as in its settings
	descriptors int // limit of the operating system
	callers     string
	others      []string // URLs of the listeners for readiness and metrics
	newRequest  func(body string) *http.Request
	head        func(i int) string // of the request of caller i, without the length of the body
	job         string
}

// startDaemon starts a program with at most the given number of descriptors.
func startDaemon(t *testing.T, descriptors int, name string, settings map[string]string) *daemon {
	t.Helper()
	args := []string{"-c", fmt.Sprintf(`ulimit -n %d && exec "$@"`, descriptors), "sh", filepath.Join(binaries, name)}
	for key, value := range settings {
		args = append(args, "-set", key+"="+value)
	}
	return &daemon{t: t, command: start(t, "sh", args...), descriptors: descriptors}
}

// start starts a program that is killed at the end of the test.
func start(t *testing.T, path string, args ...string) *exec.Cmd {
	t.Helper()
	output, err := os.Create(filepath.Join(t.TempDir(), "log"))
	if err != nil {
		t.Fatal(err)
	}
	c := exec.Command(path, args...)
	c.Stdout, c.Stderr = output, output
	if err := c.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = c.Process.Kill() // fails if the process has ended, which the test reports
		_ = c.Wait()
		_ = output.Close()
		if t.Failed() || os.Getenv("CROWD_LOG") != "" {
			text, _ := os.ReadFile(output.Name())
			t.Logf("%s:\n%s", strings.Join(c.Args, " "), text[max(0, len(text)-8000):])
		}
	})
	return c
}

// startNode starts a daemon of a fleet with 64 MB of memory and stand-ins for its platform.
func startNode(t *testing.T, descriptors int) *daemon {
	const memoryMB = 64
	store, worker := freeAddress(t), freeAddress(t)
	_, port, _ := strings.Cut(worker, ":")
	start(t, filepath.Join(binaries, "fbstandfleet"), "-store", store, "-first-port", port, "-workers", "1")
	callers, readiness, metrics := freeAddress(t), freeAddress(t), freeAddress(t)
	d := startDaemon(t, descriptors, "filbertfordnode", map[string]string{
		"node.store": store, "node.callers": callers, "node.readiness": readiness, "node.metrics": metrics,
		"node.peers": freeAddress(t), "node.memory-mb": strconv.Itoa(memoryMB),
	})
	d.memory, d.callers = memoryMB<<20, callers
	d.others = []string{"http://" + readiness + "/-/ready", "http://" + metrics + "/metrics"}
	d.job = `{"spec":"{\"run_ms\":10,\"cpu\":100}","steps":[{"count":1,"cpu":100,"memMb":8,"estimateMs":10}],"bestEffort":true}`
	d.head = func(i int) string {
		return fmt.Sprintf("POST /jobs/%016x HTTP/1.1\r\nHost: depot.example\r\nDeadline-Ms: 5000\r\n", 0x1000+i)
	}
	last := 0
	d.newRequest = func(body string) *http.Request {
		last++
		req := newRequest(t, "http://"+callers+fmt.Sprintf("/jobs/%016x", last), body)
		req.Host = "depot.example"
		return req
	}
	d.waitReady()
	return d
}

// startEntryDaemon starts a stand-alone daemon with 64 MB of memory and stand-ins for its
// platform.
func startEntryDaemon(t *testing.T, descriptors int) *daemon {
	const memory = 64 << 20
	platform, target, callers, peers, operations := freeAddress(t), freeAddress(t), freeAddress(t), freeAddress(t), freeAddress(t)
	start(t, filepath.Join(binaries, "fbstandin"), "-platform", platform, "-target-base", target, "-targets", "1",
		"-entries", "nordnes="+peers, "-vm-lag", "50ms")
	d := startDaemon(t, descriptors, "filbertfordd", map[string]string{
		"daemon.platform": platform, "daemon.callers": callers, "daemon.peers": peers, "daemon.operations": operations,
		"daemon.data-centres": "nordnes", "limits.memory": strconv.Itoa(memory),
	})
	d.memory, d.callers = memory, callers
	d.others = []string{"http://" + operations + "/metrics"}
	d.job = `{"team":"depot","service":"ordering","timeout_ms":5000,"tasks":[{"args":{"run_ms":10},"size_ms":10}]}`
	d.head = func(int) string { return "POST /v1/jobs HTTP/1.1\r\nHost: depot.example\r\n" }
	d.newRequest = func(body string) *http.Request { return newRequest(t, "http://"+callers+"/v1/jobs", body) }
	d.waitReady()
	return d
}

func freeAddress(t *testing.T) string {
	t.Helper()
	address, err := fbstandin.FreeAddress()
	if err != nil {
		t.Fatal(err)
	}
	return address
}

func newRequest(t *testing.T, url, body string) *http.Request {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, url, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Content-Type", "application/json")
	return req
}

// waitReady waits until the daemon answers an ordinary job.
func (d *daemon) waitReady() {
	d.t.Helper()
	d.checkServes("before the crowd", d.job)
}

// checkServes fails the test if no attempt at a job is answered with success.
func (d *daemon) checkServes(when, body string) {
	d.t.Helper()
	client := http.Client{Timeout: 10 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	result := "no attempt"
	for deadline := time.Now().Add(answerTimeout); time.Now().Before(deadline); time.Sleep(200 * time.Millisecond) {
		resp, err := client.Do(d.newRequest(body))
		if err != nil {
			result = err.Error()
			continue
		}
		text, _ := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return
		}
		result = fmt.Sprintf("%s %s", resp.Status, text)
	}
	d.t.Errorf("%s: an ordinary job of %d bytes has no successful answer in %v, last: %s", when, len(body), answerTimeout, result)
}

// checkOtherListeners fails the test if the listeners for readiness and metrics don't answer.
func (d *daemon) checkOtherListeners() {
	d.t.Helper()
	client := http.Client{Timeout: answerTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	for _, url := range d.others {
		resp, err := client.Get(url)
		if err != nil {
			d.t.Errorf("listener beside that for callers: %v", err)
			continue
		}
		_ = resp.Body.Close()
	}
}

// usage is what a process holds at a moment, or the highest values seen.
type usage struct {
	memory      int // resident memory and the bytes that its sockets have received and it hasn't read
	descriptors int
}

// checkLimits fails the test if the process has ended, has ever used more memory than its
// setting allows, or has left less than a quarter of its descriptors free, which it needs for
// targets, peers, the store, metrics and readiness. Unread bytes count as memory of the process,
// as on the users' machines.
func (d *daemon) checkLimits(highest usage) {
	d.t.Helper()
	peak := max(d.statusBytes("VmHWM:"), highest.memory)
	d.t.Logf("highest: %d MB of memory, %d descriptors", peak>>20, highest.descriptors)
	if peak > d.memory {
		d.t.Errorf("the process used %d MB of memory, its limit is %d MB", peak>>20, d.memory>>20)
	}
	if limit := d.descriptors * 3 / 4; highest.descriptors > limit {
		d.t.Errorf("the process had %d descriptors open, want at most %d of %d", highest.descriptors, limit, d.descriptors)
	}
}

// measure returns what the process holds, without the descriptors if it has ended.
func (d *daemon) measure() usage {
	d.t.Helper()
	entries, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", d.command.Process.Pid))
	return usage{memory: d.statusBytes("VmRSS:") + d.unreadBytes(), descriptors: len(entries)}
}

// statusBytes returns a size in bytes from the status of the process, 0 if it has ended.
func (d *daemon) statusBytes(field string) int {
	status, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", d.command.Process.Pid))
	for line := range strings.Lines(string(status)) {
		if value, ok := strings.CutPrefix(line, field); ok {
			kilobytes, err := strconv.Atoi(strings.TrimSuffix(strings.TrimSpace(value), " kB"))
			if err != nil {
				d.t.Error(err)
			}
			return kilobytes << 10
		}
	}
	d.t.Errorf("the process has ended: %s", status)
	return 0
}

// unreadBytes returns how many bytes the daemon's connections to callers have received that it
// hasn't read.
func (d *daemon) unreadBytes() int {
	table, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		d.t.Error(err)
	}
	_, port, _ := strings.Cut(d.callers, ":")
	n, err := strconv.Atoi(port)
	if err != nil {
		d.t.Error(err)
	}
	suffix := fmt.Sprintf(":%04X", n)
	total := 0
	for line := range strings.Lines(string(table)) {
		const local, state, queues = 1, 3, 4 // columns of the table
		columns := strings.Fields(line)
		if len(columns) <= queues || !strings.HasSuffix(columns[local], suffix) || columns[state] == "0A" {
			continue // of another listener, or the listener itself
		}
		_, received, _ := strings.Cut(columns[queues], ":")
		unread, err := strconv.ParseInt(received, 16, 64)
		if err != nil {
			d.t.Error(err)
		}
		total += int(unread)
	}
	return total
}
