package fbcore

import (
	"time"

	"github.com/filbertford/filbertford"
)

// Ref identifies a request that waits for a reply. The daemon assigns references
// and never uses one twice.
type Ref uint64

// Event is something that happened outside the core.
type Event interface{ event() }

// Claim says whether a daemon owns the ID of a delivery, and whether it may
// accept a first delivery of the ID.
type Claim string

// The claims to an ID.
const (
	// ClaimPinned is the claim to a pinned ID, which its token decides.
	ClaimPinned Claim = "pinned"
	// ClaimOwned is the claim to an opaque key that this daemon is proven to own
	// and that cannot have been started before.
	ClaimOwned Claim = "owned"
	// ClaimUndecided is the claim to an opaque key that this daemon is proven to
	// own now, but that a former owner may have started.
	ClaimUndecided Claim = "undecided"
	// ClaimTooOld is the claim to an opaque key that was minted before the
	// resubmission horizon.
	ClaimTooOld Claim = "too-old"
	// ClaimFuture is the claim to an opaque key whose minting time is in the
	// future.
	ClaimFuture Claim = "future"
	// ClaimUnconfirmed is the claim to an opaque key that this daemon may not own.
	ClaimUnconfirmed Claim = "unsure"
)

// Submit delivers a submission to its owner.
type Submit struct {
	// Ref identifies the delivery in the reply.
	Ref Ref
	// Delivery is the submission's ID and job.
	Delivery filbertford.Delivery
	// Digest is the Digest of the job.
	Digest uint64
	// Rules are the settings that apply to the job.
	Rules filbertford.Rules
	// Claim is the daemon's claim to the submission's ID.
	Claim Claim
}

// Abandon reports that nobody waits for the reply to a delivery any longer. The
// job continues.
type Abandon struct{ Ref Ref }

// Cancel requests the cancellation of a submission.
type Cancel struct {
	Ref Ref
	ID  filbertford.SubmissionID
	// Team is the requesting team. Unless empty, it must be the job's team.
	Team string
}

// Query requests the status of a submission.
type Query struct {
	Ref  Ref
	ID   filbertford.SubmissionID
	Team string
}

// StartEnded reports the result of a start.
type StartEnded struct {
	Start  filbertford.StartID
	Result filbertford.StartResult
}

// LeaseRenewed reports that a target acknowledged a renewal requested at the given
// time.
type LeaseRenewed struct {
	Target      filbertford.TargetID
	RequestedAt time.Time
}

// TargetsChanged sets the list of targets of the data centre. A target that is not
// in the list, or not live, gets no new work.
type TargetsChanged struct{ Targets []filbertford.VM }

// PeersChanged sets the state of the other daemons.
type PeersChanged struct {
	// TeamTasks is the number of waiting and running tasks of each team at the
	// other daemons of the data centre.
	TeamTasks map[string]int
	// Index is the index of this daemon, from 0, among all Count daemons of the
	// data centre in an order that all of them use.
	Index, Count int
	// Remotes are the daemons of other data centres that can run tasks.
	Remotes []Remote
}

// Tick reports that time has passed. On a tick the core expires jobs, leases and
// epochs and sends the pending stops.
type Tick struct{}

// StopRequested begins a planned stop: from then on no first delivery is accepted.
type StopRequested struct{}

// PartReceived delivers a part of the table of a daemon that has stopped.
type PartReceived struct{ Part TablePart }

func (Submit) event()         {}
func (Abandon) event()        {}
func (Cancel) event()         {}
func (Query) event()          {}
func (StartEnded) event()     {}
func (LeaseRenewed) event()   {}
func (TargetsChanged) event() {}
func (PeersChanged) event()   {}
func (Tick) event()           {}
func (StopRequested) event()  {}
func (PartReceived) event()   {}

// Action is an action that the daemon must carry out.
type Action interface{ action() }

// Reply answers a delivery.
type Reply struct {
	Ref    Ref
	Answer filbertford.Answer
}

// ReplyStatus answers a query.
type ReplyStatus struct {
	Ref    Ref
	Status filbertford.SubmissionStatus
}

// StartTask sends a start to a target, at most once, and returns its result as
// StartEnded. When the timeout has passed, the daemon stops waiting for the result.
type StartTask struct {
	Target  filbertford.VM
	Request filbertford.StartRequest
	Timeout time.Duration
}

// StartRemote makes a daemon of another data centre run a task as a job of one
// task. It is sent at most once, and its result is returned as StartEnded.
type StartRemote struct {
	Address string
	ID      filbertford.StartID
	Job     filbertford.Job
}

// StopRemote cancels tasks at daemons of other data centres.
type StopRemote struct{ Starts []filbertford.StartID }

// StopTasks sends a target one message that stops tasks.
type StopTasks struct {
	Target filbertford.VM
	Starts []filbertford.StartID
}

// RenewLease asks a target to renew the lease of this daemon's tasks there. If the
// target acknowledges it, the daemon returns LeaseRenewed.
type RenewLease struct {
	Target filbertford.VM
	Lease  time.Duration
}

// Drained reports that a stopping daemon has no active job and no start in
// flight, so that its table can be handed over to a successor.
type Drained struct{}

// Violated reports that an invariant does not hold.
type Violated struct{ Invariant Invariant }

func (Reply) action()       {}
func (ReplyStatus) action() {}
func (StartTask) action()   {}
func (StartRemote) action() {}
func (StopRemote) action()  {}
func (StopTasks) action()   {}
func (RenewLease) action()  {}
func (Drained) action()     {}
func (Violated) action()    {}
