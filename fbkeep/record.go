package fbkeep

import "github.com/filbertford/filbertford"

// pending notes the end of a task that is confirmed after the next commit.
func (j *job) pending(task filbertford.TaskKey) {
	j.records = append(j.records, record{task: task, progress: j.progress(task.Step(), task.Index())})
	if j.state.over() {
		j.unsettled = true
	}
}

// takeRecords returns the ends that the next commit records.
func (j *job) takeRecords() []record {
	out := j.records
	j.records = nil
	return out
}

// settled reports whether the job's final state is committed.
func (j *job) settled() bool { return !j.unsettled }
