package fbsoak

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"time"
)

// check looks at what became of all jobs once the faults are over.
func (c *clients) check(ctx context.Context) {
	counts := make(map[verdict]int)
	for _, j := range c.jobs {
		if j.stored && j.verdict == verdictAccepted {
			c.checkStored(ctx, j)
		}
		counts[j.verdict]++
	}
	c.soak.say("jobs: %v", counts)
	ledger := c.soak.ledger
	for _, task := range ledger.Doubled() {
		c.soak.find("task %s ran twice at a time", task)
	}
	starts, done, restarted := ledger.Starts(), ledger.Done(), ledger.Restarted()
	for _, j := range c.jobs {
		c.checkJob(j, starts, done, restarted)
	}
}

// checkJob compares what a caller was told with what the targets did.
func (c *clients) checkJob(j *submission, starts, done map[string]int, restarted []string) {
	for i := range j.tasks {
		task := fmt.Sprintf("%s.0.0.%d", j.key, i)
		switch {
		case j.verdict == verdictRefused && starts[task] > 0:
			c.soak.find("task %s was started, but its job was refused", task)
		case j.verdict == verdictCompleted && done[task] == 0:
			c.soak.find("task %s is not done, but its job is completed", task)
		case j.stored && slices.Contains(restarted, task):
			c.soak.find("task %s of a stored job was started again after it was done", task)
		}
	}
}

// checkStored asks for a stored job until it has ended.
func (c *clients) checkStored(ctx context.Context, j *submission) {
	end := time.Now().Add(finishTerm)
	for i := 0; ; i++ {
		status, state := c.call(ctx, i%len(c.soak.nodes), http.MethodGet, j.key, "")
		switch {
		case status == http.StatusOK && state == string(verdictCompleted):
			j.verdict = verdictCompleted
			return
		case status == http.StatusOK && state == string(verdictFailed):
			j.verdict = verdictFailed
			return
		case status == http.StatusOK && state == "cancelled" && j.cancel:
			j.verdict = verdictFailed
			return
		case status == http.StatusGone:
			c.soak.find("stored job %s is not known any more", j.key)
			return
		}
		if ctx.Err() != nil {
			return
		}
		if time.Now().After(end) {
			c.soak.find("stored job %s is %d %q %v after the last fault", j.key, status, state, finishTerm)
			return
		}
		c.soak.pause(ctx, storedPoll)
	}
}

// calmJobs is the number of jobs that each daemon must complete in the end.
const calmJobs = 3

// checkCalm finds daemons that don't serve once all faults are over, or by other
// routes than the last.
func (s *Soak) checkCalm(ctx context.Context, c *clients) {
	for node := range s.nodes {
		for i := range calmJobs {
			key := fmt.Sprintf("%016x", 1<<63|uint64(node<<8|i))
			body := fmt.Sprintf(`{"spec":"{\"run_ms\":%d,\"cpu\":%d}","steps":[{"count":2,"cpu":%d,"memMb":8,"estimateMs":%d}],"bestEffort":true}`,
				usualRunMS, taskCPU, taskCPU, usualRunMS)
			status, state := c.call(ctx, node, http.MethodPost, key, body)
			if status != http.StatusOK || state != string(verdictCompleted) {
				s.find("after all faults daemon %d answers a job with %d %q", node, status, state)
			}
		}
		s.checkRoutes(ctx, node)
	}
}

func (s *Soak) checkRoutes(ctx context.Context, node int) {
	s.mu.Lock()
	version := s.version
	s.mu.Unlock()
	address := s.nodes[node].ports["callers"]
	if status, err := get(ctx, address, probePrefix(version)); status != http.StatusOK {
		s.find("daemon %d doesn't serve the newest routes: %d %v", node, status, err)
	}
	if version == 1 {
		return
	}
	if status, err := get(ctx, address, probePrefix(version-1)); status != http.StatusNotFound {
		s.find("daemon %d serves a route that was removed: %d %v", node, status, err)
	}
}

// checkStop stops all daemons and finds those that don't, or have ended by
// themselves before.
func (s *Soak) checkStop() {
	for i, n := range s.nodes {
		if !n.process.End(grace) {
			s.find("daemon %d did not stop within %v", i, grace)
		}
		if k := n.process.Strange(); k > 0 {
			s.find("daemon %d has ended by itself %d times", i, k)
		}
	}
}
