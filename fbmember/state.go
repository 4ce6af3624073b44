package fbmember

import (
	"maps"
	"slices"

	"github.com/filbertford/filbertford"
)

// State is the state of a daemon that it sends to the others with each heartbeat.
type State struct {
	vm              filbertford.VMID
	incarnation     filbertford.Incarnation
	dataCentre      filbertford.DataCentre
	address         string
	stopping        bool
	settingsVersion uint64
	load            filbertford.Load
	token           string
	inherited       []filbertford.Incarnation
	teamTasks       map[string]int
	quarantined     []filbertford.TargetID
}

// NewState returns the state of a daemon whose peer listener is at the address.
func NewState(vm filbertford.VMID, inc filbertford.Incarnation, dc filbertford.DataCentre, address string) State {
	return State{vm: vm, incarnation: inc, dataCentre: dc, address: address}
}

// WithStopping returns a copy of s that reports whether a planned stop has begun.
func (s State) WithStopping(stopping bool) State {
	s.stopping = stopping
	return s
}

// WithSettingsVersion returns a copy of s with the settings version in force.
func (s State) WithSettingsVersion(version uint64) State {
	s.settingsVersion = version
	return s
}

// WithLoad returns a copy of s with the daemon's load and the token from which
// new IDs can be minted to direct jobs to it.
func (s State) WithLoad(l filbertford.Load, token string) State {
	s.load, s.token = l, token
	return s
}

// WithInherited returns a copy of s with the incarnations that the daemon
// answers for in addition to its own.
func (s State) WithInherited(incs []filbertford.Incarnation) State {
	s.inherited = slices.Clone(incs)
	return s
}

// WithTeamTasks returns a copy of s with the number of waiting and running tasks
// by team.
func (s State) WithTeamTasks(teamTasks map[string]int) State {
	s.teamTasks = maps.Clone(teamTasks)
	return s
}

// ForOtherDataCentre returns a copy of s without the fields that only daemons of
// its own data centre use: the owner token, the tasks by team and the quarantined
// targets.
func (s State) ForOtherDataCentre() State {
	s.quarantined = nil
	s.token, s.teamTasks = "", nil
	return s
}

// WithQuarantined returns a copy of s with the targets that the daemon has
// quarantined.
func (s State) WithQuarantined(targets []filbertford.TargetID) State {
	s.quarantined = slices.Clone(targets)
	return s
}

// VM returns the daemon's VM.
func (s State) VM() filbertford.VMID { return s.vm }

// Incarnation returns the daemon's incarnation.
func (s State) Incarnation() filbertford.Incarnation { return s.incarnation }

// DataCentre returns the daemon's data centre.
func (s State) DataCentre() filbertford.DataCentre { return s.dataCentre }

// Address returns the address of the peer listener.
func (s State) Address() string { return s.address }

// Stopping reports whether a planned stop has begun.
func (s State) Stopping() bool { return s.stopping }

// SettingsVersion returns the settings version in force.
func (s State) SettingsVersion() uint64 { return s.settingsVersion }

// Load returns the daemon's load.
func (s State) Load() filbertford.Load { return s.load }

// Token returns the daemon's owner token as text, empty while the daemon is
// stopping.
func (s State) Token() string { return s.token }

// Inherited returns the incarnations that the daemon answers for in addition to
// its own.
func (s State) Inherited() []filbertford.Incarnation { return s.inherited }

// TeamTasks returns the number of waiting and running tasks by team.
func (s State) TeamTasks() map[string]int { return s.teamTasks }

// Quarantined returns the targets that the daemon has quarantined.
func (s State) Quarantined() []filbertford.TargetID { return s.quarantined }
