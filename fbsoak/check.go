package fbsoak

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"time"
)

// checkJobs looks at what became of all jobs once the faults are over.
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
		c.soak.violationf("task %s ran twice at a time", task)
	}
	starts, done, restarted := recorder.StartCounts(), recorder.DoneCounts(), recorder.RestartedAfterDone()
	for _, j := range c.jobs {
		c.checkJob(j, starts, done, restarted)
	}
}

// checkJob compares what a caller was told with what the targets did.
func (c *clients) checkJob(j *submission, starts, done map[string]int, restarted []string) {
	for i := range j.tasks {
		task := fmt.Sprintf("%s.0.0.%d", j.key, i)
		switch {
		case j.outcome == outcomeRefused && starts[task] > 0:
			c.soak.violationf("task %s was started, but its job was refused", task)
		case j.outcome == outcomeCompleted && done[task] == 0:
			c.soak.violationf("task %s is not done, but its job is completed", task)
		case j.stored && slices.Contains(restarted, task):
			c.soak.violationf("task %s of a stored job was started again after it was done", task)
		}
	}
}

// awaitStoredJob asks for a stored job until it has ended.
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
			c.soak.violationf("stored job %s is not known any more", j.key)
			return
		}
		if ctx.Err() != nil {
			return
		}
		if time.Now().After(deadline) {
			c.soak.violationf("stored job %s is %d %q %v after the last fault", j.key, status, state, storedJobTimeout)
			return
		}
		c.soak.sleep(ctx, storedJobPollInterval)
	}
}

// finalJobs is the number of jobs that each daemon must complete in the end.
const finalJobs = 3

// checkServing finds daemons that don't serve once all faults are over, or by other
// routes than the last.
func (s *Soak) checkServing(ctx context.Context, c *clients) {
	for node := range s.nodes {
		for i := range finalJobs {
			key := fmt.Sprintf("%016x", 1<<63|uint64(node<<8|i))
			body := fmt.Sprintf(`{"spec":"{\"run_ms\":%d,\"cpu\":%d}","steps":[{"count":2,"cpu":%d,"memMb":8,"estimateMs":%d}],"bestEffort":true}`,
				typicalRunMS, taskCPU, taskCPU, typicalRunMS)
			status, state := c.call(ctx, node, http.MethodPost, key, body)
			if status != http.StatusOK || state != string(outcomeCompleted) {
				s.violationf("after all faults daemon %d answers a job with %d %q", node, status, state)
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
		s.violationf("daemon %d doesn't serve the newest routes: %d %v", node, status, err)
	}
	if version == 1 {
		return
	}
	if status, err := getStatus(ctx, address, probePrefix(version-1)); status != http.StatusNotFound {
		s.violationf("daemon %d serves a route that was removed: %d %v", node, status, err)
	}
}

// checkStop stops all daemons and finds those that don't, or have ended by
// themselves before.
func (s *Soak) checkStop() {
	for i, n := range s.nodes {
		if !n.process.Stop(stopTimeout) {
			s.violationf("daemon %d did not stop within %v", i, stopTimeout)
		}
		if k := n.process.UnexpectedExits(); k > 0 {
			s.violationf("daemon %d has ended by itself %d times", i, k)
		}
	}
}
