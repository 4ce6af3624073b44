package fbshard

// endedBytes is the memory of a job that has ended, in bytes, without its texts.
const endedBytes = 1 << 10

// Memory counts the memory of the jobs of a daemon's shards. It is not safe for concurrent
// use.
type Memory struct {
	limit int
	used  int
}

// NewMemory returns a count of 0 bytes with a limit in bytes.
func NewMemory(limit int) *Memory { return &Memory{limit: limit} }

// Used returns the memory of all jobs in bytes.
func (m *Memory) Used() int { return m.used }

// hasRoom reports whether a new job fits. Without a count all jobs do.
func (m *Memory) hasRoom(j *job) bool { return m == nil || m.used+j.memory() <= m.limit }

// WithMemory sets the count that limits new jobs, and returns the owner. It must be called
// before the owner is used. Jobs that are read from the store are counted and never rejected.
func (o *Owner) WithMemory(m *Memory) *Owner {
	o.memory = m
	return o
}

// Release takes the owner's jobs out of the count, when the daemon has lost the shard.
func (o *Owner) Release() {
	for _, j := range o.jobs {
		o.count(j, 0)
	}
}

// memory returns an estimate of the memory that the daemon needs for the job, in bytes.
func (j *job) memory() int {
	if !j.state.final() && j.state != StateRemoved {
		return j.workload.MemoryBytes()
	}
	return endedBytes + j.workload.TextBytes()
}

// count corrects the count by a job that needs n bytes now.
func (o *Owner) count(j *job, n int) {
	if o.memory != nil {
		o.memory.used += n - j.counted
		j.counted = n
	}
}

// putJob adds a job, and removeJob removes it if it exists.
func (o *Owner) putJob(j *job) {
	o.jobs[j.workload.Key()] = j
	o.count(j, j.memory())
}

func (o *Owner) removeJob(j *job) {
	if j != nil {
		o.count(j, 0)
		delete(o.jobs, j.workload.Key())
	}
}
