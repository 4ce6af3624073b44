package main

import (
	"fmt"
	"time"
)

// Times of the crashes: how long each worker is down, and the pause until the next one crashes.
const (
	crashTime  = 4 * time.Second
	crashPause = 2 * time.Second
)

// crashes crashes the workers one after the other, one of eight at a time, while long jobs run. Each starts again under
// its id. No run ends as failed.
func crashes(l *lab) (int, error) {
	if err := l.begin(8); err != nil {
		return failed, err
	}
	f := l.fleet
	const n = 12
	body := jobBody(spec{RunMS: []int{16000}, CPU: 6800}, []step{{Count: 1, CPU: 6800, MemMB: 64, EstimateMS: 16000}})
	for i := range n {
		if a := f.call(f.machines[i%len(f.machines)], "POST", jobID(i), body, 2*time.Second); a.status != 200 {
			return failed, fmt.Errorf("a job is not accepted: %d", a.status)
		}
	}
	l.sleep(2 * time.Second)
	for _, w := range f.workers {
		if !l.trouble {
			break
		}
		w.crash()
		l.sleep(crashTime)
		if err := w.restart(l.ctx); err != nil {
			return failed, err
		}
		l.sleep(crashPause)
	}
	result := held
	for end := time.Now().Add(40 * time.Second); time.Now().Before(end); l.sleep(2 * time.Second) {
		ended := 0
		for i := range n {
			a := f.call(f.machines[i%len(f.machines)], "GET", jobID(i), nil, 2*time.Second)
			if a.state == "completed" || a.state == "failed" {
				ended++
			}
		}
		if ended == n {
			break
		}
	}
	for i := range n {
		a := f.call(f.machines[i%len(f.machines)], "GET", jobID(i), nil, 2*time.Second)
		failures, ends := 0, ""
		for _, s := range f.starts(jobID(i)) {
			if s.how == "failed" {
				failures++
			}
			ends += fmt.Sprintf(" %s at %s", s.how, s.worker)
		}
		l.rec.printf("job %s is %s; its runs:%s", jobID(i), a.state, ends)
		if a.state == "failed" && failures < 3 {
			l.say("LOST: job %s is shown as failed; 3 attempts are allowed, and %d of its runs ended failed:%s", jobID(i), failures, ends)
			result = broken
		}
	}
	return result, nil
}
