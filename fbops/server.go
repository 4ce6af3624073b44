package fbops

import (
	"context"
	"crypto/subtle"
	"net/http"
	"strings"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/filbertford/filbertford/fbburn"
	"github.com/filbertford/filbertford/fbdaemon"
	"github.com/filbertford/filbertford/fbmetrics"
)

// Daemon is the daemon whose state is served.
type Daemon interface {
	// Report returns a snapshot of the daemon's state.
	Report(ctx context.Context) (fbdaemon.Report, error)
	// Ready reports whether the daemon accepts jobs.
	Ready() bool
	// Burn returns the counts of the answers that the daemon gave to its
	// callers, with the counts by time bucket if withSeries is set.
	Burn(withSeries bool) fbburn.Snapshot
}

// readTimeout is the time that an operator's client has to send a request.
const readTimeout = 10 * time.Second

// NewServer returns the HTTP server for operators, without a listener. Requests
// must carry the key unless it is empty.
func NewServer(d Daemon, reporter *fbmetrics.Reporter, key string) (*http.Server, *echo.Echo) {
	h := handler{daemon: d, metrics: reporter}
	e := echo.New()
	e.HideBanner = true
	e.Use(requireKey(key))
	e.GET("/metrics", h.metricsText)
	e.GET("/metrics.json", h.metricsJSON)
	e.GET("/v1/settings", h.settings)
	e.GET("/v1/vms", h.vms)
	e.GET("/v1/targets", h.targets)
	e.GET("/v1/burn", h.burn)
	e.GET("/burn", h.burnPage)
	return &http.Server{Handler: e, ReadTimeout: readTimeout}, e
}

// requireKey refuses requests without the key.
func requireKey(key string) echo.MiddlewareFunc {
	return func(next echo.HandlerFunc) echo.HandlerFunc {
		return func(c echo.Context) error {
			got, _ := strings.CutPrefix(c.Request().Header.Get(echo.HeaderAuthorization), "Bearer ")
			if key != "" && subtle.ConstantTimeCompare([]byte(got), []byte(key)) != 1 {
				return echo.NewHTTPError(http.StatusUnauthorized, "the operator key is missing or wrong")
			}
			return next(c)
		}
	}
}

// handler handles the requests of operators.
type handler struct {
	daemon  Daemon
	metrics *fbmetrics.Reporter
}

func (h handler) metricsText(c echo.Context) error {
	c.Response().Header().Set(echo.HeaderContentType, "text/plain; version=0.0.4")
	return h.metrics.WriteText(c.Response())
}

func (h handler) metricsJSON(c echo.Context) error { return c.JSON(http.StatusOK, h.metrics.Values()) }

// settingsReply is the body of the reply about the daemon's settings.
type settingsReply struct {
	VM                string `json:"vm"`
	DataCentre        string `json:"data_centre"`
	Version           uint64 `json:"version"`
	Newest            uint64 `json:"newest"`
	Reason            string `json:"reason,omitempty"`
	Ready             bool   `json:"ready"`
	PlatformReachable bool   `json:"platform_up"`
}

func (h handler) settings(c echo.Context) error {
	r, err := h.daemon.Report(c.Request().Context())
	if err != nil {
		return err
	}
	return c.JSON(http.StatusOK, settingsReply{
		VM:                string(r.VM()),
		DataCentre:        string(r.DataCentre()),
		Version:           r.Settings().Version(),
		Newest:            r.Settings().Newest(),
		Reason:            r.Settings().Reason(),
		Ready:             h.daemon.Ready(),
		PlatformReachable: r.PlatformReachable(),
	})
}

// vmReply is this daemon's view of another daemon.
type vmReply struct {
	VM          string `json:"vm"`
	DataCentre  string `json:"data_centre"`
	Address     string `json:"address"`
	Incarnation string `json:"incarnation"`
	State       string `json:"state"`
	Settings    uint64 `json:"settings"`
	Waiting     int    `json:"waiting"`
	Running     int    `json:"running"`
	SilentMS    int64  `json:"silent_ms"`
}

func (h handler) vms(c echo.Context) error {
	r, err := h.daemon.Report(c.Request().Context())
	if err != nil {
		return err
	}
	out := make([]vmReply, 0, len(r.Members()))
	for _, m := range r.Members() {
		s := m.State()
		out = append(out, vmReply{
			VM:          string(s.VM()),
			DataCentre:  string(s.DataCentre()),
			Address:     m.Address(),
			Incarnation: s.Incarnation().String(),
			State:       string(m.Condition(r.Now())),
			Settings:    s.SettingsVersion(),
			Waiting:     s.Load().Waiting(),
			Running:     s.Load().Running(),
			SilentMS:    m.HeartbeatAge(r.Now()).Milliseconds(),
		})
	}
	return c.JSON(http.StatusOK, out)
}

// targetReply is this daemon's view of a target.
type targetReply struct {
	Target   string `json:"target"`
	Address  string `json:"address"`
	State    string `json:"state"`
	Slots    int    `json:"slots"`
	OwnTasks int    `json:"mine"`
	Free     int    `json:"free"`
}

func (h handler) targets(c echo.Context) error {
	r, err := h.daemon.Report(c.Request().Context())
	if err != nil {
		return err
	}
	out := make([]targetReply, 0, len(r.Targets()))
	for _, t := range r.Targets() {
		out = append(out, targetReply{
			Target:   string(t.VM().ID()),
			Address:  t.VM().Address(),
			State:    string(t.State()),
			Slots:    t.VM().Slots(),
			OwnTasks: t.OwnTasks(),
			Free:     t.Free(),
		})
	}
	return c.JSON(http.StatusOK, out)
}
