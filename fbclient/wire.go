package fbclient

import (
	"bytes"
	"encoding/json"
	"math"
	"time"

	"github.com/rotisserie/eris"

	"github.com/filbertford/filbertford"
)

// Names of the HTTP headers that callers and daemons exchange.
const (
	headerID         = "Idempotency-Key"
	headerToken      = "Filbertford-Token"
	headerSubmission = "Filbertford-Submission"
)

// anyTaskCount as the number of tasks makes decodeAnswer accept any number of
// results.
const anyTaskCount = -1

type taskRequest struct {
	Args   json.RawMessage `json:"args,omitempty"`
	SizeMS int64           `json:"size_ms,omitempty"`
}

type jobRequest struct {
	Team       string        `json:"team"`
	Service    string        `json:"service"`
	Kind       string        `json:"kind,omitempty"`
	TimeoutMS  int64         `json:"timeout_ms,omitempty"`
	Idempotent bool          `json:"idempotent"`
	Tasks      []taskRequest `json:"tasks"`
}

type taskResult struct {
	Output json.RawMessage `json:"output"`
	Target string          `json:"target"`
}

type jobAnswer struct {
	ID           string       `json:"id"`
	Code         string       `json:"code"`
	Class        string       `json:"class"`
	Detail       string       `json:"detail"`
	RetryAfterMS int64        `json:"retry_after_ms"`
	Results      []taskResult `json:"results"`
}

// jobStatus is a status, or the answer that refuses a status request.
type jobStatus struct {
	jobAnswer
	State  string     `json:"state"`
	Answer *jobAnswer `json:"answer"`
}

type tokenReply struct {
	Token string `json:"token"`
}

// encodeJob returns the request body that submits a job. It returns ErrBadJob if
// the arguments of a task are not valid JSON.
func encodeJob(j filbertford.Job) ([]byte, error) {
	w := jobRequest{
		Team:       j.Team(),
		Service:    j.Service(),
		Kind:       j.Kind(),
		TimeoutMS:  ceilMilliseconds(j.Timeout()),
		Idempotent: j.Idempotent(),
		Tasks:      make([]taskRequest, 0, len(j.Tasks())),
	}
	for i, t := range j.Tasks() {
		if len(t.Args()) > 0 && !json.Valid(t.Args()) {
			return nil, eris.Wrapf(ErrBadJob, "arguments of task %d are not valid JSON", i)
		}
		w.Tasks = append(w.Tasks, taskRequest{Args: t.Args(), SizeMS: ceilMilliseconds(t.Size())})
	}
	var buf bytes.Buffer
	enc := json.NewEncoder(&buf)
	enc.SetEscapeHTML(false)
	if err := enc.Encode(w); err != nil {
		return nil, eris.Wrap(err, "encode job")
	}
	return buf.Bytes(), nil
}

// decodeAnswer decodes the answer to the submission id, which has the given
// number of tasks. It returns ErrBadAnswer if the answer is malformed, belongs
// to another submission or lacks results.
func decodeAnswer(body []byte, id string, tasks int) (filbertford.Answer, error) {
	var w jobAnswer
	if err := json.Unmarshal(body, &w); err != nil {
		return filbertford.Answer{}, eris.Wrap(ErrBadAnswer, err.Error())
	}
	return w.toAnswer(id, tasks)
}

// decodeStatus decodes the status of the submission id.
func decodeStatus(body []byte, id string) (filbertford.SubmissionStatus, error) {
	var w jobStatus
	if err := json.Unmarshal(body, &w); err != nil {
		return filbertford.SubmissionStatus{}, eris.Wrap(ErrBadAnswer, err.Error())
	}
	if w.State == "" {
		a, err := w.toAnswer(id, anyTaskCount)
		return filbertford.NewSubmissionStatus(filbertford.StateUnknown, a), err
	}
	if w.ID != id {
		return filbertford.SubmissionStatus{}, eris.Wrapf(ErrBadAnswer, "status is for submission %q, want %q", w.ID, id)
	}
	state := filbertford.SubmissionState(w.State)
	switch state {
	case filbertford.StateRunning:
		return filbertford.NewSubmissionStatus(state, filbertford.Answer{}), nil
	case filbertford.StateFinished, filbertford.StateUnknown:
	default:
		return filbertford.SubmissionStatus{}, eris.Wrapf(ErrBadAnswer, "unknown state %q", w.State)
	}
	if w.Answer == nil {
		return filbertford.SubmissionStatus{}, eris.Wrapf(ErrBadAnswer, "status has state %s but no answer", state)
	}
	if w.Answer.ID == "" {
		w.Answer.ID = id
	}
	a, err := w.Answer.toAnswer(id, anyTaskCount)
	return filbertford.NewSubmissionStatus(state, a), err
}

func decodeToken(body []byte) (filbertford.Token, error) {
	var w tokenReply
	if err := json.Unmarshal(body, &w); err != nil {
		return filbertford.Token{}, eris.Wrap(ErrBadAnswer, err.Error())
	}
	t, err := filbertford.ParseToken(w.Token)
	return t, eris.Wrap(err, "parse token")
}

// toAnswer validates and converts the answer to the submission id. An answer
// without an ID is valid only if its code means that the delivery started no
// task: a daemon may refuse a request before it reads the ID.
func (w jobAnswer) toAnswer(id string, tasks int) (filbertford.Answer, error) {
	code := filbertford.Code(w.Code)
	idNotRead := w.ID == "" && code.Class() == filbertford.ClassNotStarted
	switch {
	case w.ID != id && !idNotRead:
		return filbertford.Answer{}, eris.Wrapf(ErrBadAnswer, "answer is for submission %q, want %q", w.ID, id)
	case w.Code == "":
		return filbertford.Answer{}, eris.Wrap(ErrBadAnswer, "answer has no result code")
	case isKnownCode(code) && w.Class != string(code.Class()):
		return filbertford.Answer{}, eris.Wrapf(ErrBadAnswer, "answer has code %s but class %q", code, w.Class)
	case w.RetryAfterMS < 0:
		return filbertford.Answer{}, eris.Wrapf(ErrBadAnswer, "retry_after_ms is negative: %d", w.RetryAfterMS)
	}
	if code != filbertford.CodeComplete {
		if len(w.Results) > 0 {
			return filbertford.Answer{}, eris.Wrapf(ErrBadAnswer, "answer with code %s has %d results, want none", code, len(w.Results))
		}
		retryAfterMS := min(w.RetryAfterMS, math.MaxInt64/int64(time.Millisecond))
		return filbertford.NewRefusal(code, w.Detail).WithRetryAfter(time.Duration(retryAfterMS) * time.Millisecond), nil
	}
	if tasks != anyTaskCount && len(w.Results) != tasks {
		return filbertford.Answer{}, eris.Wrapf(ErrBadAnswer, "answer has %d results for %d tasks", len(w.Results), tasks)
	}
	results := make([]filbertford.Result, 0, len(w.Results))
	for _, r := range w.Results {
		results = append(results, filbertford.NewResult(r.Output, filbertford.TargetID(r.Target)))
	}
	return filbertford.NewComplete(results), nil
}

func isKnownCode(code filbertford.Code) bool {
	_, ok := filbertford.Codes()[code]
	return ok
}

// ceilMilliseconds returns d in milliseconds, rounded up so that a positive
// duration stays positive.
func ceilMilliseconds(d time.Duration) int64 {
	return int64((d + time.Millisecond - 1) / time.Millisecond)
}
