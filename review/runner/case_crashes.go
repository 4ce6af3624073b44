package main

import (
	"context"
	"fmt"
	"time"
)

// twoCrashes: the worker that runs a long task crashes, and later so does the next one. No
// run of the task has ended as failed, so that the job must not be shown as failed.
func twoCrashes(ctx context.Context, s *setting) (bool, error) {
	if err := s.begin(ctx, defaultRoute()); err != nil {
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
	long := job{
		id: jobID(2, 1), spec: map[string]any{"run_ms": 9000},
		steps: []step{{Count: 1, taskDemand: taskDemand{CPU: 6800, Memory: 64}, EstimateMS: 9000}},
	}
	if !s.submit(ctx, s.nodes[0], long, patience).accepted() {
		return false, fmt.Errorf("%w: the job wasn't accepted", errPrecondition)
	}
	task := taskName(long.id, 0, 0)
	for range 2 {
		if err := sleep(ctx, 3*time.Second); err != nil {
			return false, err
		}
		if !s.trouble {
			continue
		}
		w := runningAt(s.workers, task)
		if w == nil {
			return false, fmt.Errorf("%w: the task isn't running", errPrecondition)
		}
		w.crash()
		s.group.Go(func() error {
			if sleep(s.ctx, 2*time.Second) == nil {
				w.restart()
			}
			return nil
		})
	}
	for range 30 {
		if err := sleep(ctx, time.Second); err != nil {
			return false, err
		}
		switch r := s.state(ctx, s.nodes[1], long.id, patience); r.state {
		case "failed", "cancelled":
			failed := 0
			for _, w := range s.workers {
				_, ends := w.history()
				for _, e := range ends {
					if e.task == task && e.how == "failed" {
						failed++
					}
				}
			}
			s.record.printf("the job is shown as %q; %d of its runs have ended as failed, 3 attempts are allowed", r.state, failed)
			return failed < 3, nil
		case "completed":
			return false, nil
		}
	}
	return false, fmt.Errorf("%w: the job has no end", errPrecondition)
}
