package fbcore

import "github.com/filbertford/filbertford"

// TargetReport is what a core believes of a target.
type TargetReport struct {
	vm       filbertford.VM
	state    filbertford.VMState
	ownTasks int
	free     int
}

// VM returns the target's entry in the platform's list.
func (t TargetReport) VM() filbertford.VM { return t.vm }

// State returns whether the target gets new work.
func (t TargetReport) State() filbertford.VMState { return t.state }

// OwnTasks returns how many slots this daemon's tasks use.
func (t TargetReport) OwnTasks() int { return t.ownTasks }

// Free returns how many slots are believed to be free.
func (t TargetReport) Free() int { return t.free }

// Targets returns what the core believes of each target.
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
