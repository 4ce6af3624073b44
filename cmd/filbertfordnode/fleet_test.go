package main

import (
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/filbertford/filbertford/fbstandin"
)

// TestBestEffortJobsComplete submits jobs to three daemons in two data centres.
func TestBestEffortJobsComplete(t *testing.T) {
	f := newFleet(t, 6, "nordnes", "nordnes", "sandviken")
	for i, r := range f.submitAll(0, 60, jobBody(3, 40, true), f.nodes...) {
		if r.status != http.StatusOK || r.state != "completed" {
			t.Errorf("job %d: got reply %+v, want status 200 and state completed", i, r)
		}
	}
	f.checkNoOverlappingRuns()
	if n := len(f.runs.DoneCounts()); n != 180 {
		t.Errorf("got %d completed tasks, want 180", n)
	}
}

// TestInvalidRequestsAreRejected submits jobs with an unknown route, an invalid ID or
// an invalid body.
func TestInvalidRequestsAreRejected(t *testing.T) {
	f := newFleet(t, 1, "nordnes")
	tests := map[string]struct {
		path, body string
		want       int
	}{
		"route":      {path: "/other/0000000000000001", body: jobBody(1, 1, true), want: http.StatusNotFound},
		"key":        {path: "/jobs/1", body: jobBody(1, 1, true), want: http.StatusNotFound},
		"malformed":  {path: "/jobs/0000000000000001", body: `{"steps":`, want: http.StatusBadRequest},
		"no steps":   {path: "/jobs/0000000000000001", body: `{"spec":""}`, want: http.StatusBadRequest},
		"many steps": {path: "/jobs/0000000000000001", body: `{"steps":[` + strings.Repeat(`{"count":1},`, 64) + `{"count":1}]}`, want: http.StatusBadRequest},
		"many tasks": {path: "/jobs/0000000000000001", body: `{"steps":[` + strings.Repeat(`{"count":4096},`, 63) + `{"count":4096}],"bestEffort":true}`, want: http.StatusRequestEntityTooLarge},
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
				t.Errorf("got status %d, want %d", resp.StatusCode, tt.want)
			}
		})
	}
}

// TestOversizedStoredJobDoesNotBlockOthers guards against a job that the store refuses for its
// size, and with it all jobs of its shard that come after it.
func TestOversizedStoredJobDoesNotBlockOthers(t *testing.T) {
	f := newFleet(t, 1, "nordnes")
	large := strings.Replace(jobBody(1, 1, false), `"count"`, `"requiredLabel":"`+strings.Repeat("x", 100_000)+`","count"`, 1)
	for i := range 16 { // in all shards
		if r, err := f.call(f.nodes[0], http.MethodPost, jobKey(1000+i), large); err != nil || r.status != http.StatusRequestEntityTooLarge {
			t.Errorf("job with a label of 100,000 bytes: got reply %+v and error %v, want status 413", r, err)
		}
	}
	for i, r := range f.submitAll(0, 16, jobBody(1, 1, false), f.nodes[0]) {
		if r.status != http.StatusOK {
			t.Errorf("job %d: got reply %+v, want status 200", i, r)
		}
	}
}

