package fbstandin

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/filbertford/filbertford"
)

type readRequest struct {
	Keys []string `json:"keys"`
}

type readReply struct {
	Rows []row `json:"rows"`
}

type commitRequest struct {
	Writes []row `json:"writes"`
}

type row struct {
	Key     string `json:"key"`
	Value   []byte `json:"value"`
	Version uint64 `json:"version"`
}

type vmsReply struct {
	VMs []vm `json:"vms"`
}

type vm struct {
	ID         string   `json:"id"`
	Role       string   `json:"role"`
	State      string   `json:"state"`
	DataCentre string   `json:"data_centre"`
	Address    string   `json:"address"`
	Rack       string   `json:"rack,omitempty"`
	Slots      int      `json:"slots,omitempty"`
	Conns      int      `json:"conns,omitempty"`
	Services   []string `json:"services,omitempty"`
}

type platformFaultsRequest struct {
	Down        bool  `json:"down"`
	DelayMS     int64 `json:"slow_ms"`
	LoseReplies bool  `json:"lose_replies"`
}

type platformCountersReply struct {
	Reads        int `json:"reads"`
	Writes       int `json:"writes"`
	Conflicts    int `json:"conflicts"`
	ObjectReads  int `json:"object_reads"`
	ObjectWrites int `json:"object_writes"`
	VMReads      int `json:"vm_reads"`
	Delayed      int `json:"delayed"`
}

// Handler returns the handler of the platform's requests and of those that set
// faults and read counters.
func (p *Platform) Handler() http.Handler {
	e := newEcho()
	e.POST("/table/read", p.handleRead, p.injectFaults)
	e.POST("/table/commit", p.handleCommit, p.injectFaults)
	e.PUT("/objects/*", p.handlePutObject, p.injectFaults)
	e.GET("/objects/*", p.handleGetObject, p.injectFaults)
	e.GET("/vms", p.handleListVMs, p.injectFaults)
	e.POST("/vms", p.handlePutVM)
	e.DELETE("/vms/:id", p.handleRemoveVM)
	e.POST("/faults/platform", p.handleFaults)
	e.GET("/counters", p.handleCounters)
	return e
}

// injectFaults wraps a handler in the faults that the platform simulates.
func (p *Platform) injectFaults(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		f, ok := p.waitDelay()
		if !ok {
			return writeAndClose(c, nil)
		}
		if f.down {
			return echo.NewHTTPError(http.StatusServiceUnavailable, "down")
		}
		if !f.loseReplies {
			return next(c)
		}
		original := c.Response().Writer
		c.Response().Writer = &lostReplyWriter{header: make(http.Header)}
		err := next(c)
		c.Response().Writer = original
		c.Response().Committed = false
		if err != nil {
			return err
		}
		return writeAndClose(c, nil)
	}
}

func (p *Platform) handleRead(c echo.Context) error {
	var r readRequest
	if err := decodeJSON(c, &r); err != nil {
		return err
	}
	var reply readReply
	for _, stored := range p.read(r.Keys) {
		reply.Rows = append(reply.Rows, row{Key: stored.Key(), Value: stored.Value(), Version: stored.Version()})
	}
	return c.JSON(http.StatusOK, reply)
}

func (p *Platform) handleCommit(c echo.Context) error {
	var r commitRequest
	if err := decodeJSON(c, &r); err != nil {
		return err
	}
	writes := make([]filbertford.Write, 0, len(r.Writes))
	for _, w := range r.Writes {
		writes = append(writes, filbertford.NewWrite(w.Key, w.Value, w.Version))
	}
	if !p.commit(writes) {
		return c.JSON(http.StatusConflict, struct{}{})
	}
	return c.JSON(http.StatusOK, struct{}{})
}

func (p *Platform) handlePutObject(c echo.Context) error {
	data, err := io.ReadAll(c.Request().Body)
	if err != nil {
		return err
	}
	p.putObject(objectKey(c), data)
	return c.NoContent(http.StatusNoContent)
}

