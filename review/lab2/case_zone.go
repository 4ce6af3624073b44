package main

import (
	"context"
	"syscall"
	"time"
)

// watchTime is how long after the traffic the jobs are watched, to tell a delay from a loss.
const watchTime = time.Minute

// runZone: a zone with one of three daemons and one of nine workers is lost for good while jobs run.
func runZone(ctx context.Context, l *lab, trouble bool) (bool, error) {
	if err := l.deploy(ctx, 4, [3]int{4, 4, 1}, false); err != nil {
		return false, err
	}
	var ids []string
	for i := range 30 {
		ids = append(ids, newID())
		if err := l.submit(ctx, l.daemons[i%2], ids[i], newJob(newStep(2, taskCPU, 2*time.Second))); err != nil {
			return false, err
		}
	}
	trafficEnd := time.Now()
	if trouble {
		l.note("zone %s is lost for good", zones[2])
		for _, w := range l.workersOf(zones[2], "") {
			w.crash(modeGone)
		}
		l.daemons[2].signal(syscall.SIGKILL)
	}
	idle, err := l.idleJobs(ctx, trafficEnd, l.daemons[0], ids)
	if err != nil || len(idle) == 0 {
		return false, err
	}
	return true, l.watch(ctx, trafficEnd, l.daemons[1], idle)
}

// watch notes the states that jobs have watchTime after the end of the traffic.
func (l *lab) watch(ctx context.Context, trafficEnd time.Time, d *daemon, ids []string) error {
	if err := sleep(ctx, time.Until(trafficEnd.Add(watchTime))); err != nil {
		return err
	}
	for _, id := range ids {
		l.note("%v after the end of the traffic, job %s is %s", watchTime, id, l.state(ctx, d, id))
	}
	return nil
}
