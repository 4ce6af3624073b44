package fbpolicy_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/filbertford/filbertford"
	"github.com/filbertford/filbertford/fbpolicy"
)

// newObservation returns the observation of a task with a declared size of 100 ms.
func newObservation(target filbertford.TargetID, job string, o filbertford.StartOutcome, runTime time.Duration) filbertford.Observation {
	return filbertford.NewObservation(target, simService, job, 100*time.Millisecond, o, runTime, runTime+simRoundTrip)
}

// newTrainedPolicy returns a policy that has observed a fast and a slow target,
// and the time of the last observation.
func newTrainedPolicy() (*fbpolicy.Adaptive, time.Time) {
	p, now := fbpolicy.NewAdaptive(1), epoch
	for range 40 {
		now = now.Add(50 * time.Millisecond)
		p.Observe(now, newObservation("fast", "j", filbertford.OutcomeDone, 50*time.Millisecond))
		p.Observe(now, newObservation("slow", "j", filbertford.OutcomeDone, 500*time.Millisecond))
	}
	return p, now
}

func newWaitingTask(unfinished int) filbertford.WaitingTask {
	return filbertford.NewWaitingTask(simService, 100*time.Millisecond, unfinished, unfinished, 0).WithQueuePosition(unfinished)
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
		unfinished int
		waited     time.Duration
		placed     bool
	}{
		"last task of a job":           {unfinished: 1},
		"wait longer than time saved":  {unfinished: 1, waited: time.Second, placed: true},
		"task of a job with many left": {unfinished: 300, placed: true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			p, now := newTrainedPolicy()
			candidates := []filbertford.Candidate{
				filbertford.NewCandidate("slow", 8, 0, 8).WithLastReply(now),
				filbertford.NewCandidate("fast", 8, 8, 0).WithLastReply(now),
			}
			_, ok := p.Place(now, newWaitingTask(tt.unfinished), candidates)
			if tt.waited > 0 {
				_, ok = p.Place(now.Add(tt.waited), newWaitingTask(tt.unfinished), candidates)
			}
			if ok != tt.placed {
				t.Errorf("placed %v, want %v", ok, tt.placed)
			}
		})
	}
}

// quarantinedTargets feeds a policy 300 rounds of outcomes, one at each of ten
// targets per round. It returns the targets that were in quarantine at any time.
func quarantinedTargets(outcome func(round, target int) (job string, o filbertford.StartOutcome)) map[filbertford.TargetID]bool {
	p, now, quarantined := fbpolicy.NewAdaptive(1), epoch, make(map[filbertford.TargetID]bool)
	for round := range 300 {
		for k := range 10 {
			now = now.Add(time.Millisecond)
			job, o := outcome(round, k)
			runTime := 100 * time.Millisecond
			if o == filbertford.OutcomeTaskFailed {
				runTime = time.Millisecond
			}
			p.Observe(now, newObservation(filbertford.TargetID(fmt.Sprint(k)), job, o, runTime))
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
		"one target fails all tasks": {
			outcome: func(round, target int) (string, filbertford.StartOutcome) {
				if target == 3 && round > 10 {
					return fmt.Sprint(round, target), failed
				}
				return fmt.Sprint(round, target), done
			},
			want: map[filbertford.TargetID]bool{"3": true},
		},
		"one job in three fails at all targets": {
			outcome: func(round, _ int) (string, filbertford.StartOutcome) {
				if round%3 == 0 {
					return fmt.Sprint(round), failed
				}
				return fmt.Sprint(round), done
			},
			want: map[filbertford.TargetID]bool{},
		},
		"job of many tasks fails at all targets": {
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
		t.Fatal("task placed on a quarantined target")
	}
	now = now.Add(time.Minute)
	if _, ok := p.Place(now, newWaitingTask(1), candidates()); !ok {
		t.Fatal("task not placed as a probe after the quarantine")
	}
	if _, ok := p.Place(now, newWaitingTask(1), candidates()); ok {
		t.Fatal("second probe placed while the first runs")
	}
	for range 5 {
		p.Observe(now, newObservation("fast", "probe", filbertford.OutcomeDone, 50*time.Millisecond))
	}
	for i := range 2 {
		if _, ok := p.Place(now, newWaitingTask(1), candidates()); !ok {
			t.Errorf("task %d not placed after successful probes", i)
		}
	}
}

func TestRank(t *testing.T) {
	p := fbpolicy.NewAdaptive(1)
	rank := func(unfinished int, waited time.Duration) float64 {
		return p.Rank(filbertford.NewWaitingTask(simService, 100*time.Millisecond, unfinished, 100, waited))
	}
	if rank(2, 0) >= rank(50, 0) {
		t.Error("rank of a job with 2 unfinished tasks is not less than with 50")
	}
	if rank(50, time.Minute) >= rank(2, 0) {
		t.Error("rank of a job that waited for a minute is not less than that of a new, shorter job")
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
		"full queue":             {tasks: 20, load: filbertford.NewLoad(990, 10, 10, 0), want: filbertford.CodeOverloaded},
		"infeasible deadline":    {tasks: 1, timeout: time.Second, load: filbertford.NewLoad(500, 10, 10, 0), want: filbertford.CodeDeadlineInfeasible},
		"feasible deadline":      {tasks: 1, timeout: time.Minute, load: filbertford.NewLoad(500, 10, 10, 0)},
		"within the burst":       {tasks: 40, load: filbertford.NewLoad(0, 200, 400, 200)},
		"over quota and burst":   {tasks: 60, load: filbertford.NewLoad(0, 200, 400, 200), want: filbertford.CodeOverQuota},
		"no timeout, long queue": {tasks: 1, load: filbertford.NewLoad(900, 10, 10, 0)},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			job := filbertford.NewJob("team", simService, make([]filbertford.Task, tt.tasks)...).WithTimeout(tt.timeout)
			d := fbpolicy.NewAdaptive(1).Admit(epoch, job, rules, tt.load)
			if d.Code() != tt.want {
				t.Errorf("got code %q, want %q", d.Code(), tt.want)
			}
			never := tt.want == filbertford.CodeCannotRun
			if !d.Admitted() && (d.RetryAfter() == 0) != never {
				t.Errorf("got retry after %v, want zero only for jobs that can never run", d.RetryAfter())
			}
		})
	}
}

