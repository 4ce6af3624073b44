package fbsched

import (
	"time"

	"github.com/filbertford/filbertford"
)

// Item is a task of a batch.
type Item struct {
	index    int
	failures int
	target   filbertford.TargetID
}

// NewItem returns the task with the index, which has failed the given number of
// times so far.
func NewItem(index, failures int) Item { return Item{index: index, failures: failures} }

// WithTarget returns a copy of i of a task that an earlier owner has started on
// the target.
func (i Item) WithTarget(id filbertford.TargetID) Item {
	i.target = id
	return i
}

// Target returns the target that the task was last started on, empty if none is
// known.
func (i Item) Target() filbertford.TargetID { return i.target }

// Index returns the task's index within its step.
func (i Item) Index() int { return i.index }

// Failures returns how often the task has failed so far.
func (i Item) Failures() int { return i.failures }

// Batch is a number of tasks of one step that a coordinator offers to a pool.
type Batch struct {
	pool         filbertford.PoolID
	job          filbertford.JobKey
	occurrence   int
	stepNumber   int
	step         filbertford.Step
	spec         string
	service      string
	attempts     int
	priority     int
	due          time.Duration
	timeout      time.Duration
	fence        uint64
	resume       bool
	stored       bool
	search       bool
	shardFence   uint64
	ownerSilence time.Duration
	items        []Item
}

// NewBatch returns tasks of the step with the number for the pool.
func NewBatch(pool filbertford.PoolID, job filbertford.JobKey, occurrence, stepNumber int, step filbertford.Step, items []Item) Batch {
	return Batch{pool: pool, job: job, occurrence: occurrence, stepNumber: stepNumber, step: step, items: items, attempts: 1}
}

// WithWork returns a copy of b whose tasks are started with the spec on targets
// of the service, up to attempts times if they fail.
func (b Batch) WithWork(spec, service string, attempts int) Batch {
	b.spec, b.service, b.attempts = spec, service, attempts
	return b
}

// WithTimes returns a copy of b with the time left to the job's objective, and
// that after which nobody waits for it any more.
func (b Batch) WithTimes(due, timeout time.Duration) Batch {
	b.due, b.timeout = due, timeout
	return b
}

// WithPriority returns a copy of b with the priority of its route, 0 first.
func (b Batch) WithPriority(p int) Batch {
	b.priority = p
	return b
}

// WithFence returns a copy of b for the owner with the fencing token.
func (b Batch) WithFence(fence uint64) Batch {
	b.fence = fence
	return b
}

// WithResume returns a copy of b whose tasks an earlier owner may have started.
// That owner was heard last the given time ago.
func (b Batch) WithResume(ownerSilence time.Duration) Batch {
	b.resume, b.ownerSilence = true, ownerSilence
	return b
}

// WithStored returns a copy of b of a stored job. Its tasks outlast their
// coordinator, and their ends are kept until they are confirmed. In a search, the
// pool takes only what it has and returns the rest.
func (b Batch) WithStored(stored, search bool) Batch {
	b.stored, b.search = stored, search
	return b
}

// WithShardFence returns a copy of b from the keeper with the fencing token.
func (b Batch) WithShardFence(fence uint64) Batch {
	b.shardFence = fence
	return b
}

// ShardFence returns the fencing token of the keeper of a stored job.
func (b Batch) ShardFence() uint64 { return b.shardFence }

// Stored reports whether the tasks belong to a stored job.
func (b Batch) Stored() bool { return b.stored }

// Search reports whether the pool is to take only what it has.
func (b Batch) Search() bool { return b.search }

// Pool returns the pool that the batch is offered to.
func (b Batch) Pool() filbertford.PoolID { return b.pool }

// Job returns the key of the job.
func (b Batch) Job() filbertford.JobKey { return b.job }

// Occurrence returns the number of the job's occurrence.
func (b Batch) Occurrence() int { return b.occurrence }

// StepNumber returns the number of the step.
func (b Batch) StepNumber() int { return b.stepNumber }

// Step returns the step.
func (b Batch) Step() filbertford.Step { return b.step }

// Spec returns the text that the tasks are started with.
func (b Batch) Spec() string { return b.spec }

// Service returns the service whose targets run the tasks.
func (b Batch) Service() string { return b.service }

// Attempts returns how often a task may fail.
func (b Batch) Attempts() int { return b.attempts }

// Priority returns the priority of the route, 0 first.
func (b Batch) Priority() int { return b.priority }

// Due returns the time left to the job's objective, negative if it has passed.
func (b Batch) Due() time.Duration { return b.due }

// Timeout returns the time after which nobody waits for the job any more.
func (b Batch) Timeout() time.Duration { return b.timeout }

// Fence returns the fencing token of the owner that the batch is for.
func (b Batch) Fence() uint64 { return b.fence }

// Resume reports whether an earlier owner may have started the tasks.
func (b Batch) Resume() bool { return b.resume }

