package fbshard

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/filbertford/filbertford"
	"github.com/filbertford/filbertford/fbsched"
)

// Limits of an Owner, and the key of its claim.
const (
	// maxCommitJobs is the largest number of jobs in a transaction. The platform
	// accepts 100 entries, of which the claim takes one and each job two.
	maxCommitJobs = 49
	// maxCommitBytes is the size of a transaction's rows from which no further job
	// is added. It is below the limit of the platform.
	maxCommitBytes = 700 << 10
	// retryDelay is the time between two attempts while the store refuses calls.
	retryDelay = 100 * time.Millisecond
	// malformedClaimDelay is the time between two reads of a claim that can't be
	// decoded.
	malformedClaimDelay = 5 * time.Second
	// statusRetention is how long a job's state can be requested after its end,
	// which is above the platform's two minutes.
	statusRetention = 130 * time.Second
	// claimKey is the key of the row that names the owner.
	claimKey = "keeper"
)

// phase is the progress of an Owner in claiming the shard.
type phase string

const (
	phaseReading  phase = "reading"  // the read of the claim is in progress
	phaseClaiming phase = "claiming" // the commit of the claim is in progress
	phaseLoading  phase = "loading"  // the read of the jobs is in progress
	phaseServing  phase = "serving"
	phaseLost     phase = "lost"
)

// Owner manages the jobs of a shard for the daemon that owns it. It is not safe for
// concurrent use.
type Owner struct {
	shard        filbertford.PoolID
	node         filbertford.NodeID
	fence        uint64
	phase        phase
	claimVersion uint64 // version of the claim's row
	jobs         map[filbertford.JobKey]*job
	malformed    map[filbertford.JobKey]bool // jobs whose rows can't be decoded
	requests     []request
	dirty        []filbertford.JobKey // jobs whose rows are to be written
	pending      *pendingCommit
	retryAt      time.Duration // when a call is to be tried again, 0 for none
	memory       *Memory       // nil for no limit

	verification verification
	actions      []Action
}

// request is a caller's request that is not answered yet.
type request struct {
	id     uint64
	key    filbertford.JobKey
	submit *job // for a submission
	cancel bool
}

// pendingCommit is a transaction whose result is not known yet.
type pendingCommit struct {
	keys    []filbertford.JobKey
	states  map[filbertford.JobKey]State
	records map[filbertford.JobKey][]taskRecord
}

// taskRecord is the progress of a task as written in a transaction.
type taskRecord struct {
	task     filbertford.TaskKey
	progress fbsched.Progress
}

// Action is what the caller of an Owner is to carry out: a StoreCall, Reply,
// StartJob, CancelJob, TaskRecorded, ClaimVerified, RowMalformed or ShardLost.
type Action any

// CancelJob requests that a job's tasks are stopped.
type CancelJob struct{ Job filbertford.JobKey }

// New returns the owner of a shard. It handles requests once its claim is committed
// and the jobs are read; requests wait until then.
func New(shard filbertford.PoolID, node filbertford.NodeID, fence uint64) *Owner {
	o := &Owner{shard: shard, node: node, fence: fence, jobs: make(map[filbertford.JobKey]*job)}
	o.claimShard()
	return o
}

// Fence returns the owner's fencing token.
func (o *Owner) Fence() uint64 { return o.fence }

// TakeActions returns the actions since the last call.
func (o *Owner) TakeActions() []Action {
	actions := o.actions
	o.actions = nil
	return actions
}

func (o *Owner) emit(a Action) { o.actions = append(o.actions, a) }

// claimShard reads the claim in order to write a new one. This also follows a
// transaction of unknown outcome: once the claim has another version, the store
// can't apply that transaction late.
func (o *Owner) claimShard() {
	o.phase, o.pending = phaseReading, nil
	o.emit(StoreCall{Kind: CallReadClaim})
}

// Submit stores a job. The reply is sent after the commit, or immediately if the job
// is already stored.
func (o *Owner) Submit(requestID uint64, r filbertford.Route, w filbertford.Workload) {
	o.requests = append(o.requests, request{id: requestID, key: w.Key(), submit: newJob(r, w)})
	o.handleRequests()
}

// State requests a reply with the state of a job.
func (o *Owner) State(requestID uint64, key filbertford.JobKey) {
	o.requests = append(o.requests, request{id: requestID, key: key})
	o.handleRequests()
}

// Cancel cancels a job. The reply is sent after the commit.
func (o *Owner) Cancel(requestID uint64, key filbertford.JobKey) {
	o.requests = append(o.requests, request{id: requestID, key: key, cancel: true})
	o.handleRequests()
}

// DropRequest drops the reply to a request whose caller has disconnected. The request
// may still be carried out.
func (o *Owner) DropRequest(requestID uint64) {
	o.requests = slices.DeleteFunc(o.requests, func(r request) bool { return r.id == requestID })
}

// Waiting returns the number of accepted jobs of the route that have not started
// any task. It returns false while the jobs have not been read.
func (o *Owner) Waiting(host, prefix string) (int, bool) {
	if o.phase != phaseServing {
		return 0, false
	}
	n := 0
	for _, j := range o.jobs {
		if j.state == StateQueued && !j.started && j.version != 0 && j.route.Host() == host && j.route.Prefix() == prefix {
			n++
		}
	}
	return n, true
}

// MarkStarted records that a run of a job was started.
func (o *Owner) MarkStarted(key filbertford.JobKey) {
	if j := o.jobs[key]; j != nil {
		j.started = true
	}
}

