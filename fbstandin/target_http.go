package fbstandin

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/rotisserie/eris"
)

// defaultRunTime is the run time of a task that declares none.
const defaultRunTime = 5 * time.Millisecond

// maxRunTime is the maximum run time that a task may declare.
const maxRunTime = time.Hour

// wrongReplyID is the ID in the replies of a target with the fault wrongID.
const wrongReplyID = "another-start"

// refusal is the reason why a target doesn't start a task.
type refusal string

const (
	refusalNone    refusal = ""
	refusalNoSlot  refusal = "no-slot"
	refusalLeaving refusal = "leaving"
)

type startRequest struct {
	ID      string   `json:"id"`
	Owner   string   `json:"owner"`
	Service string   `json:"service"`
	Args    taskArgs `json:"args"`
	LeaseMS int64    `json:"lease_ms"`
}

func (r startRequest) lease() time.Duration {
	return time.Duration(r.LeaseMS) * time.Millisecond
}

type taskArgs struct {
	RunMS *float64        `json:"run_ms"`
	Echo  json.RawMessage `json:"echo"`
	Fail  bool            `json:"fail"`
	Work  string          `json:"work"`
}

// UnmarshalJSON decodes the arguments of a stand-in's task. Arguments that aren't
// a JSON object are ignored.
func (a *taskArgs) UnmarshalJSON(b []byte) error {
	if len(b) == 0 || b[0] != '{' {
		return nil
	}
	type plain taskArgs
	if err := json.Unmarshal(b, (*plain)(a)); err != nil {
		return err
	}
	if a.RunMS != nil && (*a.RunMS < 0 || *a.RunMS > float64(maxRunTime/time.Millisecond)) {
		return eris.Errorf("run_ms %v is not in 0 to %d", *a.RunMS, maxRunTime/time.Millisecond)
	}
	return nil
}

func (a taskArgs) runTime() time.Duration {
	if a.RunMS == nil {
		return defaultRunTime
	}
	return time.Duration(*a.RunMS * float64(time.Millisecond))
}

type startReply struct {
	ID     string      `json:"id"`
	Status string      `json:"status"`
	Output *taskOutput `json:"output,omitempty"`
	Detail string      `json:"detail,omitempty"`
	RanUS  int64       `json:"ran_us,omitempty"`
	Free   int         `json:"free"`
}

type taskOutput struct {
	Echo   json.RawMessage `json:"echo"`
	Target string          `json:"target"`
}

type stopRequest struct {
	IDs []string `json:"ids"`
}

type renewRequest struct {
	Owner   string `json:"owner"`
	LeaseMS int64  `json:"lease_ms"`
}

type freeSlotsReply struct {
	Free int `json:"free"`
}

type targetFaultsRequest struct {
	FailAll          bool       `json:"fail_all"`
	SlowFactor       float64    `json:"slow_factor"`
	Freeze           bool       `json:"freeze"`
	Leaving          bool       `json:"leaving"`
	Disconnect       Disconnect `json:"cut"`
	WrongID          bool       `json:"wrong_id"`
	DuplicateReplies bool       `json:"twice"`
}

type targetCountersReply struct {
	Starts   int            `json:"starts"`
	Repeats  int            `json:"repeats"`
	Refusals int            `json:"refusals"`
	Stops    int            `json:"stops"`
	Renewals int            `json:"renewals"`
	Running  int            `json:"running"`
	Works    map[string]int `json:"works"`
}

// Handler returns the handler of the target's requests and of those that set
// faults and read counters.
func (t *Target) Handler() http.Handler {
	e := newEcho()
	e.POST("/v1/start", t.handleStart)
	e.POST("/v1/stop", t.handleStop)
	e.POST("/v1/renew", t.handleRenew)
	e.POST("/faults/target", t.handleFaults)
	e.GET("/counters", t.handleCounters)
	return e
}

