package fbnode

import (
	"time"

	"github.com/filbertford/filbertford"
	"github.com/filbertford/filbertford/fbsched"
)

func (d *simDaemon) minHeartbeatPeriod() time.Duration { return d.fleet.MinCapacityPeriod() }

func (d *simDaemon) capacityPeriodTo(node filbertford.NodeID) time.Duration {
	return d.fleet.CapacityPeriodTo(node)
}

func (d *simDaemon) holdStarts(p *fbsched.Pool) {
	if d.targetsReadAt == 0 || d.sim.now-d.targetsReadAt > candidateReadPeriod {
		p.HoldStarts(d.sim.now + recordsTimeout)
	}
}

func (d *simDaemon) releaseStarts(p *fbsched.Pool) { p.ReleaseStarts() }

func (d *simDaemon) dropCoordinator(node filbertford.NodeID) {
	if len(d.pools) == 0 {
		return
	}
	for _, id := range d.poolIDs() {
		d.pools[id].CoordinatorUnreachable(d.sim.now, node)
	}
	d.redial(node)
}

// doCall carries out the calls to targets.
func (d *simDaemon) doCall(a fbsched.Action) {
	name := string(d.name())
	switch v := a.(type) {
	case fbsched.StartCall:
		req := v.Request
		d.callTarget("start", req.Instance().ID(), req.Fence(), v.Timeout, 0, true,
			func(t *simTarget) filbertford.CallReply { return t.start(name, req) },
			func(p *fbsched.Pool, r filbertford.CallReply, sent, received time.Duration) {
				p.HandleStartReply(d.sim.now, req, r, sent, received)
			})
	case fbsched.StopCall:
		req := v.Request
		d.callTarget("stop", req.Instance().ID(), req.Fence(), v.Timeout, 0, true,
			func(t *simTarget) filbertford.CallReply { return t.stop(name, req) },
			func(p *fbsched.Pool, r filbertford.CallReply, sent, received time.Duration) {
				p.HandleStopReply(d.sim.now, req, r, sent, received)
			})
	case fbsched.PollCall:
		req := v.Request
		d.callTarget("poll", req.Instance().ID(), req.Fence(), v.Timeout, req.Wait(), false,
			func(t *simTarget) filbertford.CallReply { return t.poll(name, req) },
			func(p *fbsched.Pool, r filbertford.CallReply, sent, received time.Duration) {
				p.HandlePollReply(d.sim.now, v, r, sent, received)
			})
	}
}
