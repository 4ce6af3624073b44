package fbclient

import (
	"bytes"
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/url"
	"time"

	"github.com/rotisserie/eris"

	"github.com/filbertford/filbertford"
	"github.com/filbertford/filbertford/fbevent"
)

// Submit sends a job and returns its answer. The error is nil for any answer
// from a daemon, including a refusal. Submit resubmits the job, after the wait
// that the refusal states, until the context ends or the attempts or the
// retry budget are used up.
//
// ErrNotSent means that the job did not run, ErrOutcomeUnknown that it may have
// run.
func (c *Client) Submit(ctx context.Context, j filbertford.Job) (filbertford.Answer, error) {
	a, _, err := c.SubmitTraced(ctx, j)
	return a, err
}

// SubmitTraced is like Submit and also returns a Trace of the deliveries.
func (c *Client) SubmitTraced(ctx context.Context, j filbertford.Job) (filbertford.Answer, Trace, error) {
	body, err := encodeJob(j)
	if err != nil {
		return filbertford.Answer{}, Trace{}, err
	}
	c.retryBudget.deposit()
	s := c.newSubmission(body, j)
	a, err := s.run(ctx)
	return a, s.trace, err
}

// SubmitAs sends a job only under the given ID, such as an opaque key or the ID
// of an earlier submission. A refusal of the whole submission is returned
// without a retry, since a daemon doesn't run a refused ID later.
func (c *Client) SubmitAs(ctx context.Context, id filbertford.SubmissionID, j filbertford.Job) (filbertford.Answer, Trace, error) {
	body, err := encodeJob(j)
	if err != nil {
		return filbertford.Answer{}, Trace{}, err
	}
	c.retryBudget.deposit()
	s := c.newSubmission(body, j)
	s.id, s.retryState = id, retryState{fixedID: true}
	a, err := s.run(ctx)
	return a, s.trace, err
}

// Status returns the status of a submission as its owner reports it.
func (c *Client) Status(ctx context.Context, id filbertford.SubmissionID) (filbertford.SubmissionStatus, error) {
	body, err := c.requestAny(ctx, http.MethodGet, id)
	if err != nil {
		return filbertford.SubmissionStatus{}, err
	}
	return decodeStatus(body, id.String())
}

// Cancel cancels a submission and returns the owner's answer.
func (c *Client) Cancel(ctx context.Context, id filbertford.SubmissionID) (filbertford.Answer, error) {
	body, err := c.requestAny(ctx, http.MethodDelete, id)
	if err != nil {
		return filbertford.Answer{}, err
	}
	return decodeAnswer(body, id.String(), anyTaskCount)
}

// requestAny sends a request about a submission to one endpoint after the other
// until one replies. It returns the last error if none does.
func (c *Client) requestAny(ctx context.Context, method string, id filbertford.SubmissionID) ([]byte, error) {
	var lastErr error
	for range c.endpoints {
		body, err := c.requestFrom(ctx, method, c.pickEndpoint(), id)
		if err == nil {
			return body, nil
		}
		lastErr = err
	}
	return nil, lastErr
}

func (c *Client) requestFrom(ctx context.Context, method string, e *endpoint, id filbertford.SubmissionID) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	resp, err := c.doWithoutBody(ctx, method, e, "/v1/jobs/"+url.PathEscape(id.String()))
	if err != nil {
		return nil, err
	}
	defer closeBody(resp)
	body, err := c.readBody(resp.Body)
	if err != nil {
		return nil, err
	}
	c.cacheToken(e, resp.Header.Get(headerToken), time.Now())
	return body, nil
}

// submission sends one job and does the I/O for its retryState.
type submission struct {
	client        *Client
	body          []byte
	tasks         int
	answerTimeout time.Duration
	retryState    retryState
	id            filbertford.SubmissionID
	trace         Trace
	err           error
}

func (c *Client) newSubmission(body []byte, j filbertford.Job) *submission {
	s := &submission{client: c, body: body, tasks: len(j.Tasks())}
	if j.Timeout() > 0 {
		s.answerTimeout = j.Timeout() + c.timeoutMargin
	}
	return s
}

// run sends the job until the retry state's action is actionFinish, the attempts
// or the retry budget are used up, or the context ends.
func (s *submission) run(ctx context.Context) (filbertford.Answer, error) {
	next := decision{action: actionNewID}
	if s.retryState.fixedID {
		next.action = actionResend
	}
	backoff := s.client.backoff
	for attempt := range s.client.attempts {
		if attempt > 0 {
			if next.spendsBudget && !s.client.retryBudget.withdraw() {
				break
			}
			pause := next.wait + jitter(backoff)
			if !sleep(ctx, pause) {
				break
			}
			backoff = min(2*backoff, maxBackoff)
		}
		if next = s.attempt(ctx, next.action); next.action == actionFinish {
			return next.answer, nil
		}
	}
	return s.giveUp(ctx, next.answer)
}

// giveUp returns the answer and error for a job that is not sent again.
func (s *submission) giveUp(ctx context.Context, last filbertford.Answer) (filbertford.Answer, error) {
	cause := s.err
	if ctx.Err() != nil {
		cause = ctx.Err()
	}
	switch last.Code() {
	case "":
		return filbertford.Answer{}, errors.Join(ErrNotSent, cause)
	case filbertford.CodeOutcomeUnknown:
		return last, errors.Join(ErrOutcomeUnknown, cause)
	default:
		return last, nil
	}
}

