package fbsched

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/filbertford/filbertford"
)

// Limits of a coordinator.
const (
	// usualPatience is how long a caller waits that doesn't say, on a route
	// without a timeout.
	usualPatience = 5 * time.Second
	// answerMargin is the part of a caller's patience that is left for the
	// answer's way back.
	answerMargin = 20 * time.Millisecond
	// lateFactor is how many times its objective a job may take and still be of
	// use, as the platform counts it.
	lateFactor = 3
	// returnTerm is how long the pools have to return the tasks of a job that is
	// given up.
	returnTerm = 100 * time.Millisecond
	// longestRetry is the latest that a refused caller is asked to come back.
	longestRetry = 5 * time.Second
	// isolationTerm is how long jobs wait while no pool has an owner: a take-over
	// or a start takes less. After it this daemon is cut off.
	isolationTerm = 700 * time.Millisecond
	// maxReturns is how often a task is offered anew after a pool returned it.
	maxReturns = 8
	// nearBias is the share of a task's demand by which the home pool is
	// preferred when others have as much room.
	nearBias = 1
)

// Coordinator runs jobs by offering their tasks to pools. It keeps jobs in
// memory only. It is not safe for concurrent use.
type Coordinator struct {
	home  filbertford.PoolID
	jobs  map[filbertford.JobKey]*job
	byReq map[uint64]*job
	pools map[filbertford.PoolID]*poolView
	// vacant is when the last owner of any pool was lost, or the first looked for.
	vacant time.Duration
	owned  bool // some pool has an owner
	out    []Action
}

// poolView is what a coordinator knows of a pool.
type poolView struct {
	owner filbertford.NodeID
	fence uint64
	lost  time.Duration // when the owner before was heard last
	rooms map[string]*roomView
}

// roomView is a pool's room less what was offered since it was told.
type roomView struct {
	free    []int
	total   int
	backlog time.Duration
	offered float64 // thousandths of a core times nanoseconds
}

// job is a job in progress.
type job struct {
	workload filbertford.Workload
	route    filbertford.Route
	requests []uint64
	began    time.Duration
	due      time.Duration
	limit    time.Duration // when a job that has not begun is given up
	end      time.Duration
	steps    []stepState
	started  bool // a run of a task may have begun
	durable  bool
	givingUp time.Duration // until when pools may return its tasks, 0 if it goes on
	reason   string
	begun    bool // a run of a stored job was begun
}

// stepState tells how far a step is.
type stepState struct {
	begun bool
	left  int
	tasks []taskState
}

// taskState tells where a task is.
type taskState struct {
	pool     filbertford.PoolID   // empty while the task waits for a pool
	fence    uint64               // of the owner that the task was offered to last
	target   filbertford.TargetID // that the task was last started on
	done     bool
	failures int
	returns  int
	search   *search // for a task that an earlier coordinator may have placed
}

// search is a look for a task in all pools.
type search struct {
	since  time.Duration
	absent map[filbertford.PoolID]uint64 // the token of the owner that lacks it
}

// NewCoordinator returns a coordinator that prefers the home pool.
func NewCoordinator(home filbertford.PoolID) *Coordinator {
	return &Coordinator{
		home:  home,
		jobs:  make(map[filbertford.JobKey]*job),
		byReq: make(map[uint64]*job),
		pools: make(map[filbertford.PoolID]*poolView),
	}
}

// TakeActions returns what is to be done since the last call.
func (c *Coordinator) TakeActions() []Action {
	out := c.out
	c.out = nil
	return out
}

// Jobs returns the number of jobs in progress.
func (c *Coordinator) Jobs() int { return len(c.jobs) }

// SetRooms takes in what a pool could start at once. Reports of an owner other
// than the present one are ignored.
func (c *Coordinator) SetRooms(pool filbertford.PoolID, fence uint64, rooms []Room) {
	v := c.pools[pool]
	if v == nil || v.fence != fence {
		return
	}
	v.rooms = make(map[string]*roomView, len(rooms))
	for _, r := range rooms {
		v.rooms[r.service] = &roomView{free: slices.Clone(r.free), total: r.total, backlog: r.backlog}
	}
}

// AddPool names a pool that is to have an owner, so that tasks are looked for
// there too.
func (c *Coordinator) AddPool(pool filbertford.PoolID) {
	if c.pools[pool] == nil {
		c.pools[pool] = &poolView{}
	}
}

