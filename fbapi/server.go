package fbapi

import (
	"context"
	"crypto/rand"
	"errors"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/charmbracelet/log"
	"github.com/labstack/echo/v4"
	"github.com/labstack/echo/v4/middleware"

	"github.com/filbertford/filbertford"
	"github.com/filbertford/filbertford/fbevent"
)

// Headers of the interface.
const (
	// HeaderID carries the submission ID of a request.
	HeaderID = "Idempotency-Key"
	// HeaderSubmission carries the submission ID of an answer.
	HeaderSubmission = "Filbertford-Submission"
	// HeaderToken carries a live owner token.
	HeaderToken = "Filbertford-Token"
)

// Dispatcher is the daemon behind the interface.
type Dispatcher interface {
	// Submit answers a delivery.
	Submit(ctx context.Context, d filbertford.Delivery) filbertford.Answer
	// Cancel cancels a submission of the team, any if empty.
	Cancel(ctx context.Context, id filbertford.SubmissionID, team string) filbertford.Answer
	// Status tells what is known of a submission of the team, any if empty.
	Status(ctx context.Context, id filbertford.SubmissionID, team string) filbertford.SubmissionStatus
	// Token returns the owner token to mint IDs from, empty if there is none.
	Token() string
	// Ready reports whether the daemon takes jobs.
	Ready() bool
	// Authenticate reports whether the key is good for the team.
	Authenticate(team, key string) bool
	// TeamOf returns the team of a key. An empty team stands for all; it is
	// returned if no team demands keys.
	TeamOf(key string) (string, bool)
}

// Limits bound what a caller may send.
type Limits struct {
	// MaxBody is the size of the largest body in bytes.
	MaxBody int
	// MaxHeader is the size of the largest headers in bytes.
	MaxHeader int
	// ReadTimeout is the time that a caller has to send a request.
	ReadTimeout time.Duration
	// IdleTimeout is the time after which an unused connection is closed.
	IdleTimeout time.Duration
}

// NewServer returns the HTTP server for callers, without a listener.
func NewServer(d Dispatcher, lim Limits, l *log.Logger) *http.Server {
	h := &handler{d: d, maxBody: lim.MaxBody}
	e := echo.New()
	e.HideBanner = true
	e.HTTPErrorHandler = h.fail
	e.Use(middleware.RecoverWithConfig(middleware.RecoverConfig{
		DisableStackAll: true,
		LogErrorFunc: func(_ echo.Context, err error, stack []byte) error {
			fbevent.RequestPanicked.Log(l, "error", err, "stack", string(stack))
			return err
		},
	}))
	e.POST("/v1/jobs", h.submit)
	e.GET("/v1/jobs/:id", h.status)
	e.DELETE("/v1/jobs/:id", h.cancel)
	e.GET("/v1/token", h.token)
	e.GET("/healthz", h.health)
	e.GET("/readyz", h.ready)
	return &http.Server{
		Handler:        e,
		ReadTimeout:    lim.ReadTimeout,
		IdleTimeout:    lim.IdleTimeout,
		MaxHeaderBytes: lim.MaxHeader,
	}
}

// handler answers the requests of callers.
type handler struct {
	d       Dispatcher
	maxBody int
}

func (h *handler) submit(c echo.Context) error {
	body, err := h.read(c)
	if err != nil {
		return err
	}
	job, err := decodeJob(body)
	if err != nil {
		return err
	}
	if !h.d.Authenticate(job.Team(), bearer(c)) {
		return requestError{filbertford.CodeUnauthorized, ""}
	}
	id, err := h.idOf(c)
	if err != nil {
		return err
	}
	a := h.d.Submit(c.Request().Context(), filbertford.NewDelivery(id, job))
	return h.answer(c, id.String(), a)
}

// read returns the body of a request, which is refused if it is too large.
func (h *handler) read(c echo.Context) ([]byte, error) {
	body := http.MaxBytesReader(c.Response(), c.Request().Body, int64(h.maxBody))
	data, err := readAll(body, c.Request().ContentLength)
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return nil, requestError{filbertford.CodeTooLarge, "the body is larger than " + strconv.Itoa(h.maxBody) + " bytes"}
	case err != nil:
		return nil, malformed("the body could not be read")
	}
	return data, nil
}

// idOf returns the ID of a submission, minted here if the caller sent none.
func (h *handler) idOf(c echo.Context) (filbertford.SubmissionID, error) {
	text := c.Request().Header.Get(HeaderID)
	if text == "" {
		token, err := filbertford.ParseToken(h.d.Token())
		if err != nil {
			return filbertford.SubmissionID{}, requestError{filbertford.CodeNotReady, "the daemon issues no token"}
		}
		return filbertford.MintID(token, rand.Text())
	}
	return parseID(text)
}

func parseID(text string) (filbertford.SubmissionID, error) {
	id, err := filbertford.ParseID(text)
	if err != nil {
		return id, malformed("the submission ID is not valid: %v", err)
	}
	return id, nil
}

