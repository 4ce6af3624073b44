package main

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Bounds of the workers, as the settings of a process state them.
const (
	holdMax         = time.Second
	maxHoldWait     = 2 * time.Second
	heartbeat       = 1500 * time.Millisecond
	silentBeats     = 3
	maxListed       = 500
	settleInterval  = 2 * time.Millisecond
	rejectedFence   = "fence"
	rejectedOld     = "old"
	rejectedLate    = "late"
	rejectedForRoom = "room"
)

// mode is how a worker behaves.
type mode string

const (
	modeSound  mode = "sound"
	modeErrors mode = "errors" // fails all that it starts
	modeDark   mode = "dark"   // has crashed and answers nothing
	modeGone   mode = "gone"   // has crashed for good
)

// worker is a stand-in of a worker, which rejects what does not fit.
type worker struct {
	lab     *lab
	server  *server
	id      string
	service string
	zone    string
	labels  []string
	cpu     int
	memMB   int

	mu       sync.Mutex
	mode     mode
	seq      int
	silentAt time.Time // when it last wrote its entry
	life
}

// life is what a worker knows since its start.
type life struct {
	born    time.Time
	ctx     context.Context
	cancel  context.CancelFunc
	fence   uint64
	lease   time.Duration // on the worker's clock
	runs    map[string]*workerRun
	highest map[string]uint64
	ended   []endedRow
	lastN   uint64
}

type workerRun struct {
	record  *taskRun
	number  uint64
	begun   time.Duration
	work    time.Duration
	cpu     int
	memMB   int
	failing bool
}

type endedRow struct {
	n    uint64
	task string
	run  uint64
	how  string
}

// taskSpec is the spec of the clients' jobs: what each task of a step needs and how long it works.
type taskSpec struct {
	CPU   int   `json:"cpu"`
	MemMB int   `json:"memMb"`
	MS    []int `json:"ms"`
}

func (l *lab) addWorker(id, service, zone string, cpu int, labels ...string) (*worker, error) {
	w := &worker{lab: l, id: id, service: service, zone: zone, labels: labels, cpu: cpu, memMB: 32768, mode: modeSound, life: newLife()}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /-/run-start", w.handle(w.start))
	mux.HandleFunc("POST /-/run-stop", w.handle(w.stop))
	mux.HandleFunc("POST /-/hold", w.handle(w.hold))
	mux.HandleFunc("GET /health", w.health)
	var err error
	if w.server, err = l.serve(mux); err != nil {
		return nil, err
	}
	l.workers = append(l.workers, w)
	w.register()
	l.tasks.Go(w.live)
	return w, nil
}

func newLife() life {
	ctx, cancel := context.WithCancel(context.Background())
	return life{born: time.Now(), ctx: ctx, cancel: cancel, runs: make(map[string]*workerRun), highest: make(map[string]uint64)}
}

// register writes the worker's entry.
func (w *worker) register() {
	w.mu.Lock()
	w.seq++
	w.silentAt = time.Now()
	entry := map[string]any{
		"service": w.service, "addr": w.server.address, "zone": w.zone, "version": "v1", "slots": 8, "state": "ready", "coldMs": 0,
		"capacity": map[string]int{"cpu": w.cpu, "memMb": w.memMB, "gpu": 0}, "labels": w.labels, "clockMs": w.clock().Milliseconds(),
		"seq": w.seq, "born": w.born.UnixMilli(),
	}
	w.mu.Unlock()
	w.lab.store.put("servers", w.id, entry)
}

// live writes the worker's entry at each heartbeat, and ends the runs that are due.
func (w *worker) live() {
	ticker := time.NewTicker(settleInterval)
	defer ticker.Stop()
	expired := false
	for {
		select {
		case <-w.lab.ctx.Done():
			return
		case <-ticker.C:
		}
		w.mu.Lock()
		up := w.mode != modeDark && w.mode != modeGone
		if up {
			w.settle()
		}
		silence := time.Since(w.silentAt)
		w.mu.Unlock()
		switch {
		case up && silence >= heartbeat:
			expired = false
			w.register()
		case !up && !expired && silence >= silentBeats*heartbeat:
			expired = true
			w.lab.store.drop("servers", w.id)
			w.lab.note("the store has removed the entry of %s", w.id)
		}
	}
}

