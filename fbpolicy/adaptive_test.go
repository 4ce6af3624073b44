package fbpolicy_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/filbertford/filbertford"
	"github.com/filbertford/filbertford/fbpolicy"
)

// newObservation returns the observation of a task of size 100 ms.
func newObservation(target filbertford.TargetID, job string, o filbertford.StartOutcome, ran time.Duration) filbertford.Observation {
	return filbertford.NewObservation(target, simService, job, 100*time.Millisecond, o, ran, ran+simRoundTrip)
}

// newTrainedPolicy returns a policy that knows a fast and a slow target, and the time.
func newTrainedPolicy() (*fbpolicy.Adaptive, time.Time) {
	p, now := fbpolicy.NewAdaptive(1), epoch
	for range 40 {
		now = now.Add(50 * time.Millisecond)
		p.Observe(now, newObservation("fast", "j", filbertford.OutcomeDone, 50*time.Millisecond))
		p.Observe(now, newObservation("slow", "j", filbertford.OutcomeDone, 500*time.Millisecond))
	}
	return p, now
}

func newWaitingTask(left int) filbertford.WaitingTask {
	return filbertford.NewWaitingTask(simService, 100*time.Millisecond, left, left, 0).WithQueuePosition(left)
}

func TestPlacePrefersFasterTarget(t *testing.T) {
	p, now := newTrainedPolicy()
	candidates := []filbertford.Candidate{
		filbertford.NewCandidate("slow", 8, 0, 8).WithLastReply(now),
		filbertford.NewCandidate("fast", 8, 7, 1).WithLastReply(now),
	}
	if i, ok := p.Place(now, newWaitingTask(1), candidates); i != 1 || !ok {
		t.Errorf("Place = %d, %v, want the fast target", i, ok)
	}
}

func TestPlaceWaitsForFasterTarget(t *testing.T) {
	tests := map[string]struct {
		left   int
		waited time.Duration
		placed bool
	}{
		"the last task waits for the fast target":       {left: 1},
		"it doesn't wait longer than it could save":     {left: 1, waited: time.Second, placed: true},
		"a task with many others takes the slow target": {left: 300, placed: true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			p, now := newTrainedPolicy()
			candidates := []filbertford.Candidate{
				filbertford.NewCandidate("slow", 8, 0, 8).WithLastReply(now),
				filbertford.NewCandidate("fast", 8, 8, 0).WithLastReply(now),
			}
			_, ok := p.Place(now, newWaitingTask(tt.left), candidates)
			if tt.waited > 0 {
				_, ok = p.Place(now.Add(tt.waited), newWaitingTask(tt.left), candidates)
			}
			if ok != tt.placed {
				t.Errorf("placed %v, want %v", ok, tt.placed)
			}
		})
	}
}

// quarantinedTargets feeds outcomes of ten targets to a policy, each round one job at each
// target, and returns the targets that were in quarantine at any time.
func quarantinedTargets(outcome func(round, target int) (job string, o filbertford.StartOutcome)) map[filbertford.TargetID]bool {
	p, now, quarantined := fbpolicy.NewAdaptive(1), epoch, make(map[filbertford.TargetID]bool)
	for round := range 300 {
		for k := range 10 {
			now = now.Add(time.Millisecond)
			job, o := outcome(round, k)
			ran := 100 * time.Millisecond
			if o == filbertford.OutcomeTaskFailed {
				ran = time.Millisecond
			}
			p.Observe(now, newObservation(filbertford.TargetID(fmt.Sprint(k)), job, o, ran))
			for _, c := range p.HealthChanges() {
				quarantined[c.Target()] = quarantined[c.Target()] || c.Health() == filbertford.HealthQuarantined
			}
		}
	}
	for id, was := range quarantined {
		if !was {
			delete(quarantined, id)
		}
	}
	return quarantined
}

func TestQuarantineDistinguishesBadTargetsFromBadJobs(t *testing.T) {
	const done, failed = filbertford.OutcomeDone, filbertford.OutcomeTaskFailed
	tests := map[string]struct {
		outcome func(round, target int) (string, filbertford.StartOutcome)
		want    map[filbertford.TargetID]bool
	}{
		"one target fails everything": {
			outcome: func(round, target int) (string, filbertford.StartOutcome) {
				if target == 3 && round > 10 {
					return fmt.Sprint(round, target), failed
				}
				return fmt.Sprint(round, target), done
			},
			want: map[filbertford.TargetID]bool{"3": true},
		},
		"one job in three fails everywhere": {
			outcome: func(round, _ int) (string, filbertford.StartOutcome) {
				if round%3 == 0 {
					return fmt.Sprint(round), failed
				}
				return fmt.Sprint(round), done
			},
			want: map[filbertford.TargetID]bool{},
		},
		"a job of many tasks fails everywhere": {
			outcome: func(round, _ int) (string, filbertford.StartOutcome) {
				if round > 100 && round < 110 {
					return "job", failed
				}
				return fmt.Sprint(round), done
			},
			want: map[filbertford.TargetID]bool{},
		},
		"one task in a hundred fails": {
			outcome: func(round, target int) (string, filbertford.StartOutcome) {
				if (10*round+target)%101 == 0 {
					return fmt.Sprint(round, target), failed
				}
				return fmt.Sprint(round, target), done
			},
			want: map[filbertford.TargetID]bool{},
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			if diff := cmp.Diff(tt.want, quarantinedTargets(tt.outcome)); diff != "" {
				t.Error(diff)
			}
		})
	}
}

