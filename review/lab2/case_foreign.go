package main

import (
	"context"
	"syscall"
	"time"
)

// runForeign: the store has an entry of another writer, whose service and zone aren't those of this
// system. Then one of three daemons is stopped and started again, as planned.
func runForeign(ctx context.Context, l *lab, trouble bool) (bool, error) {
	if trouble {
		address, err := freeAddress()
		if err != nil {
			return false, err
		}
		l.store.put("servers", "x-1", map[string]any{
			"service": "other", "addr": address, "zone": "agadir", "version": "v1", "slots": 8, "state": "ready", "coldMs": 0,
			"capacity": map[string]int{"cpu": 1000, "memMb": 1000, "gpu": 0}, "labels": []string{"a"}, "seq": 1, "born": time.Now().UnixMilli(),
		})
		l.note("another writer's entry stands in the store")
	}
	if err := l.deploy(ctx, 4, [3]int{3, 3, 3}, false); err != nil {
		return false, err
	}
	var ids []string
	for i := range 12 {
		second := newStep(2, taskCPU, time.Second)
		second.After = []int{0}
		ids = append(ids, newID())
		if err := l.submit(ctx, l.daemons[i%2], ids[i], newJob(newStep(1, taskCPU, 2*time.Second), second)); err != nil {
			return false, err
		}
	}
	trafficEnd := time.Now()
	stopped := l.daemons[2]
	stopped.signal(syscall.SIGTERM)
	select {
	case <-ctx.Done():
		return false, ctx.Err()
	case <-stopped.done:
	}
	if err := stopped.run(); err != nil {
		return false, err
	}
	idle, err := l.idleJobs(ctx, trafficEnd, l.daemons[0], ids)
	return len(idle) > 0, err
}
