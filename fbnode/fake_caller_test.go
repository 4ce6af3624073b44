package fbnode

import (
	"fmt"
	"time"

	"github.com/filbertford/filbertford"
)

// scheduleJobs schedules the jobs of the callers.
func (s *fleetSim) scheduleJobs() {
	rate := 6 + 20*s.rand.Float64()
	for at := 400 * time.Millisecond; at < simLoad; at += time.Duration(s.rand.ExpFloat64() / rate * float64(time.Second)) {
		s.jobs++
		key := filbertford.JobKey(fmt.Sprintf("%016x", s.jobs))
		duration := s.between(30*time.Millisecond, 400*time.Millisecond)
		if s.chance(0.25) {
			duration = s.between(400*time.Millisecond, 4*time.Second)
		}
		s.durations[key] = duration
		demand := filbertford.NewResources(1000, 1, 0)
		steps := []filbertford.Step{filbertford.NewStep(1+s.rand.IntN(4), demand, duration)}
		if s.chance(0.3) {
			steps = append(steps, filbertford.NewStep(1+s.rand.IntN(3), demand, duration).WithAfter(0))
		}
		c := &simCaller{
			sim: s, job: filbertford.NewWorkload(key, "spec", steps...).WithBestEffort(true),
			dataCentre: s.dataCentres[s.rand.IntN(len(s.dataCentres))], timeout: s.between(3*time.Second, 9*time.Second),
		}
		s.after(at, c.send)
	}
}

// simCaller sends a job to a daemon of its data centre and, if the connection breaks or the
// outcome is unknown, sends it again to any daemon.
type simCaller struct {
	sim        *fleetSim
	job        filbertford.Workload
	dataCentre filbertford.DataCentre
	timeout    time.Duration
	sent       int
	rejections int
	lastSentTo filbertford.DataCentre
	avoided    filbertford.DataCentre // it sends to no daemon of it
}

func (c *simCaller) send() {
	s := c.sim
	var candidates []*simDaemon
	for _, name := range s.names {
		if d := s.daemons[name]; !d.dead && (c.sent > 0 || d.member.DataCentre() == c.dataCentre) && d.member.DataCentre() != c.avoided {
			candidates = append(candidates, d)
		}
	}
	if len(candidates) == 0 {
		s.after(100*time.Millisecond, c.send)
		return
	}
	c.sendTo(candidates[s.rand.IntN(len(candidates))])
}

func (c *simCaller) sendTo(d *simDaemon) {
	s := c.sim
	c.sent++
	c.lastSentTo = d.member.DataCentre()
	s.sends[c.job.Key()]++
	s.lastRequest++
	id, open := s.lastRequest, true
	s.logf("caller sends %s to %s, request %d, attempt %d, timeout %v", c.job.Key(), d.name(), id, c.sent, c.timeout)
	d.broken[id] = func() {
		if open {
			open = false
			c.sendAgain("the connection broke")
		}
	}
	d.requests[id] = func(a filbertford.WorkloadAnswer) {
		s.after(s.oneWay("", ""), func() {
			if open {
				open = false
				c.handleAnswer(a)
			}
		})
	}
	if s.holdsRequest() {
		c.holdBack(d, id, &open)
		return
	}
	sentAt := s.now
	s.after(s.oneWay("", ""), func() {
		d.post("callers", func(d *simDaemon) {
			if d.requests[id] != nil {
				d.coordinator.Submit(s.now, id, s.routeOf(d.name()), c.job, c.timeout)
			}
		})
	})
	if *fleetDeadlines {
		s.after(c.timeout+10*time.Millisecond, func() {
			if open {
				c.checkAnswered(d, sentAt, "LATE")
			}
		})
	}
	s.after(c.timeout+s.patience(), func() {
		if !open {
			return
		}
		open = false
		c.checkAnswered(d, sentAt, "UNANSWERED")
		delete(d.requests, id)
		delete(d.broken, id)
		d.post("callers", func(d *simDaemon) { d.coordinator.CancelRequest(s.now, id) })
		c.sendAgain("no answer")
	})
}

func (c *simCaller) handleAnswer(a filbertford.WorkloadAnswer) {
	c.sim.logf("caller of %s is answered: %s", c.job.Key(), a.Kind())
	c.sim.answers[a.Kind()]++
	switch a.Kind() {
	case filbertford.AnswerUnknown:
		c.sendAgain("the outcome is unknown")
	case filbertford.AnswerNotRun:
		if c.rejections++; c.rejections == c.sent {
			c.sim.rejected[c.job.Key()] = true
			if c.sim.startedJobs[c.job.Key()] {
				c.sim.violation("REFUSED", "%s was rejected after a start", c.job.Key())
			}
		}
	}
}

func (c *simCaller) sendAgain(reason string) {
	c.sim.logf("caller of %s: %s", c.job.Key(), reason)
	if c.sent < 3 {
		c.sim.resends++
		c.sim.after(c.retransmitDelay(), c.send)
	}
}