func TestQuarantineEndsAfterSuccessfulProbes(t *testing.T) {
	p, now := newTrainedPolicy()
	candidates := func() []filbertford.Candidate {
		return []filbertford.Candidate{filbertford.NewCandidate("fast", 8, 0, 8).WithLastReply(now)}
	}
	for i := range 3 {
		p.Observe(now, newObservation("fast", fmt.Sprint(i), filbertford.OutcomeTaskFailed, time.Millisecond))
	}
	if _, ok := p.Place(now, newWaitingTask(1), candidates()); ok {
		t.Fatal("a task was placed on a target in quarantine")
	}
	now = now.Add(time.Minute)
	if _, ok := p.Place(now, newWaitingTask(1), candidates()); !ok {
		t.Fatal("no probe after the quarantine")
	}
	if _, ok := p.Place(now, newWaitingTask(1), candidates()); ok {
		t.Fatal("a second probe while the first runs")
	}
	for range 5 {
		p.Observe(now, newObservation("fast", "probe", filbertford.OutcomeDone, 50*time.Millisecond))
	}
	for i := range 2 {
		if _, ok := p.Place(now, newWaitingTask(1), candidates()); !ok {
			t.Errorf("task %d was not placed after the probes succeeded", i)
		}
	}
}

func TestRank(t *testing.T) {
	p := fbpolicy.NewAdaptive(1)
	rank := func(left int, waited time.Duration) float64 {
		return p.Rank(filbertford.NewWaitingTask(simService, 100*time.Millisecond, left, 100, waited))
	}
	if rank(2, 0) >= rank(50, 0) {
		t.Error("a job with much left goes before one with little left")
	}
	if rank(50, time.Minute) >= rank(2, 0) {
		t.Error("a job that waited for a minute still goes last")
	}
}

func TestAdmit(t *testing.T) {
	rules := filbertford.Rules{}.WithMaxTasks(100).WithMaxQueue(1000).WithQuota(200, 50)
	tests := map[string]struct {
		tasks   int
		timeout time.Duration
		load    filbertford.Load
		want    filbertford.Code
	}{
		"idle":                   {tasks: 10, timeout: time.Second},
		"can never run":          {tasks: 101, want: filbertford.CodeCannotRun},
		"queue is full":          {tasks: 20, load: filbertford.NewLoad(990, 10, 10, 0), want: filbertford.CodeOverloaded},
		"deadline can't be met":  {tasks: 1, timeout: time.Second, load: filbertford.NewLoad(500, 10, 10, 0), want: filbertford.CodeDeadlineInfeasible},
		"deadline can be met":    {tasks: 1, timeout: time.Minute, load: filbertford.NewLoad(500, 10, 10, 0)},
		"within the burst":       {tasks: 40, load: filbertford.NewLoad(0, 200, 400, 200)},
		"over quota and burst":   {tasks: 60, load: filbertford.NewLoad(0, 200, 400, 200), want: filbertford.CodeOverQuota},
		"no timeout, long queue": {tasks: 1, load: filbertford.NewLoad(900, 10, 10, 0)},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			job := filbertford.NewJob("team", simService, make([]filbertford.Task, tt.tasks)...).WithTimeout(tt.timeout)
			v := fbpolicy.NewAdaptive(1).Admit(epoch, job, rules, tt.load)
			if v.Code() != tt.want {
				t.Errorf("code %q, want %q", v.Code(), tt.want)
			}
			never := tt.want == filbertford.CodeCannotRun
			if !v.Admitted() && (v.RetryAfter() == 0) != never {
				t.Errorf("retry after %v", v.RetryAfter())
			}
		})
	}
}

