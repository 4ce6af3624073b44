package main

import (
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
)

// TestResumedDaemonDropsRequestsOfCallersThatLeft guards against two runs of a task: a daemon that
// was paused reads requests that their callers have sent to another daemon meanwhile.
func TestResumedDaemonDropsRequestsOfCallersThatLeft(t *testing.T) {
	const jobs = 60
	f := newFleet(t, 48, "nordnes", "nordnes", "sandviken")
	f.waitFor("lists of both pools", 5*time.Second, func() bool { return f.owner("nordnes") != nil && f.owner("sandviken") != nil })
	paused, other := f.nodes[0], f.nodes[2]
	if f.owner("nordnes") == paused {
		paused = f.nodes[1] // the pool's owner starts nothing for a while after a pause
	}
	f.pause(paused)
	body := jobBody(1, 1500, true)
	var left, calls errgroup.Group
	for i := range jobs {
		left.Go(func() error {
			f.callAndLeave(paused, jobKey(i), body, 300*time.Millisecond)
			return nil
		})
	}
	_ = left.Wait() // reports errors itself
	for i := range jobs {
		calls.Go(func() error {
			if r, err := f.call(other, http.MethodPost, jobKey(i), body); err != nil || r.status != http.StatusOK {
				t.Errorf("job %d: got reply %+v and error %v, want status 200", i, r, err)
			}
			return nil
		})
	}
	f.waitFor("start of all tasks in the other pool", 5*time.Second, func() bool { return f.runningIn("sandviken") == jobs })
	if err := paused.command.Process.Signal(syscall.SIGCONT); err != nil {
		t.Fatal(err)
	}
	_ = calls.Wait() // reports errors itself
	f.checkNoOverlappingRuns()
}

// pause stops the process of a daemon and returns when none of its threads runs.
func (f *fleet) pause(n *node) {
	f.t.Helper()
	if err := n.command.Process.Signal(syscall.SIGSTOP); err != nil {
		f.t.Fatal(err)
	}
	f.waitFor("stop of the process", 5*time.Second, func() bool {
		threads, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/status", n.command.Process.Pid))
		return err == nil && len(threads) > 0 && !slices.ContainsFunc(threads, func(path string) bool {
			status, err := os.ReadFile(path)
			return err != nil || !strings.Contains(string(status), "\nState:\tT")
		})
	})
}

// callAndLeave sends a job to a daemon that doesn't answer, and closes the connection.
func (f *fleet) callAndLeave(n *node, key, body string, timeout time.Duration) {
	req, err := http.NewRequest(http.MethodPost, "http://"+n.ports["callers"]+"/jobs/"+key, strings.NewReader(body))
	if err != nil {
		f.t.Error(err)
		return
	}
	req.Host = "depot.example"
	transport := &http.Transport{}
	defer transport.CloseIdleConnections()
	client := http.Client{Transport: transport, Timeout: timeout}
	if resp, err := client.Do(req); err == nil {
		_ = resp.Body.Close()
		f.t.Errorf("job %s: got status %d, want no answer", key, resp.StatusCode)
	}
}

// owner returns the daemon that owns the pool by its log and has read the lists of all its targets,
// nil if there is none.
func (f *fleet) owner(pool string) *node {
	for _, n := range f.nodes {
		text := n.logs.String()
		acquired := strings.Count(text, "event=FE7031 pool="+pool+" ")
		released := strings.Count(text, "event=FE7032 pool="+pool+" ")
		if acquired > released && strings.Contains(text, "event=FE7035 pool="+pool+" ") {
			return n
		}
	}
	return nil
}