// SetOwner takes in who owns a pool; an empty owner stands for none. Tasks in
// the pool are offered to a new owner again.
func (c *Coordinator) SetOwner(now time.Duration, pool filbertford.PoolID, owner filbertford.NodeID, fence uint64) {
	v := c.pools[pool]
	if v == nil {
		v = &poolView{}
		c.pools[pool] = v
	}
	if v.owner == owner && v.fence == fence {
		return
	}
	if v.owner != "" {
		v.lost = now
	}
	v.owner, v.fence, v.rooms = owner, fence, nil
	c.noteOwned(now)
	if owner == "" {
		return
	}
	c.Resume(now, pool)
	c.placeWaiting(now)
}

// noteOwned takes in whether any pool has an owner.
func (c *Coordinator) noteOwned(now time.Duration) {
	owned := false
	for _, v := range c.pools {
		owned = owned || v.owner != ""
	}
	if c.owned && !owned {
		c.vacant = now
	}
	c.owned = owned
}

// isolated reports whether no pool has had an owner for a while.
func (c *Coordinator) isolated(now time.Duration) bool {
	if c.vacant == 0 {
		c.vacant = now
	}
	return !c.owned && now-c.vacant > isolationTerm
}

// Resume offers all tasks in a pool to its owner again, which may have missed
// some, or whose reports may have been lost.
func (c *Coordinator) Resume(now time.Duration, pool filbertford.PoolID) {
	v := c.pools[pool]
	if v == nil || v.owner == "" {
		return
	}
	for _, key := range slices.Sorted(maps.Keys(c.jobs)) {
		j := c.jobs[key]
		if j.givingUp != 0 {
			continue
		}
		for number := range j.steps {
			var items []Item
			for index, t := range j.steps[number].tasks {
				if t.pool == pool && !t.done {
					items = append(items, NewItem(index, t.failures).WithTarget(t.target))
				}
			}
			if len(items) > 0 {
				// A report that crosses this batch doesn't prove that none has run.
				j.started = true
				c.send(v, c.batch(now, j, number, pool, items).WithResume(now-v.lost), j)
			}
			c.searchIn(now, j, number, pool)
		}
	}
}

// Submit begins a job for the request with the number. The patience is how long
// its caller waits, 0 if unknown.
func (c *Coordinator) Submit(now time.Duration, request uint64, r filbertford.Route, w filbertford.Workload, patience time.Duration) {
	if j, ok := c.jobs[w.Key()]; ok {
		j.requests = append(j.requests, request)
		c.byReq[request] = j
		return
	}
	if patience <= 0 {
		patience = cmp.Or(r.Timeout(), usualPatience)
	}
	chain := chainOf(w.Steps())
	j := &job{
		workload: w, route: r, requests: []uint64{request}, began: now,
		due: now + r.Objective(chain), end: now + patience - answerMargin,
		limit: now + min(lateFactor*r.Objective(chain), patience-answerMargin),
		steps: make([]stepState, len(w.Steps())),
	}
	for i, s := range w.Steps() {
		j.steps[i] = stepState{left: s.Count(), tasks: make([]taskState, s.Count())}
	}
	c.jobs[w.Key()], c.byReq[request] = j, j
	if c.isolated(now) {
		c.finish(now, j, filbertford.AnswerNotRun, fmt.Sprintf("no pool can be reached for %v", now-c.vacant))
		return
	}
	if wait := c.shortestDrain(r.Service()); now+wait+chain > j.limit {
		c.finish(now, j, filbertford.AnswerNotRun, fmt.Sprintf("the queues are too long: shortest %v, estimate %v, useful for %v",
			wait.Round(time.Millisecond), chain, j.limit-now))
		return
	}
	c.advance(now, j)
}

// chainOf returns the estimate for the longest chain of steps.
func chainOf(steps []filbertford.Step) time.Duration {
	ends := make([]time.Duration, len(steps))
	var longest time.Duration
	for i, s := range steps {
		var start time.Duration
		for _, a := range s.After() {
			start = max(start, ends[a])
		}
		ends[i] = start + s.Estimate()
		longest = max(longest, ends[i])
	}
	return longest
}

// Leave cancels the job of a request whose caller has gone.
func (c *Coordinator) Leave(now time.Duration, request uint64) {
	j := c.byReq[request]
	if j == nil {
		return
	}
	delete(c.byReq, request)
	j.requests = slices.DeleteFunc(j.requests, func(r uint64) bool { return r == request })
	if len(j.requests) == 0 {
		c.finish(now, j, filbertford.AnswerUnknown, "caller left")
	}
}

