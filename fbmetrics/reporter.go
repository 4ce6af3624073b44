// Package fbmetrics collects a process's metrics in memory and writes them in the
// text format of Prometheus.
package fbmetrics

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
)

// reportPeriod is the time between two reports of the scope to the reporter.
const reportPeriod = time.Second

// Reporter is a tally.StatsReporter that keeps the sum of each counter, the last
// value of each gauge, the count and the sum in seconds of each timer, and the
// bucket counts of each histogram of durations.
type Reporter struct {
	mu         sync.Mutex
	values     map[string]float64
	kinds      map[string]string
	histograms map[series]map[float64]float64
}

// series identifies a histogram by its name and its tags in the form of
// Prometheus labels.
type series struct{ name, tags string }

var _ tally.StatsReporter = (*Reporter)(nil)

// NewScope returns a scope and its reporter. Closing the closer reports the last
// values and ends the reports.
func NewScope() (tally.Scope, *Reporter, io.Closer) {
	r := &Reporter{values: make(map[string]float64), kinds: make(map[string]string), histograms: make(map[series]map[float64]float64)}
	scope, closer := tally.NewRootScope(tally.ScopeOptions{Reporter: r, OmitCardinalityMetrics: true}, reportPeriod)
	return scope, r, closer
}

// Values returns a copy of all values.
func (r *Reporter) Values() map[string]float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return maps.Clone(r.values)
}

// WriteText writes the values in the text format of Prometheus.
func (r *Reporter) WriteText(w io.Writer) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, name := range slices.Sorted(maps.Keys(r.values)) {
		base, _, _ := strings.Cut(name, "{")
		_, err := fmt.Fprintf(w, "# TYPE filbertford_%s %s\nfilbertford_%s %g\n", base, r.kinds[name], name, r.values[name])
		if err != nil {
			return err
		}
	}
	return r.writeHistograms(w)
}

// writeHistograms writes the histograms with cumulative buckets. The sum counts
// each sample as its bucket's upper bound and leaves out the unbounded bucket.
func (r *Reporter) writeHistograms(w io.Writer) error {
	keys := slices.SortedFunc(maps.Keys(r.histograms), func(a, b series) int {
		return cmp.Or(cmp.Compare(a.name, b.name), cmp.Compare(a.tags, b.tags))
	})
	for _, k := range keys {
		if _, err := fmt.Fprintf(w, "# TYPE filbertford_%s_seconds histogram\n", k.name); err != nil {
			return err
		}
		total, sum := 0.0, 0.0
		for _, upper := range slices.Sorted(maps.Keys(r.histograms[k])) {
			n := r.histograms[k][upper]
			total += n
			if upper >= unboundedBucketSeconds {
				continue
			}
			sum += upper * n
			if _, err := fmt.Fprintf(w, "filbertford_%s_seconds_bucket{%sle=\"%g\"} %g\n", k.name, k.tags, upper, total); err != nil {
				return err
			}
		}
		_, err := fmt.Fprintf(w, "filbertford_%s_seconds_bucket{%sle=\"+Inf\"} %g\nfilbertford_%s_seconds_sum %g\nfilbertford_%s_seconds_count %g\n",
			k.name, k.tags, total, k.name, sum, k.name, total)
		if err != nil {
			return err
		}
	}
	return nil
}

// unboundedBucketSeconds is the upper bound from which on a bucket is written as
// the one without an upper bound.
const unboundedBucketSeconds = 1e6

// Capabilities implements tally.BaseStatsReporter.
func (r *Reporter) Capabilities() tally.Capabilities { return r }

// Reporting implements tally.Capabilities.
func (r *Reporter) Reporting() bool { return true }

// Tagging implements tally.Capabilities.
func (r *Reporter) Tagging() bool { return true }

// Flush implements tally.BaseStatsReporter.
func (r *Reporter) Flush() {}

// ReportCounter implements tally.StatsReporter.
func (r *Reporter) ReportCounter(name string, tags map[string]string, value int64) {
	r.add(seriesName(name, tags), float64(value))
}

// ReportGauge implements tally.StatsReporter.
func (r *Reporter) ReportGauge(name string, tags map[string]string, value float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	key := seriesName(name, tags)
	r.values[key], r.kinds[key] = value, "gauge"
}

// ReportTimer implements tally.StatsReporter.
func (r *Reporter) ReportTimer(name string, tags map[string]string, interval time.Duration) {
	r.add(seriesName(name+"_count", tags), 1)
	r.add(seriesName(name+"_seconds", tags), interval.Seconds())
}

// ReportHistogramValueSamples implements tally.StatsReporter.
func (r *Reporter) ReportHistogramValueSamples(name string, tags map[string]string, _ tally.Buckets, _, upper float64, samples int64) {
	r.add(seriesName(name+"_count", tags), float64(samples))
	r.add(seriesName(name+"_sum", tags), upper*float64(samples))
}

// ReportHistogramDurationSamples implements tally.StatsReporter.
func (r *Reporter) ReportHistogramDurationSamples(name string, tags map[string]string, _ tally.Buckets, _, upper time.Duration, samples int64) {
	k := series{name: name}
	for _, t := range slices.Sorted(maps.Keys(tags)) {
		k.tags += fmt.Sprintf("%s=%q,", t, tags[t])
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.histograms[k] == nil {
		r.histograms[k] = make(map[float64]float64)
	}
	r.histograms[k][upper.Seconds()] += float64(samples)
}

func (r *Reporter) add(key string, value float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.values[key] += value
	r.kinds[key] = "counter"
}

// seriesName returns the name followed by the tags, sorted by key, in the form of
// Prometheus labels.
func seriesName(name string, tags map[string]string) string {
	if len(tags) == 0 {
		return name
	}
	pairs := make([]string, 0, len(tags))
	for _, k := range slices.Sorted(maps.Keys(tags)) {
		pairs = append(pairs, fmt.Sprintf("%s=%q", k, tags[k]))
	}
	return name + "{" + strings.Join(pairs, ",") + "}"
}
