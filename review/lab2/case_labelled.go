package main

import (
	"context"
	"time"
)

// greyTime is how long the workers fail all that they start.
const greyTime = 6500 * time.Millisecond

// runLabelled: the two workers of a zone that have a label, of 24 workers in all, fail all that they start
// for a while. The tasks that require the label have more attempts than that.
func runLabelled(ctx context.Context, l *lab, trouble bool) (bool, error) {
	if err := l.deploy(ctx, 4, [3]int{8, 8, 8}, false); err != nil {
		return false, err
	}
	grey := l.workersOf(zones[0], "b")
	if trouble {
		for _, w := range grey {
			w.setMode(modeErrors)
		}
	}
	greyUntil := time.Now().Add(greyTime)
	var ids []string
	for i := range 24 {
		s := newStep(1, taskCPU, 200*time.Millisecond)
		s.RequiredLabel = "b"
		ids = append(ids, newID())
		if err := l.submit(ctx, l.daemons[i%len(l.daemons)], ids[i], newJob(s)); err != nil {
			return false, err
		}
		if i%4 == 3 {
			if err := sleep(ctx, time.Second); err != nil {
				return false, err
			}
		}
	}
	trafficEnd := time.Now()
	if err := sleep(ctx, time.Until(greyUntil)); err != nil {
		return false, err
	}
	if trouble {
		for _, w := range grey {
			w.setMode(modeSound)
		}
	}
	idle, err := l.idleJobs(ctx, trafficEnd, l.daemons[1], ids)
	if err != nil || len(idle) == 0 {
		return false, err
	}
	for _, id := range idle {
		for _, r := range l.runsOf(id) {
			l.note("job %s: %s on %s ended %s", id, r.task, r.worker, r.how)
		}
	}
	return true, l.watch(ctx, trafficEnd, l.daemons[1], idle)
}
