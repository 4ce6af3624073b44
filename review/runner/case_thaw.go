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
	// freezes is how often the machine freezes, freezePeriod the time from one freeze to the next.
	freezes      = 5
	freezePeriod = 8 * time.Second
	// frozenJobs are sent to the machine at the rate of the site's traffic of one zone.
	frozenJobs   = 30
	frozenJobGap = 22 * time.Millisecond
)

// thawedEntry: a machine freezes while clients send best-effort jobs to it. They get no
// answer, and send them again to another machine. When the machine wakes, it must not run
// them too.
func thawedEntry(ctx context.Context, s *setting) (bool, error) {
	if err := s.threeZones(ctx, 3); err != nil {
		return false, err
	}
	frozen, other := s.nodes[0], s.nodes[len(s.nodes)-1]
	for round := range freezes {
		begun := s.record.now()
		if err := s.sendToFrozen(ctx, frozen, other, round); err != nil {
			return false, err
		}
		if err := sleep(ctx, begun+freezePeriod-s.record.now()); err != nil {
			return false, err
		}
	}
	return s.twice(), nil
}

// sendToFrozen freezes a daemon and sends jobs to it, and again to another one if there is no
// answer.
func (s *setting) sendToFrozen(ctx context.Context, frozen, other *node, round int) error {
	if s.trouble {
		frozen.signal(syscall.SIGSTOP)
		s.group.Go(func() error {
			_ = sleep(s.ctx, freezeFor) // shorter if the case ends
			frozen.signal(syscall.SIGCONT)
			return nil
		})
	}
	for i := range frozenJobs {
		j := job{
			id: jobID(21, round*frozenJobs+i), spec: map[string]any{"run_ms": 900}, bestEffort: true,
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
		if err := sleep(ctx, frozenJobGap); err != nil {
			return err
		}
	}
	return nil
}
