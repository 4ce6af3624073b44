package fbsched

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/filbertford/filbertford"
	"github.com/filbertford/filbertford/fbbalance"
)

// setTestBalancer lets a coordinator move waiting tasks.
func setTestBalancer(c *Coordinator, seed uint64) {
	c.SetScheduling(filbertford.Scheduling{}.WithRebalance(true))
	c.SetBalancer(fbbalance.Share{}, rand.New(rand.NewPCG(seed, 5)))
}

// scheduleRecall recalls waiting tasks at random times, also some that no balancer would.
func (r *overlapRun) scheduleRecall(random *rand.Rand) {
	r.after(between(random, 1, 200), func() {
		r.atCoordinator(func() {
			keys := slices.SortedFunc(maps.Keys(r.coordinator.waiting), func(a, b waitingKey) int {
				return cmp.Or(cmp.Compare(a.job, b.job), cmp.Compare(a.pool, b.pool))
			})
			for _, key := range keys {
				v, w := r.coordinator.pools[key.pool], r.coordinator.waiting[key]
				to := r.pools[random.IntN(len(r.pools))].id
				if random.IntN(2) == 0 && to != key.pool && v.owner != "" && v.fence == w.fence && w.job.returnDeadline == 0 && w.job.move == nil {
					r.count("recalls")
					// The report that a recall is based on may be wrong by the time the tasks are offered.
					r.coordinator.pools[to].capacities = map[string]*capacityView{"ordering": {free: []int{100_000}, total: 100_000}}
					r.coordinator.recallWaiting(r.now, filbertford.NewMove(key.job, key.pool, to, 1+random.IntN(w.tasks)))
				}
			}
		})
		r.scheduleRecall(random)
	})
}

// TestRecallSurvivesLosses checks that a task whose recall, or its return, is lost halfway is
// neither lost nor started twice.
func TestRecallSurvivesLosses(t *testing.T) {
	type pair struct {
		*simulation
		from, to *fakeOwner
	}
	breakStream := func(p *pair) {
		p.streams++
		p.reconnect(p.node)
		p.coordinator.Resume(p.now, p.from.pool.ID())
	}
	loseOwner := func(p *pair) {
		p.from.stopped = true
		p.coordinator.SetOwner(p.now, testPool, "", 0)
		p.after(500*time.Millisecond, func() {
			next := p.addPoolOwner("a2", testPool, 2, []filbertford.TargetRecord{p.targets["t00"].rec})
			p.coordinator.SetOwner(p.now, testPool, next.node, 2)
		})
	}
	tests := map[string]struct {
		returned bool // the loss happens once the pool has returned the task
		lose     func(*pair)
		want     filbertford.TargetID // that runs the task
	}{
		"nothing is lost":         {lose: func(*pair) {}, want: "t01"},
		"recall":                  {lose: breakStream, want: "t00"},
		"return":                  {returned: true, lose: breakStream, want: "t00"},
		"owner before the recall": {lose: loseOwner, want: "t00"},
		"owner and the return":    {returned: true, lose: func(p *pair) { p.streams++; loseOwner(p) }, want: "t00"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			p := &pair{simulation: newSimulation(2, 1)}
			p.taskDuration = time.Second
			setTestBalancer(p.coordinator, 1)
			p.from = p.addPoolOwner("a", testPool, 1, []filbertford.TargetRecord{p.targets["t00"].rec})
			p.to = p.addPoolOwner("b", "other", 1, []filbertford.TargetRecord{p.targets["t01"].rec})
			p.advance(50 * time.Millisecond)
			p.announceOwner(p.from)
			p.submit(1, "00000000000000aa", 1)
			p.submit(2, "00000000000000bb", 1) // waits for the first one
			p.advance(50 * time.Millisecond)
			p.coordinator.SetOwner(p.now, "other", "b", 1)
			recalled := filbertford.NewTaskKey("00000000000000bb", 0, 0, 0)
			for limit := 200; limit > 0 && (p.countEvents(EventTasksRecalled) == 0 || tt.returned && p.from.pool.tasks[recalled] != nil); limit-- {
				p.advance(500 * time.Microsecond)
			}
			tt.lose(p)
			p.flush()
			var ranOn filbertford.TargetID
			for p.advance(100 * time.Millisecond); ranOn == "" && p.now < time.Minute+8*time.Second; p.advance(20 * time.Millisecond) {
				for id, target := range p.targets {
					if target.runs[recalled] != nil {
						ranOn = id
					}
				}
			}
			p.advance(2 * time.Second)
			if p.countEvents(EventTasksRecalled) == 0 || ranOn != tt.want || p.starts != 2 || len(p.violations) > 0 ||
				p.answers[1] != filbertford.AnswerCompleted || p.answers[2] != filbertford.AnswerCompleted {
				t.Errorf("task ran on %q, want %s; %d starts, want 2; answers %v; %v", ranOn, tt.want, p.starts, p.answers, p.violations)
			}
		})
	}
}

