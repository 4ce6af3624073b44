package filbertford

import "slices"

// DataCentre is the name of a data centre.
type DataCentre string

// VMID is the name of a virtual machine of the platform.
type VMID string

// TargetID is the name of a target, a worker that runs tasks.
type TargetID string

// Role is the purpose of a VM.
type Role string

// The roles of VMs.
const (
	RoleEntry  Role = "entry"
	RoleTarget Role = "target"
)

// VMState is the state of a VM in the platform's list.
type VMState string

// The states of VMs.
const (
	VMLive    VMState = "live"
	VMLeaving VMState = "leaving"
)

// VM is an entry of the platform's VM list, which may be out of date.
type VM struct {
	id         VMID
	role       Role
	state      VMState
	dataCentre DataCentre
	address    string
	rack       string
	slots      int
	conns      int
	services   []string
}

// NewVM returns a live VM with the address, in the form host:port, at which it
// serves its role.
func NewVM(id VMID, role Role, dc DataCentre, address string) VM {
	return VM{id: id, role: role, state: VMLive, dataCentre: dc, address: address}
}

// WithState returns a copy of v in the given state.
func (v VM) WithState(s VMState) VM {
	v.state = s
	return v
}

// WithRack returns a copy of v in the given rack.
func (v VM) WithRack(rack string) VM {
	v.rack = rack
	return v
}

// WithCapacity returns a copy of v that runs up to slots tasks at a time and
// accepts up to conns connections from each daemon's data centre.
func (v VM) WithCapacity(slots, conns int) VM {
	v.slots, v.conns = slots, conns
	return v
}

// WithServices returns a copy of v that runs only the named services. None
// means that it runs all.
func (v VM) WithServices(services ...string) VM {
	v.services = slices.Clone(services)
	return v
}

// ID returns the VM's name.
func (v VM) ID() VMID { return v.id }

// Role returns the VM's purpose.
func (v VM) Role() Role { return v.role }

// State returns the VM's state in the platform's list.
func (v VM) State() VMState { return v.state }

// DataCentre returns the data centre of the VM.
func (v VM) DataCentre() DataCentre { return v.dataCentre }

// Address returns the address, host:port, at which the VM serves its role.
func (v VM) Address() string { return v.address }

// Rack returns the rack of the VM.
func (v VM) Rack() string { return v.rack }

// Slots returns how many tasks the VM runs at a time.
func (v VM) Slots() int { return v.slots }

// Conns returns how many connections the VM accepts from a data centre.
func (v VM) Conns() int { return v.conns }

// Services returns the services that the VM runs; none means all.
func (v VM) Services() []string { return v.services }

// Serves reports whether the VM runs the service.
func (v VM) Serves(service string) bool {
	return len(v.services) == 0 || slices.Contains(v.services, service)
}
