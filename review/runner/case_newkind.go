package main

import (
	"context"
	"slices"
	"time"
)

// newKind: a worker crashes and starts again at the same address under the same id, as a
// machine of another kind. No task that requires the earlier kind may start there.
func newKind(ctx context.Context, s *setting) (bool, error) {
	if err := s.begin(ctx, defaultRoute()); err != nil {
		return false, err
	}
	var changed *worker
	for _, zone := range zoneNames {
		for _, kind := range []string{"a", "a", "b", "b"} {
			w, err := s.addWorker(zone, kind)
			if err != nil {
				return false, err
			}
			if kind == "b" && changed == nil {
				changed = w
			}
		}
	}
	if err := s.startAll(ctx, "casa", "casa", "marrakech", "marrakech", "rabat", "rabat"); err != nil {
		return false, err
	}
	for i := range 120 {
		j := job{
			id: jobID(10, i), spec: map[string]any{"run_ms": 400},
			steps: []step{{Count: 8, taskDemand: taskDemand{CPU: 6800, Memory: 64}, EstimateMS: 400, RequiredLabel: "b"}},
		}
		n := s.nodes[i%len(s.nodes)]
		s.group.Go(func() error {
			s.submit(s.ctx, n, j, patience)
			return nil
		})
		if i == 30 && s.trouble {
			changed.crash()
		}
		if i == 70 && s.trouble {
			changed.restart("a", "r0")
		}
		if err := sleep(ctx, 50*time.Millisecond); err != nil {
			return false, err
		}
	}
	if err := sleep(ctx, 3*time.Second); err != nil {
		return false, err
	}
	broken := false
	for _, st := range startsOf(s.workers, "") {
		if !slices.Contains(st.labels, "b") {
			broken = true
			s.record.printf("%s run %d, which requires the label b, was started at %.3f on worker %s with labels %v", st.task, st.run, st.at.Seconds(), st.worker, st.labels)
		}
	}
	return broken, nil
}
