package fbkeep

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/filbertford/filbertford"
	"github.com/filbertford/filbertford/fbsched"
)

// Limits of a keeper.
const (
	// maxBatch is the number of jobs of a transaction: the platform takes 100
	// entries, of which the claim is one and a job two.
	maxBatch = 49
	// maxBytes is the size of a transaction's rows, less than the platform allows.
	maxBytes = 700 << 10
	// retryPause is the time between two tries while the store refuses calls.
	retryPause = 100 * time.Millisecond
	// statusTerm is how long a job's state can be asked for after its end, above
	// the platform's two minutes.
	statusTerm = 130 * time.Second
	// claimKey is the key of the row that names the keeper.
	claimKey = "keeper"
)

// phase tells how far a keeper is.
type phase string

const (
	phaseReading  phase = "reading"  // the claim is read
	phaseClaiming phase = "claiming" // the claim is written
	phaseLoading  phase = "loading"  // the rows are read
	phaseServing  phase = "serving"
	phaseLost     phase = "lost"
)

// Keeper keeps the jobs of a shard. It is not safe for concurrent use.
type Keeper struct {
	shard   filbertford.PoolID
	node    filbertford.NodeID
	fence   uint64
	phase   phase
	claim   uint64 // version of the claim's row
	jobs    map[filbertford.JobKey]*job
	waiting []request
	dirty   []filbertford.JobKey // jobs whose rows are to be written
	flight  *flight
	retry   time.Duration // when a call may be tried again, 0 if none waits

	verification verification
	out          []Action
}

// request is a caller's request that is not answered yet.
type request struct {
	number uint64
	key    filbertford.JobKey
	submit *job // for a submission
	cancel bool
}

// flight is a transaction that is not answered yet.
type flight struct {
	keys    []filbertford.JobKey
	states  map[filbertford.JobKey]State
	records map[filbertford.JobKey][]record
}

// record is the end of a task as written in a transaction.
type record struct {
	task     filbertford.TaskKey
	progress fbsched.Progress
}

// Action is something that a keeper wants done: a Call, Reply, Begin, Cancel,
// Confirmed, Verified, Malformed or Lost.
type Action any

// Cancel has a job's tasks stopped.
type Cancel struct{ Job filbertford.JobKey }

// New returns the keeper of a shard. It serves once its claim is committed and
// the jobs are read; requests wait until then.
func New(shard filbertford.PoolID, node filbertford.NodeID, fence uint64) *Keeper {
	k := &Keeper{shard: shard, node: node, fence: fence, jobs: make(map[filbertford.JobKey]*job)}
	k.open()
	return k
}

// Fence returns the keeper's fencing token.
func (k *Keeper) Fence() uint64 { return k.fence }

// TakeActions returns what is to be done since the last call.
func (k *Keeper) TakeActions() []Action {
	out := k.out
	k.out = nil
	return out
}

func (k *Keeper) do(a Action) { k.out = append(k.out, a) }

// open begins with the claim, also again after a transaction of unknown
// outcome: once the claim has another version, that one can't be applied late.
func (k *Keeper) open() {
	k.phase, k.flight = phaseReading, nil
	k.do(Call{Kind: CallReadClaim})
}

// Submit stores a job. It is answered as accepted if the job is stored already.
func (k *Keeper) Submit(number uint64, r filbertford.Route, w filbertford.Workload) {
	k.waiting = append(k.waiting, request{number: number, key: w.Key(), submit: newJob(r, w)})
	k.serve()
}

// State answers what a job's state is.
func (k *Keeper) State(number uint64, key filbertford.JobKey) {
	k.waiting = append(k.waiting, request{number: number, key: key})
	k.serve()
}

// Cancel cancels a job.
func (k *Keeper) Cancel(number uint64, key filbertford.JobKey) {
	k.waiting = append(k.waiting, request{number: number, key: key, cancel: true})
	k.serve()
}

// Forget drops a request whose caller has gone. What it asked for may happen.
func (k *Keeper) Forget(number uint64) {
	k.waiting = slices.DeleteFunc(k.waiting, func(r request) bool { return r.number == number })
}