// TestRecallKeepsTasksThatMayRun checks that a pool keeps each task of which a run may exist,
// here or on the target of an earlier owner: another pool would start a second one.
func TestRecallKeepsTasksThatMayRun(t *testing.T) {
	tests := map[string]struct {
		change func(p *Pool, t *task)
		want   bool
	}{
		"queued":                         {change: func(*Pool, *task) {}, want: true},
		"started before":                 {change: func(_ *Pool, t *task) { t.started = true }},
		"offered again":                  {change: func(_ *Pool, t *task) { t.resume = true }},
		"searched for":                   {change: func(_ *Pool, t *task) { t.search = true }},
		"withdrawn run has not ended":    {change: func(p *Pool, t *task) { p.activeRuns[t.key] = &run{key: t.key, stopWanted: true} }},
		"second run has not ended":       {change: func(p *Pool, t *task) { p.secondRuns[t.key] = 1 }},
		"target was lost under it":       {change: func(p *Pool, t *task) { p.lossesOf(0, t.key).other.counted = 1 }},
		"coordinator is unreachable":     {change: func(_ *Pool, t *task) { t.coordinatorUnreachableAt = 1 }},
		"coordinator must offer again":   {change: func(_ *Pool, t *task) { t.reofferBy = 1 }},
		"another coordinator offered it": {change: func(_ *Pool, t *task) { t.coordinator = "d" }},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			p := NewPool(testPool, 1, testWallOffset, time.Minute)
			step := filbertford.NewStep(1, filbertford.NewResources(1000, 1, 0), time.Second)
			p.Offer(time.Minute, "c", NewBatch(testPool, "00000000000000aa", 0, 0, step, []Item{NewItem(0, 0)}).WithWork("", "ordering", 3).WithTimes(time.Second, time.Second))
			key := filbertford.NewTaskKey("00000000000000aa", 0, 0, 0)
			tt.change(p, p.tasks[key])
			p.Recall(time.Minute, "c", "00000000000000aa")
			returned := slices.ContainsFunc(p.TakeActions(time.Minute), func(a Action) bool {
				r, ok := a.(SendReport)
				return ok && r.Report.Status() == StatusReturned && !r.Report.Started()
			})
			if returned != tt.want || (p.tasks[key] == nil) != tt.want || (p.Queued() == 0) != tt.want {
				t.Errorf("returned %v, queue %d, want %v", returned, p.Queued(), tt.want)
			}
		})
	}
}

// TestRecallIsNoRejection guards against jobs that are given up as if no pool accepted their
// tasks, because the tasks were recalled often.
func TestRecallIsNoRejection(t *testing.T) {
	c := NewCoordinator("a")
	setTestBalancer(c, 1)
	c.SetOwner(time.Minute, "a", "n1", 1)
	c.SetOwner(time.Minute, "b", "n2", 1)
	key, step := filbertford.NewTaskKey("00000000000000aa", 0, 0, 0), filbertford.NewStep(1, filbertford.NewResources(1000, 1, 0), time.Second)
	c.Submit(time.Minute, 1, filbertford.NewRoute("host", "/", "ordering"), filbertford.NewWorkload(key.Job(), "spec", step).WithBestEffort(true), 0)
	task := &c.jobs[key.Job()].steps[0].tasks[0]
	for range 2 * maxReturns {
		c.recallWaiting(time.Minute, filbertford.NewMove(key.Job(), task.pool, "b", 1))
		c.HandleReport(time.Minute, NewReport(task.pool, 0, key, StatusReturned, 0))
		if task.waitsSince == 0 {
			t.Fatal("a report of an older owner counts as the return")
		}
		c.HandleReport(time.Minute, NewReport(task.pool, 1, key, StatusReturned, 0))
		if c.Jobs() != 1 || task.pool == "" {
			t.Fatalf("%d jobs, the task is in %q, want it in a pool", c.Jobs(), task.pool)
		}
	}
}
