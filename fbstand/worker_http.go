package fbstand

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

type holdRequest struct {
	DeadlineMS int64  `json:"deadlineMs"`
	Fence      uint64 `json:"fence"`
	SeenUpTo   uint64 `json:"seenUpto"`
	WaitMS     int64  `json:"waitMs"`
}

type workerReply struct {
	ClockMS int64    `json:"clockMs"`
	Reason  string   `json:"reason,omitempty"`
	Running [][4]any `json:"running,omitempty"`
	Ended   [][5]any `json:"ended,omitempty"`
}

// workerSpec is what the stand-in reads of a task's spec, if it is JSON.
type workerSpec struct {
	RunMS int `json:"run_ms"`
	CPU   int `json:"cpu"`
}

// Handler returns the HTTP interface of the worker. Faults are switched by PUT
// /faults.
func (w *Worker) Handler() http.Handler {
	e := newEcho()
	e.PUT("/faults", w.putFaults)
	g := e.Group("/-", w.misbehave)
	g.POST("/run-start", w.postStart)
	g.POST("/run-stop", w.postStop)
	g.POST("/hold", w.postHold)
	return e
}

func (w *Worker) putFaults(c echo.Context) error {
	var f WorkerFaults
	if err := decode(c, &f); err != nil {
		return err
	}
	w.SetFaults(f)
	return c.NoContent(http.StatusNoContent)
}

// misbehave refuses calls for another worker, and loses or delays some.
func (w *Worker) misbehave(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		if id := c.Request().Header.Get("Expect-Instance"); id != "" && id != w.id {
			return c.NoContent(http.StatusMisdirectedRequest)
		}
		w.mu.Lock()
		w.calls++
		f := w.faults
		lose := f.LoseOneIn > 0 && w.calls%f.LoseOneIn == 0
		w.mu.Unlock()
		if !lose {
			return next(c)
		}
		time.Sleep(time.Duration(f.LateMS) * time.Millisecond)
		discard := echo.New().NewContext(c.Request(), echo.NewResponse(discardWriter{http.Header{}}, c.Echo()))
		if err := next(discard); err != nil {
			return err
		}
		return cutConnection(c, nil)
	}
}

// discardWriter drops an answer.
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

func (w *Worker) postStart(c echo.Context) error {
	var r runRequest
	if err := decode(c, &r); err != nil {
		return err
	}
	spec := workerSpec{RunMS: int(workerTime.Milliseconds())}
	if err := json.Unmarshal([]byte(r.Spec), &spec); err != nil {
		spec = workerSpec{RunMS: int(workerTime.Milliseconds())} // any text is a spec
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.admit(r.Fence) {
		return w.reply(c, "fence")
	}
	lease := time.Duration(r.DeadlineMS) * time.Millisecond
	return w.reply(c, w.start(r.Task, r.Run, max(spec.CPU, 1), time.Duration(spec.RunMS)*time.Millisecond, lease))
}

func (w *Worker) postStop(c echo.Context) error {
	var r runRequest
	if err := decode(c, &r); err != nil {
		return err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.admit(r.Fence) {
		return w.reply(c, "fence")
	}
	w.stop(r.Task, r.Run)
	return w.reply(c, "")
}

func (w *Worker) postHold(c echo.Context) error {
	var r holdRequest
	if err := decode(c, &r); err != nil {
		return err
	}
	until := time.Now().Add(min(time.Duration(r.WaitMS)*time.Millisecond, maxHold))
	for {
		reply, done := w.hold(r)
		if reply.Reason != "" {
			return c.JSON(http.StatusConflict, reply)
		}
		if done || time.Now().After(until) {
			return c.JSON(http.StatusOK, reply)
		}
		select {
		case <-c.Request().Context().Done():
			return nil
		case <-time.After(holdStep):
		}
	}
}

// hold returns the lists, and whether there is an end.
func (w *Worker) hold(r holdRequest) (workerReply, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	reply := workerReply{ClockMS: w.clock().Milliseconds()}
	if !w.admit(r.Fence) {
		reply.Reason = "fence"
		return reply, true
	}
	if r.DeadlineMS > 0 {
		w.extend(time.Duration(r.DeadlineMS) * time.Millisecond)
	}
	w.forget(r.SeenUpTo)
	for task, run := range w.runs {
		reply.Running = append(reply.Running, [4]any{task, run.run, "", w.percent(run)})
	}
	for _, e := range w.ended {
		reply.Ended = append(reply.Ended, [5]any{e.number, e.task, e.run, e.how, ""})
	}
	return reply, len(w.ended) > 0
}
