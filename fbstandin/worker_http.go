package fbstandin

import (
	"encoding/json"
	"errors"
	"net/http"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/rotisserie/eris"
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
	ClockMS     int64    `json:"clockMs"`
	StartedAtMS int64    `json:"born,omitempty"` // in lists of runs
	Reason      string   `json:"reason,omitempty"`
	Running     [][4]any `json:"running,omitempty"`
	Ended       [][5]any `json:"ended,omitempty"`
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

// injectFaults handles every n-th call late and without sending its reply, as set by
// LoseReplyEvery.
func (w *Worker) injectFaults(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		w.mu.Lock()
		w.calls++
		f, life := w.faults, w.number
		lose := f.LoseReplyEvery > 0 && w.calls%f.LoseReplyEvery == 0
		w.mu.Unlock()
		handled := c
		if lose {
			time.Sleep(time.Duration(f.DelayMS) * time.Millisecond)
			handled = echo.New().NewContext(c.Request(), echo.NewResponse(discardWriter{http.Header{}}, c.Echo()))
		}
		handled.Set(lifeReceived, life)
		if err := next(handled); err != nil && !lose && !errors.Is(err, errDown) {
			return err
		}
		if lose || !c.Response().Committed {
			return writeAndClose(c, nil)
		}
		return nil
	}
}

// Keys of a request's context.
const (
	lifeReceived = "received" // the worker's life in which it received the call
	lifeHandled  = "handled"  // the life in which it began to handle the call
)

// errDown is the error of a call that a worker doesn't answer, since it is down or has
// restarted while it handled the call.
var errDown = eris.New("the worker is down")

// accept reports whether to handle a call with the fencing token. It returns an error if
// the worker is down or the call expects another ID. The caller holds the lock.
func (w *Worker) accept(c echo.Context, fence uint64) (bool, error) {
	if handled, ok := c.Get(lifeHandled).(int); w.down || ok && handled != w.number {
		return false, errDown
	}
	c.Set(lifeHandled, w.number)
	if id := c.Request().Header.Get("Expect-Instance"); id != "" && id != w.id {
		return false, echo.NewHTTPError(http.StatusMisdirectedRequest)
	}
	return w.acceptFence(fence), nil
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
	if ok, err := w.accept(c, r.Fence); err != nil {
		return err
	} else if !ok {
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
	if ok, err := w.accept(c, r.Fence); err != nil {
		return err
	} else if !ok {
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
		reply, hasEnds, err := w.poll(c, r)
		if err != nil {
			return err
		}
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
func (w *Worker) poll(c echo.Context, r pollRequest) (workerReply, bool, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	reply := workerReply{ClockMS: w.clock().Milliseconds(), StartedAtMS: w.startedAt.UnixMilli()}
	if ok, err := w.accept(c, r.Fence); err != nil || !ok {
		reply.Reason = "fence"
		return reply, true, err
	}
	if r.DeadlineMS > 0 {
		w.extendLease(time.Duration(r.DeadlineMS) * time.Millisecond)
	}
	life, _ := c.Get(lifeReceived).(int)
	w.acknowledge(r.Acked, life)
	for task, run := range w.runs {
		reply.Running = append(reply.Running, [4]any{task, run.number, "", w.progressPercent(run)})
	}
	for _, e := range w.endedRuns {
		reply.Ended = append(reply.Ended, [5]any{e.sequence, e.task, e.run, e.outcome, ""})
	}
	return reply, len(w.endedRuns) > 0, nil
}
