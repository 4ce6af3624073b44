package main

import (
	"bytes"
	"fmt"
	"os"
	"strconv"
	"testing"
	"time"
)

// transferred returns the bytes that the program has read and written, on
// sockets and files, without the headers of TCP and IP.
func (p *process) transferred() int {
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

// BenchmarkControl measures what a daemon spends on control without any job: the
// processor, the bytes that it reads and writes, its memory, and the reads of
// the table service by a daemon, for some fleets of several data centres.
func BenchmarkControl(b *testing.B) {
	tests := []struct{ centres, daemons, targets int }{
		{1, 1, 50}, {1, 3, 50}, {1, 9, 50}, {3, 3, 50}, {10, 2, 50}, {1, 1, 200},
	}
	for _, tt := range tests {
		name := fmt.Sprintf("centres=%d/daemons=%d/targets=%d", tt.centres, tt.daemons, tt.targets)
		b.Run(name, func(b *testing.B) { benchControl(b, tt.centres, tt.daemons, tt.targets) })
	}
}

func benchControl(b *testing.B, centres, daemons, targets int) {
	const watched = 10 * time.Second
	var places []string
	for i := range centres * daemons {
		places = append(places, "dc"+strconv.Itoa(i%centres))
	}
	f := newFleet(b, targets, places...)
	f.defaults(b)
	for b.Loop() {
		p := f.daemons[0]
		cpu, moved, reads := p.cpu(), p.transferred(), f.tableReads(b)
		time.Sleep(watched)
		b.ReportMetric(100*float64(p.cpu()-cpu)/float64(watched), "%core")
		b.ReportMetric(float64(p.transferred()-moved)/watched.Seconds(), "wire-B/s")
		b.ReportMetric(float64(f.tableReads(b)-reads)/watched.Seconds()/float64(len(places)), "table-reads/s")
		b.ReportMetric(float64(p.resident())/(1<<20), "MB")
	}
}

// tableReads returns how many reads the table service has answered.
func (f *fleet) tableReads(b *testing.B) int {
	b.Helper()
	var n struct {
		Reads int `json:"reads"`
	}
	if err := f.get(platformPort, "/counters", &n); err != nil {
		b.Fatal(err)
	}
	return n.Reads
}
