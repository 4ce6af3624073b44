package main

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"time"
)

// The doses of the disruptions are those of the site file: one job in fifteen can never be
// done, for 3 s at a time, and one process is killed at a time.
const (
	poisonShare  = 15
	poisonTime   = 3 * time.Second
	poisonPeriod = 6 * time.Second
	poisonTimes  = 8
	killAfter    = 2300 * time.Millisecond // from the first job that can't be done
)

// extraAttempt: a share of the jobs can never be done, and the daemons that give orders to the
// workers are killed one after the other. A task must not start again after as many of its
// runs as allowed have failed.
func extraAttempt(ctx context.Context, s *setting) (bool, error) {
	const attempts = 2
	route := defaultRoute()
	route.Attempts = attempts
	if err := s.begin(ctx, route); err != nil {
		return false, err
	}
	for _, zone := range zoneNames {
		for range 4 {
			if _, err := s.addWorker(zone, "a"); err != nil {
				return false, err
			}
		}
	}
	if err := s.startAll(ctx, "casa", "casa", "marrakech", "marrakech", "rabat", "rabat"); err != nil {
		return false, err
	}
	begun, kills := s.record.now(), 0
	for i := 0; s.record.now()-begun < poisonTimes*poisonPeriod; i++ {
		elapsed := s.record.now() - begun
		j := job{
			id: jobID(8, i), spec: map[string]any{"run_ms": 100},
			steps: []step{{Count: 1, taskDemand: taskDemand{CPU: 800, Memory: 64}, EstimateMS: 100}},
		}
		if i%poisonShare == 0 && elapsed%poisonPeriod < poisonTime {
			j.spec = map[string]any{"run_ms": 200, "fail": true, "spread_ms": 20}
			j.steps = []step{{Count: 8, taskDemand: taskDemand{CPU: 1600, Memory: 64}, EstimateMS: 250}}
		}
		n := s.nodes[i%len(s.nodes)]
		s.group.Go(func() error {
			s.submit(s.ctx, n, j, patience)
			return nil
		})
		if s.trouble && elapsed >= time.Duration(kills)*poisonPeriod+killAfter {
			zone := zoneNames[kills%len(zoneNames)]
			kills++
			victim := s.ownerOf(zone)
			if victim == nil {
				return false, fmt.Errorf("%w: no daemon owns the pool of %s", errPrecondition, zone)
			}
			victim.kill()
			s.group.Go(func() error {
				if sleep(s.ctx, time.Second) != nil {
					return nil
				}
				return victim.start()
			})
		}
		if err := sleep(ctx, 7*time.Millisecond); err != nil {
			return false, err
		}
	}
	if err := sleep(ctx, 8*time.Second); err != nil {
		return false, err
	}
	return s.overBudget(attempts), nil
}

// overBudget reports whether a task was started after attempts of its runs had ended as
// failed, and those ends were taken note of before their worker's lease lapsed.
func (s *setting) overBudget(attempts int) bool {
	failed := make(map[string][]*workerEnd)
	for _, w := range s.workers {
		_, ends := w.history()
		for _, e := range ends {
			if e.how == "failed" && e.notedAt > 0 && !e.lapsed {
				failed[e.task] = append(failed[e.task], e)
			}
		}
	}
	broken := false
	for _, st := range startsOf(s.workers, "") {
		n := 0
		var before []string
		for _, e := range failed[st.task] {
			if e.at < st.at {
				n++
				before = append(before, fmt.Sprintf("run %d at %.3f, noted at %.3f", e.run, e.at.Seconds(), e.notedAt.Seconds()))
			}
		}
		if n >= attempts {
			broken = true
			slices.Sort(before)
			s.record.printf("%s run %d was started at %.3f, after %d failed runs: %s", st.task, st.run, st.at.Seconds(), n, strings.Join(before, "; "))
		}
	}
	return broken
}
