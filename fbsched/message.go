package fbsched

import (
	"time"

	"github.com/filbertford/filbertford"
)

// Item is a task of a batch.
type Item struct {
	index   int
	failed  failedRuns
	crashes crashCount
	target  filbertford.TargetID
}

// NewItem returns the task with the given index and number of failed runs so far.
func NewItem(index, failures int) Item {
	return Item{index: index, failed: failedRuns{count: failures}}
}

// WithFailedRun returns a copy of i whose failed runs are those with numbers up to the given one.
func (i Item) WithFailedRun(number uint64) Item {
	i.failed.last = number
	return i
}

// WithTarget returns a copy of i for a task that an earlier owner started on the
// target.
func (i Item) WithTarget(id filbertford.TargetID) Item {
	i.target = id
	return i
}

// Target returns the target that the task was last started on, empty if unknown or if the run has ended.
func (i Item) Target() filbertford.TargetID { return i.target }

// Index returns the task's index within its step.
func (i Item) Index() int { return i.index }

// Failures returns how many runs of the task have failed so far.
func (i Item) Failures() int { return i.failed.count }

// FailedRun returns the highest run number up to which failed runs are counted, 0 if unknown.
func (i Item) FailedRun() uint64 { return i.failed.last }

// Batch is a set of tasks of one step that a coordinator offers to a pool.
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
	offerNumber  uint64
	items        []Item
}

// NewBatch returns a batch of tasks of the step for the pool. The step number counts
// from 0.
func NewBatch(pool filbertford.PoolID, job filbertford.JobKey, occurrence, stepNumber int, step filbertford.Step, items []Item) Batch {
	return Batch{pool: pool, job: job, occurrence: occurrence, stepNumber: stepNumber, step: step, items: items, attempts: 1}
}

// WithWork returns a copy of b whose tasks run with the spec on targets of the
// service. A task fails when attempts of its runs have failed.
func (b Batch) WithWork(spec, service string, attempts int) Batch {
	b.spec, b.service, b.attempts = spec, service, attempts
	return b
}

// WithTimes returns a copy of b with the time left until the job's objective (due)
// and the time after which a task that has not started expires (timeout).
func (b Batch) WithTimes(due, timeout time.Duration) Batch {
	b.due, b.timeout = due, timeout
	return b
}

// WithPriority returns a copy of b with the priority of its route, 0 being the
// highest.
func (b Batch) WithPriority(p int) Batch {
	b.priority = p
	return b
}

// WithFence returns a copy of b for the pool owner with the fencing token.
func (b Batch) WithFence(fence uint64) Batch {
	b.fence = fence
	return b
}

// WithResume returns a copy of b whose tasks an earlier owner may have started.
// ownerSilence is the time since the coordinator lost contact with that owner.
func (b Batch) WithResume(ownerSilence time.Duration) Batch {
	b.resume, b.ownerSilence = true, ownerSilence
	return b
}

// WithStored returns a copy of b that states whether the job is stored and whether
// the batch is a search. Tasks of stored jobs keep running for a time when their
// coordinator can't be reached, and the pool keeps their outcomes until they are
// confirmed.
// In a search, the pool accepts only tasks that it already has and reports the
// others as absent.
func (b Batch) WithStored(stored, search bool) Batch {
	b.stored, b.search = stored, search
	return b
}

// WithShardFence returns a copy of b from the shard owner with the fencing token.
func (b Batch) WithShardFence(fence uint64) Batch {
	b.shardFence = fence
	return b
}

// WithOfferNumber returns a copy of b with the number of the offer. A coordinator's numbers
// increase, also when its process starts again.
func (b Batch) WithOfferNumber(n uint64) Batch {
	b.offerNumber = n
	return b
}

// OfferNumber returns the number of the offer, 0 if the coordinator gives it none.
func (b Batch) OfferNumber() uint64 { return b.offerNumber }

// ShardFence returns the fencing token of the shard owner of a stored job.
func (b Batch) ShardFence() uint64 { return b.shardFence }

// Stored reports whether the tasks belong to a stored job.
func (b Batch) Stored() bool { return b.stored }

// Search reports whether the pool is to accept only tasks that it already has.
func (b Batch) Search() bool { return b.search }

// Pool returns the pool that the batch is offered to.
func (b Batch) Pool() filbertford.PoolID { return b.pool }

// Job returns the key of the job.
func (b Batch) Job() filbertford.JobKey { return b.job }

