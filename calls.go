package filbertford

import (
	"context"
	"slices"
	"time"
)

// TargetInstance identifies one run of a target's process by the target's ID
// and the time at which the process started.
type TargetInstance struct {
	id        TargetID
	startedAt int64
}

// NewTargetInstance returns the instance of the target that started at
// startedAt, in Unix milliseconds.
func NewTargetInstance(id TargetID, startedAt int64) TargetInstance {
	return TargetInstance{id: id, startedAt: startedAt}
}

// ID returns the target's ID.
func (i TargetInstance) ID() TargetID { return i.id }

// StartedAt returns the start time in Unix milliseconds.
func (i TargetInstance) StartedAt() int64 { return i.startedAt }

// TargetRecord is the record that a target writes about itself to the
// platform's store.
type TargetRecord struct {
	instance   TargetInstance
	service    string
	address    string
	dataCentre DataCentre
	labels     []string
	capacity   Resources
	draining   bool
	coldFor    time.Duration
}

// NewTargetRecord returns the record of a target that accepts tasks.
func NewTargetRecord(instance TargetInstance, service, address string, dataCentre DataCentre, capacity Resources, labels ...string) TargetRecord {
	return TargetRecord{instance: instance, service: service, address: address, dataCentre: dataCentre, capacity: capacity, labels: labels}
}

// WithDraining returns a copy of r whose target accepts no new tasks if draining
// is true.
func (r TargetRecord) WithDraining(draining bool) TargetRecord {
	r.draining = draining
	return r
}

// WithColdFor returns a copy of r of a target that remains cold, that is slow, for the time.
func (r TargetRecord) WithColdFor(d time.Duration) TargetRecord {
	r.coldFor = d
	return r
}

// WithCapacity returns a copy of r with the capacity.
func (r TargetRecord) WithCapacity(c Resources) TargetRecord {
	r.capacity = c
	return r
}

// ColdFor returns how much longer the target remained cold when it wrote the record.
func (r TargetRecord) ColdFor() time.Duration { return r.coldFor }

// WithStartedAt returns a copy of r of the instance that started at startedAt, in Unix
// milliseconds.
func (r TargetRecord) WithStartedAt(startedAt int64) TargetRecord {
	r.instance.startedAt = startedAt
	return r
}

// WithAddress returns a copy of r with the address, host:port.
func (r TargetRecord) WithAddress(address string) TargetRecord {
	r.address = address
	return r
}

// Instance returns the instance of the target that wrote the record.
func (r TargetRecord) Instance() TargetInstance { return r.instance }

// Service returns the service that the target runs.
func (r TargetRecord) Service() string { return r.service }

// Address returns the target's address, host:port.
func (r TargetRecord) Address() string { return r.address }

// DataCentre returns the target's data centre.
func (r TargetRecord) DataCentre() DataCentre { return r.dataCentre }

// Capacity returns the resources that the target offers to tasks.
func (r TargetRecord) Capacity() Resources { return r.capacity }

// Labels returns the target's labels.
func (r TargetRecord) Labels() []string { return r.labels }

// Draining reports whether the target accepts no new tasks.
func (r TargetRecord) Draining() bool { return r.draining }

// MachineKind returns the kind of the target's machine, which is its first
// label, or an empty string if it has no labels.
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

// CallOutcome is the outcome of a call to a target.
type CallOutcome string