// TestJobsCompleteWhenOwnersAreKilled kills two of three daemons, one after the
// other, while jobs are submitted to the third. All jobs must complete, and none may
// take as long as if the successor had to read the claims from the store first.
func TestJobsCompleteWhenOwnersAreKilled(t *testing.T) {
	f := newFleet(t, 6, "nordnes", "nordnes", "nordnes")
	var g errgroup.Group
	survivor := f.nodes[2]
	g.Go(func() error {
		for i, r := range f.submitAll(0, 150, jobBody(2, 60, true), survivor) {
			if r.latency > 2500*time.Millisecond {
				t.Errorf("job %d: got a latency of %v, want at most 2.5 s", i, r.latency)
			}
			if r.status != http.StatusOK || r.state != "completed" {
				t.Errorf("job %d: got reply %+v, want status 200 and state completed", i, r)
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
	f.checkNoOverlappingRuns()
}

// TestPausedOwnerRunsNoTaskTwice pauses a daemon with SIGSTOP until others have
// taken over its pools, and continues it with SIGCONT.
func TestPausedOwnerRunsNoTaskTwice(t *testing.T) {
	f := newFleet(t, 4, "nordnes", "nordnes", "nordnes")
	var g errgroup.Group
	g.Go(func() error {
		f.submitAll(0, 120, jobBody(2, 60, true), f.nodes[1], f.nodes[2])
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
	f.checkNoOverlappingRuns()
}

// TestJobsCompleteWithFaultyWorkers checks that all jobs complete while one worker
// loses replies, carries out calls late, fails or hangs.
func TestJobsCompleteWithFaultyWorkers(t *testing.T) {
	tests := map[string]fbstandin.WorkerFaults{
		"lost replies": {LoseReplyEvery: 5},
		"late":         {LoseReplyEvery: 7, DelayMS: 1500},
		"fails":        {Fail: true},
		"hangs":        {Hang: true},
	}
	for name, faults := range tests {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, 6, "nordnes", "nordnes")
			f.workers[0].SetFaults(faults)
			for i, r := range f.submitAll(0, 40, jobBody(2, 40, true), f.nodes...) {
				if r.status != http.StatusOK || r.state != "completed" {
					t.Errorf("job %d: got reply %+v, want status 200 and state completed", i, r)
				}
			}
			f.checkNoOverlappingRuns()
		})
	}
}

// TestJobsCompleteWhileStoreIsDown checks that all jobs complete while the store
// refuses calls or doesn't reply.
func TestJobsCompleteWhileStoreIsDown(t *testing.T) {
	for _, fault := range []string{"busy", "silent"} {
		t.Run(fault, func(t *testing.T) {
			f := newFleet(t, 4, "nordnes", "nordnes")
			f.store.SetFaults(fbstandin.RowFaults{Outage: fault})
			for i, r := range f.submitAll(0, 40, jobBody(2, 30, true), f.nodes...) {
				if r.status != http.StatusOK || r.state != "completed" {
					t.Errorf("job %d: got reply %+v, want status 200 and state completed", i, r)
				}
			}
			f.checkNoOverlappingRuns()
		})
	}
}

// TestStopCompletesOpenRequests sends SIGTERM to a daemon while requests are open.
// The daemon must answer them and exit without an error.
func TestStopCompletesOpenRequests(t *testing.T) {
	f := newFleet(t, 4, "nordnes", "nordnes")
	var g errgroup.Group
	g.Go(func() error {
		for i, r := range f.submitAll(0, 8, jobBody(1, 1000, true), f.nodes[0]) {
			if r.status != http.StatusOK || r.state != "completed" {
				t.Errorf("job %d: got reply %+v, want status 200 and state completed", i, r)
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
		t.Errorf("daemon exited with error %v, want none", err)
	}
	f.nodes[0].command = nil
	f.checkNoOverlappingRuns()
}

// TestStoredJobsSurviveRestart stores jobs, kills all daemons and starts them again.
// Each job must complete, and none of its tasks may be completed twice.
func TestStoredJobsSurviveRestart(t *testing.T) {
	f := newFleet(t, 4, "nordnes", "nordnes")
	f.store.SetFaults(fbstandin.RowFaults{LoseReplyEvery: 9})
	for i, r := range f.submitAll(0, 20, jobBody(3, 250, false), f.nodes...) {
		if r.status != http.StatusOK {
			t.Errorf("job %d: got reply %+v, want status 200", i, r)
		}
	}
	for _, n := range f.nodes {
		f.kill(n)
	}
	for _, n := range f.nodes {
		f.start(n)
	}
	for i := range 20 {
		f.waitFor("end of job "+jobKey(i), 20*time.Second, func() bool {
			r, err := f.call(f.nodes[i%2], http.MethodGet, jobKey(i), "")
			return err == nil && r.status == http.StatusOK && r.state == "completed"
		})
	}
	f.checkNoOverlappingRuns()
	for task, n := range f.runs.DoneCounts() {
		if n > 1 {
			t.Errorf("task %s was completed %d times, want once", task, n)
		}
	}
}

// TestCancelStopsTasksOfStoredJob checks that the tasks of a running job stop when the
// job is cancelled.
func TestCancelStopsTasksOfStoredJob(t *testing.T) {
	f := newFleet(t, 2, "nordnes", "nordnes")
	if r, err := f.call(f.nodes[0], http.MethodPost, jobKey(0), jobBody(4, 20_000, false)); err != nil || r.status != http.StatusOK {
		t.Fatal(r, err)
	}
	running := func() int { return len(f.workers[0].Running()) + len(f.workers[1].Running()) }
	f.waitFor("start of all tasks", 3*time.Second, func() bool { return running() == 4 })
	if r, err := f.call(f.nodes[1], http.MethodDelete, jobKey(0), ""); err != nil || r.status != http.StatusOK {
		t.Fatal(r, err)
	}
	f.waitFor("end of all tasks", time.Second, func() bool { return running() == 0 })
	if r, err := f.call(f.nodes[0], http.MethodGet, jobKey(0), ""); err != nil || r.state != "cancelled" {
		t.Error(r, err)
	}
	if r, err := f.call(f.nodes[0], http.MethodGet, jobKey(7), ""); err != nil || r.status != http.StatusGone {
		t.Error("state of a job that was not submitted, want status 410:", r, err)
	}
}
