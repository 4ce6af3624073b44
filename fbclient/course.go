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
	// actionRemint sends the job under a new ID.
	actionRemint action = "remint"
)

// step is an action with the wait before it, and the answer that stands if the
// action is finish or can't be taken.
type step struct {
	action action
	wait   time.Duration
	answer filbertford.Answer
	// refused marks a retry of a job that was refused, which the client's
	// retry budget pays for.
	refused bool
}

// course decides what follows from each delivery of one job. It has no input or
// output of its own. The zero course has sent nothing.
type course struct {
	// fixed keeps the ID that the caller chose: no other is minted.
	fixed bool
	// sent counts the deliveries under the present ID that may have arrived.
	sent int
	// open is set while a delivery under the present ID has had no valid answer.
	open bool
}

// deliver notes that the job is about to be sent.
func (c *course) deliver() { c.sent++ }

// notSent takes back a delivery that surely did not leave. A job of which
// nothing was sent takes a new ID, from the token of the next endpoint.
func (c *course) notSent() step {
	c.sent--
	if c.sent == 0 && !c.fixed {
		return step{action: actionRemint}
	}
	if !c.open {
		return step{action: actionResend}
	}
	return step{action: actionResend, answer: outcomeUnknown("no daemon could be reached for a resubmission")}
}

// lost follows a delivery that may have arrived and got no valid answer. The
// outcome is open until the owner is heard under the same ID.
func (c *course) lost() step {
	c.open = true
	return step{action: actionResend, answer: outcomeUnknown("no valid answer came back")}
}

// answered follows a valid answer.
func (c *course) answered(a filbertford.Answer) step {
	switch a.Code().Class() {
	case filbertford.ClassNotRun:
		return c.refusedAll(a)
	case filbertford.ClassNotStarted:
		return c.startedNothing(a)
	default:
		return step{action: actionFinish, answer: a}
	}
}

// refusedAll follows the word that no task of the submission ran or will run.
func (c *course) refusedAll(a filbertford.Answer) step {
	if a.RetryAfter() <= 0 || c.fixed {
		return step{action: actionFinish, answer: a}
	}
	c.sent = 0
	return step{action: actionRemint, wait: a.RetryAfter(), answer: a, refused: true}
}

// startedNothing follows the word that this delivery started nothing, which
// settles the job only if there was no other delivery.
func (c *course) startedNothing(a filbertford.Answer) step {
	retry := mayPass(a)
	if c.fixed && !c.open {
		return c.startedNothingFixed(a)
	}
	if c.sent == 1 {
		if !retry {
			return step{action: actionFinish, answer: a}
		}
		c.sent = 0
		return step{action: actionRemint, wait: a.RetryAfter(), answer: a, refused: true}
	}
	unknown := outcomeUnknown("a resubmission was answered " + string(a.Code()) + ", " + a.Code().Text())
	if !retry || a.Code() == filbertford.CodeOwnerGone {
		return step{action: actionFinish, answer: unknown}
	}
	return step{action: actionResend, wait: a.RetryAfter(), answer: unknown, refused: true}
}

// startedNothingFixed follows the word that this delivery started nothing, as
// all before it, under an ID that the caller chose.
func (c *course) startedNothingFixed(a filbertford.Answer) step {
	if a.RetryAfter() <= 0 || a.Code() == filbertford.CodeOwnerGone {
		return step{action: actionFinish, answer: a}
	}
	return step{action: actionResend, wait: a.RetryAfter(), answer: a, refused: true}
}

// mayPass reports whether the reason why a delivery started nothing can pass,
// or does not hold for an ID from another token.
func mayPass(a filbertford.Answer) bool {
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
