package fbsoak

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"time"
)

// checkJobs compares the outcomes of all jobs with the runs at the targets. It is
// called after the last fault, and waits for stored jobs to end.
func (c *clients) checkJobs(ctx context.Context) {
	counts := make(map[jobOutcome]int)
	for _, j := range c.jobs {
		if j.stored && j.outcome == outcomeAccepted {
			c.awaitStoredJob(ctx, j)
		}
		counts[j.outcome]++
	}
	c.soak.logf("jobs: %v", counts)
	recorder := c.soak.recorder
	for _, task := range recorder.Overlapping() {
		c.soak.violationf("task %s had two runs at the same time", task)
	}
	starts, done, restarted := recorder.StartCounts(), recorder.DoneCounts(), recorder.RestartedAfterDone()
	for _, j := range c.jobs {
		c.checkJob(j, starts, done, restarted)
	}
}

// checkJob compares the outcome that a caller received with the runs at the
// targets.
func (c *clients) checkJob(j *submission, starts, done map[string]int, restarted []string) {
	for i := range j.tasks {
		task := fmt.Sprintf("%s.0.0.%d", j.key, i)
		switch {
		case j.outcome == outcomeRefused && starts[task] > 0:
			c.soak.violationf("task %s was started, but its job was refused", task)
		case j.outcome == outcomeCompleted && done[task] == 0:
			c.soak.violationf("task %s has no done run, but its job is completed", task)
		case j.stored && slices.Contains(restarted, task):
			c.soak.violationf("task %s of a stored job was started again after a done run", task)
		}
	}
}

// awaitStoredJob polls a stored job until it has ended or storedJobTimeout has
// passed.
func (c *clients) awaitStoredJob(ctx context.Context, j *submission) {
	deadline := time.Now().Add(storedJobTimeout)
	for i := 0; ; i++ {
		status, state := c.call(ctx, i%len(c.soak.nodes), http.MethodGet, j.key, "")
		switch {
		case status == http.StatusOK && state == string(outcomeCompleted):
			j.outcome = outcomeCompleted
			return
		case status == http.StatusOK && state == string(outcomeFailed):
			j.outcome = outcomeFailed
			return
		case status == http.StatusOK && state == "cancelled" && j.cancel:
			j.outcome = outcomeFailed
			return
		case status == http.StatusGone:
			c.soak.violationf("stored job %s is no longer stored (status 410)", j.key)
			return
		}
		if ctx.Err() != nil {
			return
		}
		if time.Now().After(deadline) {
			c.soak.violationf("stored job %s has not ended: got status %d, state %q, %v after the last fault", j.key, status, state, storedJobTimeout)
			return
		}
		c.soak.sleep(ctx, storedJobPollInterval)
	}
}

// finalJobs is the number of jobs that each daemon must complete after the last
// fault.
const finalJobs = 3

// checkServing checks that after the last fault each daemon completes jobs and
// serves the latest routes only.
func (s *Soak) checkServing(ctx context.Context, c *clients) {
	for node := range s.nodes {
		for i := range finalJobs {
			key := fmt.Sprintf("%016x", 1<<63|uint64(node<<8|i))
			body := fmt.Sprintf(`{"spec":"{\"run_ms\":%d,\"cpu\":%d}","steps":[{"count":2,"cpu":%d,"memMb":8,"estimateMs":%d}],"bestEffort":true}`,
				typicalRunMS, taskCPU, taskCPU, typicalRunMS)
			status, state := c.call(ctx, node, http.MethodPost, key, body)
			if status != http.StatusOK || state != string(outcomeCompleted) {
				s.violationf("after the last fault daemon %d answered a job with status %d, state %q", node, status, state)
			}
		}
		s.checkRoutes(ctx, node)
	}
}

func (s *Soak) checkRoutes(ctx context.Context, node int) {
	s.mu.Lock()
	version := s.version
	s.mu.Unlock()
	address := s.nodes[node].addresses["callers"]
	if status, err := getStatus(ctx, address, probePrefix(version)); status != http.StatusOK {
		s.violationf("daemon %d doesn't serve the latest routes: status %d, error %v", node, status, err)
	}
	if version == 1 {
		return
	}
	if status, err := getStatus(ctx, address, probePrefix(version-1)); status != http.StatusNotFound {
		s.violationf("daemon %d still serves a removed route: status %d, error %v", node, status, err)
	}
}

// checkStop stops all daemons, and checks that they stop in time and that none has
// exited unexpectedly during the run.
func (s *Soak) checkStop() {
	for i, n := range s.nodes {
		if !n.process.Stop(stopTimeout) {
			s.violationf("daemon %d did not stop within %v", i, stopTimeout)
		}
		if k := n.process.UnexpectedExits(); k > 0 {
			s.violationf("daemon %d exited unexpectedly %d times", i, k)
		}
	}
}
