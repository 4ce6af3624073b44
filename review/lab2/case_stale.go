package main

import (
	"context"
	"net/http"
	"slices"
	"time"
)

// Bounds of the rules.
const (
	cancelTime = 3 * time.Second // cancel_ms
	stableTime = 3 * time.Second // stableMs
)

// earlierJobs is the number of jobs that have ended before the cut, so that no shard is empty.
const earlierJobs = 40

// cutTime is how long the daemon is cut off.
const cutTime = 8 * time.Second

// runStale: one of three daemons, that which wrote last to the store under a condition, is cut off from the other two, which take its shards over. Jobs that they
// accept are cancelled at the daemon that is cut off.
func runStale(ctx context.Context, l *lab, trouble bool) (bool, error) {
	if err := l.deploy(ctx, 4, [3]int{3, 3, 3}, true); err != nil {
		return false, err
	}
	for i := range earlierJobs {
		if err := l.submit(ctx, l.daemons[i%len(l.daemons)], newID(), newJob(newStep(1, taskCPU, 50*time.Millisecond))); err != nil {
			return false, err
		}
	}
	if err := sleep(ctx, 2*time.Second); err != nil {
		return false, err
	}
	stale := l.store.lastWriter()
	other := l.daemons[(slices.Index(l.daemons, stale)+1)%len(l.daemons)]
	cutAt := time.Now()
	if trouble {
		l.setCut(stale, true)
	}
	if err := sleep(ctx, 1500*time.Millisecond); err != nil {
		return false, err
	}
	steps := make([]step, 12)
	for i := range steps {
		steps[i] = newStep(1, 1000, time.Second)
		if i > 0 {
			steps[i].After = []int{i - 1}
		}
	}
	acknowledged := make(map[string]time.Time)
	for range 16 {
		id := newID()
		if err := l.submit(ctx, other, id, newJob(steps...)); err != nil {
			return false, err
		}
		status, _ := l.call(ctx, stale, http.MethodDelete, queuePrefix+id, nil, 300*time.Millisecond)
		if status == http.StatusOK || status == http.StatusGone {
			acknowledged[id] = time.Now()
		}
	}
	if err := sleep(ctx, time.Until(cutAt.Add(cutTime))); err != nil {
		return false, err
	}
	if trouble {
		l.setCut(stale, false)
	}
	healed := time.Now()
	if err := sleep(ctx, 9*time.Second); err != nil {
		return false, err
	}
	l.note("%d cancels were acknowledged", len(acknowledged))
	broken := false
	for id, at := range acknowledged {
		for _, r := range l.runsOf(id) {
			// Starts before are left out: only later are all daemons in touch.
			if late, calm := r.begun.Sub(at), r.begun.Sub(healed); late > cancelTime && calm > stableTime {
				l.note("UNASKED: %s was started %v after the cancelling was acknowledged, %v after the end of the cut", r.task, late, calm)
				broken = true
			}
		}
	}
	return broken, nil
}
