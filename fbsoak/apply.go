package fbsoak

import (
	"context"
	"syscall"
	"time"

	"github.com/filbertford/filbertford/fbstand"
)

// apply brings a fault about and ends it.
func (s *Soak) apply(ctx context.Context, f Fault) {
	switch f.Kind {
	case FaultKill, FaultStop, FaultPause, FaultReload:
		s.applySignal(ctx, f)
	case FaultKillAll:
		s.harmDuring(-1, f)
		for _, n := range s.nodes {
			n.process.Signal(syscall.SIGKILL)
		}
		s.pause(ctx, f.For)
		for i := range s.nodes {
			s.restart(i)
		}
	case FaultPeers:
		s.harmDuring(-1, f) // others rely on the daemon
		s.applyLink(ctx, f, s.nodes[f.Part].peers, "peers", f.Part)
	case FaultStoreLink:
		s.harmDuring(f.Part, f)
		s.applyLink(ctx, f, s.nodes[f.Part].store, "store", f.Part)
	case FaultTargetLink:
		s.harmDuring(-1, f)
		s.applyLink(ctx, f, s.links[f.Part], "target", f.Part)
	case FaultRoutes:
		if err := s.putRoutes(); err != nil {
			s.find("routes could not be written: %v", err)
		}
	case FaultCompact:
		s.store.Compact()
	case FaultTargetFails, FaultTargetHangs, FaultTargetLoses, FaultTargetLate:
		s.harmDuring(-1, f)
		s.applyTarget(ctx, f)
	default:
		s.harmDuring(-1, f)
		s.applyStore(ctx, f)
	}
}

// applySignal ends, pauses or reloads a daemon.
func (s *Soak) applySignal(ctx context.Context, f Fault) {
	process := s.nodes[f.Part].process
	switch f.Kind {
	case FaultKill:
		s.harmDuring(-1, f)
		process.Signal(syscall.SIGKILL)
		s.pause(ctx, f.For)
		s.restart(f.Part)
	case FaultStop:
		s.harmDuring(f.Part, f)
		if !process.End(grace) && !s.harmedIn(f.Part, time.Now().Add(-grace), time.Now(), true) {
			s.find("daemon %d did not stop within %v", f.Part, grace)
		}
		s.restart(f.Part)
	case FaultPause:
		s.harmDuring(-1, f)
		process.Signal(syscall.SIGSTOP)
		s.pause(ctx, f.For)
		process.Signal(syscall.SIGCONT)
	default:
		process.Signal(syscall.SIGHUP)
	}
}

func (s *Soak) restart(node int) {
	if err := s.nodes[node].process.Start(); err != nil {
		s.find("daemon %d could not be started: %v", node, err)
	}
}

// applyLink harms a link. Where faults overlap, the link heals with the last.
func (s *Soak) applyLink(ctx context.Context, f Fault, p *Proxy, what string, number int) {
	key := what + string(rune('0'+number))
	s.count(key, 1)
	p.Set(f.Link, f.Delay)
	s.pause(ctx, f.For)
	if s.count(key, -1) == 0 {
		p.Set(LinkUp, 0)
	}
}

// count changes the number of faults that are at work on a part and returns it.
func (s *Soak) count(key string, by int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pending[key] += by
	return s.pending[key]
}

// applyTarget has a target misbehave.
func (s *Soak) applyTarget(ctx context.Context, f Fault) {
	faults := map[FaultKind]fbstand.WorkerFaults{
		FaultTargetFails: {Fail: true}, FaultTargetHangs: {Hang: true}, FaultTargetLoses: {LoseOneIn: 3},
		FaultTargetLate: {LateMS: 1500, LoseOneIn: 4},
	}
	key := "worker" + string(rune('0'+f.Part))
	s.count(key, 1)
	s.workers[f.Part].SetFaults(faults[f.Kind])
	s.pause(ctx, f.For)
	if s.count(key, -1) == 0 {
		s.workers[f.Part].SetFaults(fbstand.WorkerFaults{})
	}
}

// applyStore has the store misbehave for all.
func (s *Soak) applyStore(ctx context.Context, f Fault) {
	faults := map[FaultKind]fbstand.RowFaults{
		FaultStoreBusy: {Down: "busy"}, FaultStoreSilent: {Down: "silent"}, FaultStoreSlow: {DelayMS: 250}, FaultStoreLoses: {LoseOneIn: 2},
	}
	s.count("rows", 1)
	s.store.SetFaults(faults[f.Kind])
	s.pause(ctx, f.For)
	if s.count("rows", -1) == 0 {
		s.store.SetFaults(fbstand.RowFaults{})
	}
}

func (s *Soak) pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
