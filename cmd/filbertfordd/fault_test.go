package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/filbertford/filbertford"
	"github.com/filbertford/filbertford/fbclient"
)

// TestResubmissionAfterOwnerIsKilled kills a daemon with a job in flight and
// resubmits the job through another daemon. The answer must be that the outcome is
// unknown or that the resubmission started nothing. No task may be started twice,
// and the slots must become free when the killed daemon's lease expires.
func TestResubmissionAfterOwnerIsKilled(t *testing.T) {
	f := newFleet(t, 2, "nordnes", "nordnes")
	f.awaitPeers(0, 1)
	f.awaitPeers(1, 1)
	id := f.mintID(0, "x")
	job := newJob("killed", 4, 600_000)
	job = job.WithTimeout(time.Minute)
	var g errgroup.Group
	g.Go(func() error {
		_, _, _ = f.client(0).SubmitAs(t.Context(), id, job)
		return nil
	})
	f.await("start", func() bool { return f.totalCounters().Running == 4 })
	f.daemons[0].kill()
	_ = g.Wait()
	a, _, err := f.client(1).SubmitAs(t.Context(), id, job)
	allowed := err != nil || a.Code() == filbertford.CodeOutcomeUnknown ||
		a.Code().Class() == filbertford.ClassNotStarted
	if !allowed {
		t.Errorf("resubmission after the owner was killed: got code %s, want an unknown outcome or nothing started", a.Code())
	}
	f.await("free slots after the killed daemon", func() bool { return f.totalCounters().Running == 0 })
	submitAndCheck(t, f, 1, "after")
	f.checkStartedOnce()
}

// TestOwnerSuspendedBeyondLease suspends a daemon for longer than its lease at the
// targets. When it resumes, it must answer the job with an unknown outcome and
// serve new jobs.
func TestOwnerSuspendedBeyondLease(t *testing.T) {
	f := newFleet(t, 2, "nordnes", "nordnes")
	f.awaitPeers(0, 1)
	id := f.mintID(0, "x")
	type submitResult struct {
		a   filbertford.Answer
		err error
	}
	results := make(chan submitResult, 1)
	processes.Go(func() error {
		a, _, err := f.client(0).SubmitAs(t.Context(), id, newJob("frozen", 2, 600_000).WithTimeout(time.Minute))
		results <- submitResult{a, err}
		return nil
	})
	f.await("start", func() bool { return f.totalCounters().Running == 2 })
	f.daemons[0].signal(syscall.SIGSTOP)
	f.await("expiry of the lease", func() bool { return f.totalCounters().Running == 0 })
	f.daemons[0].signal(syscall.SIGCONT)
	got := <-results
	if code := got.a.Code(); code != filbertford.CodeOutcomeUnknown && !errors.Is(got.err, fbclient.ErrOutcomeUnknown) {
		t.Errorf("job of the suspended daemon: got code %s, error %v, want an unknown outcome", code, got.err)
	}
	submitAndCheck(t, f, 0, "thawed")
	f.checkStartedOnce()
}

// TestTargetConnectionFaults closes the connections to a target at each point of a
// request, and lets the target send wrong replies. No task may be started twice,
// and each job must be answered.
func TestTargetConnectionFaults(t *testing.T) {
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
			f.setFaults(targetPort, "target", fault)
			codes := make(map[filbertford.Code]int)
			for i := range 20 {
				a, err := c.Submit(t.Context(), newJob(strings.ReplaceAll(name, " ", "-")+fmt.Sprint(i), 6, 5))
				if err != nil && !errors.Is(err, fbclient.ErrOutcomeUnknown) {
					t.Error(err)
				}
				codes[a.Code()]++
			}
			f.setFaults(targetPort, "target", `{}`)
			f.checkStartedOnce()
			t.Log(codes)
		})
	}
}

