package fbstandin

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/labstack/echo/v4"
)

type runRequest struct {
	Task       string `json:"task"`
	Run        uint64 `json:"run"`
	Spec       string `json:"spec"`
	DeadlineMS int64  `json:"deadlineMs"`
	Fence      uint64 `json:"fence"`
}

type pollRequest struct {
	DeadlineMS int64  `json:"deadlineMs"`
	Fence      uint64 `json:"fence"`
	Acked      uint64 `json:"seenUpto"`
	WaitMS     int64  `json:"waitMs"`
}

type workerReply struct {
	ClockMS int64    `json:"clockMs"`
	Reason  string   `json:"reason,omitempty"`
	Running [][4]any `json:"running,omitempty"`
	Ended   [][5]any `json:"ended,omitempty"`
}

// taskSpec is the part of a task's spec that the stand-in reads, if the spec is
// JSON.
type taskSpec struct {
	RunMS int `json:"run_ms"`
	CPU   int `json:"cpu"`
}

// Handler returns the handler of the worker's requests. PUT /faults sets the
// faults.
func (w *Worker) Handler() http.Handler {
	e := newEcho()
	e.PUT("/faults", w.handleFaults)
	g := e.Group("/-", w.injectFaults)
	g.POST("/run-start", w.handleStart)
	g.POST("/run-stop", w.handleStop)
	g.POST("/hold", w.handlePoll)
	return e
}

func (w *Worker) handleFaults(c echo.Context) error {
	var f WorkerFaults
	if err := decodeJSON(c, &f); err != nil {
		return err
	}
	w.SetFaults(f)
	return c.NoContent(http.StatusNoContent)
}

// injectFaults rejects calls that expect another instance, and handles every n-th
// call without sending its reply, as set by LoseReplyEvery.
func (w *Worker) injectFaults(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		if id := c.Request().Header.Get("Expect-Instance"); id != "" && id != w.id {
			return c.NoContent(http.StatusMisdirectedRequest)
		}
		w.mu.Lock()
		w.calls++
		f := w.faults
		lose := f.LoseReplyEvery > 0 && w.calls%f.LoseReplyEvery == 0
		w.mu.Unlock()
		if !lose {
			return next(c)
		}
		time.Sleep(time.Duration(f.DelayMS) * time.Millisecond)
		discardCtx := echo.New().NewContext(c.Request(), echo.NewResponse(discardWriter{http.Header{}}, c.Echo()))
		if err := next(discardCtx); err != nil {
			return err
		}
		return writeAndClose(c, nil)
	}
}

// discardWriter is a ResponseWriter that discards the reply.
type discardWriter struct{ header http.Header }

func (d discardWriter) Header() http.Header       { return d.header }
func (discardWriter) Write(p []byte) (int, error) { return len(p), nil }
func (discardWriter) WriteHeader(int)             {}

func (w *Worker) reply(c echo.Context, reason string) error {
	status := http.StatusOK
	if reason != "" {
		status = http.StatusConflict
	}
	return c.JSON(status, workerReply{ClockMS: w.clock().Milliseconds(), Reason: reason})
}

func (w *Worker) handleStart(c echo.Context) error {
	var r runRequest
	if err := decodeJSON(c, &r); err != nil {
		return err
	}
	spec := taskSpec{RunMS: int(defaultWorkerRunTime.Milliseconds())}
	if err := json.Unmarshal([]byte(r.Spec), &spec); err != nil {
		spec = taskSpec{RunMS: int(defaultWorkerRunTime.Milliseconds())} // a spec may be any text
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.acceptFence(r.Fence) {
		return w.reply(c, "fence")
	}
	leaseExpiry := time.Duration(r.DeadlineMS) * time.Millisecond
	return w.reply(c, w.startRun(r.Task, r.Run, max(spec.CPU, 1), time.Duration(spec.RunMS)*time.Millisecond, leaseExpiry))
}

func (w *Worker) handleStop(c echo.Context) error {
	var r runRequest
	if err := decodeJSON(c, &r); err != nil {
		return err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.acceptFence(r.Fence) {
		return w.reply(c, "fence")
	}
	w.stopRun(r.Task, r.Run)
	return w.reply(c, "")
}

func (w *Worker) handlePoll(c echo.Context) error {
	var r pollRequest
	if err := decodeJSON(c, &r); err != nil {
		return err
	}
	deadline := time.Now().Add(min(time.Duration(r.WaitMS)*time.Millisecond, maxPollWait))
	for {
		reply, hasEnds := w.poll(r)
		if reply.Reason != "" {
			return c.JSON(http.StatusConflict, reply)
		}
		if hasEnds || time.Now().After(deadline) {
			return c.JSON(http.StatusOK, reply)
		}
		select {
		case <-c.Request().Context().Done():
			return nil
		case <-time.After(pollInterval):
		}
	}
}

// poll acknowledges ended runs and extends the lease, and returns the lists of
// runs and whether to reply now: a run has ended, or the fencing token is too low.
func (w *Worker) poll(r pollRequest) (workerReply, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	reply := workerReply{ClockMS: w.clock().Milliseconds()}
	if !w.acceptFence(r.Fence) {
		reply.Reason = "fence"
		return reply, true
	}
	if r.DeadlineMS > 0 {
		w.extendLease(time.Duration(r.DeadlineMS) * time.Millisecond)
	}
	w.acknowledge(r.Acked)
	for task, run := range w.runs {
		reply.Running = append(reply.Running, [4]any{task, run.number, "", w.progressPercent(run)})
	}
	for _, e := range w.endedRuns {
		reply.Ended = append(reply.Ended, [5]any{e.sequence, e.task, e.run, e.outcome, ""})
	}
	return reply, len(w.endedRuns) > 0
}
