package fbstandin

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"
)

// WorkerFaults are the faults that a Worker simulates.
type WorkerFaults struct {
	// Fail makes new runs fail immediately.
	Fail bool `json:"fail"`
	// Hang makes new runs never finish.
	Hang bool `json:"hang"`
	// LoseReplyEvery handles every n-th call without sending its reply; 0 sends all
	// replies.
	LoseReplyEvery int `json:"lose_one_in"`
	// DelayMS delays the calls without a reply by this time, in milliseconds,
	// before they are handled.
	DelayMS int `json:"late_ms"`
	// SlowFactor multiplies the duration of new runs; 0 leaves it as it is.
	SlowFactor int `json:"slow"`
	// ColdMS makes the worker cold for this time in milliseconds: its record says so, and
	// new runs take coldFactor times as long. 0 ends it.
	ColdMS int `json:"cold_ms"`
}

// Limits of workers, the same as the platform's, and times of the stand-in.
const (
	maxLease             = time.Second
	maxPollWait          = 2 * time.Second
	pollInterval         = 5 * time.Millisecond
	coldFactor           = 3                     // by which runs of a cold worker take longer
	defaultWorkerRunTime = 80 * time.Millisecond // run time of a task whose spec has none
)

// Worker is a stand-in for a worker of the platform. It runs tasks under a lease,
// rejects calls with a fencing token below the highest that it has received, and
// lists the runs that are in progress and those that have ended.
type Worker struct {
	cpu      int
	recorder *RunRecorder

	mu     sync.Mutex
	faults WorkerFaults
	calls  int
	// coldUntil is when the worker stops being cold.
	coldUntil time.Time
	workerLife
}

// workerLife is a worker's state from a start of its process to the next.
type workerLife struct {
	id           string
	number       int // of the life, from 0
	down         bool
	startedAt    time.Time
	fence        uint64
	leaseExpiry  time.Duration // by the worker's clock
	runs         map[string]*workerRun
	highestRuns  map[string]uint64
	endedRuns    []endedRun
	lastSequence uint64
}

func newWorkerLife(id string, number int) workerLife {
	return workerLife{id: id, number: number, startedAt: time.Now(), runs: make(map[string]*workerRun), highestRuns: make(map[string]uint64)}
}

// RunRecorder records the starts and ends of runs at all workers that share it.
type RunRecorder struct {
	mu           sync.Mutex
	runs         map[string][]*recordedRun
	starts       map[string]int
	done         map[string]int
	lastStart    map[string]time.Time // time of each task's last start
	acknowledged map[string]time.Time // time of each task's first done run that was acknowledged
}

// recordedRun is the time for which a run executed. The end is zero if it still does.
type recordedRun struct {
	start, end time.Time
}

// NewRunRecorder returns an empty recorder.
func NewRunRecorder() *RunRecorder {
	return &RunRecorder{
		runs: make(map[string][]*recordedRun), starts: make(map[string]int), done: make(map[string]int),
		lastStart: make(map[string]time.Time), acknowledged: make(map[string]time.Time),
	}
}

func (r *RunRecorder) recordStart(task string) *recordedRun {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.starts[task]++
	r.lastStart[task] = time.Now()
	run := &recordedRun{start: r.lastStart[task]}
	r.runs[task] = append(r.runs[task], run)
	return run
}

// recordEnd records that a run ended at the given time, which may have passed: a worker
// looks at its runs only now and then.
func (r *RunRecorder) recordEnd(task string, run *recordedRun, outcome string, at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	run.end = at
	if outcome == "done" {
		r.done[task]++
	}
}

// recordAcknowledged records that a done run was acknowledged before the lease
// under which it ran expired. The run ended at the given time.
func (r *RunRecorder) recordAcknowledged(task string, at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if first, ok := r.acknowledged[task]; !ok || at.Before(first) {
		r.acknowledged[task] = at
	}
}

// RestartedAfterDone returns the tasks that were started again after a done run
// that was acknowledged, before or after that start. By the platform's rules, a
// run doesn't count if the worker's lease expired before the acknowledgement.
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

// Overlapping returns the tasks that had two runs at the same time.
func (r *RunRecorder) Overlapping() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []string
	for task, runs := range r.runs {
		if overlap(runs) {
			out = append(out, task)
		}
	}
	slices.Sort(out)
	return out
}

// overlap reports whether a run began before an earlier one had ended.
func overlap(runs []*recordedRun) bool {
	for i, later := range runs {
		for _, earlier := range runs[:i] {
			if earlier.end.IsZero() || later.start.Before(earlier.end) {
				return true
			}
		}
	}
	return false
}

// DoneCounts returns the number of done runs of each task.
func (r *RunRecorder) DoneCounts() map[string]int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return maps.Clone(r.done)
}

// StartCounts returns the number of starts of each task.
func (r *RunRecorder) StartCounts() map[string]int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return maps.Clone(r.starts)
}

type workerRun struct {
	number    uint64
	record    *recordedRun
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
	leaseExpired bool // the worker's lease expired after the end
}

