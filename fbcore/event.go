package fbcore

import (
	"time"

	"github.com/filbertford/filbertford"
)

// Ref names a delivery that waits for a reply. References are given out by the
// surroundings and never used twice.
type Ref uint64

// Event is something that happened outside the core.
type Event interface{ event() }

// Claim tells on what ground a daemon takes a delivery.
type Claim string

// The grounds for taking a delivery.
const (
	// ClaimPinned is the ground of a pinned ID: its token.
	ClaimPinned Claim = "pinned"
	// ClaimOwned is the ground of an opaque key that this daemon surely owns
	// and that nobody can have started before.
	ClaimOwned Claim = "owned"
	// ClaimUndecided is the ground of an opaque key that this daemon surely
	// owns now, but that a former owner may have started.
	ClaimUndecided Claim = "undecided"
	// ClaimTooOld is the ground of an opaque key whose minting time lies before
	// the horizon.
	ClaimTooOld Claim = "too-old"
	// ClaimFuture is the ground of an opaque key whose minting time is yet to
	// come.
	ClaimFuture Claim = "future"
	// ClaimUnconfirmed is the ground of an opaque key that this daemon may not own.
	ClaimUnconfirmed Claim = "unsure"
)

// Submit is the arrival of a delivery at its owner.
type Submit struct {
	// Ref names the delivery in the reply.
	Ref Ref
	// Delivery is the submission's ID and job.
	Delivery filbertford.Delivery
	// Digest is the Digest of the job.
	Digest uint64
	// Rules are the settings that govern the job.
	Rules filbertford.Rules
	// Claim is the ground on which the daemon takes the delivery.
	Claim Claim
}

// Abandon tells that nobody waits for the reply to a delivery any longer. The
// job goes on.
type Abandon struct{ Ref Ref }

// Cancel asks to end a submission.
type Cancel struct {
	Ref Ref
	ID  filbertford.SubmissionID
	// Team is the team that asks; it must be that of the job unless empty.
	Team string
}

// Query asks for the status of a submission.
type Query struct {
	Ref  Ref
	ID   filbertford.SubmissionID
	Team string
}

// StartEnded tells how a start ended.
type StartEnded struct {
	Start  filbertford.StartID
	Result filbertford.StartResult
}

// LeaseRenewed tells that a target acknowledged a renewal that was asked for at
// the given time.
type LeaseRenewed struct {
	Target      filbertford.TargetID
	RequestedAt time.Time
}

// TargetsChanged brings the targets of the data centre. A target that is not
// among them, or not live, gets no new work.
type TargetsChanged struct{ Targets []filbertford.VM }

// PeersChanged brings what is known of the other daemons of the data centre.
type PeersChanged struct {
	// TeamTasks are the tasks that they hold for each team, waiting and running.
	TeamTasks map[string]int
	// Index is the place of this daemon, from 0, among all Count daemons of the
	// data centre in an order that all of them use.
	Index, Count int
	// Remotes are the daemons of other data centres that can run tasks.
	Remotes []Remote
}

// Tick lets time pass. Deadlines, leases, the horizon and the batches of stop
// requests are looked at on ticks.
type Tick struct{}

// StopRequested begins a planned stop: no first delivery is accepted any more.
type StopRequested struct{}

// PartReceived brings a part of the table of a daemon that has stopped.
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

// Action is something that the surroundings of the core must do.
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

// StartTask sends one start to a target, at most once, and brings its end back
// as StartEnded. After the timeout nobody waits for it any longer.
type StartTask struct {
	Target  filbertford.VM
	Request filbertford.StartRequest
	Timeout time.Duration
}

// StartRemote has a daemon of another data centre run a task, as a job of its
// own. It is sent at most once, and its end comes back as StartEnded.
type StartRemote struct {
	Address string
	ID      filbertford.StartID
	Job     filbertford.Job
}

// StopRemote gives up a task at a daemon of another data centre.
type StopRemote struct{ Starts []filbertford.StartID }

// StopTasks tells a target in one message to stop tasks.
type StopTasks struct {
	Target filbertford.VM
	Starts []filbertford.StartID
}

// RenewLease asks a target to prolong the lease of this daemon's tasks there.
// A success comes back as LeaseRenewed.
type RenewLease struct {
	Target filbertford.VM
	Lease  time.Duration
}

// Drained tells that a stopping daemon has nothing in flight any more, so that
// its table can be handed to an heir.
type Drained struct{}

// Violated tells that an invariant does not hold.
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
