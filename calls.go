package filbertford

import (
	"context"
	"slices"
	"time"
)

// Boot identifies one life of a target: its ID and the time of its start.
type Boot struct {
	id   TargetID
	born int64
}

// NewBoot returns the identity of the target's life that began at the Unix
// millisecond born.
func NewBoot(id TargetID, born int64) Boot { return Boot{id: id, born: born} }

// ID returns the target's name.
func (b Boot) ID() TargetID { return b.id }

// Born returns the Unix millisecond at which this life began.
func (b Boot) Born() int64 { return b.born }

// TargetRecord is what a target tells of itself in the platform's store.
type TargetRecord struct {
	boot     Boot
	service  string
	address  string
	zone     DataCentre
	labels   []string
	capacity Demand
	draining bool
}

// NewTargetRecord returns the record of a target that takes tasks.
func NewTargetRecord(boot Boot, service, address string, zone DataCentre, capacity Demand, labels ...string) TargetRecord {
	return TargetRecord{boot: boot, service: service, address: address, zone: zone, capacity: capacity, labels: labels}
}

// WithDraining returns a copy of r that takes no new tasks.
func (r TargetRecord) WithDraining(on bool) TargetRecord {
	r.draining = on
	return r
}

// Boot returns the target's identity.
func (r TargetRecord) Boot() Boot { return r.boot }

// Service returns the service that the target runs.
func (r TargetRecord) Service() string { return r.service }

// Address returns the target's address, host:port.
func (r TargetRecord) Address() string { return r.address }

// Zone returns the target's data centre.
func (r TargetRecord) Zone() DataCentre { return r.zone }

// Capacity returns what the target offers to tasks.
func (r TargetRecord) Capacity() Demand { return r.capacity }

// Labels returns the target's labels.
func (r TargetRecord) Labels() []string { return r.labels }

// Draining reports whether the target takes no new tasks.
func (r TargetRecord) Draining() bool { return r.draining }

// Kind returns the label that tells the kind of the machine, the first one.
func (r TargetRecord) Kind() string {
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
	// CallLate means that the call's lease had run out when it arrived.
	CallLate CallOutcome = "late"
	// CallFull means that the target has no room.
	CallFull CallOutcome = "full"
	// CallBusy means that the target refused and did nothing.
	CallBusy CallOutcome = "busy"
	// CallInvalid means that the target refused the call as malformed.
	CallInvalid CallOutcome = "invalid"
	// CallReborn means that another life of the target answered.
	CallReborn CallOutcome = "reborn"
	// CallUnknown means that no answer came: the call may or may not be, or may
	// yet be, carried out.
	CallUnknown CallOutcome = "unknown"
)

// StartOrder asks a target to start a run of a task.
type StartOrder struct {
	boot    Boot
	address string
	task    TaskKey
	run     uint64
	spec    string
	lease   int64
	fence   uint64
}

// NewStartOrder returns an order for the run of the task. The lease is the time
// on the target's clock, in milliseconds, up to which the target may work.
func NewStartOrder(boot Boot, address string, task TaskKey, run uint64, spec string, lease int64, fence uint64) StartOrder {
	return StartOrder{boot: boot, address: address, task: task, run: run, spec: spec, lease: lease, fence: fence}
}

// Boot returns the target's identity.
func (o StartOrder) Boot() Boot { return o.boot }

// Address returns the target's address.
func (o StartOrder) Address() string { return o.address }

// Task returns the task.
func (o StartOrder) Task() TaskKey { return o.task }

// Run returns the number of the run.
func (o StartOrder) Run() uint64 { return o.run }

// Spec returns the text that the task is started with.
func (o StartOrder) Spec() string { return o.spec }

// Lease returns the end of the lease on the target's clock in milliseconds.
func (o StartOrder) Lease() int64 { return o.lease }

// Fence returns the fencing token of the pool's owner.
func (o StartOrder) Fence() uint64 { return o.fence }

// StopOrder asks a target to stop a run.
type StopOrder struct {
	boot    Boot
	address string
	task    TaskKey
	run     uint64
	fence   uint64
}

// NewStopOrder returns an order to stop the run of the task.
func NewStopOrder(boot Boot, address string, task TaskKey, run, fence uint64) StopOrder {
	return StopOrder{boot: boot, address: address, task: task, run: run, fence: fence}
}

