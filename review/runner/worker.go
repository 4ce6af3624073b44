package main

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/filbertford/filbertford/fbstandin"
)

// Limits and times of workers. The lease is that of the pages' bounds (holdMaxMs).
const (
	workerLease       = time.Second
	workerMaxWait     = 2 * time.Second
	workerHeartbeat   = 1500 * time.Millisecond
	workerSettleEvery = 2 * time.Millisecond
	workerExpiry      = 3 * workerHeartbeat // silence after which the platform removes an entry
)

// worker is a stand-in for a worker of the users' pages. A crash ends its life; it may
// start again under the same id, with other labels.
type worker struct {
	record *record
	store  *fbstandin.RowStore
	id     string
	zone   string
	// addresses are those at which daemons reach the worker, by their zone.
	addresses map[string]string

	mu       sync.Mutex
	labels   []string
	cpu      int
	memory   int
	down     bool
	draining bool
	removed  bool
	cut      string // the zone that is cut off from the others
	late     int    // of how many calls one gets no answer and is carried out late, 0 for none
	born     time.Time
	fence    uint64
	lease    time.Duration // on the clock of the worker
	runs     map[string]*workerRun
	highest  map[string]uint64
	ended    []*workerEnd
	sequence uint64
	beats    uint64

	starts []*workerStart // of all lives
	ends   []*workerEnd   // of all lives
}

// workerSpec is what a task's spec tells the stand-in.
type workerSpec struct {
	RunMS    int  `json:"run_ms"`
	StepTwo  int  `json:"run_ms_2"`  // of the tasks of the second step, if it differs
	SpreadMS int  `json:"spread_ms"` // by how much a task takes longer than the one before
	Fail     bool `json:"fail"`
}

// duration returns how long a run of the task takes.
func (s workerSpec) duration(task string) time.Duration {
	parts := strings.Split(task, ".")
	index, _ := strconv.Atoi(parts[len(parts)-1]) // the names of tasks end in a number
	ms := s.RunMS
	if s.StepTwo > 0 && parts[len(parts)-2] == "1" {
		ms = s.StepTwo
	}
	return time.Duration(ms+index*s.SpreadMS) * time.Millisecond
}

type workerRun struct {
	start    *workerStart
	number   uint64
	cpu      int
	memory   int
	begun    time.Duration // on the clock of the worker
	duration time.Duration
	fails    bool
}

// workerStart is a start as the record has it.
type workerStart struct {
	worker string
	labels []string
	task   string
	run    uint64
	at     time.Duration // since the start of the record
	endAt  time.Duration // 0 while it runs
	how    string
}

// workerEnd is the end of a run.
type workerEnd struct {
	sequence uint64
	worker   string
	task     string
	run      uint64
	how      string
	at       time.Duration // since the start of the record
	notedAt  time.Duration // when seenUpto reached it, 0 if it hasn't
	lapsed   bool          // the lease lapsed before
}

func newWorker(r *record, store *fbstandin.RowStore, id, zone string, cpu, memory int, labels ...string) *worker {
	w := &worker{record: r, store: store, id: id, zone: zone, cpu: cpu, memory: memory, labels: labels}
	w.begin()
	return w
}

// begin begins a life of the worker; the caller holds the lock or is the only user.
func (w *worker) begin() {
	w.born, w.down, w.fence, w.lease, w.sequence, w.beats = time.Now(), false, 0, 0, 0, 0
	w.runs, w.highest, w.ended = make(map[string]*workerRun), make(map[string]uint64), nil
}

func (w *worker) clock() time.Duration { return time.Since(w.born) }

// zoneKey is the key of the zone of a call's sender in the context of the call.
type zoneKey struct{}

