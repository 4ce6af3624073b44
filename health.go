package filbertford

import "time"

// TargetHealth is a policy's assessment of a target.
type TargetHealth string

// The health states of a target.
const (
	// HealthTrusted is the state of a target that shows no fault.
	HealthTrusted TargetHealth = ""
	// HealthSuspect is the state of a target that gets one task at a time.
	HealthSuspect TargetHealth = "suspect"
	// HealthQuarantined is the state of a target that gets single probes only.
	HealthQuarantined TargetHealth = "quarantined"
)

// HealthChange is a change of a target's health.
type HealthChange struct {
	at     time.Time
	target TargetID
	health TargetHealth
}

// NewHealthChange returns the change of the target's health to the given state.
func NewHealthChange(at time.Time, target TargetID, health TargetHealth) HealthChange {
	return HealthChange{at: at, target: target, health: health}
}

// At returns the time of the change.
func (c HealthChange) At() time.Time { return c.at }

// Target returns the target.
func (c HealthChange) Target() TargetID { return c.target }

// Health returns the new state.
func (c HealthChange) Health() TargetHealth { return c.health }

// HealthTracker is a Policy that assesses the health of targets and reports its
// changes for logs and metrics.
type HealthTracker interface {
	Policy
	// HealthChanges returns the changes since the last call.
	HealthChanges() []HealthChange
	// Hint passes the policy a target's health as assessed by a peer in the same
	// data centre. A hint of HealthTrusted is ignored.
	Hint(now time.Time, target TargetID, health TargetHealth)
}

// Sharer is a Policy that divides the targets' slots among the daemons of a data
// centre and prefers the slots of its own share.
type Sharer interface {
	Policy
	// SetShare sets the number of daemons in the data centre and the index of
	// this daemon among them, from 0, in an order that all of them use, such as
	// that of the names of their VMs. Daemons that disagree for a while only
	// waste messages.
	SetShare(index, count int)
}