// AbandonAll gives up all jobs, such as after a suspension in which pools have
// stopped their tasks.
func (c *Coordinator) AbandonAll(now time.Duration, reason string) {
	for _, key := range slices.Sorted(maps.Keys(c.jobs)) {
		c.finish(now, c.jobs[key], filbertford.AnswerUnknown, reason)
	}
}

// TakeReport takes in a pool's verdict on a task.
func (c *Coordinator) TakeReport(now time.Duration, r Report) {
	key := r.Task()
	j := c.jobs[key.Job()]
	if j == nil || key.Step() >= len(j.steps) || key.Index() >= len(j.steps[key.Step()].tasks) {
		return
	}
	step := &j.steps[key.Step()]
	t := &step.tasks[key.Index()]
	if t.search != nil && !c.found(now, j, t, r) {
		return
	}
	if t.done && j.durable && r.Verdict() == VerdictDone {
		c.confirm(r.Pool(), key, true, t.failures)
	}
	if t.done || t.pool != r.Pool() || t.fence != r.Fence() && r.Verdict() != VerdictDone {
		return
	}
	t.failures = max(t.failures, r.Failures())
	j.started = j.started || r.Started()
	if j.givingUp != 0 {
		if r.Verdict() != VerdictStarted {
			t.pool = ""
			c.concludeGivenUp(now, j)
		}
		return
	}
	switch r.Verdict() {
	case VerdictStarted:
		t.target = r.Target()
		if j.durable && !j.begun && r.Target() != "" {
			j.begun = true
			c.do(JobBegun{Job: key.Job()})
		}
	case VerdictRetried:
		c.do(RecordEnd{Task: key, Failures: t.failures})
	case VerdictDone:
		if j.durable {
			c.do(RecordEnd{Task: key, Done: true, Failures: t.failures})
			return
		}
		t.done = true
		step.left--
		c.advance(now, j)
	case VerdictFailed:
		if j.durable {
			c.do(RecordEnd{Task: key, Failures: t.failures})
			return
		}
		c.finish(now, j, filbertford.AnswerFailed, "a task has failed as often as allowed")
	case VerdictTaken:
		if j.durable {
			return // the shard has moved to another keeper
		}
		t.pool = ""
		c.finish(now, j, filbertford.AnswerUnknown, "another daemon runs the job")
	case VerdictExpired:
		t.pool = ""
		if j.durable {
			c.advance(now, j)
			return
		}
		c.giveUp(now, j, "no target for a task in time")
	case VerdictReturned:
		t.pool, t.target = "", ""
		if t.returns++; t.returns > maxReturns && !j.durable {
			c.giveUp(now, j, "no pool keeps a task")
			return
		}
		c.advance(now, j)
	}
}

// Tick gives up the jobs whose callers wait no longer.
func (c *Coordinator) Tick(now time.Duration) {
	for _, key := range slices.Sorted(maps.Keys(c.jobs)) {
		j := c.jobs[key]
		switch {
		case j.givingUp != 0 && now >= j.givingUp:
			c.finish(now, j, filbertford.AnswerUnknown, j.reason)
		case j.givingUp != 0, j.durable:
		case now >= j.end:
			c.giveUp(now, j, "out of time")
		case now >= j.limit && c.waits(j), c.isolated(now) && c.waits(j):
			c.giveUp(now, j, "no pool for a task in time")
		}
	}
	c.placeWaiting(now)
}

// waits reports whether any task waits for a pool, or is in one without an
// owner.
func (c *Coordinator) waits(j *job) bool {
	for number, s := range j.steps {
		for _, t := range s.tasks {
			if !t.done && j.ready(number) && (t.pool == "" || c.pools[t.pool].owner == "") {
				return true
			}
		}
	}
	return false
}

// giveUp takes the tasks of a job back. When the pools have returned them it is
// known whether any has run.
func (c *Coordinator) giveUp(now time.Duration, j *job, reason string) {
	j.givingUp, j.reason = now+returnTerm, reason
	c.withdraw(j)
	c.concludeGivenUp(now, j)
}

