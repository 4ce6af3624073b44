package fbdaemon

import (
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/filbertford/filbertford/fbcore"
	"github.com/filbertford/filbertford/fbevent"
)

// metricsPeriod is the time between two reports of the core's counters and the
// gauges.
const metricsPeriod = time.Second

// MetricKind says whether a metric accumulates or shows a current value.
type MetricKind string

// The kinds of metrics.
const (
	MetricCounter MetricKind = "counter"
	MetricGauge   MetricKind = "gauge"
)

// Metric describes one metric of a daemon.
type Metric struct {
	name        string
	kind        MetricKind
	description string
}

// Name returns the metric's name.
func (m Metric) Name() string { return m.name }

// Kind returns whether the metric is a counter or a gauge.
func (m Metric) Kind() MetricKind { return m.kind }

// Description returns what the metric counts or shows.
func (m Metric) Description() string { return m.description }

// Metrics returns the metrics of a daemon in the order in which the documentation
// lists them.
func Metrics() []Metric {
	out := make([]Metric, 0, len(coreMetrics)+len(messageMetrics)+len(gaugeMetrics))
	for _, m := range messageMetrics {
		out = append(out, Metric{m.name, MetricCounter, m.description})
	}
	for _, m := range coreMetrics {
		out = append(out, Metric{m.name, MetricCounter, m.description})
	}
	for _, m := range gaugeMetrics {
		out = append(out, Metric{m.name, MetricGauge, m.description})
	}
	return out
}

// messageMetrics are the counters of messages that request goroutines send.
var messageMetrics = []struct {
	name, description string
	counter           func(m *metrics) *tally.Counter
}{
	{"forwards", "deliveries forwarded to their owner", func(m *metrics) *tally.Counter { return &m.forwards }},
	{"heartbeats", "heartbeats sent to other daemons", func(m *metrics) *tally.Counter { return &m.heartbeats }},
	{"view_reads", "reads of the row of the view of opaque keys", func(m *metrics) *tally.Counter { return &m.viewReads }},
	{"view_questions", "requests to other members for a promise about the view", func(m *metrics) *tally.Counter { return &m.viewPromiseRequests }},
	{"vm_reads", "reads of the platform's list of VMs", func(m *metrics) *tally.Counter { return &m.vmReads }},
}

// coreMetrics are the counters of the core.
var coreMetrics = []struct {
	name, description string
	value             func(s fbcore.Stats) uint64
}{
	{"jobs_accepted", "jobs accepted", func(s fbcore.Stats) uint64 { return s.Accepted }},
	{"jobs_refused", "jobs rejected as not run", func(s fbcore.Stats) uint64 { return s.Refused }},
	{"jobs_out_of_memory", "jobs refused because those that have not ended take too much memory", func(s fbcore.Stats) uint64 { return s.OutOfMemory }},
	{"deliveries_repeated", "repeated deliveries of a known ID", func(s fbcore.Stats) uint64 { return s.Repeated }},
	{"starts", "start requests sent to targets", func(s fbcore.Stats) uint64 { return s.Starts }},
	{"no_slot", "starts that certainly did not happen, because no slot or connection was available", func(s fbcore.Stats) uint64 { return s.NotStarted }},
	{"starts_unknown", "starts whose outcome is unknown", func(s fbcore.Stats) uint64 { return s.Unknown }},
	{"spills", "tasks sent to daemons of other data centres", func(s fbcore.Stats) uint64 { return s.Spilled }},
	{"stops", "stop requests sent to targets", func(s fbcore.Stats) uint64 { return s.Stops }},
	{"renews", "lease renewals sent to targets", func(s fbcore.Stats) uint64 { return s.Renewals }},
	{"violations", "invariant violations; any value but 0 is a bug", func(s fbcore.Stats) uint64 { return s.Violations }},
}

// gaugeMetrics are the gauges of a daemon.
var gaugeMetrics = []struct {
	name, description string
	value             func(c *controlLoop) float64
}{
	{"tasks_waiting", "tasks that wait for a target", func(c *controlLoop) float64 { return float64(c.core.Load().Waiting()) }},
	{"tasks_running", "running tasks", func(c *controlLoop) float64 { return float64(c.core.Load().Running()) }},
	{"slots", "slots at the targets that are sent new tasks", func(c *controlLoop) float64 { return float64(c.core.Load().Slots()) }},
	{"submissions_remembered", "submission IDs retained in full", func(c *controlLoop) float64 { ids, _ := c.core.Retained(); return float64(ids) }},
	{"job_bytes", "memory of the jobs that have not ended", func(c *controlLoop) float64 { return float64(c.core.JobBytes()) }},
	{"answer_bytes", "bytes of results retained for resubmissions", func(c *controlLoop) float64 { _, n := c.core.Retained(); return float64(n) }},
	{"settings_version", "version of the current settings", func(c *controlLoop) float64 { return float64(c.d.settings.Load().Version()) }},
	{"members", "other daemons that are reachable", func(c *controlLoop) float64 { return float64(len(c.dir.Reachable(c.d.timer.Now()))) }},
}

// metrics are the counters and gauges of one daemon.
type metrics struct {
	forwards            tally.Counter
	heartbeats          tally.Counter
	viewReads           tally.Counter
	viewPromiseRequests tally.Counter
	vmReads             tally.Counter

	coreCounters []tally.Counter // in the order of coreMetrics
	gauges       []tally.Gauge   // in the order of gaugeMetrics
	lastReported fbcore.Stats
}

func newMetrics(s tally.Scope) *metrics {
	m := &metrics{}
	for _, def := range messageMetrics {
		*def.counter(m) = s.Counter(def.name)
	}
	for _, def := range coreMetrics {
		m.coreCounters = append(m.coreCounters, s.Counter(def.name))
	}
	for _, def := range gaugeMetrics {
		m.gauges = append(m.gauges, s.Gauge(def.name))
	}
	return m
}

// report adds what the core has counted since the last report to the counters,
// and updates the gauges.
func (m *metrics) report(c *controlLoop) {
	now := c.core.Stats()
	for i, def := range coreMetrics {
		m.coreCounters[i].Inc(int64(def.value(now) - def.value(m.lastReported)))
	}
	for i, def := range gaugeMetrics {
		m.gauges[i].Update(def.value(c))
	}
	if n := now.OutOfMemory - m.lastReported.OutOfMemory; n > 0 {
		fbevent.JobsRefused.Log(c.d.log, "count", n, "held_bytes", c.core.JobBytes())
	}
	m.lastReported = now
}
