package main

import (
	"context"
	"fmt"
	"strings"
	"time"
)

// Times of the pages' rule LOST, and of a case.
const (
	finishS       = 14 * time.Second // from the end of the traffic until jobs are asked for
	stuckFor      = 3 * time.Second  // for which a job has nothing running
	patience      = 4 * time.Second  // of a client
	sampleEvery   = 100 * time.Millisecond
	requestPeriod = 250 * time.Millisecond
)

// lostKind: the only worker of a kind in one zone crashes for good, while those of the
// other zones are idle. Stored jobs that require the kind must still be run.
func lostKind(ctx context.Context, s *setting) (bool, error) {
	if err := s.begin(ctx, defaultRoute()); err != nil {
		return false, err
	}
	var lost *worker
	for _, zone := range zoneNames {
		for _, kind := range []string{"a", "a", "a", "b"} {
			w, err := s.addWorker(zone, kind)
			if err != nil {
				return false, err
			}
			if zone == "casa" && kind == "b" {
				lost = w
			}
		}
	}
	if err := s.startAll(ctx, "casa", "casa", "marrakech", "marrakech", "rabat", "rabat"); err != nil {
		return false, err
	}
	var jobs []job
	for i := range 60 {
		if i == 20 && s.trouble {
			lost.crash()
			s.group.Go(func() error {
				if sleep(s.ctx, workerExpiry) == nil {
					lost.expire()
				}
				return nil
			})
		}
		j := job{
			id: jobID(1, i), spec: map[string]any{"run_ms": 900},
			steps: []step{{Count: 2, taskDemand: taskDemand{CPU: 6800, Memory: 64}, EstimateMS: 900, RequiredLabel: "b"}},
		}
		if s.submit(ctx, s.nodes[i%len(s.nodes)], j, patience).accepted() {
			jobs = append(jobs, j)
		}
		if err := sleep(ctx, requestPeriod); err != nil {
			return false, err
		}
	}
	if len(jobs) == 0 {
		return false, fmt.Errorf("%w: no job was accepted", errPrecondition)
	}
	if err := sleep(ctx, finishS); err != nil {
		return false, err
	}
	return s.anyStuck(ctx, jobs, "b", 2*2*6800)
}

// anyStuck reports whether a job whose turn has come and that hasn't ended has nothing
// running for stuckFor, while workers with the label have the given room and under half of
// the service's capacity is used.
func (s *setting) anyStuck(ctx context.Context, jobs []job, label string, room int) (bool, error) {
	stuck := make(map[string]bool)
	for _, j := range jobs {
		stuck[j.id] = true
	}
	begun := s.record.now()
	for s.record.now()-begun < stuckFor+sampleEvery {
		free, used, total := 0, 0, 0
		done := make(map[string]bool)
		runs := make(map[string]bool)
		for _, w := range s.workers {
			for _, task := range w.doneTasks() {
				done[task] = true
			}
			u, up := w.used()
			if !up {
				continue
			}
			used, total = used+u, total+w.cpu
			if label == "" || w.hasLabel(label) {
				free += w.cpu - u
			}
			for _, task := range w.running() {
				runs[strings.SplitN(task, ".", 2)[0]] = true
			}
		}
		for _, j := range jobs {
			if runs[j.id] || free < room || 2*used >= total || !turnHasCome(j, done) {
				delete(stuck, j.id)
			}
		}
		if err := sleep(ctx, sampleEvery); err != nil {
			return false, err
		}
	}
	idle := s.record.now() - begun
	unfinished, broken := 0, 0
	for i, j := range jobs {
		r := s.state(ctx, s.nodes[i%len(s.nodes)], j.id, patience)
		if r.state == "completed" {
			continue
		}
		unfinished++
		if !stuck[j.id] {
			s.record.printf("job %s is shown as %q (%d)", j.id, r.state, r.status)
			continue
		}
		broken++
		s.record.printf("job %s is accepted and shown as %q (%d); nothing of it has run for %.1f s, though a task's turn has come and there is room", j.id, r.state, r.status, idle.Seconds())
	}
	s.record.printf("%d of %d accepted jobs have not ended, of %d nothing runs", unfinished, len(jobs), broken)
	return broken > 0, nil
}

// used returns the CPU that runs use, and whether the worker is up.
func (w *worker) used() (cpu int, up bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, r := range w.runs {
		cpu += r.cpu
	}
	return cpu, !w.down
}

func (w *worker) hasLabel(label string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, l := range w.labels {
		if l == label {
			return true
		}
	}
	return false
}

// doneTasks returns the tasks of which a run has ended as done.
func (w *worker) doneTasks() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	var out []string
	for _, e := range w.ends {
		if e.how == "done" {
			out = append(out, e.task)
		}
	}
	return out
}

// turnHasCome reports whether a task of the job has not ended as done although all that it
// waits for have.
func turnHasCome(j job, done map[string]bool) bool {
	all := make([]bool, len(j.steps))
	for number, st := range j.steps {
		all[number] = true
		ready := true
		for _, a := range st.After {
			ready = ready && all[a]
		}
		for index := range st.Count {
			if !done[taskName(j.id, number, index)] {
				all[number] = false
			}
		}
		if ready && !all[number] {
			return true
		}
	}
	return false
}
