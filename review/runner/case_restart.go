package main

import (
	"context"
	"fmt"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"
)

// restartAll: many stored jobs wait when all processes are killed. After they have started
// again, the jobs must be known and get answers. JOBS is the number of jobs.
func restartAll(ctx context.Context, s *setting) (bool, error) {
	jobs, _ := strconv.Atoi(os.Getenv("JOBS"))
	if jobs == 0 {
		jobs = 12000
	}
	if err := s.threeZones(ctx, 3); err != nil {
		return false, err
	}
	const clients = 48
	var accepted sync.Map
	var next, n atomic.Int64
	var g errgroup.Group
	for range clients {
		g.Go(func() error {
			for ctx.Err() == nil {
				i := int(next.Add(1))
				if i > jobs {
					return nil
				}
				j := job{
					id: jobID(23, i), spec: map[string]any{"run_ms": 200},
					steps: []step{{Count: 8, taskDemand: taskDemand{CPU: 6800, Memory: 64}, EstimateMS: 200}},
				}
				if s.submit(ctx, s.nodes[i%len(s.nodes)], j, patience).accepted() {
					accepted.Store(j.id, true)
					n.Add(1)
				}
			}
			return ctx.Err()
		})
	}
	if err := g.Wait(); err != nil {
		return false, err
	}
	s.record.printf("%d jobs were accepted", n.Load())
	if s.trouble {
		for _, d := range s.nodes {
			d.kill()
		}
		if err := sleep(ctx, 1500*time.Millisecond); err != nil {
			return false, err
		}
		for _, d := range s.nodes {
			if err := d.start(); err != nil {
				return false, err
			}
		}
	}
	if err := sleep(ctx, 8*time.Second+finishS); err != nil {
		return false, err
	}
	var unanswered, unknown atomic.Int64
	var ask errgroup.Group
	ask.SetLimit(clients)
	i := 0
	accepted.Range(func(key, _ any) bool {
		i++
		if i%20 != 0 {
			return true
		}
		ask.Go(func() error {
			r := s.state(ctx, s.nodes[i%len(s.nodes)], fmt.Sprint(key), patience)
			switch {
			case r.status == 410:
				unknown.Add(1)
			case r.state == "":
				unanswered.Add(1)
			}
			return nil
		})
		return true
	})
	if err := ask.Wait(); err != nil {
		return false, err
	}
	s.record.printf("%d jobs aren't known and %d got no answer, of %d that were asked for", unknown.Load(), unanswered.Load(), i/20)
	return unknown.Load()+unanswered.Load() > 0, nil
}
