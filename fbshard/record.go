package fbshard

import "github.com/filbertford/filbertford"

// addRecord notes the end of a task that is confirmed after the next commit.
func (j *job) addRecord(task filbertford.TaskKey) {
	j.records = append(j.records, taskRecord{task: task, progress: j.progress(task.Step(), task.Index())})
	if j.state.final() {
		j.finalUncommitted = true
	}
}

// takeRecords returns the ends that the next commit records.
func (j *job) takeRecords() []taskRecord {
	records := j.records
	j.records = nil
	return records
}

// finalCommitted reports whether the job's final state is committed.
func (j *job) finalCommitted() bool { return !j.finalUncommitted }