// Occurrence returns the number of the job's occurrence.
func (b Batch) Occurrence() int { return b.occurrence }

// StepNumber returns the number of the step, counted from 0.
func (b Batch) StepNumber() int { return b.stepNumber }

// Step returns the step.
func (b Batch) Step() filbertford.Step { return b.step }

// Spec returns the text that the tasks are started with.
func (b Batch) Spec() string { return b.spec }

// Service returns the service whose targets run the tasks.
func (b Batch) Service() string { return b.service }

// Attempts returns how many failed runs end a task as failed.
func (b Batch) Attempts() int { return b.attempts }

// Priority returns the priority of the route, 0 being the highest.
func (b Batch) Priority() int { return b.priority }

// Due returns the time left until the job's objective, negative if it has passed.
func (b Batch) Due() time.Duration { return b.due }

// Timeout returns the time after which a task that has not started expires.
func (b Batch) Timeout() time.Duration { return b.timeout }

// Fence returns the fencing token of the pool owner that the batch is for.
func (b Batch) Fence() uint64 { return b.fence }

// Resume reports whether an earlier owner may have started the tasks.
func (b Batch) Resume() bool { return b.resume }

// OwnerSilence returns the time since the coordinator lost contact with the earlier
// owner.
func (b Batch) OwnerSilence() time.Duration { return b.ownerSilence }

// Items returns the tasks.
func (b Batch) Items() []Item { return b.items }

// key returns the key of the task with the index.
func (b Batch) key(index int) filbertford.TaskKey {
	return filbertford.NewTaskKey(b.job, b.occurrence, b.stepNumber, index)
}

// Withdrawal asks a pool to stop all tasks of a job and to report each of them as
// returned.
type Withdrawal struct {
	pool filbertford.PoolID
	job  filbertford.JobKey
}

// NewWithdrawal returns a withdrawal of the job's tasks from the pool.
func NewWithdrawal(pool filbertford.PoolID, job filbertford.JobKey) Withdrawal {
	return Withdrawal{pool: pool, job: job}
}

// Pool returns the pool.
func (w Withdrawal) Pool() filbertford.PoolID { return w.pool }

// Job returns the key of the job.
func (w Withdrawal) Job() filbertford.JobKey { return w.job }

// Recall asks the owner of a pool to return the tasks of a job that were never
// started. Tasks that may have been started stay in the pool.
type Recall struct {
	pool  filbertford.PoolID
	job   filbertford.JobKey
	fence uint64
}

// NewRecall returns a recall of the job's tasks from the pool of the owner with the
// fencing token.
func NewRecall(pool filbertford.PoolID, job filbertford.JobKey, fence uint64) Recall {
	return Recall{pool: pool, job: job, fence: fence}
}

// Pool returns the pool.
func (r Recall) Pool() filbertford.PoolID { return r.pool }

// Job returns the key of the job.
func (r Recall) Job() filbertford.JobKey { return r.job }

// Fence returns the fencing token of the owner that the recall is for.
func (r Recall) Fence() uint64 { return r.fence }

// Confirm is the confirmation, sent to a pool, that the outcome of a task of a stored
// job, or the number of its failed runs, is recorded.
type Confirm struct {
	pool    filbertford.PoolID
	task    filbertford.TaskKey
	done    bool
	failed  failedRuns
	crashes int
}

// NewConfirm returns the confirmation that a task is recorded as done, or with the
// number of its failed runs so far.
func NewConfirm(pool filbertford.PoolID, task filbertford.TaskKey, done bool, failures int) Confirm {
	return Confirm{pool: pool, task: task, done: done, failed: failedRuns{count: failures}}
}

// WithFailedRun returns a copy of c whose failed runs are those with numbers up to the given one.
func (c Confirm) WithFailedRun(number uint64) Confirm {
	c.failed.last = number
	return c
}

// Pool returns the pool.
func (c Confirm) Pool() filbertford.PoolID { return c.pool }

// Task returns the task.
func (c Confirm) Task() filbertford.TaskKey { return c.task }

// Done reports whether the task is recorded as done.
func (c Confirm) Done() bool { return c.done }

// WithCrashes returns a copy of c for a task with so many crashes recorded.
func (c Confirm) WithCrashes(n int) Confirm {
	c.crashes = n
	return c
}

// Failures returns how many failed runs are recorded.
func (c Confirm) Failures() int { return c.failed.count }

// FailedRun returns the highest run number up to which failed runs are recorded, 0 if unknown.
func (c Confirm) FailedRun() uint64 { return c.failed.last }

