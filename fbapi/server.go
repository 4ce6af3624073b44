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
	"github.com/filbertford/filbertford/fblimit"
)

// Headers of the interface.
const (
	// HeaderID carries the submission ID of a request.
	HeaderID = "Idempotency-Key"
	// HeaderSubmission carries the submission ID of an answer.
	HeaderSubmission = "Filbertford-Submission"
	// HeaderToken carries an owner token to mint new IDs from.
	HeaderToken = "Filbertford-Token"
)

// Dispatcher is the daemon behind the interface.
type Dispatcher interface {
	// Submit answers a delivery.
	Submit(ctx context.Context, d filbertford.Delivery) filbertford.Answer
	// Cancel cancels a submission of the team. An empty team matches all.
	Cancel(ctx context.Context, id filbertford.SubmissionID, team string) filbertford.Answer
	// Status returns the status of a submission of the team. An empty team matches all.
	Status(ctx context.Context, id filbertford.SubmissionID, team string) filbertford.SubmissionStatus
	// Token returns the owner token to mint IDs from, empty if there is none.
	Token() string
	// Ready reports whether the daemon accepts jobs.
	Ready() bool
	// Authenticate reports whether the key is valid for the team.
	Authenticate(team, key string) bool
	// TeamOf returns the team of a key, or false if the key is not valid. An empty
	// team stands for all teams; it is returned if no team requires keys.
	TeamOf(key string) (string, bool)
}

// Limits limits the requests and connections of callers.
type Limits struct {
	// MaxBody is the maximum size of a request's body in bytes.
	MaxBody int
	// MaxHeader is the maximum size of a request's headers in bytes.
	MaxHeader int
	// ReadTimeout is the time that a caller has to send a request.
	ReadTimeout time.Duration
	// IdleTimeout is the time after which an idle connection is closed.
	IdleTimeout time.Duration
}

