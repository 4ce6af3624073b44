package fbpolicy

import "github.com/filbertford/filbertford"

// maxJobRecords is the number of failing jobs that are remembered.
const maxJobRecords = 512

// jobPrior is the weight, in tasks, of the service's share of failures in the
// judgement of one job.
const jobPrior = 2

// jobRecord is what is known of a job of which a task has failed.
type jobRecord struct {
	targets   []filbertford.TargetID
	succeeded float64
}

// jobTable remembers the jobs that failed last.
type jobTable struct {
	records map[string]*jobRecord
	ring    [maxJobRecords]string
	next    int
}

func newJobTable() jobTable {
	return jobTable{records: make(map[string]*jobRecord)}
}

// recordSuccess takes in that a task of the job succeeded.
func (t *jobTable) recordSuccess(job string) {
	if len(t.records) == 0 {
		return
	}
	if r, ok := t.records[job]; ok {
		r.succeeded++
	}
}

// recordFailure takes in that a task of the job failed at the target. It returns the
// share of its tasks that are expected to fail at other targets, where usual is
// the share of all tasks there.
func (t *jobTable) recordFailure(job string, target filbertford.TargetID, failureRate float64) float64 {
	r, ok := t.records[job]
	if !ok {
		r = t.add(job)
	}
	elsewhere, known := 0.0, false
	for _, id := range r.targets {
		if id == target {
			known = true
		} else {
			elsewhere++
		}
	}
	if !known && len(r.targets) < 8 {
		r.targets = append(r.targets, target)
	}
	return (elsewhere + jobPrior*failureRate) / (elsewhere + r.succeeded + jobPrior)
}

func (t *jobTable) add(job string) *jobRecord {
	delete(t.records, t.ring[t.next])
	t.ring[t.next] = job
	t.next = (t.next + 1) % maxJobRecords
	r := &jobRecord{}
	t.records[job] = r
	return r
}
