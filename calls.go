package filbertford

import (
	"context"
	"slices"
	"time"
)

// TargetInstance identifies one life of a target: its ID and the time of its start.
type TargetInstance struct {
	id        TargetID
	startedAt int64
}

// NewTargetInstance returns the identity of the target's life that began at the Unix
// millisecond born.
func NewTargetInstance(id TargetID, startedAt int64) TargetInstance {
	return TargetInstance{id: id, startedAt: startedAt}
}

// ID returns the target's name.
func (i TargetInstance) ID() TargetID { return i.id }

// StartedAt returns the Unix millisecond at which this life began.
func (i TargetInstance) StartedAt() int64 { return i.startedAt }

// TargetRecord is what a target tells of itself in the platform's store.
type TargetRecord struct {
	instance TargetInstance
	service  string
	address  string
	zone     DataCentre
	labels   []string
	capacity Resources
	draining bool
}

// NewTargetRecord returns the record of a target that takes tasks.
func NewTargetRecord(instance TargetInstance, service, address string, zone DataCentre, capacity Resources, labels ...string) TargetRecord {
	return TargetRecord{instance: instance, service: service, address: address, zone: zone, capacity: capacity, labels: labels}
}

// WithDraining returns a copy of r that takes no new tasks.
func (r TargetRecord) WithDraining(draining bool) TargetRecord {
	r.draining = draining
	return r
}

// Instance returns the target's identity.
func (r TargetRecord) Instance() TargetInstance { return r.instance }

// Service returns the service that the target runs.
func (r TargetRecord) Service() string { return r.service }

// Address returns the target's address, host:port.
func (r TargetRecord) Address() string { return r.address }

// Zone returns the target's data centre.
func (r TargetRecord) Zone() DataCentre { return r.zone }

// Capacity returns what the target offers to tasks.
func (r TargetRecord) Capacity() Resources { return r.capacity }

// Labels returns the target's labels.
func (r TargetRecord) Labels() []string { return r.labels }

// Draining reports whether the target takes no new tasks.
func (r TargetRecord) Draining() bool { return r.draining }

// MachineKind returns the label that tells the kind of the machine, the first one.
func (r TargetRecord) MachineKind() string {
	if len(r.labels) == 0 {
		return ""
	}
	return r.labels[0]
}

// HasLabel reports whether the target has the label. Every target has the
// empty one.
func (r TargetRecord) HasLabel(label string) bool {
	return label == "" || slices.Contains(r.labels, label)
}

// CallOutcome tells how a call to a target ended.
type CallOutcome string

// The outcomes of calls to targets.
const (
	// CallDone means that the target did what was asked.
	CallDone CallOutcome = "done"
	// CallFenced means that a newer owner has called the target.
	CallFenced CallOutcome = "fenced"
	// CallStale means that the run's number is not above one seen there.
	CallStale CallOutcome = "stale"
	// CallLeaseExpired means that the call's lease had run out when it arrived.
	CallLeaseExpired CallOutcome = "late"
	// CallFull means that the target has no room.
	CallFull CallOutcome = "full"
	// CallBusy means that the target refused and did nothing.
	CallBusy CallOutcome = "busy"
	// CallInvalid means that the target refused the call as malformed.
	CallInvalid CallOutcome = "invalid"
	// CallRestarted means that another life of the target answered.
	CallRestarted CallOutcome = "reborn"
	// CallUnknown means that no answer came: the call may or may not be, or may
	// yet be, carried out.
	CallUnknown CallOutcome = "unknown"
)

// StartRunRequest asks a target to start a run of a task.
type StartRunRequest struct {
	instance TargetInstance
	address  string
	task     TaskKey
	run      uint64
	spec     string
	lease    int64
	fence    uint64
}

// NewStartRunRequest returns an order for the run of the task. The lease is the time
// on the target's clock, in milliseconds, up to which the target may work.
func NewStartRunRequest(instance TargetInstance, address string, task TaskKey, run uint64, spec string, lease int64, fence uint64) StartRunRequest {
	return StartRunRequest{instance: instance, address: address, task: task, run: run, spec: spec, lease: lease, fence: fence}
}

// Instance returns the target's identity.
func (r StartRunRequest) Instance() TargetInstance { return r.instance }

// Address returns the target's address.
func (r StartRunRequest) Address() string { return r.address }

// Task returns the task.
func (r StartRunRequest) Task() TaskKey { return r.task }

// Run returns the number of the run.
func (r StartRunRequest) Run() uint64 { return r.run }

// Spec returns the text that the task is started with.
func (r StartRunRequest) Spec() string { return r.spec }

// Lease returns the end of the lease on the target's clock in milliseconds.
func (r StartRunRequest) Lease() int64 { return r.lease }

// Fence returns the fencing token of the pool's owner.
func (r StartRunRequest) Fence() uint64 { return r.fence }

// StopRunRequest asks a target to stop a run.
type StopRunRequest struct {
	instance TargetInstance
	address  string
	task     TaskKey
	run      uint64
	fence    uint64
}

// NewStopRunRequest returns an order to stop the run of the task.
func NewStopRunRequest(instance TargetInstance, address string, task TaskKey, run, fence uint64) StopRunRequest {
	return StopRunRequest{instance: instance, address: address, task: task, run: run, fence: fence}
}

// Instance returns the target's identity.
func (r StopRunRequest) Instance() TargetInstance { return r.instance }

// Address returns the target's address.
func (r StopRunRequest) Address() string { return r.address }

