package fbstand

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
	// LoseOneIn carries out each n-th call and loses its answer; 0 loses none.
	LoseOneIn int `json:"lose_one_in"`
	// LateMS delays each n-th call instead, in milliseconds, and then loses its
	// answer.
	LateMS int `json:"late_ms"`
}

// Limits of workers, as those of the platform.
const (
	maxLease   = time.Second
	maxHold    = 2 * time.Second
	holdStep   = 5 * time.Millisecond
	workerTime = 80 * time.Millisecond // of a task, unless the spec tells
)

// Worker is a stand-in for a worker of the platform: it runs tasks under leases,
// obeys the highest fence that it has seen, and lists what runs and what ended.
type Worker struct {
	id    string
	cpu   int
	begun time.Time

	mu      sync.Mutex
	faults  WorkerFaults
	calls   int
	fence   uint64
	lease   time.Duration // on the worker's clock
	runs    map[string]*workerRun
	highest map[string]uint64
	ended   []workerEnd
	number  uint64
	ledger  *Ledger
}

// Ledger notes the runs at all workers that share it.
type Ledger struct {
	mu      sync.Mutex
	active  map[string]int
	starts  map[string]int
	done    map[string]int
	latest  map[string]time.Time // when each task was last started
	noted   map[string]time.Time // when it first ended as done, of ends that were acknowledged
	doubled []string
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{
		active: make(map[string]int), starts: make(map[string]int), done: make(map[string]int),
		latest: make(map[string]time.Time), noted: make(map[string]time.Time),
	}
}

func (l *Ledger) started(task string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.starts[task]++
	l.latest[task] = time.Now()
	if l.active[task]++; l.active[task] > 1 {
		l.doubled = append(l.doubled, task)
	}
}

func (l *Ledger) ended(task, how string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.active[task]--
	if how == "done" {
		l.done[task]++
	}
}

// note takes in that the end of a task as done was acknowledged while the lease
// under which it ran still held.
func (l *Ledger) note(task string, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if first, ok := l.noted[task]; !ok || at.Before(first) {
		l.noted[task] = at
	}
}

// Restarted returns the tasks that were started after they had ended as done, if
// that end was acknowledged then or later. An end whose worker's lease has lapsed
// before counts for nothing, as the platform's rules have it.
func (l *Ledger) Restarted() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []string
	for task, at := range l.noted {
		if l.latest[task].After(at) {
			out = append(out, task)
		}
	}
	slices.Sort(out)
	return out
}

// Doubled returns the tasks of which two runs were at work at one time.
func (l *Ledger) Doubled() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.doubled)
}

// Done returns how often each task has ended as done.
func (l *Ledger) Done() map[string]int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return maps.Clone(l.done)
}

// Starts returns how often each task was started.
func (l *Ledger) Starts() map[string]int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return maps.Clone(l.starts)
}

type workerRun struct {
	run   uint64
	cpu   int
	begun time.Duration
	takes time.Duration
	fails bool
	hangs bool
}

type workerEnd struct {
	number uint64
	task   string
	run    uint64
	how    string
	at     time.Time
	lapsed bool // the lease has run out since
}

// NewWorker returns a worker with the name and thousandths of a core, whose runs
// are noted in the ledger.
func NewWorker(id string, cpu int, l *Ledger) *Worker {
	return &Worker{id: id, cpu: cpu, begun: time.Now(), ledger: l, runs: make(map[string]*workerRun), highest: make(map[string]uint64)}
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
	w.settle()
	return slices.Collect(maps.Keys(w.runs))
}

func (w *Worker) clock() time.Duration { return time.Since(w.begun) }

// settle ends what is due; the caller holds the lock.
func (w *Worker) settle() {
	now := w.clock()
	defer w.lapse(now)
	for task, r := range w.runs {
		switch {
		case now > w.lease:
			w.end(task, "lapsed")
		case r.fails:
			w.end(task, "failed")
		case !r.hangs && now-r.begun >= r.takes:
			w.end(task, "done")
		}
	}
}

// lapse marks the ends that a lease that has run out leaves behind.
func (w *Worker) lapse(now time.Duration) {
	if now <= w.lease {
		return
	}
	for i := range w.ended {
		w.ended[i].lapsed = true
	}
}

func (w *Worker) end(task, how string) {
	w.number++
	w.ledger.ended(task, how)
	w.ended = append(w.ended, workerEnd{number: w.number, task: task, run: w.runs[task].run, how: how, at: time.Now()})
	delete(w.runs, task)
}

func (w *Worker) extend(lease time.Duration) {
	w.lease = max(w.lease, min(lease, w.clock()+maxLease))
}

// admit reports whether a call with the fence is obeyed.
func (w *Worker) admit(fence uint64) bool {
	w.settle()
	if fence < w.fence {
		return false
	}
	w.fence = fence
	return true
}

// start begins a run, and returns the reason if it does not.
func (w *Worker) start(task string, run uint64, cpu int, takes, lease time.Duration) string {
	if r := w.runs[task]; r != nil && r.run == run {
		return ""
	}
	switch {
	case run <= w.highest[task]:
		return "old"
	case lease < w.clock():
		return "late"
	case w.used()+cpu > w.cpu:
		return "room"
	}
	w.extend(lease)
	w.highest[task] = run
	w.ledger.started(task)
	w.runs[task] = &workerRun{run: run, cpu: cpu, begun: w.clock(), takes: takes, fails: w.faults.Fail, hangs: w.faults.Hang}
	return ""
}

func (w *Worker) used() int {
	n := 0
	for _, r := range w.runs {
		n += r.cpu
	}
	return n
}

func (w *Worker) stop(task string, run uint64) {
	w.highest[task] = max(w.highest[task], run)
	if r := w.runs[task]; r != nil && r.run <= run {
		w.end(task, "stopped")
	}
}

// forget drops the ends up to a number.
func (w *Worker) forget(seen uint64) {
	var kept []workerEnd
	for _, e := range w.ended {
		switch {
		case e.number > seen:
			kept = append(kept, e)
		case e.how == "done" && !e.lapsed:
			w.ledger.note(e.task, e.at)
		}
	}
	w.ended = kept
}

// percent returns the share of a run's work that is done.
func (w *Worker) percent(r *workerRun) int {
	if r.hangs || r.takes <= 0 {
		return 0
	}
	return min(99, int(100*(w.clock()-r.begun)/r.takes))
}