// concludeGivenUp answers a job that is given up once no pool has any task of
// it.
func (c *Coordinator) concludeGivenUp(now time.Duration, j *job) {
	for _, s := range j.steps {
		for _, t := range s.tasks {
			if t.pool != "" && !t.done {
				return
			}
		}
	}
	if j.started {
		c.finish(now, j, filbertford.AnswerUnknown, j.reason)
		return
	}
	c.finish(now, j, filbertford.AnswerNotRun, j.reason)
}

// poolIDs returns the pools that are known, in order.
func (c *Coordinator) poolIDs() []filbertford.PoolID { return slices.Sorted(maps.Keys(c.pools)) }

// placeWaiting offers the tasks that wait for a pool.
func (c *Coordinator) placeWaiting(now time.Duration) {
	c.endSearches(now)
	for _, key := range slices.Sorted(maps.Keys(c.jobs)) {
		if j, ok := c.jobs[key]; ok {
			c.advance(now, j)
		}
	}
}

// advance offers what can run, and answers a job whose steps are done.
func (c *Coordinator) advance(now time.Duration, j *job) {
	if j.givingUp != 0 {
		return
	}
	left := 0
	for number := range j.steps {
		left += j.steps[number].left
		if j.steps[number].left > 0 && j.ready(number) {
			c.placeStep(now, j, number)
		}
	}
	if left == 0 {
		c.finish(now, j, filbertford.AnswerCompleted, "")
	}
}

// ready reports whether the steps before the one with the number are done.
func (j *job) ready(number int) bool {
	for _, a := range j.workload.Steps()[number].After() {
		if j.steps[a].left > 0 {
			return false
		}
	}
	return true
}

// placeStep offers the tasks of a step that are in no pool.
func (c *Coordinator) placeStep(now time.Duration, j *job, number int) {
	var items []Item
	for index, t := range j.steps[number].tasks {
		if !t.done && t.pool == "" && t.search == nil {
			items = append(items, NewItem(index, t.failures))
		}
	}
	if len(items) == 0 {
		return
	}
	for _, part := range c.split(j, number, len(items)) {
		batch := items[:part.tasks]
		items = items[part.tasks:]
		for _, i := range batch {
			j.steps[number].tasks[i.index].pool = part.pool
		}
		c.send(c.pools[part.pool], c.batch(now, j, number, part.pool, batch), j)
		c.do(Note{
			Kind: NotePlaced, Pool: part.pool, Task: filbertford.NewTaskKey(j.workload.Key(), 0, number, batch[0].index), Age: now - j.began,
			Reason: fmt.Sprintf("%d tasks to %s, due in %v", len(batch), c.pools[part.pool].owner, (j.due - now).Round(time.Millisecond)),
		})
	}
}

// part is a number of tasks for a pool.
type part struct {
	pool  filbertford.PoolID
	tasks int
}

// split divides n tasks of a step among the pools: all to one that has room for
// them at once, the home pool first; else by room, and what is left to the pool
// whose queue drains first.
func (c *Coordinator) split(j *job, number, n int) []part {
	step, service := j.workload.Steps()[number], j.route.Service()
	cpu := max(1, step.Demand().CPU())
	var candidates []candidate
	for _, id := range c.poolIDs() {
		v := c.pools[id]
		if v.owner == "" {
			continue
		}
		room := v.rooms[service]
		if room == nil {
			room = &roomView{backlog: time.Minute}
		}
		k := candidate{pool: id, room: room, fits: room.fits(cpu)}
		if id == c.home {
			k.bias = nearBias
		}
		candidates = append(candidates, k)
	}
	if len(candidates) == 0 {
		return nil
	}
	slices.SortStableFunc(candidates, func(a, b candidate) int {
		return cmp.Or(
			cmp.Compare(min(b.fits, n), min(a.fits, n)),
			cmp.Compare(b.bias, a.bias),
			cmp.Compare(b.fits, a.fits),
		)
	})
	var parts []part
	for _, k := range candidates {
		take := min(n, k.fits)
		if take == 0 {
			continue
		}
		k.room.take(cpu, take)
		parts = append(parts, part{pool: k.pool, tasks: take})
		if n -= take; n == 0 {
			return parts
		}
	}
	return c.queueRest(parts, candidates, step, n)
}