// OwnerSilence returns how long ago that owner was heard last.
func (b Batch) OwnerSilence() time.Duration { return b.ownerSilence }

// Items returns the tasks.
func (b Batch) Items() []Item { return b.items }

// key returns the key of the task with the index.
func (b Batch) key(index int) filbertford.TaskKey {
	return filbertford.NewTaskKey(b.job, b.occurrence, b.stepNumber, index)
}

// Withdrawal takes all tasks of a job back from a pool, which returns each of
// them.
type Withdrawal struct {
	pool filbertford.PoolID
	job  filbertford.JobKey
}

// NewWithdrawal returns the withdrawal of the job's tasks from the pool.
func NewWithdrawal(pool filbertford.PoolID, job filbertford.JobKey) Withdrawal {
	return Withdrawal{pool: pool, job: job}
}

// Pool returns the pool.
func (w Withdrawal) Pool() filbertford.PoolID { return w.pool }

// Job returns the key of the job.
func (w Withdrawal) Job() filbertford.JobKey { return w.job }

// Confirm tells a pool that the end of a task of a stored job is recorded.
type Confirm struct {
	pool     filbertford.PoolID
	task     filbertford.TaskKey
	done     bool
	failures int
}

// NewConfirm returns the confirmation of a task's end, or of its failed runs so
// far.
func NewConfirm(pool filbertford.PoolID, task filbertford.TaskKey, done bool, failures int) Confirm {
	return Confirm{pool: pool, task: task, done: done, failures: failures}
}

// Pool returns the pool.
func (c Confirm) Pool() filbertford.PoolID { return c.pool }

// Task returns the task.
func (c Confirm) Task() filbertford.TaskKey { return c.task }

// Done reports whether the task's end as done is recorded.
func (c Confirm) Done() bool { return c.done }

// Failures returns how many failed runs are recorded.
func (c Confirm) Failures() int { return c.failures }

// Status tells what became of a task in a pool.
type Status string

// The verdicts of a pool.
const (
	// StatusStarted tells that a run of the task was begun.
	StatusStarted Status = "started"
	// StatusRetried tells that a run of the task has failed and that another
	// follows.
	StatusRetried Status = "retried"
	// StatusDone tells that the task is done.
	StatusDone Status = "done"
	// StatusFailed tells that the task has failed as often as allowed.
	StatusFailed Status = "failed"
	// StatusExpired tells that the task could not start in time and won't.
	StatusExpired Status = "expired"
	// StatusReturned tells that the pool doesn't and won't run the task.
	StatusReturned Status = "returned"
	// StatusAbsent tells that a task that was looked for is not in the pool.
	StatusAbsent Status = "absent"
	// StatusReassigned tells that another coordinator has offered the task since.
	StatusReassigned Status = "taken"
)

// Report tells a coordinator what became of a task.
type Report struct {
	pool     filbertford.PoolID
	fence    uint64
	task     filbertford.TaskKey
	status   Status
	failures int
	started  bool
	target   filbertford.TargetID
}

// NewReport returns the verdict on a task of the pool's owner with the fencing
// token.
func NewReport(pool filbertford.PoolID, fence uint64, task filbertford.TaskKey, status Status, failures int) Report {
	return Report{pool: pool, fence: fence, task: task, status: status, failures: failures}
}

// WithStarted returns a copy of r of a task that a run was begun for.
func (r Report) WithStarted(started bool) Report {
	r.started = started
	return r
}

// WithTarget returns a copy of r of a run on the target.
func (r Report) WithTarget(id filbertford.TargetID) Report {
	r.target = id
	return r
}

// Target returns the target of the run that was begun, empty in other reports.
func (r Report) Target() filbertford.TargetID { return r.target }

// Started reports whether a run of the task may have begun in the pool.
func (r Report) Started() bool { return r.started }

// Pool returns the pool.
func (r Report) Pool() filbertford.PoolID { return r.pool }

// Fence returns the owner's fencing token.
func (r Report) Fence() uint64 { return r.fence }

// Task returns the task.
func (r Report) Task() filbertford.TaskKey { return r.task }

// Status returns the verdict.
func (r Report) Status() Status { return r.status }

// Failures returns how often the task has failed.
func (r Report) Failures() int { return r.failures }

// Capacity is what a pool could start at once on the targets of a service.
type Capacity struct {
	service string
	free    []int
	total   int
	backlog time.Duration
}

// NewCapacity returns the free thousandths of a core of each usable target, what
// all of them have together, and how long the queue takes to drain.
func NewCapacity(service string, free []int, total int, backlog time.Duration) Capacity {
	return Capacity{service: service, free: free, total: total, backlog: backlog}
}

// Service returns the service.
func (c Capacity) Service() string { return c.service }

// Free returns the free thousandths of a core of each usable target.
func (c Capacity) Free() []int { return c.free }

// Total returns the thousandths of a core of all usable targets.
func (c Capacity) Total() int { return c.total }

// Backlog returns how long the queue takes to drain.
func (c Capacity) Backlog() time.Duration { return c.backlog }
