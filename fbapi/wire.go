package fbapi

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"time"
	"unicode/utf8"

	"github.com/filbertford/filbertford"
	"github.com/filbertford/filbertford/fblimit"
)

// maxTasks is the maximum number of tasks in a request, whatever the settings
// allow.
const maxTasks = 4096

// maxNameBytes is the maximum length of a team, service or kind.
const maxNameBytes = 64

// jobRequest is the body of a submission.
type jobRequest struct {
	Team       string   `json:"team"`
	Service    string   `json:"service"`
	Kind       string   `json:"kind"`
	TimeoutMS  int64    `json:"timeout_ms"`
	Idempotent bool     `json:"idempotent"`
	Tasks      taskList `json:"tasks"`
}

// taskList is a list of at most maxTasks tasks. A longer one isn't decoded, since the decoded
// form of a task is far larger than the shortest text of one.
type taskList []taskRequest

// UnmarshalJSON implements json.Unmarshaler.
func (l *taskList) UnmarshalJSON(data []byte) error {
	tasks, err := fblimit.DecodeList[taskRequest](data, maxTasks, true)
	*l = tasks
	return err
}

type taskRequest struct {
	Args   json.RawMessage `json:"args"`
	SizeMS int64           `json:"size_ms"`
}

// jobAnswer is the body of an answer.
type jobAnswer struct {
	ID           string       `json:"id,omitempty"`
	Code         string       `json:"code"`
	Class        string       `json:"class"`
	Text         string       `json:"text"`
	Detail       string       `json:"detail,omitempty"`
	RetryAfterMS int64        `json:"retry_after_ms,omitempty"`
	Results      []taskResult `json:"results,omitempty"`
}

type taskResult struct {
	Output json.RawMessage `json:"output"`
	Target string          `json:"target"`
}

// jobStatus is the body of the reply to a status query.
type jobStatus struct {
	ID     string     `json:"id"`
	State  string     `json:"state"`
	Answer *jobAnswer `json:"answer,omitempty"`
}

// tokenReply is the body of the reply to a token request.
type tokenReply struct {
	Token string `json:"token"`
}

// requestError says why a request is refused.
type requestError struct {
	code       filbertford.Code
	detail     string
	retryAfter time.Duration
}

func (e requestError) Error() string { return string(e.code) + ": " + e.detail }

func malformedError(format string, args ...any) error {
	return requestError{code: filbertford.CodeMalformed, detail: fmt.Sprintf(format, args...)}
}

// decodeJob decodes and checks the body of a submission.
func decodeJob(body []byte) (filbertford.Job, error) {
	if !utf8.Valid(body) {
		return filbertford.Job{}, malformedError("the body is not valid UTF-8")
	}
	dec := json.NewDecoder(bytes.NewReader(body))
	dec.DisallowUnknownFields()
	var r jobRequest
	if err := dec.Decode(&r); errors.Is(err, fblimit.ErrTooManyItems) {
		return filbertford.Job{}, requestError{code: filbertford.CodeTooLarge, detail: fmt.Sprintf("there are more than %d tasks", maxTasks)}
	} else if err != nil {
		return filbertford.Job{}, malformedError("the body is not a job: %v", err)
	}
	if _, err := dec.Token(); err != io.EOF {
		return filbertford.Job{}, malformedError("the body goes on after the job")
	}
	return r.job()
}

// job checks the request's values and returns its job.
func (r jobRequest) job() (filbertford.Job, error) {
	for field, name := range map[string]string{"team": r.Team, "service": r.Service, "kind": r.Kind} {
		if len(name) > maxNameBytes {
			return filbertford.Job{}, malformedError("%s is longer than %d bytes", field, maxNameBytes)
		}
	}
	timeout, ok := parseMillis(r.TimeoutMS)
	if !ok {
		return filbertford.Job{}, malformedError("timeout_ms is %d, not within 0 to %d", r.TimeoutMS, maxMillis)
	}
	tasks := make([]filbertford.Task, len(r.Tasks))
	for i, t := range r.Tasks {
		size, ok := parseMillis(t.SizeMS)
		if !ok {
			return filbertford.Job{}, malformedError("size_ms of task %d is %d, not within 0 to %d", i, t.SizeMS, maxMillis)
		}
		tasks[i] = filbertford.NewTask(t.Args, size)
	}
	return filbertford.NewJob(r.Team, r.Service, tasks...).
		WithKind(r.Kind).
		WithTimeout(timeout).
		WithIdempotent(r.Idempotent), nil
}

// maxMillis is the longest duration in a request, a day, in milliseconds.
const maxMillis = 24 * 60 * 60 * 1000

func parseMillis(n int64) (time.Duration, bool) {
	return time.Duration(n) * time.Millisecond, n >= 0 && n <= maxMillis
}

// encodeAnswer returns the body of an answer.
func encodeAnswer(id string, a filbertford.Answer) jobAnswer {
	out := jobAnswer{
		ID:           id,
		Code:         string(a.Code()),
		Class:        string(a.Code().Class()),
		Text:         a.Code().Text(),
		Detail:       a.Detail(),
		RetryAfterMS: roundUp(a.RetryAfter(), time.Millisecond),
	}
	for _, r := range a.Results() {
		out.Results = append(out.Results, taskResult{Output: r.Output(), Target: string(r.Target())})
	}
	return out
}

// roundUp returns d in units, rounded up.
func roundUp(d, unit time.Duration) int64 {
	return int64((d + unit - 1) / unit)
}
