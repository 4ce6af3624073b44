package fbpolicy

import "github.com/filbertford/filbertford"

// maxJobs is the number of failing jobs that are remembered.
const maxJobs = 512

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
	ring    [maxJobs]string
	next    int
}

func newJobTable() jobTable {
	return jobTable{records: make(map[string]*jobRecord)}
}

// succeeded takes in that a task of the job succeeded.
func (t *jobTable) succeeded(job string) {
	if len(t.records) == 0 {
		return
	}
	if r, ok := t.records[job]; ok {
		r.succeeded++
	}
}

// failed takes in that a task of the job failed at the target. It returns the
// share of its tasks that are expected to fail at other targets, where usual is
// the share of all tasks there.
func (t *jobTable) failed(job string, target filbertford.TargetID, usual float64) float64 {
	r, ok := t.records[job]
	if !ok {
		r = t.add(job)
	}
	elsewhere, here := 0.0, false
	for _, id := range r.targets {
		if id == target {
			here = true
		} else {
			elsewhere++
		}
	}
	if !here && len(r.targets) < 8 {
		r.targets = append(r.targets, target)
	}
	return (elsewhere + jobPrior*usual) / (elsewhere + r.succeeded + jobPrior)
}

func (t *jobTable) add(job string) *jobRecord {
	delete(t.records, t.ring[t.next])
	t.ring[t.next] = job
	t.next = (t.next + 1) % maxJobs
	r := &jobRecord{}
	t.records[job] = r
	return r
}
