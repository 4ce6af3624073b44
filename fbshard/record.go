package fbshard

import "github.com/filbertford/filbertford"

// addRecord adds the progress of a task, which is reported after the next commit.
func (j *job) addRecord(task filbertford.TaskKey) {
	j.records = append(j.records, taskRecord{task: task, progress: j.progress(task.Step(), task.Index())})
	if j.state.final() {
		j.finalUncommitted = true
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
