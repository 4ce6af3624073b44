package fbload

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/filbertford/filbertford"
	"github.com/filbertford/filbertford/fbbound"
	"github.com/filbertford/filbertford/fbevent"
)

// Histograms hold ratios in thousandths and durations in microseconds.
const (
	histogramLowest  = 1
	histogramHighest = int64(time.Hour / time.Microsecond)
	histogramDigits  = 3
	ratioUnit        = 1000
)

// roundTrips is the number of direct round trips in a job's ideal response: one
// from the caller to the daemon and one from the daemon to the target.
const roundTrips = 2

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(histogramLowest, histogramHighest, histogramDigits)
}

// record adds a value, as the greatest that fits if it is greater.
func record(h *hdrhistogram.Histogram, v int64) {
	// RecordValue fails only for values out of range.
	_ = h.RecordValue(min(max(v, histogramLowest), histogramHighest))
}

func recordRatio(h *hdrhistogram.Histogram, d, over time.Duration) {
	record(h, int64(float64(d)/float64(over)*ratioUnit))
}

func recordDuration(h *hdrhistogram.Histogram, d time.Duration) { record(h, d.Microseconds()) }

// capacityOf returns how many seconds of work the targets do in a second.
func capacityOf(service string, targets []target) float64 {
	return fbbound.Capacity(service, boundTargets(targets))
}

func boundTargets(targets []target) []fbbound.Target {
	out := make([]fbbound.Target, len(targets))
	for i, t := range targets {
		out[i] = t.bound()
	}
	return out
}

// measure gathers the histograms of a run.
type measure struct {
	overIdeal   *hdrhistogram.Histogram
	response    *hdrhistogram.Histogram
	refusal     *hdrhistogram.Histogram
	clairvoyant *hdrhistogram.Histogram
	late        *hdrhistogram.Histogram
	codes       map[string]int
	refusals    map[string]int
	kinds       map[string]*hdrhistogram.Histogram
	seconds     []second
	measured    int
	accepted    int
	missed      int
	lost        int
	unheard     int
	goodWork    time.Duration
}

// second is what was measured of the jobs due in one second of the load.
type second struct {
	jobs, complete, refused int
	overIdeal               float64
}

// result measures the outcomes.
func (r *runner) result() Result {
	m := r.measure()
	w := wireResult{
		Label: r.load.label, Mix: r.load.mix.name, Rate: r.load.rate, Seed: r.load.seed,
		ForMS: r.load.length.Milliseconds(), WarmUpMS: r.load.warmUp.Milliseconds(), Bursts: r.load.bursts,
		Targets: len(r.targets), RoundTripUS: r.trip.Microseconds(), Capacity: r.capacity, Jobs: len(r.jobs),
		OverIdeal: ratios(m.overIdeal), ResponseMS: durations(m.response), RefusalMS: durations(m.refusal),
		LateMS: durations(m.late), Codes: m.codes, Refusals: m.refusals, Accepted: m.accepted,
		DeadlineMisses: m.missed, Unheard: m.unheard, Measured: m.measured, Kinds: make(map[string]wireSummary),
		Goodput: m.goodWork.Seconds() / (r.capacity * (r.load.length - r.load.warmUp).Seconds()),
	}
	for _, j := range r.jobs {
		w.Offered += j.work().Seconds() / (r.capacity * r.load.length.Seconds())
	}
	for _, t := range r.targets {
		w.Slots += t.slots
		w.Factors = append(w.Factors, t.factor)
	}
	for _, moment := range r.load.moments {
		w.Moments = append(w.Moments, moment.String())
	}
	for name, h := range m.kinds {
		w.Kinds[name] = ratios(h)
	}
	for _, s := range m.seconds {
		w.Seconds = append(w.Seconds, wireSecond{Jobs: s.jobs, Complete: s.complete, Refused: s.refused, OverIdeal: s.overIdeal})
	}
	w.LostPercent = percent(m.lost, m.lost+m.codes[string(filbertford.CodeComplete)])
	if m.clairvoyant != nil {
		c := ratios(m.clairvoyant)
		w.Clairvoyant = &c
	}
	w.Starts = r.checkStarts()
	w.Messages = r.countMessages()
	fbevent.LoadFinished.Log(r.logger, "jobs", len(r.jobs), "complete", m.codes[string(filbertford.CodeComplete)],
		"mean_over_ideal", w.OverIdeal.Mean, "p99", w.OverIdeal.P99)
	return Result{wire: w}
}

// measure goes through the outcomes of the jobs after the warm-up.
func (r *runner) measure() *measure {
	m := &measure{
		overIdeal: newHistogram(), response: newHistogram(), refusal: newHistogram(), late: newHistogram(),
		codes: make(map[string]int), refusals: make(map[string]int), kinds: make(map[string]*hdrhistogram.Histogram),
		seconds: make([]second, int((r.load.length+time.Second-1)/time.Second)),
	}
	targets := boundTargets(r.targets)
	plan := r.plan(targets)
	if plan != nil {
		m.clairvoyant = newHistogram()
	}
	for i, j := range r.jobs {
		o := r.outcomes[i]
		// A histogram of the load tool's own delays covers the warm-up too.
		recordDuration(m.late, o.late)
		ideal, _ := fbbound.Ideal(j.bound(r.load.mix.service), targets, roundTrips*r.trip)
		m.addSecond(j, o, ideal)
		if ends := j.due + o.response; o.answer.Code() == filbertford.CodeComplete && ends >= r.load.warmUp && ends < r.load.length {
			m.goodWork += j.work()
		}
		if j.due < r.load.warmUp {
			continue
		}
		m.add(o, ideal, r.load.mix.kinds[j.kind])
		if plan != nil && plan[i] != fbbound.Never {
			recordRatio(m.clairvoyant, plan[i], ideal)
		}
	}
	for i, s := range m.seconds {
		if s.complete > 0 {
			m.seconds[i].overIdeal /= float64(s.complete)
		}
	}
	return m
}

// plan returns the clairvoyant schedule's response times, or nil if the load
// exceeds the capacity, so that a schedule without refusals means nothing.
func (r *runner) plan(targets []fbbound.Target) []time.Duration {
	var work time.Duration
	jobs := make([]fbbound.Job, len(r.jobs))
	for i, j := range r.jobs {
		jobs[i] = j.bound(r.load.mix.service)
		work += j.work()
	}
	if !r.load.clairvoyant || work.Seconds() > r.capacity*r.load.length.Seconds() {
		return nil
	}
	return fbbound.Clairvoyant(jobs, targets, roundTrips*r.trip)
}

// add measures one job.
func (m *measure) add(o outcome, ideal time.Duration, k Kind) {
	m.measured++
	code := o.answer.Code()
	if code == "" {
		m.unheard++
		return
	}
	m.codes[string(code)]++
	switch code.Class() {
	case filbertford.ClassNotRun, filbertford.ClassNotStarted:
		m.refusals[string(code)]++
		recordDuration(m.refusal, o.response-o.late)
		return
	case filbertford.ClassComplete:
		recordRatio(m.overIdeal, o.response, ideal)
		recordDuration(m.response, o.response)
		if m.kinds[k.name] == nil {
			m.kinds[k.name] = newHistogram()
		}
		recordRatio(m.kinds[k.name], o.response, ideal)
	default:
		m.lost++
	}
	m.accepted++
	if code == filbertford.CodeDeadline || o.response > k.timeout {
		m.missed++
	}
}

func (m *measure) addSecond(j Job, o outcome, ideal time.Duration) {
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