// Boot returns the target's identity.
func (o StopOrder) Boot() Boot { return o.boot }

// Address returns the target's address.
func (o StopOrder) Address() string { return o.address }

// Task returns the task.
func (o StopOrder) Task() TaskKey { return o.task }

// Run returns the number of the run.
func (o StopOrder) Run() uint64 { return o.run }

// Fence returns the fencing token of the pool's owner.
func (o StopOrder) Fence() uint64 { return o.fence }

// LookOrder asks a target for its lists and prolongs its lease.
type LookOrder struct {
	boot    Boot
	address string
	fence   uint64
	seen    uint64
	lease   int64
	wait    time.Duration
}

// NewLookOrder returns a request for the lists. Ends up to the number seen are
// forgotten. A lease of 0 prolongs nothing. The target answers after the wait,
// or as soon as there is an end that was not seen.
func NewLookOrder(boot Boot, address string, fence, seen uint64, lease int64, wait time.Duration) LookOrder {
	return LookOrder{boot: boot, address: address, fence: fence, seen: seen, lease: lease, wait: wait}
}

// Boot returns the target's identity.
func (o LookOrder) Boot() Boot { return o.boot }

// Address returns the target's address.
func (o LookOrder) Address() string { return o.address }

// Fence returns the fencing token of the pool's owner.
func (o LookOrder) Fence() uint64 { return o.fence }

// Seen returns the number up to which ends may be forgotten.
func (o LookOrder) Seen() uint64 { return o.seen }

// Lease returns the end of the lease on the target's clock in milliseconds.
func (o LookOrder) Lease() int64 { return o.lease }

// Wait returns how long the target may hold the answer back.
func (o LookOrder) Wait() time.Duration { return o.wait }

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

// Ending tells how a run ended.
type Ending string

// The endings of runs.
const (
	EndDone    Ending = "done"
	EndFailed  Ending = "failed"
	EndStopped Ending = "stopped"
	EndLapsed  Ending = "lapsed"
	EndBroken  Ending = "broken"
	EndAlone   Ending = "alone"
)

// RunEnd is a run that a target lists as ended.
type RunEnd struct {
	number uint64
	task   TaskKey
	run    uint64
	ending Ending
}

// NewRunEnd returns the end with the target's own number for it.
func NewRunEnd(number uint64, task TaskKey, run uint64, ending Ending) RunEnd {
	return RunEnd{number: number, task: task, run: run, ending: ending}
}

// Number returns the target's number of the end.
func (e RunEnd) Number() uint64 { return e.number }

// Task returns the task.
func (e RunEnd) Task() TaskKey { return e.task }

// Run returns the number of the run.
func (e RunEnd) Run() uint64 { return e.run }

// Ending returns how the run ended.
func (e RunEnd) Ending() Ending { return e.ending }

// CallReply is a target's answer to a call.
type CallReply struct {
	outcome CallOutcome
	clock   int64
	born    int64
	running []RunStatus
	ended   []RunEnd
	detail  string
}

// NewCallReply returns an answer with the target's clock in milliseconds, 0 if
// it told none.
func NewCallReply(outcome CallOutcome, clock int64) CallReply {
	return CallReply{outcome: outcome, clock: clock}
}

// WithLists returns a copy of r with the target's lists.
func (r CallReply) WithLists(running []RunStatus, ended []RunEnd) CallReply {
	r.running, r.ended = running, ended
	return r
}

// WithBorn returns a copy of r with the Unix millisecond of the target's start.
func (r CallReply) WithBorn(born int64) CallReply {
	r.born = born
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

// Born returns the Unix millisecond of the target's start, 0 if it told none.
func (r CallReply) Born() int64 { return r.born }

// Running returns what runs.
func (r CallReply) Running() []RunStatus { return r.running }

// Ended returns the ends that were not seen.
func (r CallReply) Ended() []RunEnd { return r.ended }

// Detail returns a text for logs.
func (r CallReply) Detail() string { return r.detail }

// Executor calls targets of the platform. Its methods don't fail: what went
// wrong is an outcome.
type Executor interface {
	// Start asks a target to start a run.
	Start(ctx context.Context, o StartOrder) CallReply
	// Stop asks a target to stop a run.
	Stop(ctx context.Context, o StopOrder) CallReply
	// Look asks a target for its lists and prolongs its lease.
	Look(ctx context.Context, o LookOrder) CallReply
}