// serve serves calls, at an address for each zone that they come from, and writes the
// worker's entry until the context ends.
func (w *worker) serve(ctx context.Context, g *errgroup.Group, zones []string, server func(http.Handler) (string, error)) error {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /-/run-start", w.handleStart)
	mux.HandleFunc("POST /-/run-stop", w.handleStop)
	mux.HandleFunc("POST /-/hold", w.handleHold)
	w.addresses = make(map[string]string)
	for _, zone := range zones {
		address, err := server(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
			if !w.carryOutLate(ctx, g, mux, zone, r) {
				mux.ServeHTTP(rw, r.WithContext(context.WithValue(r.Context(), zoneKey{}, zone)))
			}
		}))
		if err != nil {
			return err
		}
		w.addresses[zone] = address
	}
	g.Go(func() error {
		ticker := time.NewTicker(workerSettleEvery)
		defer ticker.Stop()
		for {
			select {
			case <-ctx.Done():
				return nil
			case <-ticker.C:
				w.mu.Lock()
				w.settle()
				w.mu.Unlock()
			}
		}
	})
	g.Go(func() error {
		for {
			w.register()
			select {
			case <-ctx.Done():
				return nil
			case <-time.After(workerHeartbeat):
			}
		}
	})
	return nil
}

// carryOutLate carries a call out 2 to 12 s late and leaves it unanswered, if it is one of
// those. A call that is late for a life of the worker is dropped.
func (w *worker) carryOutLate(ctx context.Context, g *errgroup.Group, mux http.Handler, zone string, r *http.Request) bool {
	w.mu.Lock()
	late, life := w.late > 0 && rand.IntN(w.late) == 0, w.born
	w.mu.Unlock()
	if !late {
		return false
	}
	data, err := io.ReadAll(r.Body)
	if err != nil {
		return true
	}
	g.Go(func() error {
		if sleep(ctx, 2*time.Second+rand.N(10*time.Second)) != nil {
			return nil
		}
		w.mu.Lock()
		same := w.born.Equal(life) && !w.down
		w.mu.Unlock()
		if !same {
			return nil
		}
		again := r.Clone(context.WithValue(ctx, zoneKey{}, zone))
		again.Body = io.NopCloser(bytes.NewReader(data))
		defer func() { _ = recover() }() // of a call to a worker that has gone meanwhile
		mux.ServeHTTP(httptest.NewRecorder(), again)
		return nil
	})
	<-r.Context().Done()
	return true
}

// register writes the worker's entry, unless it is down or has left.
func (w *worker) register() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.down || w.removed {
		return
	}
	w.beats++
	state := "ready"
	if w.draining {
		state = "draining"
	}
	_ = w.store.PutWorker(w.id, fbstandin.WorkerRecord{
		Service: "orders", Address: w.addresses[w.zone], Zone: w.zone, Version: "v1", Slots: 8, State: state, Labels: w.labels,
		Capacity: fbstandin.WorkerCapacity{CPU: w.cpu, Memory: w.memory}, StartedAtMS: w.born.UnixMilli(), Seq: w.beats,
	})
}

// crash ends everything that runs. The worker answers nothing until restart.
func (w *worker) crash() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.settle()
	w.record.printf("worker %s crashes with %d runs", w.id, len(w.runs))
	for _, r := range w.runs {
		r.start.endAt, r.start.how = w.record.now(), "crashed"
	}
	w.down = true
	w.runs = make(map[string]*workerRun)
}

// expire removes the entry of a worker that stays down, as the platform does after three
// heartbeats of silence.
func (w *worker) expire() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.down {
		w.store.Remove("servers", "", w.id)
		w.record.printf("the entry of worker %s is removed", w.id)
	}
}

// restart starts a worker that is down under its id and address. Without labels it keeps
// those that it had.
func (w *worker) restart(labels ...string) {
	w.mu.Lock()
	if len(labels) > 0 {
		w.labels = labels
	}
	w.begin()
	w.record.printf("worker %s starts again with labels %v", w.id, w.labels)
	w.mu.Unlock()
	w.register()
}

// running returns the names of the tasks that run.
func (w *worker) running() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.settle()
	out := make([]string, 0, len(w.runs))
	for task := range w.runs {
		out = append(out, task)
	}
	slices.Sort(out)
	return out
}

// settle ends the runs that are over. The caller holds the lock.
func (w *worker) settle() {
	if w.down {
		return
	}
	now := w.clock()
	for task, r := range w.runs {
		finish := r.begun + r.duration
		switch {
		case now >= finish && finish <= w.lease:
			w.end(task, map[bool]string{true: "failed", false: "done"}[r.fails])
		case now > w.lease:
			w.end(task, "lapsed")
		}
	}
	if now > w.lease {
		for _, e := range w.ended {
			e.lapsed = true
		}
	}
}

