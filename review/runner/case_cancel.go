package main

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/filbertford/filbertford/fbstandin"
)

// outage is the length of an outage of the store, as in the site file.
const outage = 4500 * time.Millisecond

// clientDeadline is the time budget of the small installations' clients.
const clientDeadline = 1500 * time.Millisecond

// setStore lets the store turn all calls away ("busy"), answer none ("silent") or serve them
// again (empty).
func (s *setting) setStore(outage string) {
	s.record.printf("outage of the store: %q", outage)
	s.store.SetFaults(fbstandin.RowFaults{DelayMS: storeDelayMS, Outage: outage})
}

// earlyCancel: while the store is down, a client hands a job in, gets no answer in time, and
// cancels it. The cancelling is acknowledged, so that no task may start long after.
func earlyCancel(ctx context.Context, s *setting) (bool, error) {
	if err := s.threeZones(ctx, 2); err != nil {
		return false, err
	}
	if s.trouble {
		s.setStore("busy")
	}
	up := s.record.now() + outage
	j := job{
		id: jobID(7, 1), spec: map[string]any{"run_ms": 4000, "run_ms_2": 3000},
		steps: []step{
			{Count: 1, taskDemand: taskDemand{CPU: 6800, Memory: 64}, EstimateMS: 4000},
			{Count: 1, taskDemand: taskDemand{CPU: 6800, Memory: 64}, EstimateMS: 3000, After: []int{0}},
		},
	}
	s.submit(ctx, s.nodes[0], j, clientDeadline)
	r := s.cancelJob(ctx, s.nodes[1], j.id, clientDeadline)
	if err := sleep(ctx, up-s.record.now()); err != nil {
		return false, err
	}
	if s.trouble {
		s.setStore("")
	}
	if !r.accepted() && r.status != http.StatusGone {
		return false, fmt.Errorf("%w: the cancelling wasn't acknowledged", errPrecondition)
	}
	if err := sleep(ctx, 14*time.Second); err != nil {
		return false, err
	}
	s.state(ctx, s.nodes[2], j.id, patience)
	broken := false
	for _, st := range startsOf(s.workers, "") {
		if !strings.HasPrefix(st.task, j.id) {
			continue
		}
		late := st.at > r.answeredAt+cancelTime && st.at > up+stableTime
		s.record.printf("%s started %.2f s after the cancelling was acknowledged with %d and %.2f s after the store was back", st.task, (st.at - r.answeredAt).Seconds(), r.status, (st.at - up).Seconds())
		broken = broken || late
	}
	return broken, nil
}