// queueRest gives each of the n tasks that no pool has room for to the pool
// whose queue drains first.
func (c *Coordinator) queueRest(parts []part, candidates []candidate, step filbertford.Step, n int) []part {
	work := float64(step.Estimate()) * float64(step.Demand().CPU())
	for range n {
		best := slices.MinFunc(candidates, func(a, b candidate) int { return cmp.Compare(a.room.drain(), b.room.drain()) })
		best.room.offered += work
		i := slices.IndexFunc(parts, func(p part) bool { return p.pool == best.pool })
		if i < 0 {
			parts = append(parts, part{pool: best.pool})
			i = len(parts) - 1
		}
		parts[i].tasks++
	}
	return parts
}

// candidate is a pool that may get tasks.
type candidate struct {
	pool filbertford.PoolID
	room *roomView
	fits int
	bias int
}

// fits returns how many tasks of the demand can start at once.
func (r *roomView) fits(cpu int) int {
	if r.backlog > 0 {
		return 0
	}
	n := 0
	for _, free := range r.free {
		n += free / cpu
	}
	return n
}

// take marks the room of n tasks as used, on the targets that they fill best.
func (r *roomView) take(cpu, n int) {
	for ; n > 0; n-- {
		best := -1
		for i, free := range r.free {
			if free >= cpu && (best < 0 || free < r.free[best]) {
				best = i
			}
		}
		if best < 0 {
			return
		}
		r.free[best] -= cpu
	}
}

// drain returns how long the queue takes to drain, with what was offered.
func (r *roomView) drain() time.Duration {
	if r.total == 0 {
		return time.Hour
	}
	return r.backlog + time.Duration(r.offered/float64(r.total))
}

func (c *Coordinator) batch(now time.Duration, j *job, number int, pool filbertford.PoolID, items []Item) Batch {
	due, end := j.due-now, j.limit-now-j.workload.Steps()[number].Estimate()
	if j.durable {
		end = storedEnd
	}
	return NewBatch(pool, j.workload.Key(), 0, number, j.workload.Steps()[number], items).
		WithDurable(j.durable, false).
		WithWork(j.workload.Spec(), j.route.Service(), j.route.Attempts()).
		WithPriority(j.route.Priority()).
		WithTimes(due, end)
}

// send offers a batch to the pool's present owner.
func (c *Coordinator) send(v *poolView, b Batch, j *job) {
	for _, i := range b.items {
		j.steps[b.number].tasks[i.index].fence = v.fence
	}
	c.do(SendBatch{To: v.owner, Batch: b.WithFence(v.fence)})
}

// finish answers all requests of a job and takes its tasks back.
func (c *Coordinator) finish(now time.Duration, j *job, kind filbertford.AnswerKind, reason string) {
	key := j.workload.Key()
	if c.jobs[key] != j {
		return
	}
	delete(c.jobs, key)
	if j.durable {
		c.do(JobEnded{Job: key, Kind: kind})
		c.withdraw(j)
		return
	}
	answer := filbertford.NewWorkloadAnswer(kind, reason)
	if kind == filbertford.AnswerNotRun {
		answer = answer.WithRetryAfter(min(c.shortestDrain(j.route.Service()), longestRetry))
	}
	for _, r := range j.requests {
		delete(c.byReq, r)
		c.do(Answer{Request: r, Answer: answer})
	}
	c.do(Note{Kind: NoteAnswered, Task: filbertford.NewTaskKey(key, 0, 0, 0), Reason: string(kind) + " " + reason, Age: now - j.began})
	c.withdraw(j)
}

// withdraw takes the tasks of a job back from the pools that have some.
func (c *Coordinator) withdraw(j *job) {
	pools := make(map[filbertford.PoolID]bool)
	for _, s := range j.steps {
		for _, t := range s.tasks {
			if t.pool != "" && !t.done {
				pools[t.pool] = true
			}
		}
	}
	for _, id := range slices.Sorted(maps.Keys(pools)) {
		if v := c.pools[id]; v != nil && v.owner != "" {
			c.do(SendWithdrawal{To: v.owner, Withdrawal: NewWithdrawal(id, j.workload.Key())})
		}
	}
}

// shortestDrain returns how long the shortest queue for a service takes to
// drain, 0 if none is known.
func (c *Coordinator) shortestDrain(service string) time.Duration {
	shortest, known := time.Duration(0), false
	for _, v := range c.pools {
		room := v.rooms[service]
		if room == nil || v.owner == "" || room.total == 0 {
			continue // its owner may not have read the targets yet
		}
		if !known || room.drain() < shortest {
			shortest, known = room.drain(), true
		}
	}
	return shortest
}

func (c *Coordinator) do(a Action) { c.out = append(c.out, a) }
