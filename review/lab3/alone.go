package main

import (
	"errors"
	"time"
)

// crashTime is how long a crashed worker is down.
const crashTime = 4 * time.Second

// alone crashes one worker of eight for 4 s, while jobs of one task run, and starts it again.
func alone(l *lab) (int, error) {
	if err := l.begin(8); err != nil {
		return failed, err
	}
	const n, tasks = 64, 1
	body := jobBody(spec{RunMS: []int{8000}, CPU: 1000}, []step{{Count: tasks, CPU: 1000, MemMB: 64, EstimateMS: 8000}})
	if !l.submitWaiting(n, body) {
		return failed, errors.New("not all jobs are accepted")
	}
	handedIn := time.Now()
	l.sleep(2 * time.Second)
	if l.trouble {
		w := l.fleet.workers[0]
		w.crash()
		l.sleep(crashTime)
		if err := w.restart(l.ctx); err != nil {
			return failed, err
		}
	}
	l.sleep(time.Until(handedIn.Add(finishTime)))
	l.say("%d of %d tasks are done, %.1f s after the last job was handed in", l.done(n), n*tasks, time.Since(handedIn).Seconds())
	result := l.checkIdle(l.watchIdle(n, tasks, time.Now().Add(watchTime)))
	l.say("%d tasks are done at the end", l.done(n))
	return result, nil
}