// The outcomes of calls to targets.
const (
	// CallDone means that the target carried out the request.
	CallDone CallOutcome = "done"
	// CallFenced means that the target has received a higher fencing token, that
	// of a newer owner.
	CallFenced CallOutcome = "fenced"
	// CallStale means that the target has received the same or a higher run
	// number for the task.
	CallStale CallOutcome = "stale"
	// CallLeaseExpired means that the lease of the call had expired when it
	// arrived.
	CallLeaseExpired CallOutcome = "late"
	// CallFull means that the target has too little free capacity.
	CallFull CallOutcome = "full"
	// CallBusy means that the target rejected the call and did nothing.
	CallBusy CallOutcome = "busy"
	// CallInvalid means that the target rejected the call as malformed.
	CallInvalid CallOutcome = "invalid"
	// CallRestarted means that another instance of the target replied.
	CallRestarted CallOutcome = "reborn"
	// CallUnknown means that no valid reply was received: the target may have
	// carried out the call, may still do so, or may never have received it.
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

// NewStartRunRequest returns a request to start the run of the task. The lease
// is the time on the target's clock, in milliseconds, until which the target may
// run the task.
func NewStartRunRequest(instance TargetInstance, address string, task TaskKey, run uint64, spec string, lease int64, fence uint64) StartRunRequest {
	return StartRunRequest{instance: instance, address: address, task: task, run: run, spec: spec, lease: lease, fence: fence}
}

// Instance returns the instance that the request is for.
func (r StartRunRequest) Instance() TargetInstance { return r.instance }

// Address returns the target's address.
func (r StartRunRequest) Address() string { return r.address }

// Task returns the task.
func (r StartRunRequest) Task() TaskKey { return r.task }

// Run returns the number of the run.
func (r StartRunRequest) Run() uint64 { return r.run }

// Spec returns the text that the target passes to the task.
func (r StartRunRequest) Spec() string { return r.spec }

// Lease returns the time on the target's clock, in milliseconds, at which the
// lease expires.
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

// NewStopRunRequest returns a request to stop the run of the task.
func NewStopRunRequest(instance TargetInstance, address string, task TaskKey, run, fence uint64) StopRunRequest {
	return StopRunRequest{instance: instance, address: address, task: task, run: run, fence: fence}
}

// Instance returns the instance that the request is for.
func (r StopRunRequest) Instance() TargetInstance { return r.instance }

// Address returns the target's address.
func (r StopRunRequest) Address() string { return r.address }

// Task returns the task.
func (r StopRunRequest) Task() TaskKey { return r.task }

// Run returns the number of the run.
func (r StopRunRequest) Run() uint64 { return r.run }

// Fence returns the fencing token of the pool's owner.
func (r StopRunRequest) Fence() uint64 { return r.fence }

// PollRequest is a status poll: it asks a target for its running and ended runs
// and extends the owner's lease there.
type PollRequest struct {
	instance TargetInstance
	address  string
	fence    uint64
	acked    uint64
	lease    int64
	wait     time.Duration
}

// NewPollRequest returns a status poll. It acknowledges the ended runs up to the
// sequence number acked, which the target then discards. A lease of 0 extends
// nothing. The target replies after the wait, or as soon as there is an ended
// run that is not acknowledged.
func NewPollRequest(instance TargetInstance, address string, fence, acked uint64, lease int64, wait time.Duration) PollRequest {
	return PollRequest{instance: instance, address: address, fence: fence, acked: acked, lease: lease, wait: wait}
}

// Instance returns the instance that the request is for.
func (r PollRequest) Instance() TargetInstance { return r.instance }

// Address returns the target's address.
func (r PollRequest) Address() string { return r.address }

// Fence returns the fencing token of the pool's owner.
func (r PollRequest) Fence() uint64 { return r.fence }

// Acked returns the sequence number up to which the target may discard ended
// runs.
func (r PollRequest) Acked() uint64 { return r.acked }

// Lease returns the time on the target's clock, in milliseconds, at which the
// lease expires, 0 if the request does not extend it.
func (r PollRequest) Lease() int64 { return r.lease }

// Wait returns how long the target may hold the reply.
func (r PollRequest) Wait() time.Duration { return r.wait }

// RunStatus is a run that a target lists as running.
type RunStatus struct {
	task    TaskKey
	run     uint64
	percent int
}

// NewRunStatus returns the status of a run that has done the given percentage of
// its work.
func NewRunStatus(task TaskKey, run uint64, percent int) RunStatus {
	return RunStatus{task: task, run: run, percent: percent}
}

// Task returns the task.
func (s RunStatus) Task() TaskKey { return s.task }

// Run returns the number of the run.
func (s RunStatus) Run() uint64 { return s.run }

// Percent returns the percentage of the work that is done, 0 to 100.
func (s RunStatus) Percent() int { return s.percent }

// RunOutcome is the outcome of a run.
type RunOutcome string

// The outcomes of runs.
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

// NewEndedRun returns an ended run. The sequence number is the one that the
// target gave it, and the one by which a PollRequest acknowledges it.
func NewEndedRun(sequence uint64, task TaskKey, run uint64, outcome RunOutcome) EndedRun {
	return EndedRun{sequence: sequence, task: task, run: run, outcome: outcome}
}

// Sequence returns the target's sequence number of the ended run.
func (e EndedRun) Sequence() uint64 { return e.sequence }

// Task returns the task.
func (e EndedRun) Task() TaskKey { return e.task }

// Run returns the number of the run.
func (e EndedRun) Run() uint64 { return e.run }

// Outcome returns how the run ended.
func (e EndedRun) Outcome() RunOutcome { return e.outcome }

// CallReply is a target's reply to a call.
type CallReply struct {
	outcome   CallOutcome
	clock     int64
	startedAt int64
	running   []RunStatus
	ended     []EndedRun
	detail    string
}

// NewCallReply returns a reply with the time on the target's clock in
// milliseconds, 0 if the reply has none.
func NewCallReply(outcome CallOutcome, clock int64) CallReply {
	return CallReply{outcome: outcome, clock: clock}
}

// WithRuns returns a copy of r with the runs that the target lists.
func (r CallReply) WithRuns(running []RunStatus, ended []EndedRun) CallReply {
	r.running, r.ended = running, ended
	return r
}

// WithStartedAt returns a copy of r with the target's start time in Unix
// milliseconds.
func (r CallReply) WithStartedAt(startedAt int64) CallReply {
	r.startedAt = startedAt
	return r
}

// WithDetail returns a copy of r with details for logs.
func (r CallReply) WithDetail(detail string) CallReply {
	r.detail = detail
	return r
}

// Outcome returns how the call ended.
func (r CallReply) Outcome() CallOutcome { return r.outcome }

// Clock returns the time on the target's clock in milliseconds, 0 if the reply
// has none.
func (r CallReply) Clock() int64 { return r.clock }

// StartedAt returns the target's start time in Unix milliseconds, 0 if the reply
// has none.
func (r CallReply) StartedAt() int64 { return r.startedAt }

// Running returns the runs in progress.
func (r CallReply) Running() []RunStatus { return r.running }

// Ended returns the ended runs that are not acknowledged.
func (r CallReply) Ended() []EndedRun { return r.ended }

// Detail returns details for logs.
func (r CallReply) Detail() string { return r.detail }

// TargetClient calls targets of the platform. Its methods return no errors: a failed
// call has a reply with an outcome other than CallDone.
type TargetClient interface {
	// Start asks a target to start a run.
	Start(ctx context.Context, r StartRunRequest) CallReply
	// Stop asks a target to stop a run.
	Stop(ctx context.Context, r StopRunRequest) CallReply
	// Poll asks a target for its running and ended runs and extends the owner's
	// lease there.
	Poll(ctx context.Context, r PollRequest) CallReply
}
