package fbdaemon

import (
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/filbertford/filbertford/fbcore"
)

// metricsPeriod is the time between two reports of the core's counts.
const metricsPeriod = time.Second

// counters are the daemon's counters of messages and its gauges.
type counters struct {
	forwards      tally.Counter
	heartbeats    tally.Counter
	viewReads     tally.Counter
	viewQuestions tally.Counter
	vmReads       tally.Counter

	accepted   tally.Counter
	refused    tally.Counter
	repeated   tally.Counter
	starts     tally.Counter
	notStarted tally.Counter
	unknown    tally.Counter
	stops      tally.Counter
	renewals   tally.Counter
	violations tally.Counter

	waiting  tally.Gauge
	running  tally.Gauge
	slots    tally.Gauge
	ids      tally.Gauge
	answers  tally.Gauge
	settings tally.Gauge
}

func newCounters(s tally.Scope) counters {
	return counters{
		forwards:      s.Counter("forwards"),
		heartbeats:    s.Counter("heartbeats"),
		viewReads:     s.Counter("view_reads"),
		viewQuestions: s.Counter("view_questions"),
		vmReads:       s.Counter("vm_reads"),

		accepted:   s.Counter("jobs_accepted"),
		refused:    s.Counter("jobs_refused"),
		repeated:   s.Counter("deliveries_repeated"),
		starts:     s.Counter("starts"),
		notStarted: s.Counter("no_slot"),
		unknown:    s.Counter("starts_unknown"),
		stops:      s.Counter("stops"),
		renewals:   s.Counter("renews"),
		violations: s.Counter("violations"),

		waiting:  s.Gauge("tasks_waiting"),
		running:  s.Gauge("tasks_running"),
		slots:    s.Gauge("slots"),
		ids:      s.Gauge("submissions_remembered"),
		answers:  s.Gauge("answer_bytes"),
		settings: s.Gauge("settings_version"),
	}
}

// report adds what the core counted since the last report.
func (m *counters) report(last, now fbcore.Stats) {
	m.accepted.Inc(int64(now.Accepted - last.Accepted))
	m.refused.Inc(int64(now.Refused - last.Refused))
	m.repeated.Inc(int64(now.Repeated - last.Repeated))
	m.starts.Inc(int64(now.Starts - last.Starts))
	m.notStarted.Inc(int64(now.NotStarted - last.NotStarted))
	m.unknown.Inc(int64(now.Unknown - last.Unknown))
	m.stops.Inc(int64(now.Stops - last.Stops))
	m.renewals.Inc(int64(now.Renewals - last.Renewals))
	m.violations.Inc(int64(now.Violations - last.Violations))
}

// reportMetrics hands the core's counts and sizes to the metrics.
func (c *control) reportMetrics() {
	m, stats, load := &c.d.metrics, c.core.Stats(), c.core.Load()
	m.report(c.reported, stats)
	c.reported = stats
	ids, bytes := c.core.Remembered()
	m.waiting.Update(float64(load.Waiting()))
	m.running.Update(float64(load.Running()))
	m.slots.Update(float64(load.Slots()))
	m.ids.Update(float64(ids))
	m.answers.Update(float64(bytes))
	m.settings.Update(float64(c.d.settings.Load().Version()))
}
