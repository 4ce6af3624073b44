package filbertford

import (
	"slices"
	"time"
)

// Task is one unit of work of a job. The zero Task has no arguments and no
// declared run time.
type Task struct {
	args []byte
	size time.Duration
}

// NewTask returns a task with the given arguments, which the dispatcher does
// not interpret, and the declared run time. The declared run time may be zero
// and may be far from the true one.
func NewTask(args []byte, size time.Duration) Task {
	return Task{args: args, size: size}
}

// Args returns the arguments for the target. The caller must not change them.
func (t Task) Args() []byte { return t.args }

// Size returns the declared run time, zero if none was declared.
func (t Task) Size() time.Duration { return t.size }

// Job is a set of parallel tasks that gets one answer. A Job is immutable; its
// With methods return changed copies.
type Job struct {
	team       string
	service    string
	kind       string
	tasks      []Task
	timeout    time.Duration
	idempotent bool
}

// NewJob returns a job of the given tasks for a service of a team.
func NewJob(team, service string, tasks ...Task) Job {
	return Job{team: team, service: service, tasks: slices.Clone(tasks)}
}

// WithKind returns a copy of j of the given job kind.
func (j Job) WithKind(kind string) Job {
	j.kind = kind
	return j
}

// WithTimeout returns a copy of j that fails if it has not finished within d of
// its arrival at the owner. Zero means the timeout in the settings.
func (j Job) WithTimeout(d time.Duration) Job {
	j.timeout = d
	return j
}

// WithIdempotent returns a copy of j marked as idempotent or not.
func (j Job) WithIdempotent(idempotent bool) Job {
	j.idempotent = idempotent
	return j
}

// Team returns the team that the job is charged to.
func (j Job) Team() string { return j.team }

// Service returns the service that runs the job.
func (j Job) Service() string { return j.service }

// Kind returns the job kind within the service, empty for the service's default.
func (j Job) Kind() string { return j.kind }

// Tasks returns the tasks. The caller must not change them.
func (j Job) Tasks() []Task { return j.tasks }

// MemoryBytes returns an estimate of the memory that a daemon needs for the job while it is in
// progress, in bytes. Arguments count twice: a start sends a copy.
func (j Job) MemoryBytes() int {
	n := jobBytes
	for _, t := range j.tasks {
		n += taskBytes + 2*len(t.args)
	}
	return n
}

// Timeout returns the time that the job may take from its arrival at the owner,
// zero for the timeout in the settings.
func (j Job) Timeout() time.Duration { return j.timeout }

// Idempotent reports whether the caller marked the job's tasks as idempotent.
func (j Job) Idempotent() bool { return j.idempotent }

// Result is the output of one task.
type Result struct {
	output []byte
	target TargetID
}

// NewResult returns the output of a task that ran at the target.
func NewResult(output []byte, target TargetID) Result {
	return Result{output: output, target: target}
}

// Output returns the task's output. The caller must not change it.
func (r Result) Output() []byte { return r.output }

// Target returns the target that ran the task.
func (r Result) Target() TargetID { return r.target }

// Answer is the final answer to one delivery of a submission. An answer with
// CodeComplete holds one result for each task, in the job's order; any other
// holds none.
type Answer struct {
	code       Code
	detail     string
	results    []Result
	retryAfter time.Duration
}

// NewComplete returns the answer to a job whose tasks all ran.
func NewComplete(results []Result) Answer {
	return Answer{code: CodeComplete, results: results}
}

// NewRefusal returns an answer without results. The detail describes the error
// and may be empty.
func NewRefusal(code Code, detail string) Answer {
	return Answer{code: code, detail: detail}
}

// WithRetryAfter returns a copy of a that asks the caller to retry after d.
func (a Answer) WithRetryAfter(d time.Duration) Answer {
	a.retryAfter = d
	return a
}

// Code returns the result code.
func (a Answer) Code() Code { return a.code }

// Detail returns a description of the error, or an empty string.
func (a Answer) Detail() string { return a.detail }

// Results returns the results of a complete job in the order of its tasks.
func (a Answer) Results() []Result { return a.results }

// RetryAfter returns the time after which the caller may retry, zero if a retry
// won't help.
func (a Answer) RetryAfter() time.Duration { return a.retryAfter }
