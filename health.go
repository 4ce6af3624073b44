package filbertford

import "time"

// TargetHealth tells what a policy makes of a target's health.
type TargetHealth string

// The standings of a target.
const (
	// HealthTrusted is the standing of targets without fault.
	HealthTrusted TargetHealth = ""
	// HealthSuspect is the standing of a target that gets one task at a time.
	HealthSuspect TargetHealth = "suspect"
	// HealthQuarantined is the standing of a target that gets single probes
	// only.
	HealthQuarantined TargetHealth = "quarantined"
)

// HealthChange is a change of a target's standing.
type HealthChange struct {
	at     time.Time
	target TargetID
	health TargetHealth
}

// NewHealthChange returns the change of the target to the standing.
func NewHealthChange(at time.Time, target TargetID, health TargetHealth) HealthChange {
	return HealthChange{at: at, target: target, health: health}
}

// At returns the time of the change.
func (c HealthChange) At() time.Time { return c.at }

// Target returns the target.
func (c HealthChange) Target() TargetID { return c.target }

// Health returns the new standing.
func (c HealthChange) Health() TargetHealth { return c.health }

// HealthTracker is a Policy that judges targets and tells what changed, for logs
// and metrics.
type HealthTracker interface {
	Policy
	// HealthChanges returns the changes since the last call.
	HealthChanges() []HealthChange
	// Hint takes in the standing that a peer of the same data centre gives a
	// target. Nothing is learnt from a trusted one.
	Hint(now time.Time, target TargetID, standing TargetHealth)
}

// Sharer is a Policy that divides the targets' slots into preferred shares.
type Sharer interface {
	Policy
	// SetShare tells that count daemons of the data centre share its targets and
	// that this one is the index'th of them, from 0, in an order that all of
	// them use, such as that of their VMs' names. Daemons that disagree for a
	// while waste messages, no more.
	SetShare(index, count int)
}