func (t *Target) handleStart(c echo.Context) error {
	var r startRequest
	if err := decodeJSON(c, &r); err != nil {
		return err
	}
	faults := t.waitWhileFrozen()
	if faults.disconnect == DisconnectBeforeStart {
		return writeAndClose(c, nil)
	}
	tk, refused := t.startTask(r)
	if refused != refusalNone {
		return c.JSON(http.StatusServiceUnavailable, startReply{ID: r.ID, Status: string(refused), Free: t.freeSlots()})
	}
	if faults.disconnect == DisconnectAfterStart {
		err := writeAndClose(c, nil)
		t.execute(tk, r, faults)
		return err
	}
	return t.reply(c, t.execute(tk, r, faults))
}

// execute runs the task until it ends and returns the reply to the start.
func (t *Target) execute(tk *task, r startRequest, faults TargetFaults) startReply {
	startedAt := time.Now()
	outcome := taskDone
	if !faults.failAll {
		outcome = t.runTask(tk, t.scaleRunTime(r.Args.runTime(), faults))
	}
	reply := startReply{ID: r.ID, Status: string(outcome), RanUS: time.Since(startedAt).Microseconds(), Free: t.endTask(tk)}
	switch {
	case outcome == taskStopped:
		reply.Detail = "stopped or lease ran out"
	case faults.failAll || r.Args.Fail:
		reply.Status = "task-failed"
		reply.Detail = "the task was asked to fail"
	default:
		reply.Output = &taskOutput{Echo: r.Args.Echo, Target: string(t.id)}
	}
	return reply
}

// scaleRunTime returns the run time at this target of a task that declares d.
func (t *Target) scaleRunTime(d time.Duration, f TargetFaults) time.Duration {
	factor := t.runTimeFactor
	if f.slowFactor > 0 {
		factor *= f.slowFactor
	}
	return time.Duration(float64(d) * factor)
}

// reply sends the reply to a start whose task has ended, with the current faults.
func (t *Target) reply(c echo.Context, r startReply) error {
	faults := t.waitWhileFrozen()
	if faults.wrongID {
		r.ID = wrongReplyID
	}
	if faults.disconnect != DisconnectInReply && !faults.duplicateReplies {
		return c.JSON(http.StatusOK, r)
	}
	raw, err := encodeReply(http.StatusOK, r)
	if err != nil {
		return err
	}
	if faults.disconnect == DisconnectInReply {
		return writeAndClose(c, raw[:len(raw)-len(raw)/4])
	}
	return writeAndClose(c, append(raw, raw...))
}

func (t *Target) handleStop(c echo.Context) error {
	var r stopRequest
	if err := decodeJSON(c, &r); err != nil {
		return err
	}
	t.waitWhileFrozen()
	return c.JSON(http.StatusOK, freeSlotsReply{Free: t.stopTasks(r.IDs)})
}

func (t *Target) handleRenew(c echo.Context) error {
	var r renewRequest
	if err := decodeJSON(c, &r); err != nil {
		return err
	}
	t.waitWhileFrozen()
	free := t.renewLease(r.Owner, time.Duration(r.LeaseMS)*time.Millisecond)
	return c.JSON(http.StatusOK, freeSlotsReply{Free: free})
}

func (t *Target) handleFaults(c echo.Context) error {
	var r targetFaultsRequest
	if err := decodeJSON(c, &r); err != nil {
		return err
	}
	if !r.Disconnect.valid() {
		return echo.NewHTTPError(http.StatusBadRequest, `cut must be "", "before", "after-start" or "reply"`)
	}
	t.SetFaults(TargetFaults{
		failAll:          r.FailAll,
		slowFactor:       r.SlowFactor,
		freeze:           r.Freeze,
		leaving:          r.Leaving,
		disconnect:       r.Disconnect,
		wrongID:          r.WrongID,
		duplicateReplies: r.DuplicateReplies,
	})
	return c.NoContent(http.StatusNoContent)
}

func (t *Target) handleCounters(c echo.Context) error {
	n := t.Counters()
	return c.JSON(http.StatusOK, targetCountersReply{
		Starts:   n.starts,
		Repeats:  n.repeats,
		Refusals: n.refusals,
		Stops:    n.stops,
		Renewals: n.renewals,
		Running:  n.running,
		Works:    n.startsByWork,
	})
}