func (w *worker) setMode(m mode) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.mode = m
	w.lab.note("%s is now: %s", w.id, m)
}

// crash ends all runs. The worker answers nothing from then on.
func (w *worker) crash(m mode) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.settle()
	for _, r := range w.runs {
		w.lab.end(r.record, "crashed")
	}
	w.mode = m
	w.lab.note("%s crashes: %s", w.id, m)
}

// restart starts a worker that has crashed again. It holds and knows nothing of before.
func (w *worker) restart() {
	w.mu.Lock()
	w.life.cancel()
	w.life, w.mode, w.seq = newLife(), modeSound, 0
	w.mu.Unlock()
	w.lab.note("%s has started again", w.id)
	w.register()
}

func (w *worker) clock() time.Duration { return time.Since(w.born) }

// settle ends the runs that are due. The caller holds the lock.
func (w *worker) settle() {
	now := w.clock()
	for task, r := range w.runs {
		due := r.begun + r.work
		switch {
		case now >= due && due <= w.lease && r.failing:
			w.endRun(task, "failed")
		case now >= due && due <= w.lease:
			w.endRun(task, "done")
		case now > w.lease:
			w.endRun(task, "lapsed")
		}
	}
}

func (w *worker) endRun(task, how string) {
	r := w.runs[task]
	delete(w.runs, task)
	w.highest[task] = max(w.highest[task], r.number)
	w.lastN++
	w.ended = append(w.ended, endedRow{w.lastN, task, r.number, how})
	w.lab.end(r.record, how)
}

func (w *worker) extend(deadlineMS int64) {
	deadline := min(time.Duration(deadlineMS)*time.Millisecond, w.clock()+holdMax)
	w.lease = max(w.lease, deadline)
}

type order struct {
	Task       string `json:"task"`
	Run        uint64 `json:"run"`
	Spec       string `json:"spec"`
	DeadlineMS int64  `json:"deadlineMs"`
	Fence      uint64 `json:"fence"`
	SeenUpto   uint64 `json:"seenUpto"`
	WaitMS     int64  `json:"waitMs"`
}

type orderReply struct {
	ClockMS int64    `json:"clockMs"`
	Reason  string   `json:"reason,omitempty"`
	Born    int64    `json:"born,omitempty"`
	Running [][5]any `json:"running,omitempty"`
	Ended   [][5]any `json:"ended,omitempty"`
}

// handle handles a call if the worker is up and the call is meant for it.
func (w *worker) handle(f func(http.ResponseWriter, *http.Request, order)) http.HandlerFunc {
	return func(rw http.ResponseWriter, r *http.Request) {
		var o order
		if err := decode(r, &o); err != nil {
			reply(rw, http.StatusBadRequest, orderReply{})
			return
		}
		w.mu.Lock()
		m, ctx := w.mode, w.life.ctx
		w.mu.Unlock()
		switch {
		case m == modeDark || m == modeGone:
			hang(ctx, r)
		case r.Header.Get("Expect-Instance") != "" && r.Header.Get("Expect-Instance") != w.id:
			reply(rw, http.StatusMisdirectedRequest, map[string]any{})
		default:
			f(rw, r, o)
		}
	}
}

func (w *worker) health(rw http.ResponseWriter, r *http.Request) {
	w.mu.Lock()
	m, ctx := w.mode, w.life.ctx
	w.mu.Unlock()
	if m == modeDark || m == modeGone {
		hang(ctx, r)
	}
	rw.WriteHeader(http.StatusOK)
}

