package main

import (
	"fmt"
	"maps"
	"strings"
	"time"
)

// backlog loses one worker of eight for good, when the last of many jobs has been handed in. The jobs that have
// had a run there aren't looked at.
func backlog(l *lab) (int, error) {
	if err := l.begin(8); err != nil {
		return failed, err
	}
	const n, tasks, rate = 360, 1, 40
	body := jobBody(spec{RunMS: []int{2000}, CPU: 4000}, []step{{Count: tasks, CPU: 4000, MemMB: 64, EstimateMS: 2000}})
	answers := make(chan answer, n)
	tick := time.NewTicker(time.Second / rate)
	defer tick.Stop()
	for i := range n {
		<-tick.C
		go func() {
			answers <- l.fleet.call(l.fleet.machines[i%len(l.fleet.machines)], "POST", jobID(i), body, 3*time.Second)
		}()
	}
	for range n {
		if a := <-answers; a.status != 200 {
			return failed, fmt.Errorf("a job is not accepted: %d", a.status)
		}
	}
	handedIn := time.Now()
	l.say("%d jobs are accepted in %d s", n, n/rate)
	lost := l.fleet.workers[0]
	if l.trouble {
		lost.crash()
	}
	l.sleep(time.Until(handedIn.Add(finishTime)))
	l.say("%d of %d tasks are done, %.1f s after the last job was handed in", l.done(n), n*tasks, time.Since(handedIn).Seconds())
	longest := l.watchIdle(n, tasks, time.Now().Add(watchTime))
	if l.trouble {
		maps.DeleteFunc(longest, func(id string, _ time.Duration) bool { return l.ranAt(id, lost) })
	}
	result := l.checkIdle(longest)
	l.say("%d tasks are done at the end", l.done(n))
	return result, nil
}

// ranAt reports whether the worker has begun a task of the job.
func (l *lab) ranAt(job string, w *worker) bool {
	for _, s := range w.allStarts() {
		if strings.HasPrefix(s.task, job+".") {
			return true
		}
	}
	return false
}
