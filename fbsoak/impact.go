package fbsoak

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"time"
)

// impact is a period in which a fault may explain failed requests to a daemon.
type impact struct {
	node     int // -1 for all
	kind     FaultKind
	from, to time.Time
}

// awaitReady waits until all daemons are ready. Time in which this process or a daemon waited
// for a processor doesn't count towards the timeout, but readyLimit is the longest wait.
func (s *Soak) awaitReady(ctx context.Context, timeout time.Duration) error {
	var nodes []int
	for i := range s.nodes {
		nodes = append(nodes, i)
	}
	for startedAt := time.Now(); ; {
		if s.allReady(ctx) {
			return nil
		}
		elapsed, wait := time.Since(startedAt), s.processorWait(startedAt, time.Now(), nodes...)
		if elapsed-wait > timeout || elapsed > readyLimit {
			return fmt.Errorf("not all daemons are ready after %v, without processor time for %v of it: %s", elapsed, wait, s.describeReadiness(ctx))
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(readyPollInterval):
		}
	}
}

// describeReadiness returns the readiness and the number of unexpected exits of each
// daemon.
func (s *Soak) describeReadiness(ctx context.Context) string {
	var out []string
	for _, n := range s.nodes {
		status, err := getStatus(ctx, n.addresses["readiness"], "/-/ready")
		out = append(out, fmt.Sprintf("%s: status %d, error %v, %d unexpected exits", n.name, status, err, n.process.UnexpectedExits()))
	}
	return strings.Join(out, "; ")
}

func (s *Soak) allReady(ctx context.Context) bool {
	for _, n := range s.nodes {
		status, _ := getStatus(ctx, n.addresses["readiness"], "/-/ready")
		if status != http.StatusOK {
			return false
		}
	}
	return true
}

// recordImpact records that a fault may explain failed requests to a daemon from now
// until impactMargin after its end. The node -1 means all daemons.
func (s *Soak) recordImpact(node int, f Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	to := now.Add(f.Duration + impactMargin)
	if f.Kind == FaultTargetsLate {
		to = to.Add(f.Delay)
	}
	if f.Kind == FaultStop {
		to = to.Add(stopTimeout)
	}
	s.impacts = append(s.impacts, impact{node: node, kind: f.Kind, from: now, to: to})
}

// isImpacted reports whether a fault may explain failed requests to a daemon between
// two points in time. If ignoreStops is set, planned stops don't count.
func (s *Soak) isImpacted(node int, from, to time.Time, ignoreStops bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, im := range s.impacts {
		if im.node != -1 && im.node != node || ignoreStops && im.kind == FaultStop {
			continue
		}
		if im.from.Before(to) && from.Before(im.to) {
			return true
		}
	}
	return false
}
