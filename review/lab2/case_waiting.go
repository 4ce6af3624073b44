package main

import (
	"context"
	"errors"
	"time"
)

// visibleTime is visible_ms and 2 s more.
const visibleTime = 5 * time.Second

// runWaiting: the only one of nine workers that isn't full crashes for good. The jobs that come then wait
// until another one has room.
func runWaiting(ctx context.Context, l *lab, trouble bool) (bool, error) {
	if err := l.deploy(ctx, 4, [3]int{3, 3, 3}, false); err != nil {
		return false, err
	}
	if err := l.submit(ctx, l.daemons[0], newID(), newJob(newStep(8, workerCPU, 25*time.Second))); err != nil {
		return false, err
	}
	if err := sleep(ctx, time.Second); err != nil {
		return false, err
	}
	free := l.emptyWorker()
	switch {
	case free == nil:
		return false, errors.New("no worker is free")
	case trouble:
		free.crash(modeGone)
	default: // full as the others
		if err := l.submit(ctx, l.daemons[0], newID(), newJob(newStep(1, workerCPU, 25*time.Second))); err != nil {
			return false, err
		}
	}
	var ids []string
	for i := range 8 {
		ids = append(ids, newID())
		if err := l.submit(ctx, l.daemons[i%len(l.daemons)], ids[i], newJob(newStep(1, 2000, 500*time.Millisecond))); err != nil {
			return false, err
		}
	}
	if err := sleep(ctx, visibleTime+time.Second); err != nil {
		return false, err
	}
	shown := l.waiting(ctx, l.daemons[1])
	waiting := 0
	for _, id := range ids {
		if len(l.runsOf(id)) == 0 {
			waiting++
		}
	}
	l.note("%d jobs haven't begun, %d are shown as waiting", waiting, shown)
	broken := shown >= 0 && 2*shown < waiting
	if broken {
		l.note("MIXED: under half of the jobs that haven't begun are shown as waiting")
	}
	return broken, nil
}

// emptyWorker returns a worker that runs nothing, nil if there is none.
func (l *lab) emptyWorker() *worker {
	for _, w := range l.workers {
		w.mu.Lock()
		empty := len(w.runs) == 0
		w.mu.Unlock()
		if empty {
			return w
		}
	}
	return nil
}
