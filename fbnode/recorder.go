package fbnode

import (
	"strconv"
	"time"

	"github.com/charmbracelet/log"
	"github.com/uber-go/tally/v4"

	"github.com/filbertford/filbertford"
	"github.com/filbertford/filbertford/fbevent"
	"github.com/filbertford/filbertford/fbfleet"
	"github.com/filbertford/filbertford/fblog"
	"github.com/filbertford/filbertford/fbsched"
)

// eventRecorder logs and counts the decisions of pools and of the coordinator, and
// logs changes in the fleet.
type eventRecorder struct {
	log        *log.Logger
	scope      tally.Scope
	counters   map[fbsched.EventKind]tally.Counter
	admissions map[admissionKey]tally.Counter
	// answerLatency and startWait are the latencies of answers and of run starts.
	answerLatency   tally.Histogram
	startWait       tally.Histogram
	largeStartWait  tally.Histogram // of runs that need more than half of their target
	callersLeft     tally.Counter   // requests that were not submitted, because their callers had left
	storedRefused   tally.Counter   // stored jobs that were refused for lack of memory
	storedBytes     tally.Gauge     // memory of the stored jobs of this daemon's shards
	limiter         *fblog.Limiter
	lastOmissions   time.Duration
	droppedLines    func() uint64 // number of lines dropped because the output was too slow
	reportedDropped uint64
}

// latencyBuckets are the histograms' buckets, from 1 ms to 16 s.
var latencyBuckets = tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 15)

// omissionPeriod is the shortest time between two reports of omitted lines.
const omissionPeriod = time.Second

func newEventRecorder(logger *log.Logger, scope tally.Scope, droppedLines func() uint64) *eventRecorder {
	return &eventRecorder{
		log: logger, scope: scope, counters: make(map[fbsched.EventKind]tally.Counter), admissions: make(map[admissionKey]tally.Counter), limiter: fblog.NewLimiter(), droppedLines: droppedLines,
		answerLatency: scope.Histogram("answer_latency", latencyBuckets), startWait: scope.Histogram("start_wait", latencyBuckets),
		largeStartWait: scope.Histogram("start_wait_large", latencyBuckets), callersLeft: scope.Counter("callers_left"),
		storedRefused: scope.Counter("stored_jobs_refused"), storedBytes: scope.Gauge("stored_jobs_bytes"),
	}
}

// decisionEvents maps decisions to log events. Other decisions are only counted.
var decisionEvents = map[fbsched.EventKind]fbevent.Event{
	fbsched.EventRunStarted:          fbevent.RunStarted,
	fbsched.EventRunEnded:            fbevent.RunEnded,
	fbsched.EventRunLost:             fbevent.RunLost,
	fbsched.EventTargetCrashed:       fbevent.TargetCrashed,
	fbsched.EventTargetNotCrashed:    fbevent.TargetNotCrashed,
	fbsched.EventTaskGivenUp:         fbevent.TaskGivenUp,
	fbsched.EventTaskRequeued:        fbevent.TaskRequeued,
	fbsched.EventTaskExpired:         fbevent.TaskExpired,
	fbsched.EventTaskReleased:        fbevent.TaskReleased,
	fbsched.EventTargetReserved:      fbevent.TargetReserved,
	fbsched.EventReservationUsed:     fbevent.ReservationUsed,
	fbsched.EventReservationEnded:    fbevent.ReservationEnded,
	fbsched.EventRunStopped:          fbevent.RunStopped,
	fbsched.EventRunAdopted:          fbevent.RunAdopted,
	fbsched.EventRunFound:            fbevent.RunFound,
	fbsched.EventSecondRunFound:      fbevent.SecondRunFound,
	fbsched.EventStartUnanswered:     fbevent.StartUnanswered,
	fbsched.EventTargetSuspect:       fbevent.TargetSuspect,
	fbsched.EventTargetSlow:          fbevent.TargetSlow,
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
	fbsched.EventJobAdmitted:         fbevent.JobAdmitted,
	fbsched.EventJobRejected:         fbevent.JobRejected,
	fbsched.EventTasksRecalled:       fbevent.TasksRecalled,
	fbsched.EventTasksMoved:          fbevent.TasksMoved,
	fbsched.EventRecallTooLate:       fbevent.RecallTooLate,
}

func (r *eventRecorder) recordDecision(now time.Duration, e fbsched.Event) {
	c, ok := r.counters[e.Kind]
	if !ok {
		c = r.scope.Tagged(map[string]string{"kind": string(e.Kind)}).Counter("decisions")
		r.counters[e.Kind] = c
	}
	c.Inc(1)
	switch e.Kind {
	case fbsched.EventJobAnswered:
		r.answerLatency.RecordDuration(e.Age)
	case fbsched.EventRunStarted:
		r.startWait.RecordDuration(e.Age)
	case fbsched.EventJobAdmitted, fbsched.EventJobRejected:
		r.countAdmission(e)
		if e.Large {
			r.largeStartWait.RecordDuration(e.Age)
		}
	}
	logEvent, ok := decisionEvents[e.Kind]
	if !ok {
		return
	}
	if r.limiter.Allow(logEvent.ID(), now) {
		logEvent.Log(r.log, decisionFields(e)...)
	}
}

