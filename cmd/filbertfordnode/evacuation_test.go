package main

import (
	"net/http"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
)

// TestEvacuationMovesTasks evacuates a data centre during a burst of best-effort and stored jobs
// and restarts all daemons. It guards against tasks that are lost or run twice when they move,
// against starts in the data centre while its row exists, and against other rows that delay it.
func TestEvacuationMovesTasks(t *testing.T) {
	f := newFleet(t, 4, "nordnes", "sandviken")
	var calls errgroup.Group
	calls.Go(func() error {
		f.submitAll(100, 10, jobBody(4, 200, false), f.nodes...)
		return nil
	})
	time.AfterFunc(150*time.Millisecond, func() {
		for _, dc := range []string{"", "nowhere", "nordnes"} {
			f.store.Evacuate(dc)
		}
	})
	f.checkCompleted(f.submitAll(0, 10, jobBody(4, 200, true), f.nodes[0]))
	_ = calls.Wait() // submitAll reports errors itself
	f.waitFor("end of all tasks", 10*time.Second, func() bool { return len(f.runs.DoneCounts()) == 80 })
	f.checkNothingIn("nordnes", 200)
	for _, n := range f.nodes {
		f.kill(n)
	}
	for _, n := range f.nodes {
		f.start(n)
	}
	for _, n := range f.nodes {
		f.waitReady(n)
	}
	f.checkNothingIn("nordnes", 300)
	f.store.Compact()
	f.store.EndEvacuation("nordnes")
	f.waitFor("start after the evacuation", 5*time.Second, func() bool {
		calls.Go(func() error {
			f.submitAll(400, 1, jobBody(1, 100, true), f.nodes[0])
			return nil
		})
		time.Sleep(50 * time.Millisecond)
		return f.runningIn("nordnes") > 0
	})
	_ = calls.Wait()
	f.checkNoOverlappingRuns()
}

func (f *fleet) checkCompleted(replies []reply) {
	f.t.Helper()
	for i, r := range replies {
		if r.status != http.StatusOK || r.state != "completed" {
			f.t.Errorf("job %d: got reply %+v, want status 200 and state completed", i, r)
		}
	}
}

// checkNothingIn submits jobs and fails the test if any of their tasks runs in the data centre.
func (f *fleet) checkNothingIn(dataCentre string, firstJob int) {
	f.t.Helper()
	done := make(chan []reply, 1)
	var calls errgroup.Group
	calls.Go(func() error {
		done <- f.submitAll(firstJob, 10, jobBody(2, 50, true), f.nodes...)
		return nil
	})
	for {
		select {
		case replies := <-done:
			f.checkCompleted(replies)
			return
		case <-time.After(5 * time.Millisecond):
			if n := f.runningIn(dataCentre); n > 0 {
				f.t.Errorf("%d tasks run in %s", n, dataCentre)
			}
		}
	}
}

// runningIn returns how many tasks run on the workers of the data centre.
func (f *fleet) runningIn(dataCentre string) int {
	n := 0
	for i, w := range f.workers {
		if f.nodes[i%len(f.nodes)].dataCentre == dataCentre {
			n += len(w.Running())
		}
	}
	return n
}