// NewServer returns the HTTP server for callers, without a listener.
func NewServer(d Dispatcher, limits Limits, logger *log.Logger) *http.Server {
	h := &handler{dispatcher: d, maxBody: limits.MaxBody}
	e := echo.New()
	e.HideBanner = true
	e.HTTPErrorHandler = h.handleError
	e.Use(middleware.RecoverWithConfig(middleware.RecoverConfig{
		DisableStackAll: true,
		LogErrorFunc: func(_ echo.Context, err error, stack []byte) error {
			fbevent.RequestPanicked.Log(logger, "error", err, "stack", string(stack))
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
		ReadTimeout:    limits.ReadTimeout,
		IdleTimeout:    limits.IdleTimeout,
		MaxHeaderBytes: limits.MaxHeader,
	}
}

// handler handles the requests of callers.
type handler struct {
	dispatcher Dispatcher
	maxBody    int
}

func (h *handler) submit(c echo.Context) error {
	body, err := h.readBody(c)
	if err != nil {
		return err
	}
	job, err := decodeJob(body)
	if err != nil {
		return err
	}
	if !h.dispatcher.Authenticate(job.Team(), bearerKey(c)) {
		return requestError{code: filbertford.CodeUnauthorized}
	}
	if err := fblimit.Hold(c.Request().Context(), job.MemoryBytes()); err != nil {
		return limitError(err)
	}
	id, err := h.submissionID(c)
	if err != nil {
		return err
	}
	a := h.dispatcher.Submit(c.Request().Context(), filbertford.NewDelivery(id, job))
	return h.writeAnswer(c, id.String(), a)
}

// readBody returns the body of a request. It fails if the body is larger than
// maxBody, or if callers hold too much memory for it.
func (h *handler) readBody(c echo.Context) ([]byte, error) {
	data, err := fblimit.ReadBody(c.Request(), h.maxBody)
	if err != nil {
		fblimit.Refuse(c.Response())
	}
	switch {
	case err == nil:
		return data, nil
	case errors.Is(err, fblimit.ErrBodyTooLarge):
		return nil, requestError{code: filbertford.CodeTooLarge, detail: "the body is larger than " + strconv.Itoa(h.maxBody) + " bytes"}
	case errors.Is(err, fblimit.ErrExhausted), errors.Is(err, fblimit.ErrTooLarge):
		return nil, limitError(err)
	case errors.Is(err, fblimit.ErrStalled):
		return nil, malformedError("%v", err)
	}
	return nil, malformedError("the body could not be read")
}

// limitError returns the refusal of a request that needs more memory than is left for callers.
func limitError(err error) error {
	if errors.Is(err, fblimit.ErrTooLarge) {
		return requestError{code: filbertford.CodeTooLarge, detail: err.Error()}
	}
	return requestError{code: filbertford.CodeBusy, detail: err.Error(), retryAfter: fblimit.RetryAfter()}
}

// submissionID returns the submission ID of a request, or a new one if the caller
// sent none.
func (h *handler) submissionID(c echo.Context) (filbertford.SubmissionID, error) {
	text := c.Request().Header.Get(HeaderID)
	if text == "" {
		token, err := filbertford.ParseToken(h.dispatcher.Token())
		if err != nil {
			return filbertford.SubmissionID{}, requestError{code: filbertford.CodeNotReady, detail: "the daemon issues no token"}
		}
		return filbertford.MintID(token, rand.Text())
	}
	return parseID(text)
}

func parseID(text string) (filbertford.SubmissionID, error) {
	id, err := filbertford.ParseID(text)
	if err != nil {
		return id, malformedError("the submission ID is not valid: %v", err)
	}
	return id, nil
}

func (h *handler) status(c echo.Context) error {
	id, team, err := h.requestedSubmission(c)
	if err != nil {
		return err
	}
	s := h.dispatcher.Status(c.Request().Context(), id, team)
	out := jobStatus{ID: id.String(), State: string(s.State())}
	if code := s.Answer().Code(); code != "" {
		a := encodeAnswer("", s.Answer())
		out.Answer = &a
	}
	return c.JSON(http.StatusOK, out)
}

func (h *handler) cancel(c echo.Context) error {
	id, team, err := h.requestedSubmission(c)
	if err != nil {
		return err
	}
	return h.writeAnswer(c, id.String(), h.dispatcher.Cancel(c.Request().Context(), id, team))
}

// requestedSubmission returns the submission ID in the path of a request and the
// team of the caller's key.
func (h *handler) requestedSubmission(c echo.Context) (filbertford.SubmissionID, string, error) {
	team, ok := h.dispatcher.TeamOf(bearerKey(c))
	if !ok {
		return filbertford.SubmissionID{}, "", requestError{code: filbertford.CodeUnauthorized}
	}
	id, err := parseID(c.Param("id"))
	return id, team, err
}

func (h *handler) token(c echo.Context) error {
	token := h.dispatcher.Token()
	if token == "" {
		return requestError{code: filbertford.CodeNotReady, detail: "the daemon issues no token"}
	}
	return c.JSON(http.StatusOK, tokenReply{Token: token})
}

func (h *handler) health(c echo.Context) error { return c.String(http.StatusOK, "ok\n") }

func (h *handler) ready(c echo.Context) error {
	if !h.dispatcher.Ready() {
		return c.String(http.StatusServiceUnavailable, "not ready\n")
	}
	return c.String(http.StatusOK, "ready\n")
}

// writeAnswer writes an answer with the HTTP status of its code.
func (h *handler) writeAnswer(c echo.Context, id string, a filbertford.Answer) error {
	header := c.Response().Header()
	if token := h.dispatcher.Token(); token != "" {
		header.Set(HeaderToken, token)
	}
	if id != "" {
		header.Set(HeaderSubmission, id)
	}
	if retryAfter := a.RetryAfter(); retryAfter > 0 {
		header.Set(echo.HeaderRetryAfter, strconv.FormatInt(roundUp(retryAfter, time.Second), 10))
	}
	return c.JSON(httpStatus(a), encodeAnswer(id, a))
}

// handleError writes the answer to a request whose handler returned an error.
func (h *handler) handleError(err error, c echo.Context) {
	if c.Response().Committed {
		return
	}
	var reqErr requestError
	var httpErr *echo.HTTPError
	a := filbertford.NewRefusal(filbertford.CodeOutcomeUnknown, "the daemon failed")
	switch {
	case errors.As(err, &reqErr):
		a = filbertford.NewRefusal(reqErr.code, reqErr.detail).WithRetryAfter(reqErr.retryAfter)
	case errors.As(err, &httpErr) && httpErr.Code == http.StatusNotFound:
		a = filbertford.NewRefusal(filbertford.CodeNotFound, "no such path")
	case errors.As(err, &httpErr) && httpErr.Code < http.StatusInternalServerError:
		a = filbertford.NewRefusal(filbertford.CodeMalformed, http.StatusText(httpErr.Code))
	}
	_ = h.writeAnswer(c, submissionIDText(c), a)
}

// submissionIDText returns the submission ID in a request's header or path. It is
// empty if there is none or it is malformed.
func submissionIDText(c echo.Context) string {
	text := c.Request().Header.Get(HeaderID)
	if text == "" {
		text = c.Param("id")
	}
	if _, err := filbertford.ParseID(text); err != nil {
		return ""
	}
	return text
}

// bearerKey returns the caller's key from the Authorization header.
func bearerKey(c echo.Context) string {
	key, _ := strings.CutPrefix(c.Request().Header.Get(echo.HeaderAuthorization), "Bearer ")
	return key
}

// httpStatus returns the HTTP status of an answer.
func httpStatus(a filbertford.Answer) int {
	if status, ok := httpStatuses[a.Code()]; ok {
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

// httpStatuses maps codes to their HTTP status where that differs from the status
// of their class.
var httpStatuses = map[filbertford.Code]int{
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