func (p *Platform) handleGetObject(c echo.Context) error {
	data, ok := p.object(objectKey(c))
	if !ok {
		return c.NoContent(http.StatusNotFound)
	}
	return c.Blob(http.StatusOK, echo.MIMEOctetStream, data)
}

// objectKey returns the object's key from the path, unescaped. The router's path
// parameter can't be used, since it is escaped for some paths and not for others.
func objectKey(c echo.Context) string {
	return strings.TrimPrefix(c.Request().URL.Path, "/objects/")
}

func (p *Platform) handleListVMs(c echo.Context) error {
	filter := filbertford.VMFilter{}.
		WithRole(filbertford.Role(c.QueryParam("role"))).
		WithDataCentre(filbertford.DataCentre(c.QueryParam("data_centre")))
	reply := vmsReply{VMs: []vm{}}
	for _, v := range p.listVMs(filter) {
		reply.VMs = append(reply.VMs, encodeVM(v))
	}
	body, err := json.Marshal(reply)
	if err != nil {
		return err
	}
	tag := entityTag(body)
	c.Response().Header().Set("ETag", tag)
	if c.Request().Header.Get("If-None-Match") == tag {
		return c.NoContent(http.StatusNotModified)
	}
	return c.JSONBlob(http.StatusOK, body)
}

// entityTag returns a strong entity tag of a body (RFC 9110, section 8.8.3).
func entityTag(body []byte) string {
	sum := sha256.Sum256(body)
	return `"` + hex.EncodeToString(sum[:16]) + `"`
}

func (p *Platform) handlePutVM(c echo.Context) error {
	var r vm
	if err := decodeJSON(c, &r); err != nil {
		return err
	}
	if r.ID == "" || r.Address == "" {
		return echo.NewHTTPError(http.StatusBadRequest, "a VM needs an id and an address")
	}
	p.PutVM(r.decode())
	return c.NoContent(http.StatusNoContent)
}

func (p *Platform) handleRemoveVM(c echo.Context) error {
	p.RemoveVM(filbertford.VMID(c.Param("id")))
	return c.NoContent(http.StatusNoContent)
}

func (p *Platform) handleFaults(c echo.Context) error {
	var r platformFaultsRequest
	if err := decodeJSON(c, &r); err != nil {
		return err
	}
	p.SetFaults(PlatformFaults{
		down:        r.Down,
		delay:       time.Duration(r.DelayMS) * time.Millisecond,
		loseReplies: r.LoseReplies,
	})
	return c.NoContent(http.StatusNoContent)
}

func (p *Platform) handleCounters(c echo.Context) error {
	n := p.Counters()
	return c.JSON(http.StatusOK, platformCountersReply{
		Reads:        n.reads,
		Writes:       n.writes,
		Conflicts:    n.conflicts,
		ObjectReads:  n.objectReads,
		ObjectWrites: n.objectWrites,
		VMReads:      n.vmReads,
		Delayed:      n.delayed,
	})
}

func encodeVM(v filbertford.VM) vm {
	return vm{
		ID:         string(v.ID()),
		Role:       string(v.Role()),
		State:      string(v.State()),
		DataCentre: string(v.DataCentre()),
		Address:    v.Address(),
		Rack:       v.Rack(),
		Slots:      v.Slots(),
		Conns:      v.Conns(),
		Services:   v.Services(),
	}
}

func (v vm) decode() filbertford.VM {
	out := filbertford.NewVM(filbertford.VMID(v.ID), filbertford.Role(v.Role), filbertford.DataCentre(v.DataCentre), v.Address)
	if v.State != "" {
		out = out.WithState(filbertford.VMState(v.State))
	}
	return out.WithRack(v.Rack).WithCapacity(v.Slots, v.Conns).WithServices(v.Services...)
}

// lostReplyWriter is a ResponseWriter that discards the reply.
type lostReplyWriter struct {
	header http.Header
}

func (w *lostReplyWriter) Header() http.Header { return w.header }

func (w *lostReplyWriter) Write(b []byte) (int, error) { return len(b), nil }

func (w *lostReplyWriter) WriteHeader(int) {}
