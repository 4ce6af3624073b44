package fbburn

import (
	"time"

	"github.com/filbertford/filbertford"
)

// Outcome states how an answer counts against the objective of its service.
type Outcome string

// Outcomes of answers.
const (
	// OutcomeGood means that the job was answered complete in time.
	OutcomeGood Outcome = "good"
	// OutcomeBad means that a valid request was not answered complete in time.
	OutcomeBad Outcome = "bad"
	// OutcomeOverQuota means that the request was refused because the team was
	// over its quota. It is counted separately, as neither good nor bad: if it
	// were bad, a team could use up a service's budget by sending too many
	// requests.
	OutcomeOverQuota Outcome = "over-quota"
	// OutcomeIgnored means that the answer says nothing about the service: the
	// caller made a mistake or cancelled the job, or the ID is that of an old job,
	// which was counted when it was answered.
	OutcomeIgnored Outcome = "ignored"
)

// outcomes maps the codes whose outcome is not bad to their outcome, except
// CodeComplete, whose outcome depends on the latency.
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

// Classify returns the outcome of an answer that came after latency, under an
// objective with the given maximum latency. Unknown codes are bad.
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

// ClassifyDisconnected returns the outcome of a delivery whose caller
// disconnected after latency, before the answer. A caller that waited no longer
// than maxLatency says nothing about the service.
func ClassifyDisconnected(latency, maxLatency time.Duration) Outcome {
	if latency <= maxLatency {
		return OutcomeIgnored
	}
	return OutcomeBad
}
