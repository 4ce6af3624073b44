package main

import (
	"context"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"
)

// Times of the pages for cancelled jobs.
const (
	cancelTime = 3000 * time.Millisecond
	stopTime   = 50 * time.Millisecond
	stableTime = 3000 * time.Millisecond
)

// cutFor is the length of a cut of a zone. The site files have up to 6.2 s.
const cutFor = time.Second

// submitWide sends a job that fills the workers of one zone and has tasks in another one,
// and returns the zone with the fewest of its tasks.
func (s *setting) submitWide(ctx context.Context, run time.Duration) (job, string, error) {
	j := job{
		id: jobID(3, 1), spec: map[string]any{"run_ms": run.Milliseconds()},
		steps: []step{{Count: 28, taskDemand: taskDemand{CPU: 3200, Memory: 64}, EstimateMS: int(run.Milliseconds())}},
	}
	if !s.submit(ctx, s.nodes[0], j, patience).accepted() {
		return j, "", fmt.Errorf("%w: the job wasn't accepted", errPrecondition)
	}
	if err := sleep(ctx, time.Second); err != nil {
		return j, "", err
	}
	runs := make(map[string]int)
	for _, w := range s.workers {
		if n := len(w.running()); n > 0 {
			runs[w.zone] += n
		}
	}
	if len(runs) < 2 {
		return j, "", fmt.Errorf("%w: all tasks run in one zone", errPrecondition)
	}
	zone := slices.MinFunc(slices.Sorted(maps.Keys(runs)), func(a, b string) int { return runs[a] - runs[b] })
	s.record.printf("tasks of job %s by zone: %v", j.id, runs)
	return j, zone, nil
}

// cancelInCut cuts a zone off for cutFor and cancels the job meanwhile, at a daemon of another
// zone. A client that gets no answer asks again. It returns the times of the acknowledgement
// and of the end of the cut.
func (s *setting) cancelInCut(ctx context.Context, j job, zone string) (ack, healed time.Duration, err error) {
	i := slices.IndexFunc(s.nodes, func(n *node) bool { return n.zone != zone })
	if s.trouble {
		s.cutZone(zone, true)
	}
	healed = s.record.now() + cutFor
	var g errgroup.Group
	g.Go(func() error {
		err := sleep(ctx, cutFor)
		if s.trouble {
			s.cutZone(zone, false)
		}
		return err
	})
	if err := sleep(ctx, 100*time.Millisecond); err != nil {
		return 0, 0, err
	}
	for ctx.Err() == nil {
		if r := s.cancelJob(ctx, s.nodes[i], j.id, patience); r.accepted() || r.status == http.StatusGone {
			return r.answeredAt, healed, g.Wait()
		}
	}
	return 0, 0, ctx.Err()
}

// threeZones starts daemons, perZone in each of three zones, and four workers in each.
func (s *setting) threeZones(ctx context.Context, perZone int) error {
	if err := s.begin(ctx, defaultRoute()); err != nil {
		return err
	}
	for _, zone := range zoneNames {
		for range 4 {
			if _, err := s.addWorker(zone, "a"); err != nil {
				return err
			}
		}
	}
	var zones []string
	for _, zone := range zoneNames {
		zones = append(zones, slices.Repeat([]string{zone}, perZone)...)
	}
	return s.startAll(ctx, zones...)
}

// lostWithdrawal: a zone is cut off for a second, and meanwhile a client cancels a job that
// has tasks there. They must end once the cut has healed.
func lostWithdrawal(ctx context.Context, s *setting) (bool, error) {
	if err := s.threeZones(ctx, 2); err != nil {
		return false, err
	}
	long, zone, err := s.submitWide(ctx, 20*time.Second)
	if err != nil {
		return false, err
	}
	ack, healed, err := s.cancelInCut(ctx, long, zone)
	if err != nil {
		return false, err
	}
	// The stretch without impairment begins stableMs after the cut.
	due := max(healed+stableTime, ack) + cancelTime + stopTime
	if err := sleep(ctx, due-s.record.now()); err != nil {
		return false, err
	}
	n := 0
	for _, w := range s.workers {
		n += len(w.running())
	}
	s.record.printf("%d tasks of the cancelled job run %.2f s after its cancelling was acknowledged and %.2f s after the cut",
		n, (s.record.now() - ack).Seconds(), (s.record.now() - healed).Seconds())
	return n > 0, nil
}

// blockedWorker: a zone is cut off for a second, and meanwhile a client cancels a job that
// has tasks there. Afterwards jobs come as before, and must be done.
func blockedWorker(ctx context.Context, s *setting) (bool, error) {
	if err := s.threeZones(ctx, 2); err != nil {
		return false, err
	}
	cancelled, zone, err := s.submitWide(ctx, 3*time.Second)
	if err != nil {
		return false, err
	}
	if _, _, err := s.cancelInCut(ctx, cancelled, zone); err != nil {
		return false, err
	}
	if err := sleep(ctx, 4*time.Second); err != nil {
		return false, err
	}
	jobs, err := s.traffic(ctx, 55*time.Second)
	if err != nil {
		return false, err
	}
	if err := sleep(ctx, finishS); err != nil {
		return false, err
	}
	return s.anyStuck(ctx, jobs, "", 2*4*6800)
}

// chainSteps is the number of steps of a job, one after the other.
const chainSteps = 6

// traffic sends stored jobs with several steps for a time, and returns those that were accepted.
func (s *setting) traffic(ctx context.Context, length time.Duration) ([]job, error) {
	demand := taskDemand{CPU: 6800, Memory: 64}
	begun := s.record.now()
	var mu sync.Mutex
	var accepted []job
	var g errgroup.Group
	for i := 0; s.record.now()-begun < length; i++ {
		g.Go(func() error {
			j := job{id: jobID(5, i), spec: map[string]any{"run_ms": 60}}
			for number := range chainSteps {
				st := step{Count: 4, taskDemand: demand, EstimateMS: 60}
				if number > 0 {
					st.After = []int{number - 1}
				}
				j.steps = append(j.steps, st)
			}
			if s.submit(ctx, s.nodes[i%len(s.nodes)], j, patience).accepted() {
				mu.Lock()
				defer mu.Unlock()
				accepted = append(accepted, j)
			}
			return nil
		})
		if err := sleep(ctx, 120*time.Millisecond); err != nil {
			return nil, err
		}
	}
	return accepted, g.Wait()
}
