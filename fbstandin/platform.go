package fbstandin

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/filbertford/filbertford"
)

// Platform is a stand-in for the platform's table service, object store and VM
// list.
type Platform struct {
	vmLag  time.Duration
	closed chan struct{}

	mu             sync.Mutex
	faults         PlatformFaults
	faultsChanged  chan struct{}
	rows           map[string]filbertford.Row
	objects        map[string][]byte
	vms            map[filbertford.VMID]filbertford.VM
	pendingChanges []vmChange
	counters       PlatformCounters
}

// vmChange is a change of the VM list that isn't visible yet.
type vmChange struct {
	visibleAt time.Time
	id        filbertford.VMID
	vm        filbertford.VM
	removed   bool
}

// NewPlatform returns an empty platform. Changes become visible in its VM list
// after vmLag.
func NewPlatform(vmLag time.Duration) *Platform {
	return &Platform{
		vmLag:         vmLag,
		closed:        make(chan struct{}),
		faultsChanged: make(chan struct{}),
		rows:          make(map[string]filbertford.Row),
		objects:       make(map[string][]byte),
		vms:           make(map[filbertford.VMID]filbertford.VM),
	}
}

// SetFaults replaces the faults that the platform simulates. It ends the delay
// of the requests that are being delayed; they take effect immediately.
func (p *Platform) SetFaults(f PlatformFaults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = f
	close(p.faultsChanged)
	p.faultsChanged = make(chan struct{})
}

// Counters returns a copy of the platform's counters.
func (p *Platform) Counters() PlatformCounters {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.counters
}

// Close closes the connections of the requests that are being delayed. It must
// be called at most once.
func (p *Platform) Close() { close(p.closed) }

// PutVM adds a VM to the list or replaces the one with its ID, after the lag.
func (p *Platform) PutVM(vm filbertford.VM) {
	p.changeVM(vmChange{visibleAt: time.Now().Add(p.vmLag), id: vm.ID(), vm: vm})
}

// RemoveVM removes a VM from the list, after the lag.
func (p *Platform) RemoveVM(id filbertford.VMID) {
	p.changeVM(vmChange{visibleAt: time.Now().Add(p.vmLag), id: id, removed: true})
}

// Seed adds VMs to the list without the lag.
func (p *Platform) Seed(vms ...filbertford.VM) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, vm := range vms {
		p.vms[vm.ID()] = vm
	}
}

// waitDelay waits for the delay of the current faults, unless the platform is
// down. It returns the faults, and false if the platform was closed meanwhile.
// The wait doesn't end when the client closes the request: a client that stops
// waiting can't revoke a write that it has sent.
func (p *Platform) waitDelay() (PlatformFaults, bool) {
	p.mu.Lock()
	f, changed := p.faults, p.faultsChanged
	p.mu.Unlock()
	if f.delay <= 0 || f.down {
		return f, true
	}
	p.addDelayed(1)
	defer p.addDelayed(-1)
	timer := time.NewTimer(f.delay)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-changed:
	case <-p.closed:
		return f, false
	}
	return f, true
}

func (p *Platform) changeVM(c vmChange) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pendingChanges = append(p.pendingChanges, c)
}

// listVMs applies the changes that have become visible, and returns the VMs that
// the filter selects, ordered by ID.
func (p *Platform) listVMs(f filbertford.VMFilter) []filbertford.VM {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.counters.vmReads++
	now := time.Now()
	for len(p.pendingChanges) > 0 && !p.pendingChanges[0].visibleAt.After(now) {
		c := p.pendingChanges[0]
		p.pendingChanges = p.pendingChanges[1:]
		if c.removed {
			delete(p.vms, c.id)
			continue
		}
		p.vms[c.id] = c.vm
	}
	out := make([]filbertford.VM, 0, len(p.vms))
	for _, vm := range p.vms {
		if f.Selects(vm) {
			out = append(out, vm)
		}
	}
	slices.SortFunc(out, func(a, b filbertford.VM) int { return cmp.Compare(a.ID(), b.ID()) })
	return out
}

func (p *Platform) read(keys []string) []filbertford.Row {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.counters.reads++
	rows := make([]filbertford.Row, 0, len(keys))
	for _, key := range keys {
		row, ok := p.rows[key]
		if !ok {
			row = filbertford.NewRow(key, nil, 0)
		}
		rows = append(rows, row)
	}
	return rows
}

// commit applies all writes and returns true, or none and returns false if the
// version of one of the rows differs.
func (p *Platform) commit(writes []filbertford.Write) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, w := range writes {
		if p.rows[w.Key()].Version() != w.Version() {
			p.counters.conflicts++
			return false
		}
	}
	p.counters.writes++
	for _, w := range writes {
		p.rows[w.Key()] = filbertford.NewRow(w.Key(), w.Value(), w.Version()+1)
	}
	return true
}

func (p *Platform) putObject(key string, data []byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.counters.objectWrites++
	p.objects[key] = data
}

func (p *Platform) object(key string) ([]byte, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.counters.objectReads++
	data, ok := p.objects[key]
	return data, ok
}
