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

// eventRecorder writes decisions to the log and counts them.
type eventRecorder struct {
	log      *log.Logger
	scope    tally.Scope
	counters map[fbsched.EventKind]tally.Counter
	// answerLatency and waits are latencies of answers and of starts.
	answerLatency tally.Histogram
	startWait     tally.Histogram
	limiter       *fblog.Limiter
	lastFlush     time.Duration
	lostLines     func() uint64 // lines that the output did not take
	reportedLost  uint64
}

// latencyBuckets are the buckets of histograms, from 1 ms to 16 s.
var latencyBuckets = tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 15)

// omissionPeriod is the time between two lines that tell what was left out.
const omissionPeriod = time.Second

func newEventRecorder(logger *log.Logger, scope tally.Scope, lostLines func() uint64) *eventRecorder {
	return &eventRecorder{
		log: logger, scope: scope, counters: make(map[fbsched.EventKind]tally.Counter), limiter: fblog.NewLimiter(), lostLines: lostLines,
		answerLatency: scope.Histogram("answer_latency", latencyBuckets), startWait: scope.Histogram("start_wait", latencyBuckets),
	}
}

// decisionEvents maps decisions to log events.
var decisionEvents = map[fbsched.EventKind]fbevent.Event{
	fbsched.EventRunStarted:          fbevent.RunStarted,
	fbsched.EventRunEnded:            fbevent.RunEnded,
	fbsched.EventTaskRequeued:        fbevent.TaskRequeued,
	fbsched.EventTaskExpired:         fbevent.TaskExpired,
	fbsched.EventRunStopped:          fbevent.RunStopped,
	fbsched.EventRunAdopted:          fbevent.RunAdopted,
	fbsched.EventTargetSuspect:       fbevent.TargetSuspect,
	fbsched.EventTargetQuarantined:   fbevent.TargetQuarantined,
	fbsched.EventTargetTrusted:       fbevent.TargetTrusted,
	fbsched.EventTargetUnreachable:   fbevent.TargetUnreachable,
	fbsched.EventTargetReachable:     fbevent.TargetReachable,
	fbsched.EventTargetLeasesExpired: fbevent.TargetLeasesExpired,
	fbsched.EventTargetAdded:         fbevent.TargetAdded,
	fbsched.EventTargetRemoved:       fbevent.TargetRemoved,
	fbsched.EventTargetDraining:      fbevent.TargetDraining,
	fbsched.EventPoolFenced:          fbevent.PoolFenced,
	fbsched.EventPoolSettled:         fbevent.PoolSettled,
	fbsched.EventTasksPlaced:         fbevent.TasksPlaced,
	fbsched.EventJobAnswered:         fbevent.JobAnswered,
}

func (b *eventRecorder) recordDecision(now time.Duration, n fbsched.Event) {
	c, ok := b.counters[n.Kind]
	if !ok {
		c = b.scope.Tagged(map[string]string{"kind": string(n.Kind)}).Counter("decisions")
		b.counters[n.Kind] = c
	}
	c.Inc(1)
	switch n.Kind {
	case fbsched.EventJobAnswered:
		b.answerLatency.RecordDuration(n.Age)
	case fbsched.EventRunStarted:
		b.startWait.RecordDuration(n.Age)
	}
	e, ok := decisionEvents[n.Kind]
	if !ok {
		return
	}
	if b.limiter.Allow(e.ID(), now) {
		e.Log(b.log, decisionFields(n)...)
	}
}

func decisionFields(n fbsched.Event) []any {
	var fields []any
	if n.Pool != "" {
		fields = append(fields, "pool", n.Pool)
	}
	if n.Task.Job() != "" {
		fields = append(fields, "task", n.Task.String())
	}
	if n.Target != "" {
		fields = append(fields, "target", n.Target)
	}
	if n.Run != 0 {
		fields = append(fields, "run", n.Run)
	}
	if n.Reason != "" {
		fields = append(fields, "reason", n.Reason)
	}
	return append(fields, "age_ms", n.Age.Milliseconds())
}

func (b *eventRecorder) recordFleetEvent(e fbfleet.Event) {
	switch e.Kind() {
	case fbfleet.EventAcquired:
		fbevent.PoolAcquired.Log(b.log, "pool", e.Pool(), "fence", e.Owner().Fence())
	case fbfleet.EventReleased:
		fbevent.PoolReleased.Log(b.log, "pool", e.Pool(), "reason", e.Reason())
	case fbfleet.EventOwner:
		fbevent.PoolOwner.Log(b.log, "pool", e.Pool(), "owner", e.Owner().Node(), "fence", e.Owner().Fence())
	case fbfleet.EventPeerUnreachable:
		fbevent.PeerUnreachable.Log(b.log, "node", e.Node(), "reason", e.Reason())
	case fbfleet.EventPeerReachable:
		fbevent.PeerReachable.Log(b.log, "node", e.Node())
	}
}

func (b *eventRecorder) recordSuspension(gap time.Duration) {
	fbevent.NodeSuspended.Log(b.log, "gap_ms", gap.Milliseconds())
}

func (b *eventRecorder) recordRenewalFailure(now time.Duration, err error) {
	if b.limiter.Allow(fbevent.RenewalFailed.ID(), now) {
		fbevent.RenewalFailed.Log(b.log, "error", err)
	}
}

// logOmissions tells which lines were left out.
func (b *eventRecorder) logOmissions(now time.Duration) {
	if now-b.lastFlush < omissionPeriod {
		return
	}
	b.lastFlush = now
	for _, o := range b.limiter.TakeOmissions() {
		fbevent.LinesOmitted.Log(b.log, "of", o.Event(), "count", o.Count())
	}
	if total := b.lostLines(); total > b.reportedLost {
		fbevent.LinesOmitted.Log(b.log, "of", "all", "count", total-b.reportedLost)
		b.reportedLost = total
	}
}
