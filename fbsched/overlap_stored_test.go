package fbsched

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"github.com/filbertford/filbertford"
)

// storedJob is a stored job of a randomised run.
type storedJob struct {
	workload filbertford.Workload
	route    filbertford.Route
}

// storedRun carries out a plan with stored jobs.
type storedRun struct {
	stored map[filbertford.JobKey]storedJob
}

// submitStored stores a job and starts it.
func (r *overlapRun) submitStored(key filbertford.JobKey, w filbertford.Workload, route filbertford.Route) {
	if _, ok := r.stored[key]; ok {
		return
	}
	r.stored[key] = storedJob{workload: w, route: route}
	r.coordinator.StartStored(r.now, route, w, r.progressOf(key), false)
}

func (r *overlapRun) progressOf(key filbertford.JobKey) func(step, index int) Progress {
	return func(step, index int) Progress { return r.crashes.recorded[filbertford.NewTaskKey(key, 0, step, index)] }
}

// resumeStoredJobs resumes the jobs that haven't ended at a new coordinator.
func (r *overlapRun) resumeStoredJobs() {
	r.jobFences[r.node] = uint64(r.coordinators) + 1
	for _, key := range slices.Sorted(maps.Keys(r.stored)) {
		if j := r.stored[key]; !r.jobFailed(key, j.workload.Steps()[0].Count()) {
			r.coordinator.StartStored(r.now, j.route, j.workload, r.progressOf(key), true)
		}
	}
}

// crashInRun lets a target that has crashed start again, under its ID or another one.
func (r *overlapRun) crashInRun(t *fakeTarget) {
	old, boots := t.rec, t.boots
	id := old.Instance().ID()
	if r.random.IntN(3) > 0 {
		host, _, _ := strings.Cut(old.Address(), ":")
		id = filbertford.TargetID(fmt.Sprintf("%s-%d", host, t.boots))
		r.writeRecord(between(r.random, 300, 4500), old, true)
	}
	r.after(between(r.random, 500, 5000), func() {
		if t.boots != boots {
			return
		}
		t.restart(id, testWallOffset+r.now.Milliseconds())
		rec, started := t.rec, t.boots
		r.after(between(r.random, 0, 1500), func() {
			if t.boots == started {
				r.writeRecord(0, rec, false)
			}
		})
	})
}

// calmDown ends the disturbances that would last for ever.
func (r *overlapRun) calmDown() {
	r.plan.latePercent, r.plan.slowPercent = 0, 0
	r.eachTarget(func(t *fakeTarget) { t.busy, t.failing, t.hanging, t.speed = false, false, false, 1 })
}

// runStored carries out a plan with stored jobs and returns the broken rules: beside those of
// check, each job must end as it should.
func (p overlapPlan) runStored(counts map[string]int, trace func(string, ...any)) []string {
	p.prepare = func(r *overlapRun) {
		r.stored, r.jobFences = make(map[filbertford.JobKey]storedJob), map[filbertford.NodeID]uint64{r.node: 1}
		r.crashUnder(func(key filbertford.TaskKey) bool {
			return key.Index() == 0 && p.jobs[r.jobIndex(key.Job())].deadly
		})
		r.crashes.after = r.crashInRun
	}
	p.finish = func(r *overlapRun) []string {
		var out []string
		for i, j := range p.jobs {
			key, done := jobKey(i), 0
			if _, ok := r.stored[key]; !ok {
				continue // lost with its coordinator
			}
			for index := range j.tasks {
				if r.crashes.recorded[filbertford.NewTaskKey(key, 0, 0, index)].Done() {
					done++
				}
			}
			switch failed := r.jobFailed(key, j.tasks); {
			case j.deadly:
				r.counts["crashes"] += r.crashes.under[filbertford.NewTaskKey(key, 0, 0, 0)]
				r.count(fmt.Sprintf("deadly job has failed: %v", failed))
				if !failed {
					out = append(out, fmt.Sprintf("job %s with a deadly task has not failed", key))
				}
			case failed && !p.mayFail():
				out = append(out, fmt.Sprintf("job %s has failed: %+v", key, r.crashes.recorded))
			case !failed && done < j.tasks:
				out = append(out, fmt.Sprintf("job %s: %d of %d tasks are done", key, done, j.tasks))
			}
		}
		return out
	}
	return p.run(counts, trace)
}

// mayFail reports whether the plan has faults by which a job without a deadly task may fail.
func (p overlapPlan) mayFail() bool {
	return slices.ContainsFunc(p.faults, func(f fault) bool {
		return slices.Contains([]faultKind{faultFailing, faultSameID, faultOtherID, faultGone}, f.kind)
	})
}

// jobIndex returns the index of a job in the plan.
func (r *overlapRun) jobIndex(key filbertford.JobKey) int {
	for i := range r.plan.jobs {
		if jobKey(i) == key {
			return i
		}
	}
	return 0
}

// TestDeadlyTasksAreGivenUpUnderFaults plays randomised runs with stored jobs, of which some
// have a task that crashes its targets. Such a job must fail before the task is started three
// times more after three crashes; all others must be done.
func TestDeadlyTasksAreGivenUpUnderFaults(t *testing.T) {
	silence := slices.Concat(linkFaults, []faultKind{faultMute, faultSlow, faultPause, faultRecord})
	tests := map[string]scenario{
		"calm":         {},
		"silence":      {kinds: silence},
		"owners":       {kinds: ownerFaults},
		"coordinators": {kinds: []faultKind{faultStream, faultCoordinator, faultCoordinatorLost}},
		"all daemons":  {kinds: slices.Concat(ownerFaults, []faultKind{faultStream, faultCoordinator, faultCoordinatorLost})},
		"targets":      {kinds: []faultKind{faultMute, faultStuck, faultSlow, faultFailing, faultBusy, faultShrink, faultRecord, faultOtherID, faultSameID}},
		"evacuations": {
			kinds: slices.Concat(ownerFaults, []faultKind{faultEvacuate, faultEvacuate, faultEvacuate, faultStream, faultCoordinator, faultCut, faultFailing}), pools: 2,
		},
		"recalls":   {kinds: slices.Concat(ownerFaults, []faultKind{faultStream, faultCoordinator, faultCoordinatorLost}), pools: 2, recalls: true},
		"two pools": {kinds: slices.Concat(ownerFaults, silence), pools: 2},
		"targets and links, two pools": {pools: 2, kinds: slices.Concat(silence, []faultKind{
			faultStream, faultOtherID, faultSameID, faultStuck, faultFailing, faultBusy, faultShrink,
		})},
	}
	for name, tt := range tests {
		tt.stored = true
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			counts := make(map[string]int)
			rapid.Check(t, func(rt *rapid.T) {
				p := drawPlan(rt, tt)
				if violations := p.runStored(counts, nil); len(violations) > 0 {
					p.runStored(make(map[string]int), func(format string, args ...any) { rt.Logf(format, args...) })
					rt.Fatal(violations)
				}
			})
			for _, what := range slices.Sorted(maps.Keys(counts)) {
				t.Logf("%8d %s", counts[what], what)
			}
		})
	}
}
