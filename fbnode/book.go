package fbnode

import (
	"time"

	"github.com/charmbracelet/log"
	"github.com/uber-go/tally/v4"

	"github.com/filbertford/filbertford/fbevent"
	"github.com/filbertford/filbertford/fbfleet"
	"github.com/filbertford/filbertford/fblog"
	"github.com/filbertford/filbertford/fbsched"
)

// book writes decisions to the log and counts them.
type book struct {
	log    *log.Logger
	scope  tally.Scope
	counts map[fbsched.NoteKind]tally.Counter
	// jobs and waits are latencies of answers and of starts.
	jobs    tally.Histogram
	waits   tally.Histogram
	limiter *fblog.Limiter
	flushed time.Duration
	lost    func() uint64 // lines that the output did not take
	told    uint64
}

// latencies are the buckets of histograms, from 1 ms to 16 s.
var latencies = tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 15)

// omissionPeriod is the time between two lines that tell what was left out.
const omissionPeriod = time.Second

func newBook(l *log.Logger, s tally.Scope, lost func() uint64) *book {
	return &book{
		log: l, scope: s, counts: make(map[fbsched.NoteKind]tally.Counter), limiter: fblog.NewLimiter(), lost: lost,
		jobs: s.Histogram("answer_latency", latencies), waits: s.Histogram("start_wait", latencies),
	}
}

// noteEvents maps decisions to log events.
var noteEvents = map[fbsched.NoteKind]fbevent.Event{
	fbsched.NoteStart:       fbevent.RunStarted,
	fbsched.NoteEnd:         fbevent.RunEnded,
	fbsched.NoteRequeue:     fbevent.TaskRequeued,
	fbsched.NoteExpired:     fbevent.TaskExpired,
	fbsched.NoteStopRun:     fbevent.RunStopped,
	fbsched.NoteAdopted:     fbevent.RunAdopted,
	fbsched.NoteSuspect:     fbevent.TargetSuspect,
	fbsched.NoteQuarantine:  fbevent.TargetQuarantined,
	fbsched.NoteTrusted:     fbevent.TargetTrusted,
	fbsched.NoteUnreachable: fbevent.TargetUnreachable,
	fbsched.NoteReachable:   fbevent.TargetReachable,
	fbsched.NoteLapsed:      fbevent.TargetLapsed,
	fbsched.NoteTargetNew:   fbevent.TargetNew,
	fbsched.NoteTargetGone:  fbevent.TargetGone,
	fbsched.NoteDraining:    fbevent.TargetDraining,
	fbsched.NoteFenced:      fbevent.PoolFenced,
	fbsched.NoteSettled:     fbevent.PoolSettled,
	fbsched.NotePlaced:      fbevent.TasksPlaced,
	fbsched.NoteAnswered:    fbevent.JobAnswered,
}

func (b *book) note(now time.Duration, n fbsched.Note) {
	c, ok := b.counts[n.Kind]
	if !ok {
		c = b.scope.Tagged(map[string]string{"kind": string(n.Kind)}).Counter("decisions")
		b.counts[n.Kind] = c
	}
	c.Inc(1)
	switch n.Kind {
	case fbsched.NoteAnswered:
		b.jobs.RecordDuration(n.Age)
	case fbsched.NoteStart:
		b.waits.RecordDuration(n.Age)
	}
	e, ok := noteEvents[n.Kind]
	if !ok {
		return
	}
	if b.limiter.Allow(e.ID(), now) {
		e.Log(b.log, noteFields(n)...)
	}
}

func noteFields(n fbsched.Note) []any {
	var f []any
	if n.Pool != "" {
		f = append(f, "pool", n.Pool)
	}
	if n.Task.Job() != "" {
		f = append(f, "task", n.Task.String())
	}
	if n.Target != "" {
		f = append(f, "target", n.Target)
	}
	if n.Run != 0 {
		f = append(f, "run", n.Run)
	}
	if n.Reason != "" {
		f = append(f, "reason", n.Reason)
	}
	return append(f, "age_ms", n.Age.Milliseconds())
}

func (b *book) fleet(e fbfleet.Event) {
	switch e.Kind() {
	case fbfleet.EventAcquired:
		fbevent.PoolAcquired.Log(b.log, "pool", e.Pool(), "fence", e.Owner().Fence())
	case fbfleet.EventReleased:
		fbevent.PoolReleased.Log(b.log, "pool", e.Pool(), "reason", e.Reason())
	case fbfleet.EventOwner:
		fbevent.PoolOwner.Log(b.log, "pool", e.Pool(), "owner", e.Owner().Node(), "fence", e.Owner().Fence())
	case fbfleet.EventPeerLost:
		fbevent.PeerLost.Log(b.log, "node", e.Node(), "reason", e.Reason())
	case fbfleet.EventPeerMet:
		fbevent.PeerMet.Log(b.log, "node", e.Node())
	}
}

func (b *book) suspended(gap time.Duration) {
	fbevent.NodeSuspended.Log(b.log, "gap_ms", gap.Milliseconds())
}

func (b *book) renewalFailed(now time.Duration, err error) {
	if b.limiter.Allow(fbevent.RenewalFailed.ID(), now) {
		fbevent.RenewalFailed.Log(b.log, "error", err)
	}
}

// flush tells which lines were left out.
func (b *book) flush(now time.Duration) {
	if now-b.flushed < omissionPeriod {
		return
	}
	b.flushed = now
	for _, o := range b.limiter.TakeOmissions() {
		fbevent.LinesOmitted.Log(b.log, "of", o.Event(), "count", o.Count())
	}
	if lost := b.lost(); lost > b.told {
		fbevent.LinesOmitted.Log(b.log, "of", "all", "count", lost-b.told)
		b.told = lost
	}
}