// Ended reports whether the shard has no job of the key, or one that is recorded as ended. It
// returns false while the jobs have not been read.
func (o *Owner) Ended(key filbertford.JobKey) bool {
	if o.phase != phaseServing || o.malformed[key] {
		return false
	}
	j := o.jobs[key]
	return j == nil || j.state == StateRemoved || j.state.final() && j.finalCommitted()
}

// RecordTask stores the progress of a task.
func (o *Owner) RecordTask(task filbertford.TaskKey, p fbsched.Progress) {
	j := o.jobs[task.Job()]
	if j == nil || j.state.final() {
		return
	}
	if p.Done() {
		j.done[task.Step()][task.Index()] = true
	}
	j.recordFailures(task, p)
	if n := p.Crashes(); n > 0 {
		j.crashes[task.String()] = max(j.crashes[task.String()], n)
	}
	if n := p.RefutedCrashes(); n > 0 {
		j.refuted[task.String()] = max(j.refuted[task.String()], n)
	}
	if j.complete() {
		j.state = StateCompleted
	} else if !p.Done() && (p.Failed() || p.Failures() >= j.route.Attempts()) {
		j.state = StateFailed
	}
	o.count(j, j.memory())
	j.addRecord(task)
	o.markDirty(task.Job())
	o.commit()
}

// complete reports whether all tasks are done.
func (j *job) complete() bool {
	for _, step := range j.done {
		if slices.Contains(step, false) {
			return false
		}
	}
	return true
}

func (o *Owner) markDirty(key filbertford.JobKey) {
	if !slices.Contains(o.dirty, key) {
		o.dirty = append(o.dirty, key)
	}
}

// Tick retries calls that the store has refused, and removes jobs that ended more
// than statusRetention ago.
func (o *Owner) Tick(now time.Duration) {
	if o.retryAt != 0 && now >= o.retryAt {
		o.retryAt = 0
		switch o.phase {
		case phaseServing:
			o.commit()
		case phaseLost:
		default:
			o.claimShard()
		}
	}
	o.retryVerification(now)
	for key, j := range o.jobs {
		if j.endedAt == 0 && j.state.final() {
			j.endedAt = now
		}
		if j.endedAt != 0 && now-j.endedAt > statusRetention {
			j.state = StateRemoved
			o.markDirty(key)
		}
	}
	if o.phase == phaseServing {
		o.commit()
	}
}

// handleRequests handles the waiting requests.
func (o *Owner) handleRequests() {
	if o.phase != phaseServing {
		return
	}
	remaining := o.requests[:0]
	for _, r := range o.requests {
		if !o.handleRequest(r) {
			remaining = append(remaining, r)
		}
	}
	o.requests = remaining
	o.commit()
}

// handleRequest handles a request, and reports whether it was answered. Requests
// that need a commit are answered after it.
func (o *Owner) handleRequest(r request) bool {
	j := o.jobs[r.key]
	switch {
	case r.submit != nil:
		return o.handleSubmit(r, j)
	case j == nil || j.state == StateRemoved:
		o.emit(Reply{RequestID: r.id, State: StateRemoved})
		return true
	case r.cancel:
		return o.handleCancel(r, j)
	case j.version == 0:
		o.emit(Reply{RequestID: r.id, State: StateRemoved})
		return true
	}
	o.emit(Reply{RequestID: r.id, State: j.committedState()})
	return true
}

// committedState returns the state that callers see. A job is shown as ended only
// once its final state is committed.
func (j *job) committedState() State {
	if j.state == StateQueued && j.started {
		return StateRunning
	}
	if j.state.final() && !j.finalCommitted() {
		return StateRunning
	}
	return j.state
}

func (o *Owner) handleSubmit(r request, j *job) bool {
	if o.malformed[r.key] {
		o.emit(Reply{RequestID: r.id}) // whether the job is stored is unknown
		return true
	}
	if j == nil {
		if !o.memory.hasRoom(r.submit) {
			o.emit(Reply{RequestID: r.id, State: StateRefused})
			return true
		}
		o.putJob(r.submit)
		o.markDirty(r.key)
		return false
	}
	if j.version == 0 {
		return false
	}
	o.emit(Reply{RequestID: r.id, State: j.committedState(), Accepted: true})
	return true
}

// handleCancel cancels a job. One that isn't stored will be stored as cancelled, so that another copy of its
// submission doesn't store it again. The reply doesn't wait for that, but for the result of a commit under way,
// which may store the job.
func (o *Owner) handleCancel(r request, j *job) bool {
	if !j.state.final() {
		j.state = StateCancelled
		j.finalUncommitted = true
		o.count(j, j.memory())
		o.markDirty(r.key)
	}
	if j.version == 0 && !o.committing(r.key) {
		o.emit(Reply{RequestID: r.id, State: StateRemoved})
		return true
	}
	if !j.finalCommitted() {
		return false
	}
	o.emit(Reply{RequestID: r.id, State: j.state})
	return true
}

// committing reports whether a commit of the job's row is under way.
func (o *Owner) committing(key filbertford.JobKey) bool {
	return o.pending != nil && slices.Contains(o.pending.keys, key)
}

// JobKeys returns the keys of all jobs of the shard, sorted.
func (o *Owner) JobKeys() []filbertford.JobKey {
	return slices.SortedFunc(maps.Keys(o.jobs), cmp.Compare[filbertford.JobKey])
}