// Waiting returns the number of accepted jobs of the route of which no task has
// begun.
func (k *Keeper) Waiting(host, prefix string) int {
	n := 0
	for _, j := range k.jobs {
		if j.state == StateQueued && !j.begun && j.version != 0 && j.route.Host() == host && j.route.Prefix() == prefix {
			n++
		}
	}
	return n
}

// Begun notes that a run of a job was begun.
func (k *Keeper) Begun(key filbertford.JobKey) {
	if j := k.jobs[key]; j != nil {
		j.begun = true
	}
}

// Record stores the end of a task: done, or another failed run.
func (k *Keeper) Record(task filbertford.TaskKey, done bool, failures int) {
	j := k.jobs[task.Job()]
	if j == nil || j.state.over() {
		return
	}
	if done {
		j.done[task.Step()][task.Index()] = true
	}
	if failures > 0 {
		j.failures[task.String()] = max(j.failures[task.String()], failures)
	}
	if j.complete() {
		j.state = StateCompleted
	} else if failures >= j.route.Attempts() && !done {
		j.state = StateFailed
	}
	j.pending(task)
	k.mark(task.Job())
	k.commit()
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

func (k *Keeper) mark(key filbertford.JobKey) {
	if !slices.Contains(k.dirty, key) {
		k.dirty = append(k.dirty, key)
	}
}

// Tick tries again what the store refused, and forgets jobs long over.
func (k *Keeper) Tick(now time.Duration) {
	if k.retry != 0 && now >= k.retry {
		k.retry = 0
		switch k.phase {
		case phaseServing:
			k.commit()
		case phaseLost:
		default:
			k.open()
		}
	}
	k.tickVerification(now)
	for key, j := range k.jobs {
		if j.ended == 0 && j.state.over() {
			j.ended = now
		}
		if j.ended != 0 && now-j.ended > statusTerm {
			j.state = StateGone
			k.mark(key)
		}
	}
	if k.phase == phaseServing {
		k.commit()
	}
}

// serve takes in the requests that wait.
func (k *Keeper) serve() {
	if k.phase != phaseServing {
		return
	}
	kept := k.waiting[:0]
	for _, r := range k.waiting {
		if !k.handle(r) {
			kept = append(kept, r)
		}
	}
	k.waiting = kept
	k.commit()
}

// handle takes in a request, and reports whether it is answered. Those that need
// a commit are answered after it.
func (k *Keeper) handle(r request) bool {
	j := k.jobs[r.key]
	switch {
	case r.submit != nil:
		return k.handleSubmit(r, j)
	case j == nil || j.version == 0 || j.state == StateGone:
		k.do(Reply{Number: r.number, State: StateGone})
		return true
	case r.cancel:
		return k.handleCancel(r, j)
	}
	k.do(Reply{Number: r.number, State: j.shown()})
	return true
}

// shown returns the state as committed.
func (j *job) shown() State {
	if j.state == StateQueued && j.begun {
		return StateRunning
	}
	if j.state.over() && !j.settled() {
		return StateRunning
	}
	return j.state
}

func (k *Keeper) handleSubmit(r request, j *job) bool {
	if j == nil {
		k.jobs[r.key] = r.submit
		k.mark(r.key)
		return false
	}
	if j.version == 0 {
		return false
	}
	k.do(Reply{Number: r.number, State: j.shown(), Accepted: true})
	return true
}

func (k *Keeper) handleCancel(r request, j *job) bool {
	if !j.state.over() {
		j.state = StateCancelled
		j.unsettled = true
		k.mark(r.key)
	}
	if !j.settled() {
		return false
	}
	k.do(Reply{Number: r.number, State: j.state})
	return true
}

// Keys returns the keys of the jobs that the keeper knows.
func (k *Keeper) Keys() []filbertford.JobKey {
	return slices.SortedFunc(maps.Keys(k.jobs), cmp.Compare[filbertford.JobKey])
}
