package main

import (
	"context"
	"net/http"
	"time"
)

// runBestEffort: a best-effort job is cancelled while it runs.
func runBestEffort(ctx context.Context, l *lab, trouble bool) (bool, error) {
	if err := l.deploy(ctx, 4, [3]int{3, 3, 3}, false); err != nil {
		return false, err
	}
	steps := make([]step, 6)
	for i := range steps {
		steps[i] = newStep(2, taskCPU, time.Second)
		if i > 0 {
			steps[i].After = []int{i - 1}
		}
	}
	id, j := newID(), newJob(steps...)
	j.BestEffort = true
	answered := make(chan struct{})
	l.tasks.Go(func() {
		l.call(ctx, l.daemons[0], http.MethodPost, queuePrefix+id, j, routeTimeout)
		close(answered)
	})
	if err := sleep(ctx, 500*time.Millisecond); err != nil {
		return false, err
	}
	var acknowledged time.Time
	if trouble {
		status, _ := l.call(ctx, l.daemons[0], http.MethodDelete, queuePrefix+id, nil, defaultBudget)
		if status == http.StatusOK || status == http.StatusGone {
			acknowledged = time.Now()
		}
	}
	select {
	case <-ctx.Done():
		return false, ctx.Err()
	case <-answered:
	}
	broken := false
	for _, r := range l.runsOf(id) {
		if late := r.begun.Sub(acknowledged); !acknowledged.IsZero() && late > cancelTime {
			l.note("UNASKED: %s was started %v after the cancelling was acknowledged", r.task, late)
			broken = true
		}
	}
	return broken, nil
}
