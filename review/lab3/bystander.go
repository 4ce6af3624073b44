package main

import (
	"errors"
	"time"
)

// bystander has a job of one task of which the first run ends failed and which then waits, while other jobs fill the two
// workers that it may run on. The owner of their zone is killed, the worker of the failed run crashes, and later the
// worker of the second run.
func bystander(l *lab) (int, error) {
	if err := l.begin(8); err != nil {
		return failed, err
	}
	f := l.fleet
	id := jobID(0)
	submit := func(id string, s spec, ms int) bool {
		body := jobBody(s, []step{{Count: 1, CPU: s.CPU, MemMB: 64, EstimateMS: ms, RequiredLabel: "b"}})
		return f.call(f.machines[2], "POST", id, body, 2*time.Second).status == 200
	}
	if !submit(id, spec{RunMS: []int{3000}, CPU: 8000, FailFirst: true}, 3000) {
		return failed, errors.New("a job is not accepted")
	}
	first := f.workerOf(id)
	if first == nil {
		return failed, errors.New("the job doesn't run")
	}
	begunAt := time.Now()
	for i := 1; i <= 2; i++ {
		if !submit(jobID(i), spec{RunMS: []int{8000}, CPU: 16000}, 8000) {
			return failed, errors.New("a job is not accepted")
		}
	}
	l.sleep(time.Until(begunAt.Add(4 * time.Second)))
	owner := f.machine(f.store.owner(zones[0]))
	if owner == nil {
		return failed, errors.New("the zone has no owner")
	}
	if l.trouble {
		l.say("%s is killed", owner.name)
		owner.kill()
		l.sleep(restartDelay)
		if err := owner.start(); err != nil {
			return failed, err
		}
	}
	l.sleep(time.Until(begunAt.Add(6 * time.Second)))
	under := 0
	if l.trouble {
		if len(first.runsOf(id)) > 0 {
			return failed, errors.New("the job runs already")
		}
		first.crash()
		l.sleep(crashTime)
		if err := first.restart(l.ctx); err != nil {
			return failed, err
		}
		second := f.workerOf(id)
		if second == nil {
			return failed, errors.New("the job doesn't run again")
		}
		l.sleep(time.Second)
		if len(second.runsOf(id)) > 0 {
			under++
		}
		second.crash()
		l.sleep(crashTime)
		if err := second.restart(l.ctx); err != nil {
			return failed, err
		}
	}
	var a answer
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end) && a.state != "completed" && a.state != "failed"; l.sleep(time.Second) {
		a = f.call(f.machines[3], "GET", id, nil, 1500*time.Millisecond)
	}
	failures := 0
	for _, s := range f.starts(id) {
		l.say("%v, begun after %.1f s, ended %s", s, s.at.Sub(begunAt).Seconds(), s.how)
		if s.how == "failed" {
			failures++
		}
	}
	l.say("the job is shown as %s; %d of its runs ended failed, of 3 attempts; %d workers have crashed under it", a.state, failures, under)
	if a.state == "failed" && failures < 3 && under < 2 {
		l.say("LOST: it is shown as failed without cause")
		return broken, nil
	}
	return held, nil
}
