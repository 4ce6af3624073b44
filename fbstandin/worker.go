package fbstandin

import (
	"maps"
	"slices"
	"sync"
	"time"
)

// WorkerFaults are the faults that a Worker shows.
type WorkerFaults struct {
	// Fail has all runs fail at once.
	Fail bool `json:"fail"`
	// Hang has runs make no progress.
	Hang bool `json:"hang"`
	// LoseReplyEvery carries out each n-th call and loses its answer; 0 loses none.
	LoseReplyEvery int `json:"lose_one_in"`
	// DelayMS delays each n-th call instead, in milliseconds, and then loses its
	// answer.
	DelayMS int `json:"late_ms"`
}

// Limits of workers, as those of the platform.
const (
	maxLease        = time.Second
	maxPollWait     = 2 * time.Second
	pollInterval    = 5 * time.Millisecond
	defaultTaskTime = 80 * time.Millisecond // of a task, unless the spec tells
)

// Worker is a stand-in for a worker of the platform: it runs tasks under leases,
// obeys the highest fence that it has seen, and lists what runs and what ended.
type Worker struct {
	id        string
	cpu       int
	startedAt time.Time

	mu           sync.Mutex
	faults       WorkerFaults
	calls        int
	fence        uint64
	leaseExpiry  time.Duration // on the worker's clock
	runs         map[string]*workerRun
	highestRuns  map[string]uint64
	endedRuns    []endedRun
	lastSequence uint64
	recorder     *RunRecorder
}

// RunRecorder notes the runs at all workers that share it.
type RunRecorder struct {
	mu           sync.Mutex
	active       map[string]int
	starts       map[string]int
	done         map[string]int
	lastStart    map[string]time.Time // when each task was last started
	acknowledged map[string]time.Time // when it first ended as done, of ends that were acknowledged
	overlapping  []string
}

// NewRunRecorder returns an empty ledger.
func NewRunRecorder() *RunRecorder {
	return &RunRecorder{
		active: make(map[string]int), starts: make(map[string]int), done: make(map[string]int),
		lastStart: make(map[string]time.Time), acknowledged: make(map[string]time.Time),
	}
}

func (r *RunRecorder) recordStart(task string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.starts[task]++
	r.lastStart[task] = time.Now()
	if r.active[task]++; r.active[task] > 1 {
		r.overlapping = append(r.overlapping, task)
	}
}

func (r *RunRecorder) recordEnd(task, outcome string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.active[task]--
	if outcome == "done" {
		r.done[task]++
	}
}

// recordAcknowledged takes in that the end of a task as done was acknowledged while the lease
// under which it ran still held.
func (r *RunRecorder) recordAcknowledged(task string, at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if first, ok := r.acknowledged[task]; !ok || at.Before(first) {
		r.acknowledged[task] = at
	}
}

// RestartedAfterDone returns the tasks that were started after they had ended as done, if
// that end was acknowledged then or later. An end whose worker's lease has lapsed
// before counts for nothing, as the platform's rules have it.
func (r *RunRecorder) RestartedAfterDone() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []string
	for task, at := range r.acknowledged {
		if r.lastStart[task].After(at) {
			out = append(out, task)
		}
	}
	slices.Sort(out)
	return out
}

// Overlapping returns the tasks of which two runs were at work at one time.
func (r *RunRecorder) Overlapping() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.overlapping)
}

// DoneCounts returns how often each task has ended as done.
func (r *RunRecorder) DoneCounts() map[string]int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return maps.Clone(r.done)
}

// StartCounts returns how often each task was started.
func (r *RunRecorder) StartCounts() map[string]int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return maps.Clone(r.starts)
}

type workerRun struct {
	number    uint64
	cpu       int
	startedAt time.Duration
	duration  time.Duration
	fails     bool
	hangs     bool
}

type endedRun struct {
	sequence     uint64
	task         string
	run          uint64
	outcome      string
	endedAt      time.Time
	leaseExpired bool // the lease has run out since
}

