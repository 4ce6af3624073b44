package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Times of the workers, as the pages state them.
const (
	heartbeat  = 1500 * time.Millisecond
	holdMax    = time.Second
	maxHold    = 2 * time.Second
	workerCPU  = 16000
	workerMem  = 65536
	maxListed  = 500
	stopEffect = 10 * time.Millisecond
)

// spec is what the stand-in reads from a job's spec: the run time of the tasks by step.
type spec struct {
	RunMS []int `json:"run_ms"`
	CPU   int   `json:"cpu"`
	// FailFirst makes the first run of each task end failed.
	FailFirst bool `json:"fail_first,omitempty"`
}

// begun are the names of the tasks that any worker has begun.
var begun sync.Map

// start is a task that a worker has begun.
type start struct {
	task    string
	run     uint64
	worker  string
	at, end time.Time
	how     string // empty while it runs
}

// worker is a stand-in for a worker of the platform. It guards its capacity.
type worker struct {
	rec   *record
	id    string
	zone  string
	rack  string
	kind  string
	addr  string
	store *store

	mu      sync.Mutex
	down    bool
	state   string
	seq     uint64
	clock0  time.Time
	born    int64
	fence   uint64
	lease   time.Duration
	runs    map[string]*taskRun
	highest map[string]uint64
	ended   []ended
	lastEnd uint64
	starts  []*start
	server  *http.Server
	conns   map[net.Conn]bool
	notify  chan struct{}
}

type taskRun struct {
	number uint64
	cpu    int
	began  time.Duration
	length time.Duration
	fails  bool
	start  *start
}

type ended struct {
	n    uint64
	task string
	run  uint64
	how  string
}

func newWorker(rec *record, s *store, id, zone, rack string) *worker {
	w := &worker{rec: rec, id: id, zone: zone, rack: rack, kind: "a", store: s, conns: make(map[net.Conn]bool)}
	w.reborn()
	return w
}

func (w *worker) reborn() {
	w.down, w.state, w.seq, w.clock0, w.born = false, "ready", 0, time.Now(), time.Now().UnixMilli()
	w.fence, w.lease, w.runs, w.highest, w.ended, w.lastEnd = 0, 0, make(map[string]*taskRun), make(map[string]uint64), nil, 0
	w.notify = make(chan struct{})
}

func (w *worker) clock() time.Duration { return time.Since(w.clock0) }

// serve serves the worker's calls at a free address until the context ends.
func (w *worker) serve(ctx context.Context) error {
	l, err := net.Listen("tcp", w.addr)
	if err != nil {
		return err
	}
	w.addr = l.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("POST /-/run-start", w.handleStart)
	mux.HandleFunc("POST /-/run-stop", w.handleStop)
	mux.HandleFunc("POST /-/hold", w.handleHold)
	server := &http.Server{Handler: mux, ReadHeaderTimeout: 5 * time.Second, ConnState: w.trackConn}
	w.mu.Lock()
	w.server = server
	w.mu.Unlock()
	go func() { _ = server.Serve(l) }()
	go w.run(ctx, server)
	return nil
}

func (w *worker) trackConn(c net.Conn, s http.ConnState) {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch s {
	case http.StateNew:
		w.conns[c] = true
	case http.StateClosed, http.StateHijacked:
		delete(w.conns, c)
	}
}

// run writes the heartbeats and ends the runs that are due.
func (w *worker) run(ctx context.Context, server *http.Server) {
	tick := time.NewTicker(2 * time.Millisecond)
	defer tick.Stop()
	var beat time.Time
	for {
		w.mu.Lock()
		mine := w.server == server
		if mine && !w.down {
			w.endDue()
			if time.Since(beat) >= heartbeat {
				beat = time.Now()
				w.writeEntry()
			}
		}
		w.mu.Unlock()
		if !mine {
			return
		}
		select {
		case <-ctx.Done():
			_ = server.Close()
			return
		case <-tick.C:
		}
	}
}

func (w *worker) writeEntry() {
	w.seq++
	value, err := json.Marshal(map[string]any{
		"service": "ordrekontor", "addr": w.addr, "zone": w.zone, "version": "v1", "slots": 8, "state": w.state, "coldMs": 0, "seq": w.seq,
		"capacity": map[string]int{"cpu": workerCPU, "memMb": workerMem}, "labels": []string{w.kind, w.rack}, "born": w.born,
	})
	if err == nil {
		w.store.put("servers", w.id, value)
	}
}

