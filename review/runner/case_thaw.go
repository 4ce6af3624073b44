package main

import (
	"context"
	"errors"
	"net/http"
	"syscall"
	"time"
)

// Times of the disruption and of the clients.
const (
	freezeFor  = 3500 * time.Millisecond
	retransmit = 1300 * time.Millisecond
)

// thawedEntry: a machine freezes while clients send best-effort jobs to it. They get no
// answer, and send them again to another machine. When the machine wakes, it must not run
// them too.
func thawedEntry(ctx context.Context, s *setting) (bool, error) {
	if err := s.threeZones(ctx, 3); err != nil {
		return false, err
	}
	frozen, other := s.nodes[0], s.nodes[len(s.nodes)-1]
	if s.trouble {
		frozen.signal(syscall.SIGSTOP)
		s.group.Go(func() error {
			_ = sleep(s.ctx, freezeFor) // shorter if the case ends
			frozen.signal(syscall.SIGCONT)
			return nil
		})
	}
	for i := range 90 {
		j := job{
			id: jobID(21, i), spec: map[string]any{"run_ms": 900}, bestEffort: true,
			steps: []step{{Count: 4, taskDemand: taskDemand{CPU: 400, Memory: 64}, EstimateMS: 900}},
		}
		s.group.Go(func() error {
			// Each client has a channel of its own, which it closes when it gives up.
			transport := &http.Transport{}
			defer transport.CloseIdleConnections()
			own := *s.client
			own.Transport = transport
			r := s.submitWith(s.ctx, &own, frozen, j, clientDeadline)
			for r.status == 0 || r.status == http.StatusBadGateway || r.status == http.StatusGatewayTimeout {
				if errors.Is(sleep(s.ctx, retransmit), context.Canceled) {
					return nil
				}
				r = s.submitWith(s.ctx, &own, other, j, clientDeadline)
			}
			return nil
		})
		if err := sleep(ctx, 7*time.Millisecond); err != nil {
			return false, err
		}
	}
	if err := sleep(ctx, 10*time.Second); err != nil {
		return false, err
	}
	return s.twice(), nil
}
