package fbdaemon

import (
	"context"
	"sync"
	"time"

	"github.com/filbertford/filbertford"
	"github.com/filbertford/filbertford/fbburn"
)

// burnRecorder counts how the daemon's callers were answered. It is safe for concurrent
// use: the traffic goroutines record, operators' requests read.
type burnRecorder struct {
	mu   sync.Mutex
	book *fbburn.Book
}

func newBurnRecorder(since time.Time) *burnRecorder {
	return &burnRecorder{book: fbburn.NewBook(since)}
}

func (b *burnRecorder) record(now time.Time, k fbburn.Key, objective fbburn.Objective, o fbburn.Outcome) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.book.Record(now, k, objective, o)
}

func (b *burnRecorder) outline(now time.Time) (fbburn.Snapshot, []fbburn.Key) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.book.Outline(now)
}

func (b *burnRecorder) service(now time.Time, k fbburn.Key, withSeries bool) (fbburn.Service, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.book.Service(now, k, withSeries)
}

// Burn returns the counts of the answers that this daemon gave to its own
// callers, with the series of time buckets if asked for. Deliveries that other
// daemons forwarded are counted there, so that counts of daemons add up. The
// services are read one at a time, so that no answer waits long to be recorded.
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

// recordAnswer counts the answer to a caller's delivery that began at a moment.
// A job that the settings in force don't know is not counted.
func (d *Daemon) recordAnswer(ctx context.Context, j filbertford.Job, a filbertford.Answer, startedAt time.Time) {
	k := fbburn.NewKey(j.Team(), j.Service(), j.Kind())
	objective, ok := d.objective(k)
	if !ok {
		return
	}
	now := d.timer.Now()
	elapsed := now.Sub(startedAt)
	outcome := fbburn.Judge(a.Code(), elapsed, objective.Within())
	if ctx.Err() != nil {
		outcome = fbburn.JudgeGone(elapsed, objective.Within())
	}
	d.burn.record(now, k, objective, outcome)
}

// objective returns the objective that the settings in force hold, or false if
// they don't know the service.
func (d *Daemon) objective(k fbburn.Key) (fbburn.Objective, bool) {
	rules, ok := d.settings.Load().Rules(k.Team(), k.Service(), k.Kind())
	return fbburn.NewObjective(rules.Objective()), ok
}