// crash ends the worker as a crash does: all that it runs ends, its port refuses channels, and its entry goes after
// three heartbeats.
func (w *worker) crash() {
	w.mu.Lock()
	for task := range w.runs {
		w.finish(task, "crashed")
	}
	w.ended = nil
	w.down = true
	born, server := w.born, w.server
	for c := range w.conns {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
	}
	w.mu.Unlock()
	_ = server.Close()
	time.AfterFunc(3*heartbeat, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if w.down && w.born == born {
			w.store.remove("servers", w.id)
		}
	})
	w.rec.printf("worker %s crashes", w.id)
}

// restart starts a crashed worker again, under the id and the address that it had.
func (w *worker) restart(ctx context.Context) error {
	w.mu.Lock()
	w.reborn()
	w.conns = make(map[net.Conn]bool)
	w.mu.Unlock()
	w.rec.printf("worker %s is up again", w.id)
	return w.serve(ctx)
}

func (w *worker) endDue() {
	now := w.clock()
	for task, r := range w.runs {
		switch {
		case now >= r.began+r.length && r.began+r.length <= w.lease:
			how := "done"
			if r.fails {
				how = "failed"
			}
			w.finish(task, how)
		case now > w.lease:
			w.finish(task, "lapsed")
		}
	}
}

func (w *worker) finish(task, how string) {
	r := w.runs[task]
	delete(w.runs, task)
	r.start.end, r.start.how = time.Now(), how
	w.lastEnd++
	w.ended = append(w.ended, ended{w.lastEnd, task, r.number, how})
	w.rec.printf("worker %s: %s run %d ends %s", w.id, task, r.number, how)
	close(w.notify)
	w.notify = make(chan struct{})
}

type callBody struct {
	Task       string `json:"task"`
	Run        uint64 `json:"run"`
	Spec       string `json:"spec"`
	DeadlineMS int64  `json:"deadlineMs"`
	Fence      uint64 `json:"fence"`
	SeenUpto   uint64 `json:"seenUpto"`
	WaitMS     int64  `json:"waitMs"`
}

// accept decodes a call and reports whether it is to be carried out. The caller holds the lock.
func (w *worker) accept(rw http.ResponseWriter, r *http.Request, b callBody) bool {
	if w.down {
		return false
	}
	w.endDue()
	if want := r.Header.Get("Expect-Instance"); want != "" && want != w.id {
		writeJSON(rw, http.StatusMisdirectedRequest, w.reply(""))
		return false
	}
	if b.Fence < w.fence {
		writeJSON(rw, http.StatusConflict, w.reply("fence"))
		return false
	}
	w.fence = b.Fence
	return true
}

func (w *worker) reply(reason string) map[string]any {
	m := map[string]any{"clockMs": w.clock().Milliseconds(), "born": w.born}
	if reason != "" {
		m["reason"] = reason
	}
	return m
}

func (w *worker) extend(deadlineMS int64) {
	if deadlineMS > 0 {
		w.lease = max(w.lease, min(time.Duration(deadlineMS)*time.Millisecond, w.clock()+holdMax))
	}
}

func decodeCall(rw http.ResponseWriter, r *http.Request) (callBody, bool) {
	var b callBody
	if err := json.NewDecoder(r.Body).Decode(&b); err != nil {
		http.Error(rw, err.Error(), http.StatusBadRequest)
		return b, false
	}
	return b, true
}

