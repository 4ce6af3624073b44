package fbsoak

import (
	"context"
	"fmt"
	"syscall"
	"time"

	"github.com/filbertford/filbertford/fbstandin"
)

// inject injects a fault and, after its duration, ends it.
func (s *Soak) inject(ctx context.Context, f Fault) {
	switch f.Kind {
	case FaultKill, FaultStop, FaultPause, FaultReload:
		s.injectSignal(ctx, f)
	case FaultKillAll:
		s.recordImpact(-1, f)
		for _, n := range s.nodes {
			n.process.Signal(syscall.SIGKILL)
		}
		s.sleep(ctx, f.Duration)
		for i := range s.nodes {
			s.restart(i)
		}
	case FaultPeers:
		s.recordImpact(-1, f) // other daemons depend on this one
		s.injectLinkFault(ctx, f, s.nodes[f.Index].peers, "peers", f.Index)
	case FaultStoreLink:
		s.recordImpact(f.Index, f)
		s.injectLinkFault(ctx, f, s.nodes[f.Index].store, "store", f.Index)
	case FaultTargetLink:
		s.recordImpact(-1, f)
		s.injectLinkFault(ctx, f, s.links[f.Index], "target", f.Index)
	case FaultRoutes:
		if err := s.putRoutes(); err != nil {
			s.violationf("cannot write the routes: %v", err)
		}
	case FaultCompact:
		s.store.Compact()
	case FaultTargetFails, FaultTargetHangs, FaultTargetLoses, FaultTargetLate, FaultTargetSlow:
		s.recordImpact(-1, f)
		s.injectTargetFault(ctx, f, f.Index)
	case FaultTargetsLate:
		s.recordImpact(-1, f)
		var all []int
		for i := range s.workers {
			all = append(all, i)
		}
		s.injectTargetFault(ctx, f, all...)
	case FaultTargetRestarts, FaultTargetReplaced:
		s.recordImpact(-1, f)
		s.restartTarget(ctx, f)
	case FaultCallers:
		s.recordImpact(f.Index, f)
		f.Link = LinkReset
		s.injectLinkFault(ctx, f, s.nodes[f.Index].callers, "callers", f.Index)
	case FaultEvacuation:
		s.recordImpact(-1, f)
		dataCentre := s.opts.DataCentres[f.Index%len(s.opts.DataCentres)]
		s.store.Evacuate(dataCentre)
		s.sleep(ctx, f.Duration)
		s.store.EndEvacuation(dataCentre)
	default:
		s.recordImpact(-1, f)
		s.injectStoreFault(ctx, f)
	}
}

// injectSignal kills, stops, pauses or reloads a daemon by a signal.
func (s *Soak) injectSignal(ctx context.Context, f Fault) {
	process := s.nodes[f.Index].process
	switch f.Kind {
	case FaultKill:
		s.recordImpact(-1, f)
		process.Signal(syscall.SIGKILL)
		s.sleep(ctx, f.Duration)
		s.restart(f.Index)
	case FaultStop:
		s.recordImpact(f.Index, f)
		if !process.Stop(stopTimeout) && !s.isImpacted(f.Index, time.Now().Add(-stopTimeout), time.Now(), true) {
			s.violationf("daemon %d did not stop within %v", f.Index, stopTimeout)
		}
		s.restart(f.Index)
	case FaultPause:
		s.recordImpact(-1, f)
		process.Signal(syscall.SIGSTOP)
		s.sleep(ctx, f.Duration)
		process.Signal(syscall.SIGCONT)
	default:
		process.Signal(syscall.SIGHUP)
	}
}

func (s *Soak) restart(node int) {
	if err := s.nodes[node].process.Start(); err != nil {
		s.violationf("cannot start daemon %d: %v", node, err)
	}
}

// injectLinkFault puts a link into the fault's state. If faults of a link overlap,
// the link is up again after the last one.
func (s *Soak) injectLinkFault(ctx context.Context, f Fault, p *Proxy, link string, index int) {
	key := link + string(rune('0'+index))
	s.addActiveFaults(key, 1)
	p.Set(f.Link, f.Delay)
	s.sleep(ctx, f.Duration)
	if s.addActiveFaults(key, -1) == 0 {
		p.Set(LinkUp, 0)
	}
}

// addActiveFaults adds delta to the number of active faults of a component and
// returns the sum.
func (s *Soak) addActiveFaults(key string, delta int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.activeFaults[key] += delta
	return s.activeFaults[key]
}

// injectTargetFault sets a fault of the stand-ins of targets.
func (s *Soak) injectTargetFault(ctx context.Context, f Fault, targets ...int) {
	faults := map[FaultKind]fbstandin.WorkerFaults{
		FaultTargetFails: {Fail: true}, FaultTargetHangs: {Hang: true}, FaultTargetLoses: {LoseReplyEvery: 3},
		FaultTargetLate: {DelayMS: 1500, LoseReplyEvery: 4}, FaultTargetSlow: {SlowFactor: 5},
		FaultTargetsLate: {DelayMS: int(f.Delay.Milliseconds()), LoseReplyEvery: 3},
	}
	for _, i := range targets {
		s.addActiveFaults(workerKey(i), 1)
		s.workers[i].SetFaults(faults[f.Kind])
	}
	s.sleep(ctx, f.Duration)
	for _, i := range targets {
		if s.addActiveFaults(workerKey(i), -1) == 0 {
			s.workers[i].SetFaults(fbstandin.WorkerFaults{})
		}
	}
}

func workerKey(i int) string { return "worker" + string(rune('0'+i)) }

// restartTarget makes a target's stand-in crash, and starts it again after the fault's
// duration.
func (s *Soak) restartTarget(ctx context.Context, f Fault) {
	id := "" // the one that it had
	if f.Kind == FaultTargetReplaced {
		id = fmt.Sprintf("w%d-%d", f.Index, f.At.Milliseconds())
	}
	s.workers[f.Index].Crash()
	s.sleep(ctx, f.Duration)
	s.workers[f.Index].Restart(id)
}

// injectStoreFault sets a fault of the store's stand-in, which affects all daemons.
func (s *Soak) injectStoreFault(ctx context.Context, f Fault) {
	faults := map[FaultKind]fbstandin.RowFaults{
		FaultStoreBusy: {Outage: "busy"}, FaultStoreSilent: {Outage: "silent"}, FaultStoreSlow: {DelayMS: 250}, FaultStoreLoses: {LoseReplyEvery: 2},
	}
	s.addActiveFaults("rows", 1)
	s.store.SetFaults(faults[f.Kind])
	s.sleep(ctx, f.Duration)
	if s.addActiveFaults("rows", -1) == 0 {
		s.store.SetFaults(fbstandin.RowFaults{})
	}
}

func (s *Soak) sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
