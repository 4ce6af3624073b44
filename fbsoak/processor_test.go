package fbsoak

import (
	"bytes"
	"os"
	"os/exec"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// TestProcessorWaitsBetween checks how the waits of several processes add up.
func TestProcessorWaitsBetween(t *testing.T) {
	w := newProcessorWaits(nil)
	start := time.Now()
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	add := func(s waitSample) { w.samples = append(w.samples, s) }
	add(waitSample{from: at(0), to: at(100), waits: map[int]time.Duration{1: 40 * time.Millisecond, 2: 60 * time.Millisecond}})
	add(waitSample{from: at(100), to: at(200), waits: map[int]time.Duration{1: 50 * time.Millisecond}})
	add(waitSample{from: at(200), to: at(400), waits: map[int]time.Duration{1: time.Hour}}) // since before the sample
	for name, c := range map[string]struct {
		from, to int
		pids     []int
		want     time.Duration
	}{
		"one process":              {to: 200, pids: []int{1}, want: 90 * time.Millisecond},
		"longest of two":           {to: 200, pids: []int{1, 2}, want: 110 * time.Millisecond},
		"part of a sample":         {from: 50, to: 150, pids: []int{1}, want: 45 * time.Millisecond},
		"at most the sample":       {from: 200, to: 300, pids: []int{1}, want: 100 * time.Millisecond},
		"process without a sample": {to: 400, pids: []int{3}},
		"after the samples":        {from: 400, to: 500, pids: []int{1, 2}},
	} {
		t.Run(name, func(t *testing.T) {
			if got := w.between(at(c.from), at(c.to), c.pids...); got != c.want {
				t.Errorf("got %v, want %v", got, c.want)
			}
		})
	}
}

// TestJudgeDelay checks that a delay is a violation unless processes waited for a processor
// for what it exceeds its limit.
func TestJudgeDelay(t *testing.T) {
	const delay = 7 * time.Second
	for name, c := range map[string]struct {
		soak, daemon, other time.Duration // waits in the delay
		limit               time.Duration
		want                []string
	}{
		"processors are free":    {limit: 5 * time.Second, want: []string{"late; no processor time for 0s of it"}},
		"too short a wait":       {daemon: time.Second, limit: 5 * time.Second, want: []string{"late; no processor time for 1s of it"}},
		"wait of another daemon": {other: delay, limit: 5 * time.Second, want: []string{"late; no processor time for 0s of it"}},
		"waits at the same time": {soak: time.Second, daemon: time.Second, limit: 5 * time.Second, want: []string{"late; no processor time for 1s of it"}},
		"wait of the daemon":     {daemon: 3 * time.Second, limit: 5 * time.Second},
		"wait of the soak":       {soak: 3 * time.Second, limit: 5 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			process := func(pid int) *daemon {
				return &daemon{process: &Process{cmd: &exec.Cmd{Process: &os.Process{Pid: pid}}}}
			}
			s := &Soak{waits: newProcessorWaits(func() []int { return nil }), nodes: []*daemon{process(-1), process(-2)}, opts: Options{Out: &bytes.Buffer{}}}
			now := time.Now()
			waits := map[int]time.Duration{os.Getpid(): c.soak, -1: c.daemon, -2: c.other}
			s.waits.samples = []waitSample{{from: now.Add(-delay), to: now, waits: waits}}
			s.judgeDelay(0, now.Add(-delay), c.limit, "late")
			if diff := cmp.Diff(c.want, s.violations); diff != "" {
				t.Errorf("violations (-want +got):\n%s", diff)
			}
		})
	}
}

// TestProcessorWaitsSample checks that the kernel counts the waits of threads, and that
// samples follow each other without gaps.
func TestProcessorWaitsSample(t *testing.T) {
	w := newProcessorWaits(func() []int { return []int{os.Getpid()} })
	if len(w.threads) == 0 {
		t.Fatal("the kernel counts no waits")
	}
	w.sample()
	w.sample()
	for i, s := range w.samples[1:] {
		if wait := s.waits[os.Getpid()]; wait < 0 || s.from != w.samples[i].to {
			t.Errorf("sample %d: got a wait of %v, from %v after one to %v", i+1, wait, s.from, w.samples[i].to)
		}
	}
}
