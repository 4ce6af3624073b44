package main

import (
	"sync"
	"syscall"
	"time"
)

// Bounds of the deployment, and the limit of a freeze in the site file.
const (
	cancelBound = 3 * time.Second
	stopBound   = 50 * time.Millisecond
	stableBound = 3 * time.Second
	freezeTime  = 4 * time.Second
)

// longJob is a job of two tasks one after the other. The second starts about 8 s after the first.
func longJob() []byte {
	return jobBody(spec{RunMS: []int{8000, 1000}, CPU: 1000}, []step{
		{Count: 1, CPU: 1000, MemMB: 64, EstimateMS: 8000},
		{Count: 1, CPU: 1000, MemMB: 64, EstimateMS: 1000, After: []int{0}},
	})
}

// submitAll submits n jobs at the machines in turn and returns the IDs of those that were accepted, with the times
// of the answers.
func (l *lab) submitAll(n int, at []*machine) map[string]time.Time {
	accepted := make(map[string]time.Time)
	var mu sync.Mutex
	var wg sync.WaitGroup
	for i := range n {
		wg.Add(1)
		go func() {
			defer wg.Done()
			id := jobID(i)
			for try := range 4 { // after a refusal, or no answer, the client sends the job again
				a := l.fleet.call(at[(i+try)%len(at)], "POST", id, longJob(), 1500*time.Millisecond)
				if a.status == 200 {
					mu.Lock()
					accepted[id] = a.at
					mu.Unlock()
					return
				}
				time.Sleep(100 * time.Millisecond)
			}
		}()
	}
	wg.Wait()
	return accepted
}

// openChannels opens n channels to a machine, which stay open.
func (l *lab) openChannels(m *machine, n int) {
	var wg sync.WaitGroup
	for i := range n {
		wg.Add(1)
		go func() {
			defer wg.Done()
			l.fleet.call(m, "GET", jobID(1000+i), nil, 2*time.Second)
		}()
	}
	wg.Wait()
}

// frozenOwner freezes the machine that last wrote to the store under a condition, while jobs are submitted at the
// others. Clients cancel the jobs over channels that they have open to that machine.
func frozenOwner(l *lab) (int, error) {
	if err := l.begin(8); err != nil {
		return failed, err
	}
	f := l.fleet
	l.fleet.call(f.machines[0], "POST", jobID(900), longJob(), 2*time.Second)
	l.sleep(200 * time.Millisecond)
	victim := f.machine(f.store.leader())
	if victim == nil {
		victim = f.machines[0]
	}
	const n = 32
	l.openChannels(victim, n)
	l.say("the machine that last wrote under a condition is %s", victim.name)
	frozen := time.Now()
	if l.trouble {
		victim.signal(syscall.SIGSTOP)
	}
	l.sleep(time.Second)
	accepted := l.submitAll(n, f.others(victim.name))
	l.say("%d of %d jobs are accepted", len(accepted), n)
	l.sleep(time.Until(frozen.Add(freezeTime - time.Second)))
	cancelled := make(map[string]answer)
	var mu sync.Mutex
	var wg sync.WaitGroup
	for id := range accepted {
		wg.Add(1)
		go func() {
			defer wg.Done()
			a := f.call(victim, "DELETE", id, nil, 4*time.Second)
			mu.Lock()
			defer mu.Unlock()
			cancelled[id] = a
		}()
	}
	l.sleep(time.Until(frozen.Add(freezeTime)))
	thawed := time.Now()
	if l.trouble {
		victim.signal(syscall.SIGCONT)
		l.say("%s wakes after %.2f s", victim.name, thawed.Sub(frozen).Seconds())
	}
	wg.Wait()
	l.sleep(time.Until(thawed.Add(15 * time.Second)))
	result := held
	acknowledged := map[int]int{}
	for id, a := range cancelled {
		acknowledged[a.status]++
		if a.status != 200 && a.status != 410 {
			continue
		}
		// From stableMs after it woke, the frozen machine is in touch too, so that whoever starts a task is.
		from := a.at.Add(cancelBound)
		if touch := thawed.Add(stableBound); touch.After(from) {
			from = touch
		}
		for _, s := range f.starts(id) {
			if s.at.After(from) {
				l.say("UNASKED: %v starts %.2f s after the cancel was answered with %d", s, s.at.Sub(a.at).Seconds(), a.status)
				result = broken
			} else if limit := a.at.Add(cancelBound + stopBound); s.at.Before(limit) && (s.end.IsZero() || s.end.After(limit)) {
				l.say("%v runs on %.2f s after the cancel was answered with %d", s, s.end.Sub(a.at).Seconds(), a.status)
			}
		}
	}
	l.say("answers to the cancels, by status: %v", acknowledged)
	return result, nil
}