func (h *handler) status(c echo.Context) error {
	id, team, err := h.known(c)
	if err != nil {
		return err
	}
	s := h.d.Status(c.Request().Context(), id, team)
	out := jobStatus{ID: id.String(), State: string(s.State())}
	if code := s.Answer().Code(); code != "" {
		a := encodeAnswer("", s.Answer())
		out.Answer = &a
	}
	return c.JSON(http.StatusOK, out)
}

func (h *handler) cancel(c echo.Context) error {
	id, team, err := h.known(c)
	if err != nil {
		return err
	}
	return h.answer(c, id.String(), h.d.Cancel(c.Request().Context(), id, team))
}

// known reads the ID of a request about a submission and the team that asks.
func (h *handler) known(c echo.Context) (filbertford.SubmissionID, string, error) {
	team, ok := h.d.TeamOf(bearer(c))
	if !ok {
		return filbertford.SubmissionID{}, "", requestError{filbertford.CodeUnauthorized, ""}
	}
	id, err := parseID(c.Param("id"))
	return id, team, err
}

func (h *handler) token(c echo.Context) error {
	text := h.d.Token()
	if text == "" {
		return requestError{filbertford.CodeNotReady, "the daemon issues no token"}
	}
	return c.JSON(http.StatusOK, tokenReply{Token: text})
}

func (h *handler) health(c echo.Context) error { return c.String(http.StatusOK, "ok\n") }

func (h *handler) ready(c echo.Context) error {
	if !h.d.Ready() {
		return c.String(http.StatusServiceUnavailable, "not ready\n")
	}
	return c.String(http.StatusOK, "ready\n")
}

// answer writes an answer with the status of its code.
func (h *handler) answer(c echo.Context, id string, a filbertford.Answer) error {
	header := c.Response().Header()
	if text := h.d.Token(); text != "" {
		header.Set(HeaderToken, text)
	}
	if id != "" {
		header.Set(HeaderSubmission, id)
	}
	if retry := a.RetryAfter(); retry > 0 {
		header.Set(echo.HeaderRetryAfter, strconv.FormatInt(roundUp(retry, time.Second), 10))
	}
	return c.JSON(statusOf(a), encodeAnswer(id, a))
}

// fail writes the answer to a request that was not taken.
func (h *handler) fail(err error, c echo.Context) {
	if c.Response().Committed {
		return
	}
	var refused requestError
	var httpErr *echo.HTTPError
	a := filbertford.NewRefusal(filbertford.CodeOutcomeUnknown, "the daemon failed")
	switch {
	case errors.As(err, &refused):
		a = filbertford.NewRefusal(refused.code, refused.detail)
	case errors.As(err, &httpErr) && httpErr.Code == http.StatusNotFound:
		a = filbertford.NewRefusal(filbertford.CodeNotFound, "no such path")
	case errors.As(err, &httpErr) && httpErr.Code < http.StatusInternalServerError:
		a = filbertford.NewRefusal(filbertford.CodeMalformed, http.StatusText(httpErr.Code))
	}
	_ = h.answer(c, saidID(c), a)
}

// saidID returns the submission ID that a request named, empty if it named none
// or one that is not well formed.
func saidID(c echo.Context) string {
	text := c.Request().Header.Get(HeaderID)
	if text == "" {
		text = c.Param("id")
	}
	if _, err := filbertford.ParseID(text); err != nil {
		return ""
	}
	return text
}

// bearer returns the caller's key.
func bearer(c echo.Context) string {
	key, _ := strings.CutPrefix(c.Request().Header.Get(echo.HeaderAuthorization), "Bearer ")
	return key
}

// statusOf returns the HTTP status that goes with an answer.
func statusOf(a filbertford.Answer) int {
	if status, ok := statuses[a.Code()]; ok {
		return status
	}
	switch a.Code().Class() {
	case filbertford.ClassComplete:
		return http.StatusOK
	case filbertford.ClassNotRun:
		return http.StatusServiceUnavailable
	case filbertford.ClassNotStarted:
		return http.StatusServiceUnavailable
	default:
		return http.StatusBadGateway
	}
}

// statuses lists the codes whose status differs from that of their class.
var statuses = map[filbertford.Code]int{
	filbertford.CodeDeadline:       http.StatusGatewayTimeout,
	filbertford.CodeCancelled:      http.StatusConflict,
	filbertford.CodeOverQuota:      http.StatusTooManyRequests,
	filbertford.CodeCannotRun:      http.StatusUnprocessableEntity,
	filbertford.CodeMalformed:      http.StatusBadRequest,
	filbertford.CodeUnknownService: http.StatusNotFound,
	filbertford.CodeTooLarge:       http.StatusRequestEntityTooLarge,
	filbertford.CodeBadToken:       http.StatusBadRequest,
	filbertford.CodeFutureToken:    http.StatusBadRequest,
	filbertford.CodeIDReused:       http.StatusConflict,
	filbertford.CodeUnauthorized:   http.StatusUnauthorized,
	filbertford.CodeNotFound:       http.StatusNotFound,
}
