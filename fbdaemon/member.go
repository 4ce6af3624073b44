package fbdaemon

import (
	"context"
	"time"

	"github.com/filbertford/filbertford"
	"github.com/filbertford/filbertford/fbcore"
	"github.com/filbertford/filbertford/fbevent"
	"github.com/filbertford/filbertford/fbmember"
)

// pollVMs reads the platform's list. While it can't be read the daemon goes on
// with what it last knew.
func (d *Daemon) pollVMs(ctx context.Context) {
	ask, cancel := context.WithTimeout(ctx, d.requestTimeout)
	defer cancel()
	d.metrics.vmReads.Inc(1)
	vms, err := d.readVMs(ask)
	if err != nil {
		d.platformState(false, err)
		if !d.haveVMs.Load() {
			d.borrowVMs(ctx)
		}
		return
	}
	d.platformState(true, nil)
	_ = d.send(ctx, vmsRead{vms})
}

// readVMs reads what a daemon needs of the platform's list: the entry VMs of all
// data centres and the targets of its own.
func (d *Daemon) readVMs(ctx context.Context) ([]filbertford.VM, error) {
	entries, err := d.vmList.VMs(ctx, filbertford.VMFilter{}.WithRole(filbertford.RoleEntry))
	if err != nil {
		return nil, err
	}
	targets, err := d.vmList.VMs(ctx, d.ownTargets())
	if err != nil {
		return nil, err
	}
	return append(entries, targets...), nil
}

// ownTargets selects the targets of the daemon's data centre.
func (d *Daemon) ownTargets() filbertford.VMFilter {
	return filbertford.VMFilter{}.WithRole(filbertford.RoleTarget).WithDataCentre(d.dataCentre)
}

// borrowVMs takes the platform's list from another daemon, for a boot while the
// platform is out. It must be one of the same data centre, since others read
// other targets.
func (d *Daemon) borrowVMs(ctx context.Context) {
	var members []fbmember.Member
	err := d.inquire(ctx, func(c *control, now time.Time) { members = c.dir.Reachable(now) })
	if err != nil {
		return
	}
	ask, cancel := context.WithTimeout(ctx, d.requestTimeout)
	defer cancel()
	for _, m := range members {
		if m.State().DataCentre() != d.dataCentre {
			continue
		}
		if vms, err := d.peers.VMs(ask, m.Address()); err == nil && len(vms) > 0 {
			_ = d.send(ctx, vmsRead{vms})
			return
		}
	}
}

// platformState logs when the platform comes and goes.
func (d *Daemon) platformState(up bool, err error) {
	if d.platformUp.Swap(up) == up {
		return
	}
	if up {
		fbevent.PlatformReachable.Log(d.log)
		return
	}
	fbevent.PlatformUnreachable.Log(d.log, "error", err.Error())
}

// vmsRead brings the platform's list to the control goroutine.
type vmsRead struct{ vms []filbertford.VM }

func (m vmsRead) handle(c *control, now time.Time) {
	c.vms = m.vms
	c.dir.SetVMs(now, m.vms)
	c.setTargets(now)
	c.d.haveVMs.Store(true)
}

// setTargets hands the targets of the data centre to the core, those that
// operators drain as leaving.
func (c *control) setTargets(now time.Time) {
	settings := c.d.settings.Load()
	_, daemons := c.dir.Share(now)
	var targets []filbertford.VM
	for _, vm := range c.vms {
		if vm.Role() != filbertford.RoleTarget || vm.DataCentre() != c.d.dataCentre {
			continue
		}
		vm = c.d.reachableSlots(vm, daemons)
		if settings.Draining(filbertford.TargetID(vm.ID())) {
			vm = vm.WithState(filbertford.VMLeaving)
		}
		targets = append(targets, vm)
	}
	c.drive(now, fbcore.TargetsChanged{Targets: targets})
}

// reachableSlots bounds a target's slots by this daemon's part of the connections
// that the target takes from all daemons of the data centre. One connection is
// kept for stops and renewals.
func (d *Daemon) reachableSlots(vm filbertford.VM, daemons int) filbertford.VM {
	conns := d.targetConns
	if vm.Conns() > 0 {
		conns = min(conns, vm.Conns()/daemons)
	}
	return vm.WithCapacity(min(vm.Slots(), max(1, conns-1)), vm.Conns())
}

// heartbeat tells the daemons that have been silent for the period this
// daemon's state, each in a goroutine of its own.
func (d *Daemon) heartbeat(ctx context.Context) {
	var due []string
	var state fbmember.State
	far := make(map[string]bool)
	err := d.inquire(ctx, func(c *control, now time.Time) {
		due = c.dir.Due(now, d.heartbeatPeriod)
		for _, address := range due {
			far[address] = c.dir.Far(address)
		}
		state = c.state(now)
		index, count := c.dir.Share(now)
		c.drive(now, fbcore.PeersChanged{Teams: c.dir.PeerUse(now), Index: index, Count: count, Remotes: c.remotes(now)})
	})
	if err != nil {
		return
	}
	for _, address := range due {
		told := state
		if far[address] {
			told = state.Abroad()
		}
		d.traffic.Go(func() error {
			d.beat(address, told)
			return nil
		})
	}
}

func (d *Daemon) beat(address string, state fbmember.State) {
	ctx, cancel := context.WithTimeout(d.ctx, d.requestTimeout)
	defer cancel()
	asked := d.timer.Now()
	d.metrics.heartbeats.Inc(1)
	reply, err := d.peers.Heartbeat(ctx, address, state)
	if err != nil {
		return
	}
	_ = d.send(d.ctx, memberAnswered{asked: asked, address: address, state: reply})
}

// memberAnswered brings the reply to a heartbeat to the control goroutine.
type memberAnswered struct {
	asked   time.Time
	address string
	state   fbmember.State
}

func (m memberAnswered) handle(c *control, now time.Time) {
	c.dir.Answered(now, m.asked, m.address, m.state)
	c.takeHints(now, m.state)
}

// memberHeard brings a heartbeat of another daemon to the control goroutine.
type memberHeard struct {
	state fbmember.State
	reply chan fbmember.State
}

func (m memberHeard) handle(c *control, now time.Time) {
	c.dir.Heard(now, m.state)
	c.takeHints(now, m.state)
	own := c.state(now)
	if m.state.DataCentre() != own.DataCentre() {
		own = own.Abroad()
	}
	m.reply <- own
}
