package main

import (
	"context"
	"fmt"
	"hash/fnv"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"
)

// silence is the length of an outage of the store in which it answers nothing, as in the
// site file.
const silence = 4200 * time.Millisecond

// shard returns the part of the stored jobs that a job belongs to, as daemons name it.
func shard(id string) string {
	h := fnv.New32a()
	_, _ = h.Write([]byte(id)) // never fails
	return fmt.Sprintf("jobs/%d", h.Sum32()%8)
}

// foreignReply: the store is down, and a daemon that passes requests on is killed and starts
// again. Clients then ask it for the state of jobs that nobody has cancelled.
func foreignReply(ctx context.Context, s *setting) (bool, error) {
	if err := s.threeZones(ctx, 2); err != nil {
		return false, err
	}
	var entry, other *node // the entry owns a shard, so that its jobs wait for another owner
	owned := make(map[string]bool)
	for _, n := range s.nodes {
		shards := make(map[string]bool)
		for _, pool := range n.owned() {
			if len(pool) > 5 && pool[:5] == "jobs/" {
				shards[pool] = true
			}
		}
		if len(shards) > len(owned) {
			entry, owned = n, shards
		}
	}
	for _, n := range s.nodes {
		if n != entry {
			other = n
		}
	}
	if entry == nil {
		return false, fmt.Errorf("%w: no daemon owns a shard", errPrecondition)
	}
	s.record.printf("requests go to %s", entry.name)
	var kept, cancelled []job
	for i := 0; len(kept) < 20 || len(cancelled) < 20; i++ {
		j := job{
			id: jobID(9, i), spec: map[string]any{"run_ms": 60000},
			steps: []step{{Count: 1, taskDemand: taskDemand{CPU: 800, Memory: 64}, EstimateMS: 60000}},
		}
		list := &cancelled
		if owned[shard(j.id)] {
			list = &kept
		}
		if len(*list) == 20 {
			continue
		}
		*list = append(*list, j)
		if !s.submit(ctx, other, j, patience).accepted() {
			return false, fmt.Errorf("%w: a job wasn't accepted", errPrecondition)
		}
	}
	if s.trouble {
		s.setStore("silent")
	}
	up := s.record.now() + silence
	if err := sleep(ctx, 200*time.Millisecond); err != nil {
		return false, err
	}
	var g errgroup.Group
	for _, j := range cancelled {
		g.Go(func() error {
			s.cancelJob(ctx, entry, j.id, patience)
			return nil
		})
	}
	if err := sleep(ctx, 800*time.Millisecond); err != nil {
		return false, err
	}
	if s.trouble {
		entry.kill()
		if err := sleep(ctx, 700*time.Millisecond); err != nil {
			return false, err
		}
		if err := entry.start(); err != nil {
			return false, err
		}
		if err := entry.waitReady(ctx); err != nil {
			return false, err
		}
	}
	var mu sync.Mutex
	wrong := 0
	for i := range 2 * len(kept) {
		j := kept[i%len(kept)]
		g.Go(func() error {
			r := s.state(ctx, entry, j.id, patience)
			if r.state == "cancelled" || r.state == "failed" || r.state == "completed" {
				mu.Lock()
				defer mu.Unlock()
				wrong++
				s.record.printf("job %s is shown as %q, though nobody has cancelled it and its task is at work: %v", j.id, r.state, runningAt(s.workers, taskName(j.id, 0, 0)) != nil)
			}
			return nil
		})
		if err := sleep(ctx, 10*time.Millisecond); err != nil {
			return false, err
		}
	}
	if err := sleep(ctx, up-s.record.now()); err != nil {
		return false, err
	}
	if s.trouble {
		s.setStore("")
	}
	if err := g.Wait(); err != nil {
		return false, err
	}
	if err := sleep(ctx, 2*time.Second); err != nil {
		return false, err
	}
	for _, j := range kept {
		s.state(ctx, other, j.id, patience)
	}
	s.record.printf("%d answers were wrong", wrong)
	return wrong > 0, nil
}