func TestBurstEndsAfterBurstWindow(t *testing.T) {
	p, now := fbpolicy.NewAdaptive(1), epoch
	rules := filbertford.Rules{}.WithQuota(100, 50)
	admitted := func(busy int) bool {
		job := filbertford.NewJob("team", simService, make([]filbertford.Task, 10)...)
		return p.Admit(now, job, rules, filbertford.NewLoad(0, busy, 400, busy)).Admitted()
	}
	for at := range 30 {
		now = now.Add(time.Second)
		if got, want := admitted(140), at < 10; got != want {
			t.Fatalf("after %d s over the quota: admitted %v, want %v", at, got, want)
		}
	}
	if !admitted(50) {
		t.Error("a team below its quota was refused")
	}
	now = now.Add(time.Minute)
	if !admitted(140) {
		t.Error("a team that kept below its quota for a minute has no burst")
	}
}

func TestFrozenTargetGetsFewStarts(t *testing.T) {
	targets := newTargets(20, 1)
	jobs := generateJobs("depot", targets, 0.6, 1, 10*time.Second)
	targets[0].frozen = true
	r := newSimulation(fbpolicy.NameAdaptive, 3, targets)
	r.run(jobs, filbertford.Rules{}, 1, 15*time.Second)
	if got, most := targets[0].lostStarts, 3*targets[0].slots; got > most {
		t.Errorf("%d starts went to a frozen target, want at most %d", got, most)
	}
}

func TestRetryBudgetBoundsRetries(t *testing.T) {
	p, now, retries := fbpolicy.NewAdaptive(1), epoch, 0
	candidates := []filbertford.Candidate{filbertford.NewCandidate("t", 1000, 0, 1000).WithLastReply(now)}
	for range 2000 {
		now = now.Add(time.Millisecond)
		candidates[0] = candidates[0].WithLastReply(now)
		if _, ok := p.Place(now, newWaitingTask(1).WithFailedStarts(1), candidates); ok {
			retries++
		}
		p.Observe(now, newObservation("t", "j", filbertford.OutcomeNoSlot, 0))
	}
	if retries > 100 {
		t.Errorf("%d retries in 2 s without a first start, want at most 100", retries)
	}
}

func TestOwnSlotsOfDaemonsSumToTargetSlots(t *testing.T) {
	for _, daemons := range []int{2, 3, 6, 9} {
		for k := range 20 {
			sum := 0
			for d := range daemons {
				p := fbpolicy.NewAdaptive(uint64(d))
				p.SetShare(d, daemons)
				id := filbertford.TargetID(fmt.Sprint(k))
				for mine := range 8 {
					// Just below what a loan needs: only own slots are taken.
					c := filbertford.NewCandidate(id, 8, mine, 1).WithLastReply(epoch)
					if _, ok := p.Place(epoch, newWaitingTask(1), []filbertford.Candidate{c}); ok {
						sum++
					}
				}
			}
			if sum != 8 {
				t.Errorf("%d daemons own %d of the 8 slots of target %d", daemons, sum, k)
			}
		}
	}
}

func TestRecoveredTargetIsTrustedAgain(t *testing.T) {
	const recovery, end = 10 * time.Minute, 40 * time.Minute
	p, standing, bad := fbpolicy.NewAdaptive(1), filbertford.HealthTrusted, -1
	candidates := make([]filbertford.Candidate, 10)
	for at := time.Duration(0); at < end; at += 500 * time.Millisecond {
		now := epoch.Add(at)
		for i := range candidates {
			candidates[i] = filbertford.NewCandidate(filbertford.TargetID(fmt.Sprint(i)), 8, 0, 8).WithLastReply(now)
		}
		n := filbertford.NewWaitingTask(simService, 100*time.Millisecond, 170, 170, 0).WithQueuePosition(170)
		i, ok := p.Place(now, n, candidates)
		if !ok {
			t.Fatalf("no target after %v", at)
		}
		if bad < 0 {
			bad = i
		}
		o, ran := filbertford.OutcomeDone, 100*time.Millisecond
		if i == bad && at < recovery {
			o, ran = filbertford.OutcomeTaskFailed, time.Millisecond
		}
		p.Observe(now, newObservation(candidates[i].ID(), fmt.Sprint(at), o, ran))
		for _, c := range p.HealthChanges() {
			standing = c.Health()
		}
	}
	if standing != filbertford.HealthTrusted {
		t.Errorf("a target that works again since %v is still %s", end-recovery, standing)
	}
}

func TestOnlyTargetIsAlwaysUsed(t *testing.T) {
	p, now, placed := fbpolicy.NewAdaptive(1), epoch, 0
	for i := range 20 {
		now = now.Add(time.Second)
		candidates := []filbertford.Candidate{filbertford.NewCandidate("bad", 8, 0, 8).WithLastReply(now)}
		if _, ok := p.Place(now, newWaitingTask(1), candidates); ok {
			placed++
		}
		p.Observe(now, newObservation("bad", fmt.Sprint(i), filbertford.OutcomeTaskFailed, time.Millisecond))
	}
	if placed != 20 {
		t.Errorf("%d of 20 tasks were placed on the only target", placed)
	}
}
