package fbdaemon

import (
	"context"
	"sync"
	"time"

	"github.com/filbertford/filbertford"
	"github.com/filbertford/filbertford/fbburn"
)

// burnRecorder counts the answers to the daemon's callers against the services'
// objectives. It is safe for concurrent use: request goroutines record answers
// while operators' requests read the counts.
type burnRecorder struct {
	mu       sync.Mutex
	recorder *fbburn.Recorder
}

func newBurnRecorder(since time.Time) *burnRecorder {
	return &burnRecorder{recorder: fbburn.NewRecorder(since)}
}

func (b *burnRecorder) record(now time.Time, k fbburn.Key, objective fbburn.Objective, o fbburn.Outcome) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.recorder.Record(now, k, objective, o)
}

func (b *burnRecorder) outline(now time.Time) (fbburn.Snapshot, []fbburn.Key) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.recorder.Outline(now)
}

func (b *burnRecorder) service(now time.Time, k fbburn.Key, withSeries bool) (fbburn.Service, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.recorder.Service(now, k, withSeries)
}

// Burn returns the counts of the answers that this daemon gave to its own
// callers, with the counts by time bucket if withSeries is set. A delivery that
// another daemon forwarded is counted only by that daemon, so that the counts of
// all daemons can be added. The lock is held for one service at a time, so that
// recording an answer does not wait long.
func (d *Daemon) Burn(withSeries bool) fbburn.Snapshot {
	now := d.timer.Now()
	out, keys := d.burn.outline(now)
	services := make([]fbburn.Service, 0, len(keys))
	for _, k := range keys {
		s, ok := d.burn.service(now, k, withSeries)
		if !ok {
			continue
		}
		if objective, known := d.objective(k); known {
			s = s.WithObjective(objective)
		}
		services = append(services, s)
	}
	return out.WithServices(services...)
}

// recordAnswer counts the answer to a caller's delivery that was received at
// startedAt. A job of a service that the current settings don't list is not
// counted.
func (d *Daemon) recordAnswer(ctx context.Context, j filbertford.Job, a filbertford.Answer, startedAt time.Time) {
	k := fbburn.NewKey(j.Team(), j.Service(), j.Kind())
	objective, ok := d.objective(k)
	if !ok {
		return
	}
	now := d.timer.Now()
	elapsed := now.Sub(startedAt)
	outcome := fbburn.Classify(a.Code(), elapsed, objective.MaxLatency())
	if ctx.Err() != nil {
		outcome = fbburn.ClassifyDisconnected(elapsed, objective.MaxLatency())
	}
	d.burn.record(now, k, objective, outcome)
}

// objective returns the service's objective in the current settings, or false if
// they don't list the service.
func (d *Daemon) objective(k fbburn.Key) (fbburn.Objective, bool) {
	rules, ok := d.settings.Load().Rules(k.Team(), k.Service(), k.Kind())
	return fbburn.NewObjective(rules.Objective()), ok
}
