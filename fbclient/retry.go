package fbclient

import (
	"time"

	"github.com/filbertford/filbertford"
)

// action is what a submission does next.
type action string

const (
	// actionFinish returns the answer to the caller.
	actionFinish action = "finish"
	// actionResend sends the job again under the same ID.
	actionResend action = "resend"
	// actionNewID sends the job under a new ID.
	actionNewID action = "remint"
)

// decision is an action with the wait before it, and the answer that stands if the
// action is finish or can't be taken.
type decision struct {
	action action
	wait   time.Duration
	answer filbertford.Answer
	// spendsBudget marks a retry of a job that was refused, which the client's
	// retry budget pays for.
	spendsBudget bool
}

// retryState decides what follows from each delivery of one job. It has no input or
// output of its own. The zero course has sent nothing.
type retryState struct {
	// fixedID keeps the ID that the caller chose: no other is minted.
	fixedID bool
	// deliveries counts the deliveries under the present ID that may have arrived.
	deliveries int
	// unanswered is set while a delivery under the present ID has had no valid answer.
	unanswered bool
}

// countDelivery notes that the job is about to be sent.
func (c *retryState) countDelivery() { c.deliveries++ }

// handleNotSent takes back a delivery that surely did not leave. A job of which
// nothing was sent takes a new ID, from the token of the next endpoint.
func (c *retryState) handleNotSent() decision {
	c.deliveries--
	if c.deliveries == 0 && !c.fixedID {
		return decision{action: actionNewID}
	}
	if !c.unanswered {
		return decision{action: actionResend}
	}
	return decision{action: actionResend, answer: outcomeUnknown("no daemon could be reached for a resubmission")}
}

// handleNoAnswer follows a delivery that may have arrived and got no valid answer. The
// outcome is open until the owner is heard under the same ID.
func (c *retryState) handleNoAnswer() decision {
	c.unanswered = true
	return decision{action: actionResend, answer: outcomeUnknown("no valid answer came back")}
}

// handleAnswer follows a valid answer.
func (c *retryState) handleAnswer(a filbertford.Answer) decision {
	switch a.Code().Class() {
	case filbertford.ClassNotRun:
		return c.handleNotRun(a)
	case filbertford.ClassNotStarted:
		return c.handleNotStarted(a)
	default:
		return decision{action: actionFinish, answer: a}
	}
}

// handleNotRun follows the word that no task of the submission ran or will run.
func (c *retryState) handleNotRun(a filbertford.Answer) decision {
	if a.RetryAfter() <= 0 || c.fixedID {
		return decision{action: actionFinish, answer: a}
	}
	c.deliveries = 0
	return decision{action: actionNewID, wait: a.RetryAfter(), answer: a, spendsBudget: true}
}

// handleNotStarted follows the word that this delivery started nothing, which
// settles the job only if there was no other delivery.
func (c *retryState) handleNotStarted(a filbertford.Answer) decision {
	retry := isRetryable(a)
	if c.fixedID && !c.unanswered {
		return c.handleNotStartedFixedID(a)
	}
	if c.deliveries == 1 {
		if !retry {
			return decision{action: actionFinish, answer: a}
		}
		c.deliveries = 0
		return decision{action: actionNewID, wait: a.RetryAfter(), answer: a, spendsBudget: true}
	}
	unknown := outcomeUnknown("a resubmission was answered " + string(a.Code()) + ", " + a.Code().Text())
	if !retry || a.Code() == filbertford.CodeOwnerGone {
		return decision{action: actionFinish, answer: unknown}
	}
	return decision{action: actionResend, wait: a.RetryAfter(), answer: unknown, spendsBudget: true}
}

// handleNotStartedFixedID follows the word that this delivery started nothing, as
// all before it, under an ID that the caller chose.
func (c *retryState) handleNotStartedFixedID(a filbertford.Answer) decision {
	if a.RetryAfter() <= 0 || a.Code() == filbertford.CodeOwnerGone {
		return decision{action: actionFinish, answer: a}
	}
	return decision{action: actionResend, wait: a.RetryAfter(), answer: a, spendsBudget: true}
}

// isRetryable reports whether the reason why a delivery started nothing can pass,
// or does not hold for an ID from another token.
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
