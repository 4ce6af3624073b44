package main

import (
	"context"
	"time"
)

// downTime is how long a worker that has crashed is down.
const downTime = 3500 * time.Millisecond

// workerOf returns the worker that runs a task of the job, nil if there is none.
func (l *lab) workerOf(job string) *worker {
	for _, r := range l.runsOf(job) {
		if !r.ended.IsZero() {
			continue
		}
		for _, w := range l.workers {
			if w.id == r.worker {
				return w
			}
		}
	}
	return nil
}

// runCrash: one of nine workers crashes and starts again, and later another one. Each runs the same task
// then.
func runCrash(ctx context.Context, l *lab, trouble bool) (bool, error) {
	const attempts = 4
	if err := l.deploy(ctx, attempts, [3]int{3, 3, 3}, false); err != nil {
		return false, err
	}
	id := newID()
	if err := l.submit(ctx, l.daemons[0], id, newJob(newStep(1, taskCPU, 5*time.Second))); err != nil {
		return false, err
	}
	for i := 0; trouble && i < 2; i++ {
		if err := l.crashWorkerOf(ctx, id); err != nil {
			return false, err
		}
	}
	for range 30 {
		state := l.state(ctx, l.daemons[0], id)
		if state != "failed" {
			if ended(state) {
				return false, nil
			}
			if err := sleep(ctx, time.Second); err != nil {
				return false, err
			}
			continue
		}
		failures := 0
		for _, r := range l.runsOf(id) {
			if r.how == "failed" {
				failures++
			}
		}
		if failures < attempts {
			l.note("LOST: job %s is shown as failed after %d ends that say failed; attempts are %d", id, failures, attempts)
		}
		return failures < attempts, nil
	}
	return false, nil
}

// crashWorkerOf crashes the worker that runs the job's task two seconds after it has begun, and starts it
// again.
func (l *lab) crashWorkerOf(ctx context.Context, id string) error {
	var w *worker
	for w == nil {
		if err := sleep(ctx, 50*time.Millisecond); err != nil {
			return err
		}
		w = l.workerOf(id)
	}
	if err := sleep(ctx, 2*time.Second); err != nil {
		return err
	}
	w.crash(modeDark)
	if err := sleep(ctx, downTime); err != nil {
		return err
	}
	w.restart()
	return nil
}