// NewWorker returns a worker with the ID and a capacity of cpu thousandths of a
// core. It records its runs in the recorder.
func NewWorker(id string, cpu int, recorder *RunRecorder) *Worker {
	return &Worker{cpu: cpu, recorder: recorder, workerLife: newWorkerLife(id, 0)}
}

// Crash ends all runs. The worker answers no call until Restart is called.
func (w *Worker) Crash() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.endDueRuns()
	for task := range w.runs {
		w.endRun(task, "lapsed", w.clock())
	}
	w.down = true
}

// Restart starts a worker that has crashed under the ID, or under the one that it had if id
// is empty. It knows nothing of its earlier lives.
func (w *Worker) Restart(id string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.down {
		w.workerLife = newWorkerLife(cmp.Or(id, w.id), w.number+1)
	}
}

// identity returns the ID of the worker's current life, its start in Unix milliseconds and
// whether it has crashed.
func (w *Worker) identity() (id string, startedAtMS int64, down bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.id, w.startedAt.UnixMilli(), w.down
}

// SetFaults replaces the faults that the worker simulates.
func (w *Worker) SetFaults(f WorkerFaults) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.faults, w.coldUntil = f, time.Now().Add(time.Duration(f.ColdMS)*time.Millisecond)
}

// coldMS returns how much longer the worker is cold, in milliseconds.
func (w *Worker) coldMS() int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return max(0, time.Until(w.coldUntil).Milliseconds())
}

// Running ends the runs that are due and returns the tasks that are still running.
func (w *Worker) Running() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.endDueRuns()
	return slices.Collect(maps.Keys(w.runs))
}

func (w *Worker) clock() time.Duration { return time.Since(w.startedAt) }

// endDueRuns ends the runs that have finished or failed, and all runs if the lease
// has expired. The caller holds the lock.
func (w *Worker) endDueRuns() {
	now := w.clock()
	defer w.markExpiredLease(now)
	for task, r := range w.runs {
		finish := r.startedAt + r.duration
		switch {
		case r.fails && now <= w.leaseExpiry:
			w.endRun(task, "failed", now)
		case !r.fails && !r.hangs && now >= finish && finish <= w.leaseExpiry:
			w.endRun(task, "done", finish)
		case now > w.leaseExpiry:
			w.endRun(task, "lapsed", w.leaseExpiry)
		}
	}
}

// markExpiredLease marks the ended runs that are not acknowledged yet, if the lease
// has expired.
func (w *Worker) markExpiredLease(now time.Duration) {
	if now <= w.leaseExpiry {
		return
	}
	for i := range w.endedRuns {
		w.endedRuns[i].leaseExpired = true
	}
}

// endRun ends a run that stopped executing at the given time of the worker's clock.
func (w *Worker) endRun(task, outcome string, at time.Duration) {
	w.lastSequence++
	endedAt := w.startedAt.Add(at)
	w.recorder.recordEnd(task, w.runs[task].record, outcome, endedAt)
	w.endedRuns = append(w.endedRuns, endedRun{sequence: w.lastSequence, task: task, run: w.runs[task].number, outcome: outcome, endedAt: endedAt})
	delete(w.runs, task)
}

func (w *Worker) extendLease(expiry time.Duration) {
	w.leaseExpiry = max(w.leaseExpiry, min(expiry, w.clock()+maxLease))
}

// acceptFence records the fencing token of a call and reports whether to handle the
// call, which is false if an earlier call had a higher token. The caller holds the
// lock.
func (w *Worker) acceptFence(fence uint64) bool {
	w.endDueRuns()
	if fence < w.fence {
		return false
	}
	w.fence = fence
	return true
}

// startRun starts a run, or returns the reason why it doesn't. The start of a run
// that is in progress has no effect.
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
	duration *= time.Duration(max(w.faults.SlowFactor, 1))
	if time.Now().Before(w.coldUntil) {
		duration *= coldFactor
	}
	w.runs[task] = &workerRun{number: run, record: w.recorder.recordStart(task), cpu: cpu, startedAt: w.clock(), duration: duration, fails: w.faults.Fail, hangs: w.faults.Hang}
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
		w.endRun(task, "stopped", w.clock())
	}
}

// acknowledge removes the ended runs up to a sequence number from the list, and
// records the done ones among them whose lease has not expired since. An
// acknowledgement that was sent in an earlier life of the worker and comes late is of
// other runs, and removes these without a record.
func (w *Worker) acknowledge(acked uint64, life int) {
	var remaining []endedRun
	for _, e := range w.endedRuns {
		switch {
		case e.sequence > acked:
			remaining = append(remaining, e)
		case e.outcome == "done" && !e.leaseExpired && life == w.number:
			w.recorder.recordAcknowledged(e.task, e.endedAt)
		}
	}
	w.endedRuns = remaining
}

// progressPercent returns the progress of a run in percent, 99 at most.
func (w *Worker) progressPercent(r *workerRun) int {
	if r.hangs || r.duration <= 0 {
		return 0
	}
	return min(99, int(100*(w.clock()-r.startedAt)/r.duration))
}
