package fbkeep

import (
	"cmp"
	"encoding/json"
	"errors"
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
	out     []Action
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
// Confirmed or Lost.
type Action any

// CallKind tells which call to the store a keeper wants made.
type CallKind string

// The calls to the store.
const (
	CallReadClaim CallKind = "read-claim"
	CallReadJobs  CallKind = "read-jobs"
	CallCommit    CallKind = "commit"
)

// Call is a call to the store. Its result comes back to Called.
type Call struct {
	Kind        CallKind
	Transaction *filbertford.Transaction
}

// Reply answers a caller's request.
type Reply struct {
	Number uint64
	State  State
	// Accepted reports whether a submission was stored.
	Accepted bool
}

// Begin has a job run. One that was begun before may still run.
type Begin struct {
	Route    filbertford.Route
	Workload filbertford.Workload
	Progress func(step, index int) fbsched.Progress
	Begun    bool
}

// Cancel has a job's tasks stopped.
type Cancel struct{ Job filbertford.JobKey }

// Confirmed tells that the end of a task is recorded.
type Confirmed struct {
	Task     filbertford.TaskKey
	Progress fbsched.Progress
}

// Lost tells that another keeper has the shard.
type Lost struct {
	Fence uint64 // of the other one
}

// Malformed tells that a row can't be read; its job is left alone.
type Malformed struct {
	Key   string
	Cause error
}

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

// commit writes the rows that have changed, one transaction at a time.
func (k *Keeper) commit() {
	if k.phase != phaseServing || k.flight != nil || k.retry != 0 || len(k.dirty) == 0 {
		return
	}
	t := filbertford.NewTransaction(string(k.shard)).Expect(filbertford.TableClaims, claimKey, k.claim)
	f := &flight{states: make(map[filbertford.JobKey]State), records: make(map[filbertford.JobKey][]record)}
	size := 0
	for len(k.dirty) > 0 && len(f.keys) < maxBatch && size < maxBytes {
		key := k.dirty[0]
		k.dirty = k.dirty[1:]
		j := k.jobs[key]
		if j == nil {
			continue
		}
		size += k.write(t, j)
		f.keys = append(f.keys, key)
		f.states[key] = j.state
		f.records[key] = j.takeRecords()
	}
	if len(f.keys) == 0 {
		return
	}
	k.flight = f
	k.do(Call{Kind: CallCommit, Transaction: t})
}

// write adds a job's row to a transaction and returns its size.
func (k *Keeper) write(t *filbertford.Transaction, j *job) int {
	key := string(j.workload.Key())
	t.Expect(filbertford.TableJobs, key, j.version)
	if j.state == StateGone {
		t.Remove(filbertford.TableJobs, key)
		return 0
	}
	value, err := encodeJob(j)
	if err != nil {
		k.do(Malformed{Key: key, Cause: err})
		return 0
	}
	t.Put(filbertford.TableJobs, key, value)
	return len(value)
}

// Called takes in the result of a call: the rows that were read, or the version
// of a commit.
func (k *Keeper) Called(now time.Duration, kind CallKind, s filbertford.Snapshot, version uint64, err error) {
	if k.phase == phaseLost {
		return
	}
	switch kind {
	case CallReadClaim:
		k.claimRead(now, s, err)
	case CallReadJobs:
		k.jobsRead(now, s, err)
	case CallCommit:
		k.committed(now, version, err)
	}
}

func (k *Keeper) claimRead(now time.Duration, s filbertford.Snapshot, err error) {
	if err != nil {
		k.retry = now + retryPause
		return
	}
	k.claim = 0
	for _, c := range s.Changes() {
		if c.Row().Key() != claimKey || c.Removed() {
			continue
		}
		k.claim = c.Row().Version()
		var row claimRow
		if err := json.Unmarshal(c.Row().Value(), &row); err != nil {
			k.do(Malformed{Key: claimKey, Cause: err})
		}
		if row.Fence > k.fence {
			k.lose(row.Fence)
			return
		}
	}
	value, err := json.Marshal(claimRow{Node: string(k.node), Fence: k.fence})
	if err != nil {
		k.do(Malformed{Key: claimKey, Cause: err})
		return
	}
	k.phase = phaseClaiming
	t := filbertford.NewTransaction(string(k.shard)).Expect(filbertford.TableClaims, claimKey, k.claim).
		Put(filbertford.TableClaims, claimKey, value)
	k.do(Call{Kind: CallCommit, Transaction: t})
}

func (k *Keeper) lose(fence uint64) {
	k.phase = phaseLost
	k.do(Lost{Fence: fence})
}

func (k *Keeper) committed(now time.Duration, version uint64, err error) {
	if k.phase == phaseClaiming {
		if err != nil {
			k.phase, k.retry = phaseReading, now+retryPause
			if errors.Is(err, filbertford.ErrConflict) {
				k.retry = 0
				k.open()
			}
			return
		}
		k.claim, k.phase = version, phaseLoading
		k.do(Call{Kind: CallReadJobs})
		return
	}
	f := k.flight
	if f == nil || k.phase != phaseServing {
		return
	}
	k.flight = nil
	switch {
	case err == nil:
		k.applied(f, version)
	case errors.Is(err, filbertford.ErrRefused):
		k.again(f)
		k.retry = now + retryPause
	default:
		k.again(f)
		k.open()
	}
}

// again has the rows of a transaction written once more.
func (k *Keeper) again(f *flight) {
	for _, key := range f.keys {
		k.mark(key)
		if j := k.jobs[key]; j != nil {
			j.records = append(f.records[key], j.records...)
		}
	}
}

// applied takes in that a transaction was applied at a version.
func (k *Keeper) applied(f *flight, version uint64) {
	for _, key := range f.keys {
		j := k.jobs[key]
		if j == nil {
			continue
		}
		k.rowCommitted(j, f.states[key], f.records[key], version)
	}
	k.serve()
}

func (k *Keeper) rowCommitted(j *job, written State, records []record, version uint64) {
	key := j.workload.Key()
	first := j.version == 0
	j.version = version
	if written == StateGone {
		delete(k.jobs, key)
		return
	}
	if first && written == StateQueued {
		k.do(Begin{Route: j.route, Workload: j.workload, Progress: j.progress})
	}
	if written == StateCancelled && j.unsettled {
		k.do(Cancel{Job: key})
	}
	if j.state == written {
		j.unsettled = false
	}
	for _, r := range records {
		k.do(Confirmed{Task: r.task, Progress: r.progress})
	}
}

// jobsRead takes in the rows of the shard.
func (k *Keeper) jobsRead(now time.Duration, s filbertford.Snapshot, err error) {
	if k.phase != phaseLoading {
		return
	}
	if err != nil {
		k.phase, k.retry = phaseReading, now+retryPause
		return
	}
	seen := make(map[filbertford.JobKey]bool)
	for _, c := range s.Changes() {
		key := filbertford.JobKey(c.Row().Key())
		seen[key] = true
		stored, err := decodeJob(key, c.Row().Value())
		if err != nil {
			k.do(Malformed{Key: string(key), Cause: err})
			continue
		}
		stored.version = c.Row().Version()
		k.adopt(key, stored)
	}
	for _, key := range slices.SortedFunc(maps.Keys(k.jobs), cmp.Compare[filbertford.JobKey]) {
		if !seen[key] && k.jobs[key].version != 0 {
			delete(k.jobs, key)
		}
	}
	k.phase = phaseServing
	k.serve()
}

// adopt takes in a row. What this keeper knows beyond it is written again.
func (k *Keeper) adopt(key filbertford.JobKey, stored *job) {
	j := k.jobs[key]
	if j == nil {
		k.jobs[key] = stored
		if stored.state.over() {
			k.do(Cancel{Job: key}) // an earlier keeper may not have told the pools
		} else {
			k.do(Begin{Route: stored.route, Workload: stored.workload, Progress: stored.progress, Begun: true})
		}
		return
	}
	first := j.version == 0
	j.version = stored.version
	if first && !j.state.over() {
		k.do(Begin{Route: j.route, Workload: j.workload, Progress: j.progress})
	}
	k.mark(key)
}

// Keys returns the keys of the jobs that the keeper knows.
func (k *Keeper) Keys() []filbertford.JobKey {
	return slices.SortedFunc(maps.Keys(k.jobs), cmp.Compare[filbertford.JobKey])
}
