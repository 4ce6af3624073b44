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

// TestResubmissionAfterOwnerIsKilled kills a daemon with jobs in flight. Resubmissions through
// another are answered with a truth, nothing starts twice, and the slots come
// back when the dead daemon's lease has lapsed.
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
		t.Errorf("a resubmission after the owner's death was answered %s", a.Code())
	}
	f.await("slots of the dead daemon", func() bool { return f.totalCounters().Running == 0 })
	submitAndCheck(t, f, 1, "after")
	f.checkStartedOnce()
}

// TestOwnerSuspendedBeyondLease stops a daemon for longer than its lease. It learns of the
// lapse when it goes on, answers the job as unknown, and works again.
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
	f.await("lapse of the lease", func() bool { return f.totalCounters().Running == 0 })
	f.daemons[0].signal(syscall.SIGCONT)
	got := <-results
	if code := got.a.Code(); code != filbertford.CodeOutcomeUnknown && !errors.Is(got.err, fbclient.ErrOutcomeUnknown) {
		t.Errorf("the frozen daemon's job was answered %s, %v", code, got.err)
	}
	submitAndCheck(t, f, 0, "thawed")
	f.checkStartedOnce()
}

// TestTargetConnectionFaults cuts the connections to targets at each point and lets
// targets answer wrongly: no work is started twice, and each job is answered.
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

// TestPlatformOutage takes the platform away: pinned jobs go on, and a daemon
// that boots meanwhile gets its settings from its peers.
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

// TestDataCentreCutOffFromPlatformAndPeers takes the platform and the other data centre away:
// pinned jobs are answered as before.
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

// TestForwardToSuspendedOwner delivers an ID whose owner is frozen through another daemon:
// the answer comes after the job's timeout and says that the outcome is unknown.
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
		t.Errorf("answered %s, %v", reply.Code, err)
	}
	f.daemons[0].signal(syscall.SIGCONT)
}

// TestTargetThatStopsReplying freezes a target with tasks: their jobs end by their
// deadline, and the daemon's connections to it are given up, so that it serves
// again when it has thawed.
func TestTargetThatStopsReplying(t *testing.T) {
	f := newFleet(t, 1, "nordnes")
	c := f.client(0)
	f.setFaults(targetPort, "target", `{"freeze": true}`)
	for round := range 3 {
		a, err := c.Submit(t.Context(), newJob(fmt.Sprintf("frozen-%d", round), 8, 5).WithTimeout(500*time.Millisecond))
		if err == nil && a.Code() == filbertford.CodeComplete {
			t.Errorf("a job at a frozen target was answered %s", a.Code())
		}
	}
	f.setFaults(targetPort, "target", `{"freeze": false}`)
	f.await("the thawed target", func() bool {
		a, err := c.Submit(t.Context(), newJob(fmt.Sprintf("thawed-%d", time.Now().UnixNano()), 8, 5).WithTimeout(time.Second))
		return err == nil && a.Code() == filbertford.CodeComplete
	})
	f.checkStartedOnce()
}
