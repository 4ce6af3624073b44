package fbpolicy

import "github.com/filbertford/filbertford"

// maxJobRecords is the number of jobs with failed tasks that are kept.
const maxJobRecords = 512

// jobPrior is the weight, in tasks, of the service's failure rate in the estimate
// for a single job.
const jobPrior = 2

// jobRecord holds the outcomes of a job after its first failed task: the targets
// at which tasks failed and the number of tasks that succeeded.
type jobRecord struct {
	targets   []filbertford.TargetID
	succeeded float64
}

// jobTable holds the records of the last maxJobRecords jobs with failed tasks.
type jobTable struct {
	records map[string]*jobRecord
	ring    [maxJobRecords]string
	next    int
}

func newJobTable() jobTable {
	return jobTable{records: make(map[string]*jobRecord)}
}

// recordSuccess counts a success of the job if it has a record.
func (t *jobTable) recordSuccess(job string) {
	if len(t.records) == 0 {
		return
	}
	if r, ok := t.records[job]; ok {
		r.succeeded++
	}
}

// recordFailure records that a task of the job failed at the target. It returns
// the share of the job's tasks that is expected to fail at other targets, where
// failureRate is that share for all jobs of the service.
func (t *jobTable) recordFailure(job string, target filbertford.TargetID, failureRate float64) float64 {
	r, ok := t.records[job]
	if !ok {
		r = t.add(job)
	}
	failed, known := 0.0, false
	for _, id := range r.targets {
		if id == target {
			known = true
		} else {
			failed++
		}
	}
	if !known && len(r.targets) < 8 {
		r.targets = append(r.targets, target)
	}
	return (failed + jobPrior*failureRate) / (failed + r.succeeded + jobPrior)
}

func (t *jobTable) add(job string) *jobRecord {
	delete(t.records, t.ring[t.next])
	t.ring[t.next] = job
	t.next = (t.next + 1) % maxJobRecords
	r := &jobRecord{}
	t.records[job] = r
	return r
}
