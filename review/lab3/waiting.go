package main

import (
	"errors"
	"sync"
	"time"
)

// Bounds of the rule on jobs that wait, and a sample's distance.
const (
	finishTime  = 14 * time.Second
	idleBound   = 3 * time.Second
	sampleEvery = 50 * time.Millisecond
	watchTime   = 20 * time.Second
	askEvery    = 4 * time.Second
	// restartDelay is the time after which a killed process starts again.
	restartDelay = time.Second
)

// submitWaiting submits n jobs of one step, at the machines in turn, and reports whether all are accepted.
func (l *lab) submitWaiting(n int, body []byte) bool {
	var wg sync.WaitGroup
	var mu sync.Mutex
	accepted := 0
	for i := range n {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for try := range 3 { // after no answer the client sends the job again
				if a := l.fleet.call(l.fleet.machines[(i+try)%len(l.fleet.machines)], "POST", jobID(i), body, 3*time.Second); a.status == 200 {
					mu.Lock()
					accepted++
					mu.Unlock()
					return
				}
			}
		}()
	}
	wg.Wait()
	l.say("%d of %d jobs are accepted", accepted, n)
	return accepted == n
}

// usage returns the processors in use at all workers, those of workers that are up, and the jobs that have something
// running.
func (f *fleet) usage() (used, all int, running map[string]bool) {
	running = make(map[string]bool)
	for _, w := range f.workers {
		w.mu.Lock()
		if !w.down {
			all += workerCPU
		}
		for task, r := range w.runs {
			used += r.cpu
			running[task[:16]] = true
		}
		w.mu.Unlock()
	}
	return used, all, running
}

// watchIdle watches the jobs until the time given. It returns for each job the longest time in which it had
// nothing running, isn't done, and under half of the capacity was in use.
func (l *lab) watchIdle(n, tasks int, until time.Time) map[string]time.Duration {
	since := make(map[string]time.Time)
	longest := make(map[string]time.Duration)
	done := make(map[string]bool)
	lowest := 1.0
	checked := time.Time{}
	for time.Now().Before(until) && l.ctx.Err() == nil {
		used, all, running := l.fleet.usage()
		lowest = min(lowest, float64(used)/float64(all))
		now := time.Now()
		if now.Sub(checked) > 200*time.Millisecond {
			checked = now
			counts := make(map[string]int)
			for _, w := range l.fleet.workers {
				for _, s := range w.allStarts() {
					if s.how == "done" {
						counts[s.task[:16]]++
					}
				}
			}
			for id, c := range counts {
				done[id] = c >= tasks
			}
		}
		for i := range n {
			id := jobID(i)
			if running[id] || done[id] || 2*used >= all {
				delete(since, id)
				continue
			}
			if since[id].IsZero() {
				since[id] = now
			}
			longest[id] = max(longest[id], now.Sub(since[id]))
		}
		l.sleep(sampleEvery)
	}
	l.say("the least share of the capacity in use was %.2f", lowest)
	return longest
}

// checkIdle reports the jobs that waited beside idle workers for longer than the rule allows.
func (l *lab) checkIdle(longest map[string]time.Duration) int {
	result, n := held, 0
	for id, d := range longest {
		if d <= idleBound {
			continue
		}
		result = broken
		if n++; n <= 5 {
			l.say("LOST: job %s had nothing running for %.1f s, with under half of the capacity in use", id, d.Seconds())
		}
	}
	l.say("%d jobs waited so for over 3 s", n)
	return result
}

// waiting kills one process, that which last wrote to the store under a condition, while jobs wait, and starts it again.
func waiting(l *lab) (int, error) {
	if err := l.begin(8); err != nil {
		return failed, err
	}
	const n, tasks = 1600, 32
	body := jobBody(spec{RunMS: []int{300}, CPU: 1000}, []step{{Count: tasks, CPU: 1000, MemMB: 16, EstimateMS: 300}})
	if !l.submitWaiting(n, body) {
		return failed, errors.New("not all jobs are accepted")
	}
	l.sleep(2 * time.Second)
	victim := l.fleet.machine(l.fleet.store.leader())
	if victim == nil {
		return failed, errors.New("no machine has written under a condition")
	}
	l.say("the machine that last wrote under a condition is %s", victim.name)
	if l.trouble {
		victim.kill()
		l.rec.printf("%s is killed", victim.name)
	}
	l.sleep(restartDelay)
	if l.trouble {
		if err := victim.start(); err != nil {
			return failed, err
		}
		l.rec.printf("%s is started again", victim.name)
	}
	l.sleep(finishTime)
	l.say("%d of %d tasks are done, %.1f s after the last job was handed in", l.done(n), n*tasks, (2*time.Second + restartDelay + finishTime).Seconds())
	silent := make(chan int, 1)
	go func() {
		most := 0
		for end := time.Now().Add(watchTime - askEvery); time.Now().Before(end); l.sleep(askEvery) {
			most = max(most, l.askAll(n))
		}
		silent <- most
	}()
	result := l.checkIdle(l.watchIdle(n, tasks, time.Now().Add(watchTime)))
	if s := <-silent; s > 0 {
		l.say("LOST: %d of %d jobs got no answer to a GET in time, at three machines one after the other", s, n)
		result = broken
	}
	l.say("%d tasks are done at the end", l.done(n))
	return result, nil
}

// done returns how many tasks of the jobs are done.
func (l *lab) done(n int) int {
	count := 0
	for i := range n {
		for _, s := range l.fleet.starts(jobID(i)) {
			if s.how == "done" {
				count++
			}
		}
	}
	return count
}

// askAll asks for each job at up to three machines, with the time budget of the clients, and returns how many got no
// answer.
func (l *lab) askAll(n int) int {
	var wg sync.WaitGroup
	var mu sync.Mutex
	silent := 0
	for i := range n {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for try := range 3 {
				if a := l.fleet.call(l.fleet.machines[(i+try)%len(l.fleet.machines)], "GET", jobID(i), nil, 1500*time.Millisecond); a.status == 200 {
					return
				}
			}
			mu.Lock()
			silent++
			mu.Unlock()
		}()
	}
	wg.Wait()
	return silent
}
