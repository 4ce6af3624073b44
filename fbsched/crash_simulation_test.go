package fbsched

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/filbertford/filbertford"
)

// crashSimulation crashes the targets that start deadly tasks.
type crashSimulation struct {
	deadly func(filbertford.TaskKey) bool
	// after handles the crash of a target; by default it starts again under another ID.
	after     func(*fakeTarget)
	under     map[filbertford.TaskKey]int // crashes of targets under each task
	afterward map[filbertford.TaskKey]int // starts after three of them
	recorded  map[filbertford.TaskKey]Progress
}

// Times of a target that crashes.
const (
	crashDelay   = 10 * time.Millisecond // after the start of a deadly task
	restartDelay = 3 * time.Second
	recordDelay  = 300 * time.Millisecond
)

// started counts the start of a task, and crashes the target if the task is deadly.
func (c *crashSimulation) started(sim *simulation, key filbertford.TaskKey, t *fakeTarget) {
	if c.deadly == nil {
		return
	}
	if c.under[key] >= 3 {
		if c.afterward[key]++; c.afterward[key] == 3 {
			sim.violations = append(sim.violations, fmt.Sprintf("%v: %v was started three times more after three targets had crashed", sim.now, key))
		}
	}
	if !c.deadly(key) {
		return
	}
	boots := t.boots
	sim.after(crashDelay, func() {
		if t.boots != boots || t.runs[key] == nil {
			return
		}
		for _, k := range t.runningTasks() {
			c.under[k]++
		}
		sim.tracef("%s crashes under %s", t.rec.Instance().ID(), key)
		t.crash()
		c.after(t)
	})
}

// crashUnder makes tasks deadly.
func (sim *simulation) crashUnder(deadly func(filbertford.TaskKey) bool) {
	sim.crashes.deadly, sim.crashes.after = deadly, sim.restartUnderOtherID
	sim.crashes.under, sim.crashes.afterward = make(map[filbertford.TaskKey]int), make(map[filbertford.TaskKey]int)
	sim.crashes.recorded = make(map[filbertford.TaskKey]Progress)
}

// restartUnderOtherID starts a target that has crashed again. Its new record follows.
func (sim *simulation) restartUnderOtherID(t *fakeTarget) {
	host, _, _ := strings.Cut(t.rec.Address(), ":")
	sim.restartAs(t, filbertford.TargetID(fmt.Sprintf("%s-%d", host, t.boots)))
}

func (sim *simulation) restartUnderSameID(t *fakeTarget) { sim.restartAs(t, t.rec.Instance().ID()) }

func (sim *simulation) restartAs(t *fakeTarget, id filbertford.TargetID) {
	boots := t.boots
	sim.after(restartDelay, func() {
		if t.boots == boots {
			t.restart(id, testWallOffset+sim.now.Milliseconds())
			sim.after(recordDelay, sim.updateRecords)
		}
	})
}

// loseTarget removes a target that has crashed for good.
func (sim *simulation) loseTarget(t *fakeTarget) {
	sim.after(7*time.Second, func() {
		host, _, _ := strings.Cut(t.rec.Address(), ":")
		delete(sim.targets, filbertford.TargetID(host))
		sim.updateRecords()
	})
}

func (sim *simulation) updateRecords() {
	for _, o := range sim.owners {
		if !o.stopped {
			sim.handle(o, func() { o.pool.SetTargets(sim.now, sim.records()) })
		}
	}
}

// record stores the progress of a task, and tells the coordinator after the commit.
func (sim *simulation) record(from filbertford.NodeID, r RecordOutcome) {
	sim.after(4*time.Millisecond, func() {
		if sim.crashes.recorded == nil {
			return
		}
		sim.crashes.recorded[r.Task] = sim.crashes.recorded[r.Task].recordedWith(r.Progress)
		if from == sim.node {
			sim.atCoordinator(func() { sim.coordinator.HandleRecorded(sim.now, r.Task, r.Progress) })
		}
	})
}

// recordedWith returns the progress that a row has which held p and to which a report adds o: what has ended
// stays so, as in the rows of package fbshard.
func (p Progress) recordedWith(o Progress) Progress {
	merged := p.WithFailuresOf(o)
	merged.done, merged.failed, merged.crashes = p.done || o.done, p.failed || o.failed, p.crashes.merge(o.crashes)
	return merged
}

// crashRoute is the route of stored jobs.
var crashRoute = filbertford.NewRoute("host", "/jobs/", "ordering").WithPolicy(0, 3).WithObjective(1.6, 60*time.Millisecond, 0)

// startStored starts a stored job of one step, or resumes it.
func (sim *simulation) startStored(key filbertford.JobKey, tasks int, resumed bool) {
	step := filbertford.NewStep(tasks, filbertford.NewResources(1000, 1, 0), sim.durationOf(filbertford.NewTaskKey(key, 0, 0, 0)))
	sim.coordinator.StartStored(sim.now, crashRoute, filbertford.NewWorkload(key, "spec", step), func(step, index int) Progress {
		return sim.crashes.recorded[filbertford.NewTaskKey(key, 0, step, index)]
	}, resumed)
	sim.flush()
}

// loseOwner replaces the pool's owner by one that knows nothing of it.
func (sim *simulation) loseOwner() {
	old := sim.owners[len(sim.owners)-1]
	old.stopped = true
	sim.announceOwner(nil)
	sim.after(300*time.Millisecond, func() {
		next := sim.addOwner(old.node+"x", old.pool.Fence()+1)
		sim.announceOwner(next)
		sim.coordinator.ResumeStored(sim.now, testPool)
	})
}

// replaceJobsOwner lets another coordinator take the stored jobs over.
func (sim *simulation) replaceJobsOwner(jobs map[filbertford.JobKey]int) {
	node := sim.node
	sim.streams++
	sim.node += "x"
	sim.coordinator = NewCoordinator(testPool)
	sim.coordinator.AddPool(testPool)
	for _, o := range sim.owners {
		if !o.stopped {
			o.pool.CoordinatorUnreachable(sim.now, node)
			sim.announceOwner(o)
		}
	}
	for _, key := range sortedJobs(jobs) {
		if !sim.jobFailed(key, jobs[key]) {
			sim.startStored(key, jobs[key], true)
		}
	}
}

func sortedJobs(jobs map[filbertford.JobKey]int) []filbertford.JobKey {
	var out []filbertford.JobKey
	for key := range jobs {
		out = append(out, key)
	}
	slices.Sort(out)
	return out
}

// jobFailed reports whether a job with so many tasks is recorded as failed.
func (sim *simulation) jobFailed(key filbertford.JobKey, tasks int) bool {
	for index := range tasks {
		if p := sim.crashes.recorded[filbertford.NewTaskKey(key, 0, 0, index)]; p.Failed() || p.Failures() >= crashRoute.Attempts() {
			return true
		}
	}
	return false
}