func (w *worker) handleStart(rw http.ResponseWriter, r *http.Request) {
	b, ok := decodeCall(rw, r)
	if !ok {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.accept(rw, r, b) {
		return
	}
	var s spec
	if err := json.Unmarshal([]byte(b.Spec), &s); err != nil {
		http.Error(rw, err.Error(), http.StatusBadRequest)
		return
	}
	parts := strings.Split(b.Task, ".")
	step := 0
	if len(parts) == 4 {
		step, _ = strconv.Atoi(parts[2]) // a task that isn't named so has step 0
	}
	used := 0
	for _, run := range w.runs {
		used += run.cpu
	}
	running := w.runs[b.Task]
	switch {
	case running != nil && running.number == b.Run:
	case b.Run <= w.highest[b.Task]:
		w.extend(b.DeadlineMS)
		writeJSON(rw, http.StatusConflict, w.reply("old"))
		return
	case time.Duration(b.DeadlineMS)*time.Millisecond < w.clock():
		writeJSON(rw, http.StatusConflict, w.reply("late"))
		return
	case used+s.CPU > workerCPU:
		w.extend(b.DeadlineMS)
		writeJSON(rw, http.StatusConflict, w.reply("room"))
		return
	default:
		w.extend(b.DeadlineMS)
		w.highest[b.Task] = b.Run
		if running != nil {
			w.finish(b.Task, "stopped")
		}
		st := &start{task: b.Task, run: b.Run, worker: w.id, at: time.Now()}
		w.starts = append(w.starts, st)
		_, again := begun.LoadOrStore(b.Task, true)
		w.runs[b.Task] = &taskRun{fails: s.FailFirst && !again, number: b.Run, cpu: s.CPU, began: w.clock(), length: time.Duration(s.RunMS[min(step, len(s.RunMS)-1)]) * time.Millisecond, start: st}
		w.rec.printf("worker %s: %s run %d starts (fence %d)", w.id, b.Task, b.Run, b.Fence)
	}
	writeJSON(rw, http.StatusOK, w.reply(""))
}

func (w *worker) handleStop(rw http.ResponseWriter, r *http.Request) {
	b, ok := decodeCall(rw, r)
	if !ok {
		return
	}
	time.Sleep(stopEffect)
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.accept(rw, r, b) {
		return
	}
	w.highest[b.Task] = max(w.highest[b.Task], b.Run)
	if run := w.runs[b.Task]; run != nil && run.number <= b.Run {
		w.finish(b.Task, "stopped")
	}
	writeJSON(rw, http.StatusOK, w.reply(""))
}

func (w *worker) handleHold(rw http.ResponseWriter, r *http.Request) {
	b, ok := decodeCall(rw, r)
	if !ok {
		return
	}
	timer := time.NewTimer(min(time.Duration(b.WaitMS)*time.Millisecond, maxHold))
	defer timer.Stop()
	for first := true; ; first = false {
		w.mu.Lock()
		if first {
			if !w.accept(rw, r, b) {
				w.mu.Unlock()
				return
			}
			w.extend(b.DeadlineMS)
			for len(w.ended) > 0 && w.ended[0].n <= b.SeenUpto {
				w.rec.printf("worker %s: end %d of %s run %d (%s) is taken note of", w.id, w.ended[0].n, w.ended[0].task, w.ended[0].run, w.ended[0].how)
				w.ended = w.ended[1:]
			}
		}
		w.endDue()
		if w.down {
			w.mu.Unlock()
			return
		}
		notify := w.notify
		expired := false
		if !first {
			select {
			case <-timer.C:
				expired = true
			default:
			}
		}
		if len(w.ended) > 0 || b.WaitMS <= 0 || expired {
			writeJSON(rw, http.StatusOK, w.lists())
			w.mu.Unlock()
			return
		}
		w.mu.Unlock()
		select {
		case <-notify:
		case <-timer.C:
			timer.Reset(0)
		case <-r.Context().Done():
			return
		}
	}
}

// lists returns the lists of runs. The caller holds the lock.
func (w *worker) lists() map[string]any {
	running, endedRows := [][]any{}, [][]any{}
	for task, r := range w.runs {
		percent := 0
		if r.length > 0 {
			percent = min(99, int(100*(w.clock()-r.began)/r.length))
		}
		running = append(running, []any{task, r.number, "", percent, r.cpu})
	}
	for _, e := range w.ended[:min(len(w.ended), maxListed)] {
		endedRows = append(endedRows, []any{e.n, e.task, e.run, e.how, ""})
	}
	m := w.reply("")
	m["running"], m["ended"] = running, endedRows
	return m
}

// runsOf returns the names of the tasks of a job that run here.
func (w *worker) runsOf(job string) []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	var out []string
	for task := range w.runs {
		if strings.HasPrefix(task, job+".") {
			out = append(out, task)
		}
	}
	return out
}

// allStarts returns copies of all that has been started here.
func (w *worker) allStarts() []start {
	w.mu.Lock()
	defer w.mu.Unlock()
	out := make([]start, len(w.starts))
	for i, s := range w.starts {
		out[i] = *s
	}
	return out
}

func (s start) String() string {
	return fmt.Sprintf("%s run %d at %s", s.task, s.run, s.worker)
}
