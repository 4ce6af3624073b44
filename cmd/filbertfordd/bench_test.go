package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	hdr "github.com/HdrHistogram/hdrhistogram-go"
	"golang.org/x/sync/errgroup"

	"github.com/filbertford/filbertford"
)

// clockTick is the unit of processor time in /proc/PID/stat on Linux.
const clockTick = 10 * time.Millisecond

// cpuTime returns the processor time that the program has used.
func (p *process) cpuTime() time.Duration {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(data[bytes.LastIndexByte(data, ')')+1:]))
	user, _ := strconv.Atoi(fields[11])
	system, _ := strconv.Atoi(fields[12])
	return time.Duration(user+system) * clockTick
}

// residentBytes returns the program's resident memory in bytes.
func (p *process) residentBytes() int {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", p.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	pages, _ := strconv.Atoi(strings.Fields(string(data))[1])
	return pages * os.Getpagesize()
}

// BenchmarkResponse measures the response time of a job of one task that ends
// immediately: at the target alone, through the owner, through another daemon of
// the data centre, and with an opaque key.
func BenchmarkResponse(b *testing.B) {
	f := newFleet(b, 8, "nordnes", "nordnes")
	f.awaitPeers(0, 1)
	f.awaitPeers(1, 1)
	c := f.client(0)
	job := newJob("bench", 1, 0)
	submit := func(b *testing.B, id func(i int) filbertford.SubmissionID) {
		a, _, err := c.SubmitAs(b.Context(), id(b.N), job)
		if err != nil || a.Code() != filbertford.CodeComplete {
			b.Fatal(a.Code(), err)
		}
	}
	var unique atomic.Int64
	pinned := func(owner int) func(int) filbertford.SubmissionID {
		token := f.mintID(owner, "x").Token()
		return func(int) filbertford.SubmissionID {
			id, _ := filbertford.MintID(token, strconv.FormatInt(unique.Add(1), 36))
			return id
		}
	}
	opaque := func(int) filbertford.SubmissionID {
		id, _ := filbertford.ParseID("key-" + strconv.FormatInt(unique.Add(1), 36))
		return id
	}
	b.Run("target", func(b *testing.B) { f.reportPercentiles(b, func() { f.startAtTarget(b) }) })
	b.Run("owner", func(b *testing.B) { id := pinned(0); f.reportPercentiles(b, func() { submit(b, id) }) })
	b.Run("forwarded", func(b *testing.B) { id := pinned(1); f.reportPercentiles(b, func() { submit(b, id) }) })
	f.await("the view of opaque keys", func() bool {
		a, _, err := c.SubmitAs(context.Background(), opaque(0), job)
		return err == nil && a.Code() == filbertford.CodeComplete
	})
	b.Run("opaque", func(b *testing.B) { f.reportPercentiles(b, func() { submit(b, opaque) }) })
}

// reportPercentiles calls the function repeatedly and reports percentiles of its
// duration.
func (f *fleet) reportPercentiles(b *testing.B, call func()) {
	h := hdr.New(1, int64(time.Minute/time.Microsecond), 3)
	for b.Loop() {
		start := time.Now()
		call()
		_ = h.RecordValue(time.Since(start).Microseconds())
	}
	b.ReportMetric(float64(h.ValueAtQuantile(50)), "p50-µs")
	b.ReportMetric(float64(h.ValueAtQuantile(99)), "p99-µs")
}

// startAtTarget runs a task at a target without a daemon.
func (f *fleet) startAtTarget(b *testing.B) {
	body := `{"id": "bench", "owner": "bench", "service": "ordering", "args": {"run_ms": 0}, "lease_ms": 10000}`
	resp, err := http.Post("http://"+f.address(targetPort)+"/v1/start", "application/json", strings.NewReader(body))
	if err != nil {
		b.Fatal(err)
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
}

// BenchmarkProcessor measures the processor time that a daemon spends on a task,
// for several job sizes, and its memory under that load.
func BenchmarkProcessor(b *testing.B) {
	for _, tasks := range []int{1, 10, 170} {
		b.Run(fmt.Sprintf("tasks=%d", tasks), func(b *testing.B) { benchProcessor(b, tasks) })
	}
}

func benchProcessor(b *testing.B, tasks int) {
	const callers = 8
	f := newFleet(b, 16, "nordnes")
	c := f.client(0)
	job := newJob("bench", tasks, 1)
	cpuBefore := f.daemons[0].cpuTime()
	var remaining atomic.Int64
	remaining.Store(int64(b.N))
	var g errgroup.Group
	b.ResetTimer()
	for range callers {
		g.Go(func() error {
			for remaining.Add(-1) >= 0 {
				if a, err := c.Submit(context.Background(), job); err != nil || a.Code() != filbertford.CodeComplete {
					return fmt.Errorf("%s %w", a.Code(), err)
				}
			}
			return nil
		})
	}
	if err := g.Wait(); err != nil {
		b.Fatal(err)
	}
	b.StopTimer()
	tasksDone := float64(b.N * tasks)
	b.ReportMetric(float64((f.daemons[0].cpuTime()-cpuBefore).Microseconds())/tasksDone, "cpu-µs/task")
	b.ReportMetric(tasksDone/b.Elapsed().Seconds(), "tasks/s")
	b.ReportMetric(float64(f.daemons[0].residentBytes())/(1<<20), "MB")
}

// BenchmarkIdle measures the processor time and memory of a daemon without any
// jobs, for several numbers of daemons in a data centre.
func BenchmarkIdle(b *testing.B) {
	const interval = 10 * time.Second
	for _, daemons := range []int{1, 3, 9} {
		b.Run(fmt.Sprintf("daemons=%d", daemons), func(b *testing.B) {
			dataCentres := make([]string, daemons)
			for i := range dataCentres {
				dataCentres[i] = "nordnes"
			}
			f := newFleet(b, 50, dataCentres...)
			f.restartWithProductionPeriods(b)
			for b.Loop() {
				before := f.daemons[0].cpuTime()
				time.Sleep(interval)
				b.ReportMetric(100*float64(f.daemons[0].cpuTime()-before)/float64(interval), "%core")
				b.ReportMetric(float64(f.daemons[0].residentBytes())/(1<<20), "MB")
			}
		})
	}
}

// restartWithProductionPeriods restarts the daemons with the periods of a
// production fleet.
func (f *fleet) restartWithProductionPeriods(b *testing.B) {
	b.Helper()
	for i := range f.daemons {
		f.daemons[i].kill()
		f.startDaemon(i, "membership.heartbeat=2s", "membership.timeout=5s", "membership.vm-poll=2s")
		f.awaitReady(i)
	}
	for i := range f.daemons {
		f.awaitPeers(i, len(f.daemons)-1)
	}
}
