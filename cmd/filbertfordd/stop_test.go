package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"

	"golang.org/x/sync/errgroup"

	"github.com/filbertford/filbertford"
	"github.com/filbertford/filbertford/fbclient"
)

// loadGenerator submits jobs until it is stopped and records their IDs.
type loadGenerator struct {
	f      *fleet
	stop   context.CancelFunc
	g      errgroup.Group
	failed atomic.Int64

	mu        sync.Mutex
	completed map[string]filbertford.SubmissionID
}

// startLoad starts goroutines that each submit one job after another.
func startLoad(f *fleet, c *fbclient.Client, goroutines int) *loadGenerator {
	ctx, cancel := context.WithCancel(context.Background())
	l := &loadGenerator{f: f, stop: cancel, completed: make(map[string]filbertford.SubmissionID)}
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

func (l *loadGenerator) submit(c *fbclient.Client, name string) {
	a, trace, err := c.SubmitTraced(context.Background(), newJob(name, 2, 20))
	if err != nil || a.Code() != filbertford.CodeComplete {
		l.failed.Add(1)
		l.f.t.Errorf("%s: got %s %s, error %v, want a complete answer", name, a.Code(), a.Detail(), err)
		return
	}
	checkResults(l.f.t, name, 2, a)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.completed[name] = trace.ID()
}

// stopAndWait stops the load, waits for the jobs in flight and returns the IDs of
// the completed jobs by name.
func (l *loadGenerator) stopAndWait() map[string]filbertford.SubmissionID {
	l.stop()
	_ = l.g.Wait()
	return l.completed
}

// completedCount returns the number of completed jobs.
func (l *loadGenerator) completedCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.completed)
}

// TestGracefulStopUnderLoad stops a daemon under load. It must first report that it
// is not ready, complete all jobs in flight and exit with code 0.
func TestGracefulStopUnderLoad(t *testing.T) {
	f := newFleet(t, 8, "nordnes", "nordnes")
	f.awaitPeers(0, 1)
	f.awaitPeers(1, 1)
	l := startLoad(f, f.client(0, 1), 16)
	f.await("load", func() bool { return l.completedCount() > 50 })
	f.daemons[0].signal(syscall.SIGTERM)
	f.await("daemon 0 not ready", func() bool {
		resp, err := http.Get(f.endpoint(0) + "/readyz")
		if err != nil {
			return true
		}
		defer resp.Body.Close()
		return resp.StatusCode == http.StatusServiceUnavailable
	})
	if code := f.daemons[0].awaitExitCode(); code != exitOK {
		t.Errorf("got exit code %d, want 0", code)
	}
	before := l.completedCount()
	f.await("load on the other daemon", func() bool { return l.completedCount() > before+50 })
	l.stopAndWait()
	f.checkStartedOnce()
}

// TestRollingRestartUnderLoad restarts all daemons one after another under load. No
// job may be lost, no task may be started twice, and resubmissions must get the
// original answers afterwards.
func TestRollingRestartUnderLoad(t *testing.T) {
	f := newFleet(t, 8, "nordnes", "nordnes", "nordnes")
	for i := range 3 {
		f.awaitPeers(i, 2)
	}
	l := startLoad(f, f.client(0, 1, 2), 12)
	for i := range 3 {
		before := l.completedCount()
		f.await("load", func() bool { return l.completedCount() > before+50 })
		f.daemons[i].signal(syscall.SIGTERM)
		if code := f.daemons[i].awaitExitCode(); code != exitOK {
			t.Errorf("daemon %d: got exit code %d, want 0", i, code)
		}
		f.startDaemon(i)
		f.awaitReady(i)
		for j := range 3 {
			f.awaitPeers(j, 2)
		}
	}
	done := l.stopAndWait()
	c := f.client(0, 1, 2)
	for name, id := range done {
		a, _, err := c.SubmitAs(t.Context(), id, newJob(name, 2, 20))
		if err != nil {
			t.Fatalf("%s: %v", name, err)
		}
		checkResults(t, name, 2, a)
	}
	f.checkStartedOnce()
	t.Logf("%d jobs", len(done))
}

// TestOpaqueKeysAfterOwnerStops resubmits opaque keys after the graceful stop of a
// daemon that owns some of them. The answers must be the original ones, and no task
// may be started again.
func TestOpaqueKeysAfterOwnerStops(t *testing.T) {
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
		a, _, err := c.SubmitAs(t.Context(), id, newJob(fmt.Sprintf("opaque-%d", n), 2, 5))
		if err != nil {
			t.Fatal(err)
		}
		return a
	}
	f.await("the view of opaque keys", func() bool { return submit(0).Code() == filbertford.CodeComplete })
	for n := range 30 {
		checkResults(t, fmt.Sprintf("opaque-%d", n), 2, submit(n))
	}
	f.daemons[0].signal(syscall.SIGTERM)
	if code := f.daemons[0].awaitExitCode(); code != exitOK {
		t.Errorf("got exit code %d, want 0", code)
	}
	for n := range 30 {
		var a filbertford.Answer
		f.await("a reachable owner", func() bool {
			a = submit(n)
			return a.Code().Class() != filbertford.ClassNotStarted
		})
		checkResults(t, fmt.Sprintf("opaque-%d", n), 2, a)
	}
	f.checkStartedOnce()
}
