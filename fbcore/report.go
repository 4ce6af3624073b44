package fbcore

import "github.com/filbertford/filbertford"

// TargetReport is a core's view of a target.
type TargetReport struct {
	vm       filbertford.VM
	state    filbertford.VMState
	ownTasks int
	free     int
}

// VM returns the target's entry in the platform's list.
func (t TargetReport) VM() filbertford.VM { return t.vm }

// State returns VMLive if the target gets new work, VMLeaving otherwise.
func (t TargetReport) State() filbertford.VMState { return t.state }

// OwnTasks returns the number of slots that this daemon's tasks use.
func (t TargetReport) OwnTasks() int { return t.ownTasks }

// Free returns the estimated number of free slots.
func (t TargetReport) Free() int { return t.free }

// Targets returns a report on each target.
func (c *Core) Targets() []TargetReport {
	out := make([]TargetReport, 0, len(c.targetIDs))
	for _, id := range c.targetIDs {
		t := c.targets[id]
		state := filbertford.VMLive
		if !t.eligible("") {
			state = filbertford.VMLeaving
		}
		out = append(out, TargetReport{vm: t.vm, state: state, ownTasks: t.ownTasks, free: max(0, t.free())})
	}
	return out
}
