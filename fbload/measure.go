package fbload

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/filbertford/filbertford"
	"github.com/filbertford/filbertford/fbbound"
	"github.com/filbertford/filbertford/fbevent"
)

// Range and precision of the histograms, which hold ratios in thousandths and
// durations in microseconds.
const (
	minHistogramValue          = 1
	maxHistogramValue          = int64(time.Hour / time.Microsecond)
	histogramSignificantDigits = 3
	ratioScale                 = 1000
)

// roundTripsPerJob is the number of round trips in a job's ideal response time: one
// between the caller and the daemon, and one between the daemon and the target.
const roundTripsPerJob = 2

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(minHistogramValue, maxHistogramValue, histogramSignificantDigits)
}

// record adds a value, limited to the range of the histogram.
func record(h *hdrhistogram.Histogram, v int64) {
	// RecordValue returns an error only for values out of range.
	_ = h.RecordValue(min(max(v, minHistogramValue), maxHistogramValue))
}

func recordRatio(h *hdrhistogram.Histogram, d, over time.Duration) {
	record(h, int64(float64(d)/float64(over)*ratioScale))
}

func recordDuration(h *hdrhistogram.Histogram, d time.Duration) { record(h, d.Microseconds()) }

// serviceCapacity returns how many seconds of the service's work the targets can do
// per second.
func serviceCapacity(service string, targets []target) float64 {
	return fbbound.Capacity(service, boundTargets(targets))
}

func boundTargets(targets []target) []fbbound.Target {
	out := make([]fbbound.Target, len(targets))
	for i, t := range targets {
		out[i] = t.toBound()
	}
	return out
}

// measurements holds the histograms and counts of a run.
type measurements struct {
	overIdeal      *hdrhistogram.Histogram
	response       *hdrhistogram.Histogram
	refusal        *hdrhistogram.Histogram
	clairvoyant    *hdrhistogram.Histogram
	sendDelay      *hdrhistogram.Histogram
	codes          map[string]int
	refusals       map[string]int
	kinds          map[string]*hdrhistogram.Histogram
	seconds        []secondStats
	measured       int
	accepted       int
	deadlineMisses int
	failed         int
	unanswered     int
	completedWork  time.Duration
}

// secondStats holds the measurements of the jobs due in one second of the load.
type secondStats struct {
	jobs, complete, refused int
	overIdeal               float64
}

// result returns the result of the finished run.
func (r *runner) result() Result {
	m := r.measure()
	w := resultJSON{
		Label: r.load.label, Mix: r.load.mix.name, Rate: r.load.rate, Seed: r.load.seed,
		ForMS: r.load.duration.Milliseconds(), WarmUpMS: r.load.warmUp.Milliseconds(), Bursts: r.load.bursts,
		Targets: len(r.targets), RoundTripUS: r.roundTrip.Microseconds(), Capacity: r.capacity, Jobs: len(r.jobs),
		OverIdeal: summariseRatios(m.overIdeal), ResponseMS: summariseDurations(m.response), RefusalMS: summariseDurations(m.refusal),
		SendDelayMS: summariseDurations(m.sendDelay), Codes: m.codes, Refusals: m.refusals, Accepted: m.accepted,
		DeadlineMisses: m.deadlineMisses, Unanswered: m.unanswered, Measured: m.measured, Kinds: make(map[string]summaryJSON),
		Goodput: m.completedWork.Seconds() / (r.capacity * (r.load.duration - r.load.warmUp).Seconds()),
	}
	for _, j := range r.jobs {
		w.Offered += j.work().Seconds() / (r.capacity * r.load.duration.Seconds())
	}
	for _, t := range r.targets {
		w.Slots += t.slots
		w.Factors = append(w.Factors, t.factor)
	}
	for _, action := range r.load.actions {
		w.Actions = append(w.Actions, action.String())
	}
	for name, h := range m.kinds {
		w.Kinds[name] = summariseRatios(h)
	}
	for _, s := range m.seconds {
		w.Seconds = append(w.Seconds, secondJSON{Jobs: s.jobs, Complete: s.complete, Refused: s.refused, OverIdeal: s.overIdeal})
	}
	w.FailedPercent = percent(m.failed, m.failed+m.codes[string(filbertford.CodeComplete)])
	if m.clairvoyant != nil {
		c := summariseRatios(m.clairvoyant)
		w.Clairvoyant = &c
	}
	w.Starts = r.checkStarts()
	w.Messages = r.countMessages()
	fbevent.LoadFinished.Log(r.logger, "jobs", len(r.jobs), "complete", m.codes[string(filbertford.CodeComplete)],
		"mean_over_ideal", w.OverIdeal.Mean, "p99", w.OverIdeal.P99)
	return Result{data: w}
}