func TestBurstEndsAfterBurstWindow(t *testing.T) {
	p, now := fbpolicy.NewAdaptive(1), epoch
	rules := filbertford.Rules{}.WithQuota(100, 50)
	admitted := func(tasks int) bool {
		job := filbertford.NewJob("team", simService, make([]filbertford.Task, 10)...)
		return p.Admit(now, job, rules, filbertford.NewLoad(0, tasks, 400, tasks)).Admitted()
	}
	for seconds := range 30 {
		now = now.Add(time.Second)
		if got, want := admitted(140), seconds < 10; got != want {
			t.Fatalf("after %d s over the quota: got admitted %v, want %v", seconds, got, want)
		}
	}
	if !admitted(50) {
		t.Error("job of a team below its quota rejected")
	}
	now = now.Add(time.Minute)
	if !admitted(140) {
		t.Error("job within the burst rejected after a minute below the quota")
	}
}

func TestFrozenTargetGetsFewStarts(t *testing.T) {
	targets := newTargets(20, 1)
	jobs := generateJobs("depot", targets, 0.6, 1, 10*time.Second)
	targets[0].frozen = true
	s := newSimulation(fbpolicy.NameAdaptive, 3, targets)
	s.run(jobs, filbertford.Rules{}, 1, 15*time.Second)
	if got, limit := targets[0].lostStarts, 3*targets[0].slots; got > limit {
		t.Errorf("got %d starts at a frozen target, want at most %d", got, limit)
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
		t.Errorf("got %d retries in 2 s without a first start, want at most 100", retries)
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
				for ownTasks := range 8 {
					// With one free slot, Place uses no slot of another daemon's
					// share.
					c := filbertford.NewCandidate(id, 8, ownTasks, 1).WithLastReply(epoch)
					if _, ok := p.Place(epoch, newWaitingTask(1), []filbertford.Candidate{c}); ok {
						sum++
					}
				}
			}
			if sum != 8 {
				t.Errorf("%d daemons: got %d own slots at target %d, want 8", daemons, sum, k)
			}
		}
	}
}

func TestRecoveredTargetIsTrustedAgain(t *testing.T) {
	const recovery, end = 10 * time.Minute, 40 * time.Minute
	p, health, bad := fbpolicy.NewAdaptive(1), filbertford.HealthTrusted, -1
	candidates := make([]filbertford.Candidate, 10)
	for at := time.Duration(0); at < end; at += 500 * time.Millisecond {
		now := epoch.Add(at)
		for i := range candidates {
			candidates[i] = filbertford.NewCandidate(filbertford.TargetID(fmt.Sprint(i)), 8, 0, 8).WithLastReply(now)
		}
		task := filbertford.NewWaitingTask(simService, 100*time.Millisecond, 170, 170, 0).WithQueuePosition(170)
		i, ok := p.Place(now, task, candidates)
		if !ok {
			t.Fatalf("no target found after %v", at)
		}
		if bad < 0 {
			bad = i
		}
		o, runTime := filbertford.OutcomeDone, 100*time.Millisecond
		if i == bad && at < recovery {
			o, runTime = filbertford.OutcomeTaskFailed, time.Millisecond
		}
		p.Observe(now, newObservation(candidates[i].ID(), fmt.Sprint(at), o, runTime))
		for _, c := range p.HealthChanges() {
			health = c.Health()
		}
	}
	if health != filbertford.HealthTrusted {
		t.Errorf("%v after the recovery of a target: got health %s, want trusted", end-recovery, health)
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
		t.Errorf("got %d of 20 tasks placed on the only target, want all", placed)
	}
}
