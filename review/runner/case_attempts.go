package main

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"time"
)

// extraAttempt: jobs come that can never be done, and the daemons that give orders to the
// workers are killed one after the other. A task must not start again after as many runs as allowed have failed.
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
	for i := range 240 {
		fails := i%2 == 0
		j := job{
			id: jobID(8, i), spec: map[string]any{"run_ms": 200 + i%7*10, "fail": fails, "spread_ms": 20},
			steps: []step{{Count: 2, taskDemand: taskDemand{CPU: 1600, Memory: 64}, EstimateMS: 250}},
		}
		n := s.nodes[i%len(s.nodes)]
		s.group.Go(func() error {
			s.submit(s.ctx, n, j, patience)
			return nil
		})
		if i%60 == 59 && i/60 < len(zoneNames) && s.trouble {
			victim := s.ownerOf(zoneNames[i/60])
			if victim == nil {
				return false, fmt.Errorf("%w: no daemon owns the pool of %s", errPrecondition, zoneNames[i/60])
			}
			victim.kill()
			s.group.Go(func() error {
				if sleep(s.ctx, time.Second) != nil {
					return nil
				}
				return victim.start()
			})
		}
		if err := sleep(ctx, 30*time.Millisecond); err != nil {
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