// measure returns the measurements of the jobs that are due after the warm-up. The
// send delays and the values of each second cover all jobs.
func (r *runner) measure() *measurements {
	m := &measurements{
		overIdeal: newHistogram(), response: newHistogram(), refusal: newHistogram(), sendDelay: newHistogram(),
		codes: make(map[string]int), refusals: make(map[string]int), kinds: make(map[string]*hdrhistogram.Histogram),
		seconds: make([]secondStats, int((r.load.duration+time.Second-1)/time.Second)),
	}
	targets := boundTargets(r.targets)
	clairvoyant := r.clairvoyantResponses(targets)
	if clairvoyant != nil {
		m.clairvoyant = newHistogram()
	}
	for i, j := range r.jobs {
		o := r.outcomes[i]
		// Send delays are caused by the load tool itself, so the warm-up counts too.
		recordDuration(m.sendDelay, o.sendDelay)
		ideal, _ := fbbound.Ideal(j.toBound(r.load.mix.service), targets, roundTripsPerJob*r.roundTrip)
		m.addSecond(j, o, ideal)
		if endedAt := j.due + o.response; o.answer.Code() == filbertford.CodeComplete && endedAt >= r.load.warmUp && endedAt < r.load.duration {
			m.completedWork += j.work()
		}
		if j.due < r.load.warmUp {
			continue
		}
		m.add(o, ideal, r.load.mix.kinds[j.kind])
		if clairvoyant != nil && clairvoyant[i] != fbbound.Never {
			recordRatio(m.clairvoyant, clairvoyant[i], ideal)
		}
	}
	for i, s := range m.seconds {
		if s.complete > 0 {
			m.seconds[i].overIdeal /= float64(s.complete)
		}
	}
	return m
}

// clairvoyantResponses returns the response times of the clairvoyant schedule. It
// returns nil if the schedule was not requested, or if the load exceeds the
// capacity: the schedule refuses no jobs, so it would be no useful reference.
func (r *runner) clairvoyantResponses(targets []fbbound.Target) []time.Duration {
	var work time.Duration
	jobs := make([]fbbound.Job, len(r.jobs))
	for i, j := range r.jobs {
		jobs[i] = j.toBound(r.load.mix.service)
		work += j.work()
	}
	if !r.load.clairvoyant || work.Seconds() > r.capacity*r.load.duration.Seconds() {
		return nil
	}
	return fbbound.Clairvoyant(jobs, targets, roundTripsPerJob*r.roundTrip)
}

// add adds the outcome of one job.
func (m *measurements) add(o outcome, ideal time.Duration, k Kind) {
	m.measured++
	code := o.answer.Code()
	if code == "" {
		m.unanswered++
		return
	}
	m.codes[string(code)]++
	switch code.Class() {
	case filbertford.ClassNotRun, filbertford.ClassNotStarted:
		m.refusals[string(code)]++
		recordDuration(m.refusal, o.response-o.sendDelay)
		return
	case filbertford.ClassComplete:
		recordRatio(m.overIdeal, o.response, ideal)
		recordDuration(m.response, o.response)
		if m.kinds[k.name] == nil {
			m.kinds[k.name] = newHistogram()
		}
		recordRatio(m.kinds[k.name], o.response, ideal)
	default:
		m.failed++
	}
	m.accepted++
	if code == filbertford.CodeDeadline || o.response > k.timeout {
		m.deadlineMisses++
	}
}

func (m *measurements) addSecond(j Job, o outcome, ideal time.Duration) {
	s := &m.seconds[min(int(j.due/time.Second), len(m.seconds)-1)]
	s.jobs++
	switch o.answer.Code().Class() {
	case filbertford.ClassComplete:
		s.complete++
		s.overIdeal += float64(o.response) / float64(ideal)
	case filbertford.ClassNotRun, filbertford.ClassNotStarted:
		s.refused++
	}
}

func percent(part, whole int) float64 {
	if whole == 0 {
		return 0
	}
	return 100 * float64(part) / float64(whole)
}