// NewWorker returns a worker with the name and thousandths of a core, whose runs
// are noted in the ledger.
func NewWorker(id string, cpu int, recorder *RunRecorder) *Worker {
	return &Worker{id: id, cpu: cpu, startedAt: time.Now(), recorder: recorder, runs: make(map[string]*workerRun), highestRuns: make(map[string]uint64)}
}

// SetFaults replaces the faults that the worker shows.
func (w *Worker) SetFaults(f WorkerFaults) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.faults = f
}

// Running returns the tasks that run here.
func (w *Worker) Running() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.endDueRuns()
	return slices.Collect(maps.Keys(w.runs))
}

func (w *Worker) clock() time.Duration { return time.Since(w.startedAt) }

// endDueRuns ends what is due; the caller holds the lock.
func (w *Worker) endDueRuns() {
	now := w.clock()
	defer w.markExpiredLease(now)
	for task, r := range w.runs {
		switch {
		case now > w.leaseExpiry:
			w.endRun(task, "lapsed")
		case r.fails:
			w.endRun(task, "failed")
		case !r.hangs && now-r.startedAt >= r.duration:
			w.endRun(task, "done")
		}
	}
}

// markExpiredLease marks the ends that a lease that has run out leaves behind.
func (w *Worker) markExpiredLease(now time.Duration) {
	if now <= w.leaseExpiry {
		return
	}
	for i := range w.endedRuns {
		w.endedRuns[i].leaseExpired = true
	}
}

func (w *Worker) endRun(task, outcome string) {
	w.lastSequence++
	w.recorder.recordEnd(task, outcome)
	w.endedRuns = append(w.endedRuns, endedRun{sequence: w.lastSequence, task: task, run: w.runs[task].number, outcome: outcome, endedAt: time.Now()})
	delete(w.runs, task)
}

func (w *Worker) extendLease(expiry time.Duration) {
	w.leaseExpiry = max(w.leaseExpiry, min(expiry, w.clock()+maxLease))
}

// acceptFence reports whether a call with the fence is obeyed.
func (w *Worker) acceptFence(fence uint64) bool {
	w.endDueRuns()
	if fence < w.fence {
		return false
	}
	w.fence = fence
	return true
}

// startRun begins a run, and returns the reason if it does not.
func (w *Worker) startRun(task string, run uint64, cpu int, duration, leaseExpiry time.Duration) string {
	if r := w.runs[task]; r != nil && r.number == run {
		return ""
	}
	switch {
	case run <= w.highestRuns[task]:
		return "old"
	case leaseExpiry < w.clock():
		return "late"
	case w.usedCPU()+cpu > w.cpu:
		return "room"
	}
	w.extendLease(leaseExpiry)
	w.highestRuns[task] = run
	w.recorder.recordStart(task)
	w.runs[task] = &workerRun{number: run, cpu: cpu, startedAt: w.clock(), duration: duration, fails: w.faults.Fail, hangs: w.faults.Hang}
	return ""
}

func (w *Worker) usedCPU() int {
	n := 0
	for _, r := range w.runs {
		n += r.cpu
	}
	return n
}

func (w *Worker) stopRun(task string, run uint64) {
	w.highestRuns[task] = max(w.highestRuns[task], run)
	if r := w.runs[task]; r != nil && r.number <= run {
		w.endRun(task, "stopped")
	}
}

// acknowledge drops the ends up to a number.
func (w *Worker) acknowledge(acked uint64) {
	var remaining []endedRun
	for _, e := range w.endedRuns {
		switch {
		case e.sequence > acked:
			remaining = append(remaining, e)
		case e.outcome == "done" && !e.leaseExpired:
			w.recorder.recordAcknowledged(e.task, e.endedAt)
		}
	}
	w.endedRuns = remaining
}

// progressPercent returns the share of a run's work that is done.
func (w *Worker) progressPercent(r *workerRun) int {
	if r.hangs || r.duration <= 0 {
		return 0
	}
	return min(99, int(100*(w.clock()-r.startedAt)/r.duration))
}
