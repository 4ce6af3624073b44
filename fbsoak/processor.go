package fbsoak

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// processorSampleInterval is the interval at which waits for a processor are read.
const processorSampleInterval = 100 * time.Millisecond

// processorWaits records how long processes were ready to run but waited for a processor, as
// the kernel counts it. Time in which a process waits for anything else, such as a reply or a
// lock, or in which it is stopped by a signal, doesn't count.
type processorWaits struct {
	pids func() []int // of the processes

	mu      sync.Mutex
	threads map[string]time.Duration // last reading by path
	samples []waitSample             // in order of time
}

// waitSample is the time since the sample before, and how long the threads of each process
// waited in it: the longest wait of any of its threads.
type waitSample struct {
	from, to time.Time
	waits    map[int]time.Duration // by process ID
}

// newProcessorWaits returns the waits of the processes, which must have started later, except
// for the own one.
func newProcessorWaits(pids func() []int) *processorWaits {
	w := &processorWaits{pids: pids, threads: make(map[string]time.Duration)}
	w.read(os.Getpid())
	w.samples = []waitSample{{from: time.Now(), to: time.Now()}}
	return w
}

// run takes samples until the context ends.
func (w *processorWaits) run(ctx context.Context) error {
	ticker := time.NewTicker(processorSampleInterval)
	defer ticker.Stop()
	for {
		w.sample()
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
}

func (w *processorWaits) sample() {
	w.mu.Lock()
	defer w.mu.Unlock()
	s := waitSample{from: w.samples[len(w.samples)-1].to, waits: make(map[int]time.Duration)}
	for _, pid := range w.pids() {
		s.waits[pid] = w.read(pid)
	}
	s.to = time.Now()
	w.samples = append(w.samples, s)
}

// read returns how long a process has waited since the last reading, or since its start. It
// ignores threads that end meanwhile.
func (w *processorWaits) read(pid int) time.Duration {
	paths, _ := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/schedstat", pid)) // the pattern is well-formed
	var longest time.Duration
	for _, path := range paths {
		data, err := os.ReadFile(path)
		if err != nil {
			continue // the thread has ended
		}
		var ran, waited time.Duration
		if _, err := fmt.Sscan(string(data), (*int64)(&ran), (*int64)(&waited)); err != nil {
			continue
		}
		longest = max(longest, waited-w.threads[path])
		w.threads[path] = waited
	}
	return longest
}

// between returns for how much of the time between two points any of the processes waited.
// In each sample the waits of one process count, the longest, since they may coincide. A
// sample that is only partly between the points counts in proportion.
func (w *processorWaits) between(from, to time.Time, pids ...int) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	var sum time.Duration
	for _, s := range w.samples {
		length, common := s.to.Sub(s.from), earlier(s.to, to).Sub(later(s.from, from))
		if common <= 0 {
			continue
		}
		var longest time.Duration
		for _, pid := range pids {
			longest = max(longest, min(s.waits[pid], length))
		}
		sum += time.Duration(float64(longest) * float64(common) / float64(length))
	}
	return sum
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// processorWait returns for how much of the time between two points this process or one of the
// given daemons waited for a processor. It takes a sample first, since the last one may be old
// on a busy machine.
func (s *Soak) processorWait(from, to time.Time, nodes ...int) time.Duration {
	pids := []int{os.Getpid()}
	for _, n := range nodes {
		pids = append(pids, s.nodes[n].process.PID())
	}
	s.waits.sample()
	return s.waits.between(from, to, pids...)
}

// judgeDelay reports a violation for something that took the time from the given point until
// now, unless it took at most the limit without the time in which this process or the daemon
// waited for a processor. It logs the delay in that case.
func (s *Soak) judgeDelay(node int, from time.Time, limit time.Duration, what string) {
	to := time.Now()
	wait := s.processorWait(from, to, node).Round(time.Millisecond)
	if to.Sub(from)-wait <= limit {
		s.logf("no processor time for %v of %v: %s", wait, to.Sub(from).Round(time.Millisecond), what)
		return
	}
	s.violationf("%s; no processor time for %v of it", what, wait)
}
