package filbertford

// Class states what a result code means for the caller's submission.
type Class string

// The classes of result codes.
const (
	// ClassComplete means that every task ran and the answer holds all results.
	ClassComplete Class = "complete"
	// ClassFailed means that the job ran or may have run, and has failed.
	ClassFailed Class = "failed"
	// ClassNotRun means that no task of the submission ran or will run.
	ClassNotRun Class = "not-run"
	// ClassNotStarted means that this delivery started no task; an earlier
	// delivery of the same submission may have started some.
	ClassNotStarted Class = "delivery-started-nothing"
)

// Code is a numbered result code. Its first digit gives its class.
type Code string

// The result codes. docs/CODES.md explains each.
const (
	CodeComplete Code = "FB1000"

	CodeTaskFailed     Code = "FB2001"
	CodeDeadline       Code = "FB2002"
	CodeCancelled      Code = "FB2003"
	CodeOutcomeUnknown Code = "FB2004"
	CodeTooOld         Code = "FB2005"
	CodeAnswerDropped  Code = "FB2006"
	CodeUndecided      Code = "FB2007"

	CodeOverloaded         Code = "FB3001"
	CodeOverQuota          Code = "FB3002"
	CodeCannotRun          Code = "FB3003"
	CodeOwnerStopping      Code = "FB3004"
	CodeDeadlineInfeasible Code = "FB3005"

	CodeMalformed        Code = "FB4001"
	CodeUnknownService   Code = "FB4002"
	CodeTooLarge         Code = "FB4003"
	CodeBadToken         Code = "FB4004"
	CodeFutureToken      Code = "FB4005"
	CodeOwnerGone        Code = "FB4006"
	CodeOwnerUnreachable Code = "FB4007"
	CodeBusy             Code = "FB4008"
	CodeIDReused         Code = "FB4009"
	CodeUnauthorized     Code = "FB4010"
	CodeNotFound         Code = "FB4011"
	CodeNotReady         Code = "FB4012"
	CodeOwnerUnconfirmed Code = "FB4013"
)

// codeTexts holds the text that explains each code. Answers contain it.
var codeTexts = map[Code]string{
	CodeComplete:           "every task ran and the answer is whole",
	CodeTaskFailed:         "a task failed at its target",
	CodeDeadline:           "the deadline passed before the job was over",
	CodeCancelled:          "the job was cancelled",
	CodeOutcomeUnknown:     "a task may or may not have run; it will not be started again",
	CodeTooOld:             "the submission ID is older than the resubmission horizon; its outcome is unknown",
	CodeAnswerDropped:      "the job is over, but its answer is no longer kept",
	CodeUndecided:          "a former owner may have run the submission; its outcome is unknown",
	CodeOverloaded:         "the queue is full; no task was run",
	CodeOverQuota:          "the team is over its quota; no task was run",
	CodeCannotRun:          "no target can ever run this job; no task was run",
	CodeOwnerStopping:      "the owner was stopping; no task was run",
	CodeDeadlineInfeasible: "the deadline can't be met at the present load; no task was run",
	CodeMalformed:          "the request is malformed",
	CodeUnknownService:     "the settings know no such team, service or job kind",
	CodeTooLarge:           "the request exceeds a size limit",
	CodeBadToken:           "the submission ID carries a token that its owner did not issue",
	CodeFutureToken:        "the submission ID carries a token of an epoch that has not begun",
	CodeOwnerGone:          "the owner of the submission ID is gone",
	CodeOwnerUnreachable:   "the owner of the submission ID could not be reached",
	CodeBusy:               "the daemon can't remember another submission now",
	CodeIDReused:           "the submission ID was used before for another job",
	CodeUnauthorized:       "the caller's key is missing or not valid for this team",
	CodeNotFound:           "the submission is not known here",
	CodeNotReady:           "the daemon has no settings yet",
	CodeOwnerUnconfirmed:   "no daemon is sure at present that it owns this key",
}

// Codes returns all result codes with their texts.
func Codes() map[Code]string {
	out := make(map[Code]string, len(codeTexts))
	for c, text := range codeTexts {
		out[c] = text
	}
	return out
}

// Class returns the class of the code. It returns ClassFailed for an unknown
// code, since that class does not rule out that tasks ran.
func (c Code) Class() Class {
	if _, ok := codeTexts[c]; !ok {
		return ClassFailed
	}
	switch c[len("FB")] {
	case '1':
		return ClassComplete
	case '3':
		return ClassNotRun
	case '4':
		return ClassNotStarted
	default:
		return ClassFailed
	}
}

// Text returns the text that explains the code.
func (c Code) Text() string {
	if text, ok := codeTexts[c]; ok {
		return text
	}
	return "unknown result code " + string(c)
}
