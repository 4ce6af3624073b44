package fbclient

import (
	"time"

	"github.com/filbertford/filbertford"
)

// action is the next action of a submission.
type action string

const (
	// actionFinish returns the answer to the caller of the client.
	actionFinish action = "finish"
	// actionResend sends the job again under the same ID.
	actionResend action = "resend"
	// actionNewID sends the job under a new ID.
	actionNewID action = "remint"
)

// decision is the next action of a submission and the wait before it. The answer
// is returned to the caller if the action is actionFinish, or if there is no
// further attempt.
type decision struct {
	action action
	wait   time.Duration
	answer filbertford.Answer
	// spendsBudget is set if the action retries a refused job, which takes one
	// retry from the client's retry budget.
	spendsBudget bool
}

// retryState decides what to do after each delivery of one job. It does no I/O.
// The zero value is the state before the first delivery.
type retryState struct {
	// fixedID is set if the caller chose the ID, so that no other is minted.
	fixedID bool
	// deliveries is the number of deliveries under the current ID that a daemon
	// may have received.
	deliveries int
	// unanswered is set if a delivery under the current ID got no valid answer.
	unanswered bool
}

// countDelivery counts a delivery. It must be called before the job is sent.
func (s *retryState) countDelivery() { s.deliveries++ }

// handleNotSent removes a delivery that was certainly not sent from the count. If
// no other delivery under the ID was sent, the job gets a new ID from the token of
// the next endpoint, unless the ID is fixed.
func (s *retryState) handleNotSent() decision {
	s.deliveries--
	if s.deliveries == 0 && !s.fixedID {
		return decision{action: actionNewID}
	}
	if !s.unanswered {
		return decision{action: actionResend}
	}
	return decision{action: actionResend, answer: outcomeUnknown("no daemon could be reached for a resubmission")}
}

// handleNoAnswer handles a delivery that a daemon may have received and that got
// no valid answer. The outcome is unknown until the owner answers under the same
// ID.
func (s *retryState) handleNoAnswer() decision {
	s.unanswered = true
	return decision{action: actionResend, answer: outcomeUnknown("no valid answer came back")}
}

// handleAnswer handles a valid answer.
func (s *retryState) handleAnswer(a filbertford.Answer) decision {
	switch a.Code().Class() {
	case filbertford.ClassNotRun:
		return s.handleNotRun(a)
	case filbertford.ClassNotStarted:
		return s.handleNotStarted(a)
	default:
		return decision{action: actionFinish, answer: a}
	}
}

// handleNotRun handles the answer that no task of the submission ran or will run.
func (s *retryState) handleNotRun(a filbertford.Answer) decision {
	if a.RetryAfter() <= 0 || s.fixedID {
		return decision{action: actionFinish, answer: a}
	}
	s.deliveries = 0
	return decision{action: actionNewID, wait: a.RetryAfter(), answer: a, spendsBudget: true}
}

// handleNotStarted handles the answer that this delivery started no task. It
// means that the job did not run only if there was no other delivery.
func (s *retryState) handleNotStarted(a filbertford.Answer) decision {
	retry := isRetryable(a)
	if s.fixedID && !s.unanswered {
		return s.handleNotStartedFixedID(a)
	}
	if s.deliveries == 1 {
		if !retry {
			return decision{action: actionFinish, answer: a}
		}
		s.deliveries = 0
		return decision{action: actionNewID, wait: a.RetryAfter(), answer: a, spendsBudget: true}
	}
	unknown := outcomeUnknown("a resubmission was answered " + string(a.Code()) + ", " + a.Code().Text())
	if !retry || a.Code() == filbertford.CodeOwnerGone {
		return decision{action: actionFinish, answer: unknown}
	}
	return decision{action: actionResend, wait: a.RetryAfter(), answer: unknown, spendsBudget: true}
}

// handleNotStartedFixedID handles the answer that this delivery started no task,
// under an ID that the caller chose. All earlier deliveries under the ID were
// answered and started no task either.
func (s *retryState) handleNotStartedFixedID(a filbertford.Answer) decision {
	if a.RetryAfter() <= 0 || a.Code() == filbertford.CodeOwnerGone {
		return decision{action: actionFinish, answer: a}
	}
	return decision{action: actionResend, wait: a.RetryAfter(), answer: a, spendsBudget: true}
}

// isRetryable reports whether the reason why a delivery started no task is
// temporary or does not apply to an ID from another token.
func isRetryable(a filbertford.Answer) bool {
	switch a.Code() {
	case filbertford.CodeBadToken, filbertford.CodeFutureToken,
		filbertford.CodeOwnerGone, filbertford.CodeOwnerUnreachable:
		return true
	default:
		return a.RetryAfter() > 0
	}
}

func outcomeUnknown(detail string) filbertford.Answer {
	return filbertford.NewRefusal(filbertford.CodeOutcomeUnknown, detail)
}
