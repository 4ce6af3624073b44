package fbshard

import (
	"github.com/filbertford/filbertford"
	"github.com/filbertford/filbertford/fbsched"
)

// addRecord adds the progress of a task, which is reported after the next commit.
func (j *job) addRecord(task filbertford.TaskKey) {
	j.records = append(j.records, taskRecord{task: task, progress: j.progress(task.Step(), task.Index())})
	if j.state.final() {
		j.finalUncommitted = true
	}
}

// recordFailures adds the failed runs of a task to the job. Those of a task that is done don't count any more.
func (j *job) recordFailures(task filbertford.TaskKey, p fbsched.Progress) {
	name, merged := task.String(), j.progress(task.Step(), task.Index()).WithFailuresOf(p)
	delete(j.failedRuns, name)
	if merged.Failures() == 0 {
		return
	}
	j.failures[name] = merged.Failures()
	if run := merged.FailedRun(); run > 0 && !merged.Done() {
		j.failedRuns[name] = run
	}
}

// takeRecords removes and returns the records that the next commit stores.
func (j *job) takeRecords() []taskRecord {
	records := j.records
	j.records = nil
	return records
}

// finalCommitted reports whether the job's final state is committed.
func (j *job) finalCommitted() bool { return !j.finalUncommitted }
