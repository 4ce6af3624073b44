package main

import (
	"context"
	"fmt"
	"slices"
	"time"
)

// Sizes of the deployment of all cases: those of akp-sched, smaller.
const (
	workerCPU = 16000
	taskCPU   = 6800
	rackSize  = 8
)

// zones are the zones of the deployment. Each has one daemon.
var zones = []string{"casa", "marrakech", "rabat"}

// kinds are the kinds of the workers, in turn.
var kinds = []string{"a", "a", "b"}

// routeTimeout is the timeout of the queue: longer than that of the site file, for jobs of several steps.
const routeTimeout = 20 * time.Second

// deploy writes a configuration, and starts the given number of workers in each zone and a daemon.
func (l *lab) deploy(ctx context.Context, attempts int, workers [3]int, proxied bool) error {
	l.configure(attempts, routeTimeout)
	for z, n := range workers {
		for i := range n {
			id := fmt.Sprintf("i-%s-%d", zones[z], i)
			rack := fmt.Sprintf("r-%s-%d", zones[z], i/rackSize)
			if _, err := l.addWorker(id, serviceName, zones[z], workerCPU, kinds[i%len(kinds)], rack); err != nil {
				return err
			}
		}
	}
	return l.addDaemons(ctx, zones, proxied)
}

// workersOf returns the workers of a zone that have the label, all of them if it is empty.
func (l *lab) workersOf(zone, label string) []*worker {
	var out []*worker
	for _, w := range l.workers {
		if w.zone == zone && (label == "" || slices.Contains(w.labels, label)) {
			out = append(out, w)
		}
	}
	return out
}