// attempt sends the job once and returns what to do next.
func (s *submission) attempt(ctx context.Context, nextAction action) decision {
	e := s.client.pickEndpoint()
	if nextAction == actionNewID {
		id, err := s.client.mintID(ctx, e)
		if err != nil {
			s.err = err
			return decision{action: actionNewID}
		}
		s.id = id
		if owner := s.client.endpointFor(e, id.Token()); !owner.inBackoff(time.Now()) {
			e = owner
		}
	}
	s.retryState.countDelivery()
	a, sent, err := s.deliver(ctx, e)
	if !sent {
		s.err = err
		return s.retryState.handleNotSent()
	}
	s.updateTrace()
	if err != nil {
		s.err = err
		s.log(fbevent.DeliveryUnanswered, "id", s.id, "endpoint", e.base, "error", err)
		return s.retryState.handleNoAnswer()
	}
	if invalidatesToken(a.Code()) {
		e.dropToken(s.id.Token())
	}
	next := s.retryState.handleAnswer(a)
	if next.action != actionFinish {
		s.log(fbevent.DeliveryRejected, "id", s.id, "endpoint", e.base, "code", a.Code(), "retry_after", a.RetryAfter())
	}
	return next
}

// deliver sends the job once and waits for its answer for at most answerTimeout.
func (s *submission) deliver(ctx context.Context, e *endpoint) (filbertford.Answer, bool, error) {
	if s.answerTimeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, s.answerTimeout)
		defer cancel()
	}
	return s.client.deliver(ctx, e, s.id, s.body, s.tasks)
}

// updateTrace records a delivery that may have been sent.
func (s *submission) updateTrace() {
	s.trace.deliveries++
	if s.trace.id != s.id {
		s.trace.ids++
	}
	s.trace.id = s.id
}

func (s *submission) log(e fbevent.Event, keyvals ...any) {
	if s.client.logger != nil {
		e.Log(s.client.logger, keyvals...)
	}
}

// deliver sends the job once and returns its answer. It reports whether the
// request may have been sent.
func (c *Client) deliver(ctx context.Context, e *endpoint, id filbertford.SubmissionID, body []byte, tasks int) (filbertford.Answer, bool, error) {
	if err := ctx.Err(); err != nil {
		return filbertford.Answer{}, false, err
	}
	req, err := c.newJobRequest(ctx, e, id, body)
	if err != nil {
		return filbertford.Answer{}, false, err
	}
	resp, err := c.transport.RoundTrip(req)
	if err != nil {
		e.markFailed(time.Now())
		return filbertford.Answer{}, !isDialError(err), eris.Wrapf(err, "POST %s", e.base)
	}
	defer closeBody(resp)
	respBody, err := c.readBody(resp.Body)
	if err != nil {
		return filbertford.Answer{}, true, err
	}
	if got := resp.Header.Get(headerSubmission); got != "" && got != id.String() {
		return filbertford.Answer{}, true, eris.Wrapf(ErrBadAnswer, "answer is for submission %q, want %q", got, id)
	}
	a, err := decodeAnswer(respBody, id.String(), tasks)
	if err != nil {
		return filbertford.Answer{}, true, eris.Wrapf(err, "status %d from %s", resp.StatusCode, e.base)
	}
	c.cacheToken(e, resp.Header.Get(headerToken), time.Now())
	return a, true, nil
}

// newJobRequest returns the request that submits the job. Its GetBody is nil,
// so that http.Transport can't rewind the body. Otherwise the transport would
// resend the request by itself when a reused connection breaks, as it does for
// any request with an Idempotency-Key header.
func (c *Client) newJobRequest(ctx context.Context, e *endpoint, id filbertford.SubmissionID, body []byte) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, e.base+"/v1/jobs", io.NopCloser(bytes.NewReader(body)))
	if err != nil {
		return nil, eris.Wrap(err, "create request")
	}
	req.ContentLength = int64(len(body))
	req.GetBody = nil
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(headerID, id.String())
	c.authorize(req)
	return req, nil
}

// isDialError reports whether err means that no connection was opened, so that
// the request was not sent.
func isDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// invalidatesToken reports whether an answer with the code means that no more
// IDs should be minted from the token.
func invalidatesToken(code filbertford.Code) bool {
	switch code {
	case filbertford.CodeBadToken, filbertford.CodeFutureToken, filbertford.CodeTooOld,
		filbertford.CodeOwnerGone, filbertford.CodeOwnerUnreachable, filbertford.CodeOwnerStopping:
		return true
	default:
		return false
	}
}

// jitter returns a random duration from d/2 up to d.
func jitter(d time.Duration) time.Duration {
	if d <= 1 {
		return d
	}
	return d/2 + rand.N(d/2)
}

// sleep waits for d and reports whether d passed before the context ended. It
// returns false immediately if the context's deadline would expire first.
func sleep(ctx context.Context, d time.Duration) bool {
	if deadline, ok := ctx.Deadline(); ok && time.Until(deadline) <= d {
		return false
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