func (w *worker) start(rw http.ResponseWriter, _ *http.Request, o order) {
	var spec taskSpec
	if err := json.Unmarshal([]byte(o.Spec), &spec); err != nil || len(spec.MS) == 0 {
		w.lab.note("%s is told to start %s with a spec that no client sent", w.id, o.Task)
		reply(rw, http.StatusBadRequest, orderReply{})
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.settle()
	if reason := w.tryStart(o, spec); reason != "" {
		w.lab.note("%s rejects %s run %d: %s", w.id, o.Task, o.Run, reason)
		reply(rw, http.StatusConflict, orderReply{ClockMS: w.clock().Milliseconds(), Reason: reason})
		return
	}
	reply(rw, http.StatusOK, orderReply{ClockMS: w.clock().Milliseconds()})
}

// tryStart starts a run, or returns the reason why not. The caller holds the lock.
func (w *worker) tryStart(o order, spec taskSpec) string {
	if o.Fence < w.fence {
		return rejectedFence
	}
	w.fence = o.Fence
	if r := w.runs[o.Task]; r != nil && r.number == o.Run {
		return ""
	}
	if o.Run <= w.highest[o.Task] || w.runs[o.Task] != nil {
		w.extend(o.DeadlineMS)
		return rejectedOld
	}
	if time.Duration(o.DeadlineMS)*time.Millisecond < w.clock() {
		return rejectedLate
	}
	w.extend(o.DeadlineMS)
	cpu, memMB := spec.CPU, spec.MemMB
	for _, r := range w.runs {
		cpu, memMB = cpu+r.cpu, memMB+r.memMB
	}
	if cpu > w.cpu || memMB > w.memMB {
		return rejectedForRoom
	}
	work := time.Duration(spec.MS[min(stepOf(o.Task), len(spec.MS)-1)]) * time.Millisecond
	failing := w.mode == modeErrors
	if failing {
		work /= 2
	}
	w.runs[o.Task] = &workerRun{record: w.lab.begin(o.Task, o.Run, w.id), number: o.Run, begun: w.clock(), work: work, cpu: spec.CPU, memMB: spec.MemMB, failing: failing}
	return ""
}

// stepOf returns the number of a task's step from its name, ID.K.STEP.INDEX.
func stepOf(task string) int {
	parts := strings.Split(task, ".")
	if len(parts) != 4 {
		return 0
	}
	n, _ := strconv.Atoi(parts[2]) // 0 if it is malformed
	return n
}

func (w *worker) stop(rw http.ResponseWriter, _ *http.Request, o order) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.settle()
	if o.Fence < w.fence {
		reply(rw, http.StatusConflict, orderReply{ClockMS: w.clock().Milliseconds(), Reason: rejectedFence})
		return
	}
	w.fence = o.Fence
	w.highest[o.Task] = max(w.highest[o.Task], o.Run)
	if r := w.runs[o.Task]; r != nil && r.number <= o.Run {
		w.endRun(o.Task, "stopped")
	}
	reply(rw, http.StatusOK, orderReply{ClockMS: w.clock().Milliseconds()})
}

func (w *worker) hold(rw http.ResponseWriter, r *http.Request, o order) {
	until := time.Now().Add(min(time.Duration(o.WaitMS)*time.Millisecond, maxHoldWait))
	w.mu.Lock()
	life := w.life.ctx
	w.settle()
	if o.Fence < w.fence {
		defer w.mu.Unlock()
		reply(rw, http.StatusConflict, orderReply{ClockMS: w.clock().Milliseconds(), Reason: rejectedFence})
		return
	}
	w.fence = o.Fence
	if o.DeadlineMS > 0 {
		w.extend(o.DeadlineMS)
	}
	w.ended = slices.DeleteFunc(w.ended, func(e endedRow) bool { return e.n <= o.SeenUpto })
	for len(w.ended) == 0 && time.Now().Before(until) {
		w.mu.Unlock()
		select {
		case <-r.Context().Done():
			return
		case <-time.After(settleInterval):
		}
		w.mu.Lock()
		if w.life.ctx != life || w.mode == modeDark || w.mode == modeGone {
			ctx := w.life.ctx
			w.mu.Unlock()
			hang(ctx, r)
		}
		w.settle()
	}
	defer w.mu.Unlock()
	reply(rw, http.StatusOK, w.lists())
}

// lists returns what the worker says of its runs. The caller holds the lock.
func (w *worker) lists() orderReply {
	out := orderReply{ClockMS: w.clock().Milliseconds(), Born: w.born.UnixMilli(), Running: [][5]any{}, Ended: [][5]any{}}
	for task, r := range w.runs {
		percent := min(99, int(100*(w.clock()-r.begun)/max(r.work, 1)))
		out.Running = append(out.Running, [5]any{task, r.number, "", percent, r.cpu})
	}
	for _, e := range w.ended[:min(len(w.ended), maxListed)] {
		out.Ended = append(out.Ended, [5]any{e.n, e.task, e.run, e.how, ""})
	}
	return out
}
