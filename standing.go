package filbertford

import "time"

// TargetStanding tells what a policy makes of a target's health.
type TargetStanding string

// The standings of a target.
const (
	// StandingTrusted is the standing of targets without fault.
	StandingTrusted TargetStanding = ""
	// StandingSuspect is the standing of a target that gets one task at a time.
	StandingSuspect TargetStanding = "suspect"
	// StandingQuarantined is the standing of a target that gets single probes
	// only.
	StandingQuarantined TargetStanding = "quarantined"
)

// StandingChange is a change of a target's standing.
type StandingChange struct {
	at       time.Time
	target   TargetID
	standing TargetStanding
}

// NewStandingChange returns the change of the target to the standing.
func NewStandingChange(at time.Time, target TargetID, standing TargetStanding) StandingChange {
	return StandingChange{at: at, target: target, standing: standing}
}

// At returns the time of the change.
func (c StandingChange) At() time.Time { return c.at }

// Target returns the target.
func (c StandingChange) Target() TargetID { return c.target }

// Standing returns the new standing.
func (c StandingChange) Standing() TargetStanding { return c.standing }

// Standing is a Policy that judges targets and tells what changed, for logs
// and metrics.
type Standing interface {
	Policy
	// StandingChanges returns the changes since the last call.
	StandingChanges() []StandingChange
	// Hint takes in the standing that a peer of the same data centre gives a
	// target. Nothing is learnt from a trusted one.
	Hint(now time.Time, target TargetID, standing TargetStanding)
}

// Sharer is a Policy that divides the targets' slots into preferred shares.
type Sharer interface {
	Policy
	// Share tells that count daemons of the data centre share its targets and
	// that this one is the index'th of them, from 0, in an order that all of
	// them use, such as that of their VMs' names. Daemons that disagree for a
	// while waste messages, no more.
	Share(index, count int)
}
