package fbburn

import (
	"time"

	"github.com/filbertford/filbertford"
)

// Outcome is what an answer means for its service's objective.
type Outcome string

// The outcomes.
const (
	// OutcomeGood means that the job was answered complete in time.
	OutcomeGood Outcome = "good"
	// OutcomeBad means that a sound request was not answered complete in time.
	OutcomeBad Outcome = "bad"
	// OutcomeOverQuota means that the team asked for more than was agreed. The
	// answer is counted by itself, as neither good nor bad: were it bad, a team
	// could use up a service's budget by sending too much.
	OutcomeOverQuota Outcome = "over-quota"
	// OutcomeIgnored means that the answer tells nothing about the service: the
	// caller's own mistake or cancellation, or the answer to an ID whose job was
	// counted long ago.
	OutcomeIgnored Outcome = "ignored"
)

// outcomes holds the codes whose outcome does not depend on the time taken and
// is not bad.
var outcomes = map[filbertford.Code]Outcome{
	filbertford.CodeCancelled:      OutcomeIgnored,
	filbertford.CodeTooOld:         OutcomeIgnored,
	filbertford.CodeAnswerDropped:  OutcomeIgnored,
	filbertford.CodeMalformed:      OutcomeIgnored,
	filbertford.CodeUnknownService: OutcomeIgnored,
	filbertford.CodeTooLarge:       OutcomeIgnored,
	filbertford.CodeBadToken:       OutcomeIgnored,
	filbertford.CodeFutureToken:    OutcomeIgnored,
	filbertford.CodeIDReused:       OutcomeIgnored,
	filbertford.CodeUnauthorized:   OutcomeIgnored,
	filbertford.CodeNotFound:       OutcomeIgnored,
	filbertford.CodeOverQuota:      OutcomeOverQuota,
}

// Classify returns the outcome of an answer that took the given time, when jobs
// are to be answered within another. Codes that are not in the table of result
// codes are bad.
func Classify(code filbertford.Code, latency, maxLatency time.Duration) Outcome {
	if code == filbertford.CodeComplete {
		if latency <= maxLatency {
			return OutcomeGood
		}
		return OutcomeBad
	}
	if o, ok := outcomes[code]; ok {
		return o
	}
	return OutcomeBad
}

// ClassifyDisconnected returns the outcome of a delivery whose caller went away before the
// answer: a caller that did not wait as long as the objective allows says
// nothing about the service.
func ClassifyDisconnected(latency, maxLatency time.Duration) Outcome {
	if latency <= maxLatency {
		return OutcomeIgnored
	}
	return OutcomeBad
}