// TestPlatformOutage stops the platform. Jobs with pinned IDs must still be
// answered, and a daemon that starts meanwhile must get its settings and the VM
// list from its peers.
func TestPlatformOutage(t *testing.T) {
	f := newFleet(t, 4, "nordnes", "nordnes")
	f.awaitPeers(0, 1)
	f.awaitPeers(1, 1)
	f.setFaults(platformPort, "platform", `{"down": true}`)
	for i := range 20 {
		submitAndCheck(t, f, i%2, fmt.Sprintf("outage-%d", i))
	}
	f.daemons[1].kill()
	f.startDaemon(1, "daemon.seeds="+f.address(daemonPort+1))
	f.awaitReady(1)
	submitAndCheck(t, f, 1, "booted")
	f.setFaults(platformPort, "platform", `{"down": false}`)
	submitAndCheck(t, f, 1, "back")
	f.checkStartedOnce()
}

// TestDataCentreCutOffFromPlatformAndPeers stops the platform and suspends the
// daemons of the other data centre. Jobs with pinned IDs must still be answered.
func TestDataCentreCutOffFromPlatformAndPeers(t *testing.T) {
	f := newFleet(t, 4, "nordnes", "sandviken", "sandviken")
	for i := range 3 {
		f.awaitPeers(i, 2)
	}
	f.setFaults(platformPort, "platform", `{"down": true}`)
	f.daemons[1].signal(syscall.SIGSTOP)
	f.daemons[2].signal(syscall.SIGSTOP)
	for i := range 50 {
		submitAndCheck(t, f, 0, fmt.Sprintf("cut-%d", i))
	}
	f.daemons[1].signal(syscall.SIGCONT)
	f.daemons[2].signal(syscall.SIGCONT)
	f.checkStartedOnce()
}

// TestForwardToSuspendedOwner suspends a daemon and delivers one of its IDs through
// another daemon. After the job's timeout the answer must be that the outcome is
// unknown.
func TestForwardToSuspendedOwner(t *testing.T) {
	f := newFleet(t, 2, "nordnes", "nordnes")
	f.awaitPeers(0, 1)
	f.awaitPeers(1, 1)
	id := f.mintID(0, "x")
	submitAndCheck(t, f, 1, "warm") // leaves an idle connection between the daemons
	f.daemons[0].signal(syscall.SIGSTOP)
	body := `{"team": "depot", "service": "ordering", "timeout_ms": 500, "tasks": [{"args": {}}]}`
	req, err := http.NewRequest(http.MethodPost, f.endpoint(1)+"/v1/jobs", strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Idempotency-Key", id.String())
	resp, err := (&http.Client{Timeout: waitTimeout}).Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	var reply struct {
		Code filbertford.Code `json:"code"`
	}
	if err := json.NewDecoder(resp.Body).Decode(&reply); err != nil || reply.Code != filbertford.CodeOutcomeUnknown {
		t.Errorf("got code %s, error %v, want an unknown outcome", reply.Code, err)
	}
	f.daemons[0].signal(syscall.SIGCONT)
}

// TestTargetThatStopsReplying makes a target with tasks stop replying. Their jobs
// must end by their deadline. The daemon must close its connections to the target,
// so that the target serves jobs again once it replies.
func TestTargetThatStopsReplying(t *testing.T) {
	f := newFleet(t, 1, "nordnes")
	c := f.client(0)
	f.setFaults(targetPort, "target", `{"freeze": true}`)
	for round := range 3 {
		a, err := c.Submit(t.Context(), newJob(fmt.Sprintf("frozen-%d", round), 8, 5).WithTimeout(500*time.Millisecond))
		if err == nil && a.Code() == filbertford.CodeComplete {
			t.Errorf("job at a target that does not reply: got code %s, want the job to fail", a.Code())
		}
	}
	f.setFaults(targetPort, "target", `{"freeze": false}`)
	f.await("job at the target that replies again", func() bool {
		a, err := c.Submit(t.Context(), newJob(fmt.Sprintf("thawed-%d", time.Now().UnixNano()), 8, 5).WithTimeout(time.Second))
		return err == nil && a.Code() == filbertford.CodeComplete
	})
	f.checkStartedOnce()
}