func (w *worker) end(task, how string) {
	r := w.runs[task]
	w.sequence++
	at := w.record.now()
	e := &workerEnd{sequence: w.sequence, worker: w.id, task: task, run: r.number, how: how, at: at}
	w.ended, w.ends = append(w.ended, e), append(w.ends, e)
	r.start.endAt, r.start.how = at, how
	delete(w.runs, task)
	w.record.printf("worker %s: end of %s run %d: %s", w.id, task, r.number, how)
}

type workerCall struct {
	Task       string `json:"task"`
	Run        uint64 `json:"run"`
	Spec       string `json:"spec"`
	DeadlineMS int64  `json:"deadlineMs"`
	Fence      uint64 `json:"fence"`
	SeenUpto   uint64 `json:"seenUpto"`
	WaitMS     int64  `json:"waitMs"`
}

type workerAnswer struct {
	ClockMS int64    `json:"clockMs"`
	Born    int64    `json:"born,omitempty"`
	Reason  string   `json:"reason,omitempty"`
	Running [][5]any `json:"running,omitempty"`
	Ended   [][5]any `json:"ended,omitempty"`
}

// maxListed is the number of ends that an answer lists.
const maxListed = 500

// accept decodes a call and checks the instance and the fence. It answers the call and
// returns false if there is nothing to do. The caller holds the lock.
func (w *worker) accept(rw http.ResponseWriter, r *http.Request, c *workerCall) bool {
	zone, _ := r.Context().Value(zoneKey{}).(string)
	if w.down || w.cut != "" && (zone == w.cut) != (w.zone == w.cut) {
		panic(http.ErrAbortHandler) // closes the channel without an answer
	}
	if id := r.Header.Get("Expect-Instance"); id != "" && id != w.id {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return false
	}
	w.settle()
	if c.Fence < w.fence {
		w.answer(rw, "fence")
		return false
	}
	w.fence = c.Fence
	return true
}

func (w *worker) extend(deadlineMS int64) {
	if deadlineMS > 0 {
		w.lease = max(w.lease, min(time.Duration(deadlineMS)*time.Millisecond, w.clock()+workerLease))
	}
}

func (w *worker) answer(rw http.ResponseWriter, reason string) {
	status := http.StatusOK
	if reason != "" {
		status = http.StatusConflict
	}
	writeJSON(rw, status, workerAnswer{ClockMS: w.clock().Milliseconds(), Reason: reason})
}

func writeJSON(rw http.ResponseWriter, status int, body any) {
	rw.Header().Set("Content-Type", "application/json")
	rw.WriteHeader(status)
	_ = json.NewEncoder(rw).Encode(body) // fails if the caller is gone
}

func decodeCall(rw http.ResponseWriter, r *http.Request) (*workerCall, bool) {
	c := &workerCall{}
	data, err := io.ReadAll(r.Body)
	if err != nil || json.Unmarshal(data, c) != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return nil, false
	}
	return c, true
}

func (w *worker) handleStart(rw http.ResponseWriter, r *http.Request) {
	c, ok := decodeCall(rw, r)
	if !ok {
		return
	}
	var d taskDemand
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.accept(rw, r, c) {
		return
	}
	if run := w.runs[c.Task]; run != nil && run.number == c.Run {
		w.extend(c.DeadlineMS)
		w.answer(rw, "")
		return
	}
	spec := workerSpec{RunMS: 100}
	_ = json.Unmarshal([]byte(c.Spec), &spec)
	_ = json.Unmarshal([]byte(c.Spec), &d) // a start doesn't name the size; the spec of the stand-in's clients does
	used, usedMemory := 0, 0
	for _, run := range w.runs {
		used += run.cpu
		usedMemory += run.memory
	}
	switch {
	case c.Run <= w.highest[c.Task]:
		w.extend(c.DeadlineMS)
		w.answer(rw, "old")
	case time.Duration(c.DeadlineMS)*time.Millisecond < w.clock():
		w.answer(rw, "late")
	case used+d.CPU > w.cpu || usedMemory+d.Memory > w.memory:
		w.extend(c.DeadlineMS)
		w.answer(rw, "room")
	default:
		w.extend(c.DeadlineMS)
		w.highest[c.Task] = c.Run
		s := &workerStart{worker: w.id, labels: w.labels, task: c.Task, run: c.Run, at: w.record.now()}
		w.starts = append(w.starts, s)
		w.runs[c.Task] = &workerRun{
			start: s, number: c.Run, cpu: d.CPU, memory: d.Memory, begun: w.clock(),
			duration: spec.duration(c.Task), fails: spec.Fail,
		}
		w.record.printf("worker %s %v: start of %s run %d", w.id, w.labels, c.Task, c.Run)
		w.answer(rw, "")
	}
}