// admissionKey identifies a counter of admissions.
type admissionKey struct {
	reason   filbertford.AdmissionReason
	priority int
}

// countAdmission counts the decision about a job by its reason and the priority of its
// route.
func (r *eventRecorder) countAdmission(e fbsched.Event) {
	k := admissionKey{e.Admission, e.Priority}
	c, ok := r.admissions[k]
	if !ok {
		c = r.scope.Tagged(map[string]string{"reason": string(k.reason), "priority": strconv.Itoa(k.priority)}).Counter("admissions")
		r.admissions[k] = c
	}
	c.Inc(1)
}

func decisionFields(e fbsched.Event) []any {
	var fields []any
	if e.Pool != "" {
		fields = append(fields, "pool", e.Pool)
	}
	if e.Task.Job() != "" {
		fields = append(fields, "task", e.Task.String())
	}
	if e.Target != "" {
		fields = append(fields, "target", e.Target)
	}
	if e.Started != 0 {
		fields = append(fields, "started", e.Started)
	}
	if e.Run != 0 {
		fields = append(fields, "run", e.Run)
	}
	if e.Fence != 0 {
		fields = append(fields, "fence", e.Fence)
	}
	if e.ListsAge != 0 {
		fields = append(fields, "lists_age_ms", e.ListsAge.Milliseconds())
	}
	if e.Admission != "" {
		fields = append(fields, "decision", e.Admission, "priority", e.Priority)
	}
	if e.Reason != "" {
		fields = append(fields, "reason", e.Reason)
	}
	return append(fields, "age_ms", e.Age.Milliseconds())
}

func (r *eventRecorder) recordFleetEvent(e fbfleet.Event) {
	switch e.Kind() {
	case fbfleet.EventAcquired:
		fbevent.PoolAcquired.Log(r.log, "pool", e.Pool(), "fence", e.Owner().Fence())
	case fbfleet.EventReleased:
		fbevent.PoolReleased.Log(r.log, "pool", e.Pool(), "reason", e.Reason())
	case fbfleet.EventOwner:
		fbevent.PoolOwner.Log(r.log, "pool", e.Pool(), "owner", e.Owner().Node(), "fence", e.Owner().Fence())
	case fbfleet.EventLeft:
		r.scope.Counter("pools_left").Inc(1)
		fbevent.PoolLeft.Log(r.log, "pool", e.Pool(), "node", e.Node())
	case fbfleet.EventPeerUnreachable:
		fbevent.PeerUnreachable.Log(r.log, "node", e.Node(), "reason", e.Reason())
	case fbfleet.EventPeerReachable:
		fbevent.PeerReachable.Log(r.log, "node", e.Node())
	}
}

func (r *eventRecorder) recordSuspension(gap time.Duration) {
	fbevent.NodeSuspended.Log(r.log, "gap_ms", gap.Milliseconds())
}

func (r *eventRecorder) recordCallerLeft(now time.Duration, job filbertford.JobKey) {
	r.callersLeft.Inc(1)
	if r.limiter.Allow(fbevent.CallerLeft.ID(), now) {
		fbevent.CallerLeft.Log(r.log, "job", job)
	}
}

func (r *eventRecorder) recordStoredRefusal(now time.Duration, job filbertford.JobKey, used int) {
	r.storedRefused.Inc(1)
	if r.limiter.Allow(fbevent.StoredJobRefused.ID(), now) {
		fbevent.StoredJobRefused.Log(r.log, "job", job, "held_bytes", used)
	}
}

func (r *eventRecorder) recordRenewalFailure(now time.Duration, err error) {
	if r.limiter.Allow(fbevent.RenewalFailed.ID(), now) {
		fbevent.RenewalFailed.Log(r.log, "error", err)
	}
}

func (r *eventRecorder) recordWaitingUnknown(now time.Duration, route filbertford.Route, err error) {
	if r.limiter.Allow(fbevent.WaitingUnknown.ID(), now) {
		fbevent.WaitingUnknown.Log(r.log, "host", route.Host(), "prefix", route.Prefix(), "error", err)
	}
}

// logOmissions logs how many lines were omitted: of each event those above the
// limiter's rate, and of all events those that the output was too slow for.
func (r *eventRecorder) logOmissions(now time.Duration) {
	if now-r.lastOmissions < omissionPeriod {
		return
	}
	r.lastOmissions = now
	for _, o := range r.limiter.TakeOmissions() {
		fbevent.LinesOmitted.Log(r.log, "of", o.Event(), "count", o.Count())
	}
	if total := r.droppedLines(); total > r.reportedDropped {
		fbevent.LinesOmitted.Log(r.log, "of", "all", "count", total-r.reportedDropped)
		r.reportedDropped = total
	}
}
