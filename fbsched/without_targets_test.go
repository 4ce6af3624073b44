package fbsched

import (
	"testing"
	"time"

	"github.com/filbertford/filbertford"
)

// TestJobsAvoidOwnersWithoutTargets guards against jobs that are offered to an owner which knows no
// target of its pool, and withdrawn when their time is over.
func TestJobsAvoidOwnersWithoutTargets(t *testing.T) {
	const now = time.Minute
	lost := now - isolationTimeout
	free := []Capacity{NewCapacity("ordering", []int{4000}, 4000, 0)}
	tests := map[string]struct {
		state func(c *Coordinator)
		want  filbertford.PoolID // that is offered the job
		not   bool               // the job is answered as not run
	}{
		"both know targets": {state: func(c *Coordinator) { c.SetOwner(now, "rabat", "r", 5); c.SetCapacities("casa", 7, free) }, want: "casa"},
		"another pool":      {state: func(c *Coordinator) { c.SetOwner(now, "rabat", "r", 5); c.SetOwnerTargets(lost, "casa", 7, false) }, want: "rabat"},
		"both lack them": {state: func(c *Coordinator) {
			c.SetOwner(now, "rabat", "r", 5)
			c.SetOwnerTargets(lost, "casa", 7, false)
			c.SetOwnerTargets(lost, "rabat", 5, false)
		}, not: true},
		"the other pool can't be reached": {state: func(c *Coordinator) {
			c.SetOwner(lost-1, "rabat", "r", 5)
			c.SetOwner(lost, "rabat", "", 0)
			c.SetOwnerTargets(lost, "casa", 7, false)
		}, not: true},
		"the other pool has just lost its owner": {state: func(c *Coordinator) {
			c.SetOwner(lost, "rabat", "r", 5)
			c.SetOwner(lost+1, "rabat", "", 0)
			c.SetOwnerTargets(lost, "casa", 7, false)
		}},
		"the owner may be about to learn them": {state: func(c *Coordinator) {
			c.SetOwner(now, "rabat", "r", 5)
			c.SetOwnerTargets(lost, "casa", 7, false)
			c.SetOwnerTargets(lost+1, "rabat", 5, false)
		}},
		"an earlier owner lacked them": {state: func(c *Coordinator) { c.SetOwnerTargets(lost, "casa", 6, false) }, want: "casa"},
		"the owner has learned them": {state: func(c *Coordinator) {
			c.SetOwnerTargets(lost, "casa", 7, false)
			c.SetOwnerTargets(lost, "casa", 7, true)
		}, want: "casa"},
		"an earlier owner has learned them": {state: func(c *Coordinator) {
			c.SetOwner(lost-1, "rabat", "r", 5)
			c.SetOwner(lost, "rabat", "", 0)
			c.SetOwnerTargets(lost, "casa", 7, false)
			c.SetOwnerTargets(lost, "casa", 6, false)
			c.SetOwnerTargets(lost, "casa", 6, true)
		}, not: true},
		"unknown pool": {state: func(c *Coordinator) { c.SetOwnerTargets(lost, "hopen", 7, false) }, want: "casa"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			c := NewCoordinator("casa")
			c.SetScheduling(filbertford.Scheduling{}.WithAdmission(filbertford.AdmitByObjective))
			c.AddPool("casa")
			c.AddPool("rabat")
			c.SetOwner(lost-2, "casa", "c", 7)
			tt.state(c)
			c.TakeActions()
			route := filbertford.NewRoute("host", "/jobs/", "ordering").WithPolicy(0, 3).WithObjective(1.6, 60*time.Millisecond, 0)
			step := filbertford.NewStep(1, filbertford.NewResources(1000, 1, 0), 100*time.Millisecond)
			c.Submit(now, 1, route, filbertford.NewWorkload("00000000000000aa", "spec", step).WithBestEffort(true), 8*time.Second)
			var offered filbertford.PoolID
			not := false
			for _, a := range c.TakeActions() {
				switch v := a.(type) {
				case SendBatch:
					offered = v.Batch.Pool()
				case Answer:
					not = v.Answer.Kind() == filbertford.AnswerNotRun
				}
			}
			if offered != tt.want || not != tt.not {
				t.Errorf("offered to %q, answered as not run: %v; want %q and %v", offered, not, tt.want, tt.not)
			}
		})
	}
}

// TestWaitingJobIsAnsweredWhenNoTargetsAreLeft checks that a job which waits while another pool may
// get an owner is answered once no pool is left, and placed if the owner learns of its targets.
func TestWaitingJobIsAnsweredWhenNoTargetsAreLeft(t *testing.T) {
	for name, learns := range map[string]bool{"no targets": false, "the owner learns of its targets": true} {
		t.Run(name, func(t *testing.T) {
			now := time.Minute
			c := NewCoordinator("casa")
			c.SetOwner(now, "casa", "c", 7)
			c.SetOwner(now, "rabat", "r", 5)
			c.SetOwner(now, "rabat", "", 0)
			c.SetOwnerTargets(now, "casa", 7, false)
			c.TakeActions()
			step := filbertford.NewStep(1, filbertford.NewResources(1000, 1, 0), time.Second)
			route := filbertford.NewRoute("host", "/jobs/", "ordering").WithPolicy(0, 3).WithObjective(1.6, 60*time.Millisecond, 0)
			c.Submit(now, 1, route, filbertford.NewWorkload("00000000000000aa", "spec", step).WithBestEffort(true), 8*time.Second)
			c.Tick(now + isolationTimeout - 1)
			if actions := c.TakeActions(); len(actions) > 0 {
				t.Fatalf("%d actions before the timeout, want none", len(actions))
			}
			if learns {
				c.SetOwnerTargets(now, "casa", 7, true)
			}
			c.Tick(now + isolationTimeout)
			placed, answered := false, false
			for _, a := range c.TakeActions() {
				switch a.(type) {
				case SendBatch:
					placed = true
				case Answer:
					answered = true
				}
			}
			if placed != learns || answered == learns {
				t.Errorf("placed %v, answered %v; want %v and %v", placed, answered, learns, !learns)
			}
		})
	}
}
