package fbdaemon

import (
	"context"
	"time"

	"github.com/filbertford/filbertford"
	"github.com/filbertford/filbertford/fbcore"
	"github.com/filbertford/filbertford/fbevent"
	"github.com/filbertford/filbertford/fbmember"
)

// pollVMs reads the platform's VM list. If the list can't be read, the daemon keeps
// the one that it has, or gets one from another daemon if it has none.
func (d *Daemon) pollVMs(ctx context.Context) {
	requestCtx, cancel := context.WithTimeout(ctx, d.requestTimeout)
	defer cancel()
	d.metrics.vmReads.Inc(1)
	vms, err := d.readVMs(requestCtx)
	if err != nil {
		d.setPlatformReachable(false, err)
		if !d.haveVMs.Load() {
			d.fetchVMsFromPeer(ctx)
		}
		return
	}
	d.setPlatformReachable(true, nil)
	_ = d.send(ctx, vmsUpdated{vms})
}

// readVMs reads the VMs that the daemon needs from the platform's list: the entry
// VMs of all data centres and the targets of its own.
func (d *Daemon) readVMs(ctx context.Context) ([]filbertford.VM, error) {
	entries, err := d.vmList.VMs(ctx, filbertford.VMFilter{}.WithRole(filbertford.RoleEntry))
	if err != nil {
		return nil, err
	}
	targets, err := d.vmList.VMs(ctx, d.ownTargetFilter())
	if err != nil {
		return nil, err
	}
	return append(entries, targets...), nil
}

// ownTargetFilter returns a filter for the targets of the daemon's data centre.
func (d *Daemon) ownTargetFilter() filbertford.VMFilter {
	return filbertford.VMFilter{}.WithRole(filbertford.RoleTarget).WithDataCentre(d.dataCentre)
}

// fetchVMsFromPeer gets the VM list from another daemon, so that this daemon can
// start while the platform is unreachable. Only daemons of the same data centre
// are asked, since the others read the targets of their own data centre.
func (d *Daemon) fetchVMsFromPeer(ctx context.Context) {
	var members []fbmember.Member
	err := d.callControl(ctx, func(c *controlLoop, now time.Time) { members = c.dir.Reachable(now) })
	if err != nil {
		return
	}
	requestCtx, cancel := context.WithTimeout(ctx, d.requestTimeout)
	defer cancel()
	for _, m := range members {
		if m.State().DataCentre() != d.dataCentre {
			continue
		}
		if vms, err := d.peers.VMs(requestCtx, m.Address()); err == nil && len(vms) > 0 {
			_ = d.send(ctx, vmsUpdated{vms})
			return
		}
	}
}

// setPlatformReachable records whether the platform is reachable, and logs it
// when that has changed.
func (d *Daemon) setPlatformReachable(reachable bool, err error) {
	if d.platformReachable.Swap(reachable) == reachable {
		return
	}
	if reachable {
		fbevent.PlatformReachable.Log(d.log)
		return
	}
	fbevent.PlatformUnreachable.Log(d.log, "error", err.Error())
}

// vmsUpdated is the message with a new VM list.
type vmsUpdated struct{ vms []filbertford.VM }

func (m vmsUpdated) handle(c *controlLoop, now time.Time) {
	c.vms = m.vms
	c.dir.SetVMs(now, m.vms)
	c.setTargets(now)
	c.d.haveVMs.Store(true)
}

// setTargets passes the targets of the data centre to the core. Targets that
// operators drain are passed as leaving.
func (c *controlLoop) setTargets(now time.Time) {
	settings := c.d.settings.Load()
	_, daemonCount := c.dir.Position(now)
	var targets []filbertford.VM
	for _, vm := range c.vms {
		if vm.Role() != filbertford.RoleTarget || vm.DataCentre() != c.d.dataCentre {
			continue
		}
		vm = c.d.limitSlotsByConns(vm, daemonCount)
		if settings.Draining(filbertford.TargetID(vm.ID())) {
			vm = vm.WithState(filbertford.VMLeaving)
		}
		targets = append(targets, vm)
	}
	c.handleEvent(now, fbcore.TargetsChanged{Targets: targets})
}

// limitSlotsByConns limits a target's slots to this daemon's share of the
// connections that the target accepts from all daemons of the data centre. One
// connection is reserved for stops and renewals.
func (d *Daemon) limitSlotsByConns(vm filbertford.VM, daemonCount int) filbertford.VM {
	conns := d.targetConns
	if vm.Conns() > 0 {
		conns = min(conns, vm.Conns()/daemonCount)
	}
	return vm.WithCapacity(min(vm.Slots(), max(1, conns-1)), vm.Conns())
}

// sendHeartbeats sends this daemon's state to the members that are due for a
// heartbeat, each in a separate goroutine. It also updates the state of the other
// daemons in the core.
func (d *Daemon) sendHeartbeats(ctx context.Context) {
	var due []string
	var state fbmember.State
	inOtherDataCentre := make(map[string]bool)
	err := d.callControl(ctx, func(c *controlLoop, now time.Time) {
		due = c.dir.DueHeartbeats(now, d.heartbeatPeriod)
		for _, address := range due {
			inOtherDataCentre[address] = c.dir.IsRemote(address)
		}
		state = c.ownState(now)
		index, count := c.dir.Position(now)
		c.handleEvent(now, fbcore.PeersChanged{TeamTasks: c.dir.PeerTeamTasks(now), Index: index, Count: count, Remotes: c.remotes(now)})
	})
	if err != nil {
		return
	}
	for _, address := range due {
		toSend := state
		if inOtherDataCentre[address] {
			toSend = state.ForOtherDataCentre()
		}
		d.requests.Go(func() error {
			d.sendHeartbeat(address, toSend)
			return nil
		})
	}
}

func (d *Daemon) sendHeartbeat(address string, state fbmember.State) {
	ctx, cancel := context.WithTimeout(d.ctx, d.requestTimeout)
	defer cancel()
	requestedAt := d.timer.Now()
	d.metrics.heartbeats.Inc(1)
	reply, err := d.peers.Heartbeat(ctx, address, state)
	if err != nil {
		return
	}
	_ = d.send(d.ctx, heartbeatReplied{requestedAt: requestedAt, address: address, state: reply})
}

// heartbeatReplied is the message with the reply to a heartbeat.
type heartbeatReplied struct {
	requestedAt time.Time
	address     string
	state       fbmember.State
}

func (m heartbeatReplied) handle(c *controlLoop, now time.Time) {
	c.dir.HandleReply(now, m.requestedAt, m.address, m.state)
	c.applyQuarantineHints(now, m.state)
}

// heartbeatReceived is the message with a heartbeat from another daemon.
type heartbeatReceived struct {
	state fbmember.State
	reply chan fbmember.State
}

func (m heartbeatReceived) handle(c *controlLoop, now time.Time) {
	c.dir.HandleHeartbeat(now, m.state)
	c.applyQuarantineHints(now, m.state)
	own := c.ownState(now)
	if m.state.DataCentre() != own.DataCentre() {
		own = own.ForOtherDataCentre()
	}
	m.reply <- own
}