// Task returns the task.
func (r StopRunRequest) Task() TaskKey { return r.task }

// Run returns the number of the run.
func (r StopRunRequest) Run() uint64 { return r.run }

// Fence returns the fencing token of the pool's owner.
func (r StopRunRequest) Fence() uint64 { return r.fence }

// PollRequest asks a target for its lists and prolongs its lease.
type PollRequest struct {
	instance TargetInstance
	address  string
	fence    uint64
	acked    uint64
	lease    int64
	wait     time.Duration
}

// NewPollRequest returns a request for the lists. Ends up to the number seen are
// forgotten. A lease of 0 prolongs nothing. The target answers after the wait,
// or as soon as there is an end that was not seen.
func NewPollRequest(instance TargetInstance, address string, fence, acked uint64, lease int64, wait time.Duration) PollRequest {
	return PollRequest{instance: instance, address: address, fence: fence, acked: acked, lease: lease, wait: wait}
}

// Instance returns the target's identity.
func (r PollRequest) Instance() TargetInstance { return r.instance }

// Address returns the target's address.
func (r PollRequest) Address() string { return r.address }

// Fence returns the fencing token of the pool's owner.
func (r PollRequest) Fence() uint64 { return r.fence }

// Acked returns the number up to which ends may be forgotten.
func (r PollRequest) Acked() uint64 { return r.acked }

// Lease returns the end of the lease on the target's clock in milliseconds.
func (r PollRequest) Lease() int64 { return r.lease }

// Wait returns how long the target may hold the answer back.
func (r PollRequest) Wait() time.Duration { return r.wait }

// RunStatus is a run that a target lists as running.
type RunStatus struct {
	task    TaskKey
	run     uint64
	percent int
}

// NewRunStatus returns the status of a run that has done the given share of its
// work.
func NewRunStatus(task TaskKey, run uint64, percent int) RunStatus {
	return RunStatus{task: task, run: run, percent: percent}
}

// Task returns the task.
func (s RunStatus) Task() TaskKey { return s.task }

// Run returns the number of the run.
func (s RunStatus) Run() uint64 { return s.run }

// Percent returns the share of the work that is done, 0 to 100.
func (s RunStatus) Percent() int { return s.percent }

// RunOutcome tells how a run ended.
type RunOutcome string

// The endings of runs.
const (
	RunDone         RunOutcome = "done"
	RunFailed       RunOutcome = "failed"
	RunStopped      RunOutcome = "stopped"
	RunLeaseExpired RunOutcome = "lapsed"
	RunBroken       RunOutcome = "broken"
	RunAlone        RunOutcome = "alone"
)

// EndedRun is a run that a target lists as ended.
type EndedRun struct {
	sequence uint64
	task     TaskKey
	run      uint64
	outcome  RunOutcome
}

// NewEndedRun returns the end with the target's own number for it.
func NewEndedRun(sequence uint64, task TaskKey, run uint64, outcome RunOutcome) EndedRun {
	return EndedRun{sequence: sequence, task: task, run: run, outcome: outcome}
}

// Sequence returns the target's number of the end.
func (e EndedRun) Sequence() uint64 { return e.sequence }

// Task returns the task.
func (e EndedRun) Task() TaskKey { return e.task }

// Run returns the number of the run.
func (e EndedRun) Run() uint64 { return e.run }

// Outcome returns how the run ended.
func (e EndedRun) Outcome() RunOutcome { return e.outcome }

// CallReply is a target's answer to a call.
type CallReply struct {
	outcome   CallOutcome
	clock     int64
	startedAt int64
	running   []RunStatus
	ended     []EndedRun
	detail    string
}

// NewCallReply returns an answer with the target's clock in milliseconds, 0 if
// it told none.
func NewCallReply(outcome CallOutcome, clock int64) CallReply {
	return CallReply{outcome: outcome, clock: clock}
}

// WithRuns returns a copy of r with the target's lists.
func (r CallReply) WithRuns(running []RunStatus, ended []EndedRun) CallReply {
	r.running, r.ended = running, ended
	return r
}

// WithStartedAt returns a copy of r with the Unix millisecond of the target's start.
func (r CallReply) WithStartedAt(startedAt int64) CallReply {
	r.startedAt = startedAt
	return r
}

// WithDetail returns a copy of r with a text for logs.
func (r CallReply) WithDetail(detail string) CallReply {
	r.detail = detail
	return r
}

// Outcome returns how the call ended.
func (r CallReply) Outcome() CallOutcome { return r.outcome }

// Clock returns the target's clock in milliseconds, 0 if it told none.
func (r CallReply) Clock() int64 { return r.clock }

// StartedAt returns the Unix millisecond of the target's start, 0 if it told none.
func (r CallReply) StartedAt() int64 { return r.startedAt }

// Running returns what runs.
func (r CallReply) Running() []RunStatus { return r.running }

// Ended returns the ends that were not seen.
func (r CallReply) Ended() []EndedRun { return r.ended }

// Detail returns a text for logs.
func (r CallReply) Detail() string { return r.detail }

// TargetClient calls targets of the platform. Its methods don't fail: what went
// wrong is an outcome.
type TargetClient interface {
	// Start asks a target to start a run.
	Start(ctx context.Context, o StartRunRequest) CallReply
	// Stop asks a target to stop a run.
	Stop(ctx context.Context, o StopRunRequest) CallReply
	// Poll asks a target for its lists and prolongs its lease.
	Poll(ctx context.Context, o PollRequest) CallReply
}