func (w *worker) handleStop(rw http.ResponseWriter, r *http.Request) {
	c, ok := decodeCall(rw, r)
	if !ok {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.accept(rw, r, c) {
		return
	}
	w.highest[c.Task] = max(w.highest[c.Task], c.Run)
	if run := w.runs[c.Task]; run != nil && run.number <= c.Run {
		w.end(c.Task, "stopped")
	}
	w.answer(rw, "")
}

func (w *worker) handleHold(rw http.ResponseWriter, r *http.Request) {
	c, ok := decodeCall(rw, r)
	if !ok {
		return
	}
	until := time.Now().Add(min(time.Duration(c.WaitMS)*time.Millisecond, workerMaxWait))
	w.mu.Lock()
	life := w.born
	defer func() { w.mu.Unlock() }()
	for first := true; ; first = false {
		if !w.born.Equal(life) {
			panic(http.ErrAbortHandler)
		}
		if !w.accept(rw, r, c) {
			return
		}
		if first {
			w.extend(c.DeadlineMS)
			w.note(c.SeenUpto)
		}
		if len(w.ended) > 0 || !time.Now().Before(until) {
			break
		}
		w.mu.Unlock()
		select {
		case <-r.Context().Done():
			w.mu.Lock()
			return
		case <-time.After(workerSettleEvery):
		}
		w.mu.Lock()
	}
	a := workerAnswer{ClockMS: w.clock().Milliseconds(), Born: w.born.UnixMilli()}
	for task, run := range w.runs {
		percent := 100
		if run.duration > 0 {
			percent = min(99, int(100*(w.clock()-run.begun)/run.duration))
		}
		a.Running = append(a.Running, [5]any{task, run.number, "", percent, run.cpu})
	}
	for _, e := range w.ended[:min(maxListed, len(w.ended))] {
		a.Ended = append(a.Ended, [5]any{e.sequence, e.task, e.run, e.how, ""})
	}
	writeJSON(rw, http.StatusOK, a)
}

// note forgets the ends up to a number.
func (w *worker) note(seenUpto uint64) {
	w.ended = slices.DeleteFunc(w.ended, func(e *workerEnd) bool {
		if e.sequence > seenUpto {
			return false
		}
		e.notedAt = w.record.now()
		return true
	})
}

// history returns the starts and ends of all lives, ordered by time.
func (w *worker) history() ([]*workerStart, []*workerEnd) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Clone(w.starts), slices.Clone(w.ends)
}

// startsOf returns the starts of a task, or of all tasks if it is empty, ordered by time.
func startsOf(workers []*worker, task string) []*workerStart {
	var out []*workerStart
	for _, w := range workers {
		starts, _ := w.history()
		for _, s := range starts {
			if task == "" || s.task == task {
				out = append(out, s)
			}
		}
	}
	slices.SortFunc(out, func(a, b *workerStart) int { return cmp.Compare(a.at, b.at) })
	return out
}

// runningAt returns the worker that runs a task, nil if none does.
func runningAt(workers []*worker, task string) *worker {
	for _, w := range workers {
		if slices.Contains(w.running(), task) {
			return w
		}
	}
	return nil
}

// taskName returns the name of a task of a job without occurrences.
func taskName(id string, step, index int) string { return fmt.Sprintf("%s.0.%d.%d", id, step, index) }