// Crashes returns how many crashes of targets under the task are recorded.
func (c Confirm) Crashes() int { return c.crashes }

// Status is the state of a task in a pool.
type Status string

// The statuses that a pool reports.
const (
	// StatusStarted means that a run of the task was started.
	StatusStarted Status = "started"
	// StatusRetried means that a run of the task has ended without being done, or was lost when its
	// target crashed, and that another one follows.
	StatusRetried Status = "retried"
	// StatusDone means that the task is done.
	StatusDone Status = "done"
	// StatusFailed means that all attempts at the task failed, or that too many targets have
	// crashed under it.
	StatusFailed Status = "failed"
	// StatusExpired means that the task could not start in time and that the pool
	// dropped it.
	StatusExpired Status = "expired"
	// StatusReturned means that the pool does not run the task and will not run it.
	StatusReturned Status = "returned"
	// StatusReleased means that the pool doesn't run the task, will not run it because of
	// the offer whose number the report has, and that no run of it can be executing. Unlike
	// StatusReturned it holds for a task that was offered with resume.
	StatusReleased Status = "released"
	// StatusUnfit means the same as StatusReleased, and that none of the pool's targets could hold the
	// task even if nothing else ran there.
	StatusUnfit Status = "unfit"
	// StatusAbsent means that the task, offered in a search, is not in the pool.
	StatusAbsent Status = "absent"
	// StatusReassigned means that another coordinator has since offered the task.
	StatusReassigned Status = "taken"
)

// releases reports whether the status answers the offer whose number the report has.
func (s Status) releases() bool { return s == StatusReleased || s == StatusUnfit }

// Report is the status of a task, which a pool sends to the task's coordinator.
type Report struct {
	pool    filbertford.PoolID
	fence   uint64
	task    filbertford.TaskKey
	status  Status
	failed  failedRuns
	crashes crashCount
	started bool
	target  filbertford.TargetID
	offer   uint64
}

// NewReport returns a report on the task from the pool's owner with the fencing
// token.
func NewReport(pool filbertford.PoolID, fence uint64, task filbertford.TaskKey, status Status, failures int) Report {
	return Report{pool: pool, fence: fence, task: task, status: status, failed: failedRuns{count: failures}}
}

// WithFailedRun returns a copy of r whose failed runs are those with numbers up to the given one.
func (r Report) WithFailedRun(number uint64) Report {
	r.failed.last = number
	return r
}

// WithStarted returns a copy of r that states whether a run of the task may have
// started in the pool.
func (r Report) WithStarted(started bool) Report {
	r.started = started
	return r
}

// WithTarget returns a copy of r for a run that was started on the target.
func (r Report) WithTarget(id filbertford.TargetID) Report {
	r.target = id
	return r
}

// WithOfferNumber returns a copy of r that answers the offer with the number.
func (r Report) WithOfferNumber(n uint64) Report {
	r.offer = n
	return r
}

// OfferNumber returns the number of the offer that the report answers, 0 unless the status
// says that the pool will not run the task because of that offer.
func (r Report) OfferNumber() uint64 { return r.offer }

// answersOffer reports whether the report answers one offer only. Owners of an earlier version state
// the number only if the status releases the task.
func (r Report) answersOffer() bool { return r.status.releases() || r.offer != 0 }

// Target returns the target of the run that was started or, in a report that the task is retried, the one on
// which no run of it is any more. If that has crashed under the task, it is counted in Crashes. It is empty in
// other reports, and in one about a task that waits.
func (r Report) Target() filbertford.TargetID { return r.target }

// hasProgress reports whether there is something to record for a task that is retried.
func (r Report) hasProgress() bool { return r.failed.count > 0 || r.crashes.counted > 0 }

// Started reports whether a run of the task may have started in the pool.
func (r Report) Started() bool { return r.started }

// Pool returns the pool.
func (r Report) Pool() filbertford.PoolID { return r.pool }

// Fence returns the owner's fencing token.
func (r Report) Fence() uint64 { return r.fence }

// Task returns the task.
func (r Report) Task() filbertford.TaskKey { return r.task }

// Status returns the status of the task.
func (r Report) Status() Status { return r.status }

// Failures returns how many runs of the task have failed.
func (r Report) Failures() int { return r.failed.count }

// FailedRun returns the highest run number up to which failed runs are counted, 0 if unknown.
func (r Report) FailedRun() uint64 { return r.failed.last }
