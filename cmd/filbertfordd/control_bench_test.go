package main

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"strconv"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
)

// transferredBytes returns the number of bytes that the program has read and
// written, on sockets and files, without the headers of TCP and IP.
func (p *process) transferredBytes() int {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/io", p.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	sum := 0
	for line := range bytes.Lines(data) {
		name, value, _ := bytes.Cut(bytes.TrimSpace(line), []byte(": "))
		if string(name) == "rchar" || string(name) == "wchar" {
			n, _ := strconv.Atoi(string(value))
			sum += n
		}
	}
	return sum
}

// BenchmarkControl measures the cost of a daemon's control traffic without any
// jobs, for fleets of several sizes: its processor time, the bytes that it reads
// and writes, its memory, and the reads of the table service per daemon.
func BenchmarkControl(b *testing.B) {
	tests := []struct{ centres, daemons, targets int }{
		{1, 1, 50}, {1, 3, 50}, {1, 9, 50}, {3, 3, 50}, {10, 2, 50}, {10, 3, 50}, {1, 1, 200}, {1, 1, 880}, {1, 9, 880},
	}
	for _, tt := range tests {
		name := fmt.Sprintf("centres=%d/daemons=%d/targets=%d", tt.centres, tt.daemons, tt.targets)
		b.Run(name, func(b *testing.B) { benchControl(b, tt.centres, tt.daemons, tt.targets) })
	}
}

func benchControl(b *testing.B, centres, daemons, targets int) {
	const interval = 10 * time.Second
	var dataCentres []string
	for i := range centres * daemons {
		dataCentres = append(dataCentres, "dc"+strconv.Itoa(i%centres))
	}
	f := newFleet(b, targets, dataCentres...)
	f.restartWithProductionPeriods(b)
	for b.Loop() {
		p := f.daemons[0]
		cpu, transferred, reads := p.cpuTime(), p.transferredBytes(), f.tableReads(b)
		time.Sleep(interval)
		b.ReportMetric(100*float64(p.cpuTime()-cpu)/float64(interval), "%core")
		b.ReportMetric(float64(p.transferredBytes()-transferred)/interval.Seconds(), "wire-B/s")
		b.ReportMetric(float64(f.tableReads(b)-reads)/interval.Seconds()/float64(len(dataCentres)), "table-reads/s")
		b.ReportMetric(float64(p.residentBytes())/(1<<20), "MB")
	}
}

// BenchmarkConnections measures a daemon's connections to its targets and its
// memory, after all slots of the targets have been in use.
func BenchmarkConnections(b *testing.B) {
	for _, targets := range []int{50, 200, 400} {
		b.Run(fmt.Sprintf("targets=%d", targets), func(b *testing.B) { benchConnections(b, targets) })
	}
}

func benchConnections(b *testing.B, targets int) {
	const callers, tasks, runMS = 40, 170, 200
	f := newFleet(b, targets, "nordnes")
	f.restartWithProductionPeriods(b)
	c := f.client(0)
	for b.Loop() {
		before := f.daemons[0].residentBytes()
		var g errgroup.Group
		for i := range callers {
			g.Go(func() error {
				_, err := c.Submit(context.Background(), newJob("bench"+strconv.Itoa(i), tasks, runMS))
				return err
			})
		}
		if err := g.Wait(); err != nil {
			b.Fatal(err)
		}
		files, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", f.daemons[0].cmd.Process.Pid))
		if err != nil {
			b.Fatal(err)
		}
		b.ReportMetric(float64(len(files)), "open-files")
		b.ReportMetric(float64(f.daemons[0].residentBytes())/(1<<20), "MB")
		b.ReportMetric(float64(before)/(1<<20), "MB-before")
	}
}

// tableReads returns the number of reads that the table service has answered.
func (f *fleet) tableReads(b *testing.B) int {
	b.Helper()
	var n struct {
		Reads int `json:"reads"`
	}
	if err := f.getJSON(platformPort, "/counters", &n); err != nil {
		b.Fatal(err)
	}
	return n.Reads
}
