package fbsched

import (
	"testing"
	"time"

	"github.com/filbertford/filbertford"
)

// TestRunsThatFailUnderSeveralOwnersAreCounted guards against a start after all attempts, and against a job
// that fails before: each run fails while the pool has no owner.
func TestRunsThatFailUnderSeveralOwnersAreCounted(t *testing.T) {
	const key filbertford.JobKey = "00000000000000aa"
	tests := map[string]struct {
		losesOwner func(start int) bool
		jobs       bool // the job's owner is lost too
	}{
		"second run fails without an owner":                  {losesOwner: func(start int) bool { return start == 2 }},
		"second run fails without an owner and coordinator":  {losesOwner: func(start int) bool { return start == 2 }, jobs: true},
		"last run fails without an owner":                    {losesOwner: func(start int) bool { return start == 3 }},
		"each run fails without an owner":                    {losesOwner: func(int) bool { return true }},
		"each run fails without an owner and coordinator":    {losesOwner: func(int) bool { return true }, jobs: true},
		"later runs fail without an owner and a coordinator": {losesOwner: func(start int) bool { return start > 1 }, jobs: true},
		"no run fails without an owner":                      {losesOwner: func(int) bool { return false }},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			sim := newSimulation(4, 1)
			sim.crashUnder(func(filbertford.TaskKey) bool { return false })
			sim.taskDuration = 300 * time.Millisecond
			sim.announceOwner(sim.addOwner("a", 1))
			sim.advance(100 * time.Millisecond)
			sim.startStored(key, 1, false)
			lost := 0
			for end := sim.now + 20*time.Second; sim.now < end; sim.advance(5 * time.Millisecond) {
				for _, target := range sim.targets {
					for _, r := range target.runs {
						r.outcome = filbertford.RunFailed
					}
				}
				if sim.starts > lost {
					if lost = sim.starts; !tt.losesOwner(lost) {
						continue
					}
					sim.after(250*time.Millisecond, func() {
						sim.loseOwner()
						if tt.jobs {
							sim.after(400*time.Millisecond, func() { sim.replaceJobsOwner(map[filbertford.JobKey]int{key: 1}) })
						}
					})
				}
			}
			if want := crashRoute.Attempts(); sim.starts != want {
				t.Errorf("the task was started %d times, want %d", sim.starts, want)
			}
			if !sim.jobFailed(key, 1) || sim.coordinator.Jobs() > 0 {
				t.Errorf("the job is recorded as %+v, want it failed", sim.crashes.recorded)
			}
			if len(sim.violations) > 0 {
				t.Error(sim.violations)
			}
		})
	}
}

// TestFailedRunIsCountedOnce guards against a failed run that counts twice or not at all.
func TestFailedRunIsCountedOnce(t *testing.T) {
	tests := map[string]struct {
		offered    failedRuns
		found, own []uint64 // in this order
		want       failedRuns
	}{
		"none":                           {},
		"own":                            {own: []uint64{7, 9}, want: failedRuns{2, 9}},
		"found":                          {found: []uint64{7, 9}, want: failedRuns{2, 9}},
		"found in the other order":       {found: []uint64{9, 7}, want: failedRuns{2, 9}},
		"found twice":                    {found: []uint64{7, 7}, want: failedRuns{1, 7}},
		"found and own":                  {found: []uint64{7}, own: []uint64{7, 9}, want: failedRuns{2, 9}},
		"found, recorded":                {offered: failedRuns{1, 7}, found: []uint64{7}, want: failedRuns{1, 7}},
		"found, one recorded":            {offered: failedRuns{1, 7}, found: []uint64{7, 9}, want: failedRuns{2, 9}},
		"found after the record":         {offered: failedRuns{1, 7}, found: []uint64{9}, want: failedRuns{2, 9}},
		"earlier version, found":         {offered: failedRuns{1, 0}, found: []uint64{7}, want: failedRuns{1, 7}},
		"earlier version, found and own": {offered: failedRuns{1, 0}, found: []uint64{7}, own: []uint64{9}, want: failedRuns{2, 9}},
		"earlier version, own":           {offered: failedRuns{1, 0}, own: []uint64{9}, want: failedRuns{2, 9}},
		"earlier version, found two":     {offered: failedRuns{1, 0}, found: []uint64{7, 9}, want: failedRuns{2, 9}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			c := newFailureCounter(tt.offered)
			for _, number := range tt.found {
				c.add(number, true)
			}
			for _, number := range tt.own {
				c.add(number, false)
			}
			if c.failed != tt.want {
				t.Errorf("%+v, want %+v", c.failed, tt.want)
			}
		})
	}
}

// TestPoolKeepsFailedRunUntilConfirm guards against a failed run that a new owner found and that is lost with it.
func TestPoolKeepsFailedRunUntilConfirm(t *testing.T) {
	key := filbertford.NewTaskKey("00000000000000aa", 0, 0, 0)
	sim := newSimulation(1, 1)
	p := NewPool(testPool, 2, 1_000_000, sim.now)
	p.SetTargets(sim.now, sim.records())
	rec := sim.targets["t00"].rec
	req := filbertford.NewPollRequest(rec.Instance(), rec.Address(), 2, 0, 0, 0)
	answerPoll(p, sim.now, req, filbertford.NewCallReply(filbertford.CallDone, 1000).
		WithRuns(nil, []filbertford.EndedRun{filbertford.NewEndedRun(1, key, 9, filbertford.RunFailed)}))
	step := filbertford.NewStep(1, filbertford.NewResources(1000, 1, 0), 100*time.Millisecond)
	p.Offer(sim.now, "c", NewBatch(testPool, key.Job(), 0, 0, step, []Item{NewItem(0, 1).WithFailedRun(7)}).
		WithWork("", "ordering", 2).WithTimes(time.Second, time.Hour).WithFence(2).WithStored(true, false).WithResume(0))
	var reports []Report
	for _, a := range p.TakeActions(sim.now) {
		switch v := a.(type) {
		case StartCall:
			t.Errorf("the task was started after two failed runs of two")
		case SendReport:
			reports = append(reports, v.Report)
		}
	}
	if len(reports) != 1 || reports[0].Status() != StatusFailed || reports[0].Failures() != 2 || reports[0].FailedRun() != 9 {
		t.Errorf("reports %+v, want one of two failed runs up to 9", reports)
	}
	target := p.targets["t00"]
	for _, c := range []struct {
		confirm Confirm
		want    uint64
	}{
		{NewConfirm(testPool, key, false, 1).WithFailedRun(7), 0},
		{NewConfirm(testPool, key, false, 2).WithFailedRun(9), 1},
	} {
		p.HandleConfirm(sim.now, c.confirm)
		if n := target.lastAckable(); n != c.want {
			t.Errorf("ends up to %d may be discarded after the confirmation of %+v, want %d", n, c.confirm.failed, c.want)
		}
	}
}
