package fbload

import (
	"encoding/json"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/rotisserie/eris"
)

// Result is the result of a load. It can be encoded as JSON and decoded.
type Result struct {
	data resultJSON
}

// Summary describes a distribution of ratios, or of durations in milliseconds.
type Summary struct {
	data summaryJSON
}

type summaryJSON struct {
	Count  int64        `json:"count"`
	Mean   float64      `json:"mean"`
	P50    float64      `json:"p50"`
	P99    float64      `json:"p99"`
	P999   float64      `json:"p99_9"`
	Max    float64      `json:"max"`
	Points [][2]float64 `json:"points,omitempty"`
}

type secondJSON struct {
	Jobs      int     `json:"jobs"`
	Complete  int     `json:"complete"`
	Refused   int     `json:"refused"`
	OverIdeal float64 `json:"over_ideal"`
}

type startsJSON struct {
	Tasks               int `json:"tasks"`
	StartedTwice        int `json:"doubled"`
	MissingOfComplete   int `json:"missing_of_complete"`
	StartedThoughNotRun int `json:"started_though_not_run"`
}

type messagesJSON struct {
	Deliveries          float64            `json:"deliveries"`
	Starts              float64            `json:"starts"`
	Needed              float64            `json:"needed"`
	Wasted              map[string]float64 `json:"wasted"`
	WastedPerJob        float64            `json:"wasted_per_job"`
	WastedPercent       float64            `json:"wasted_percent"`
	WastedByJobsPercent float64            `json:"wasted_by_jobs_percent"`
	Daemons             map[string]float64 `json:"daemons,omitempty"`
}

type resultJSON struct {
	Label          string                 `json:"label"`
	Mix            string                 `json:"mix"`
	Rate           float64                `json:"rate"`
	Seed           uint64                 `json:"seed"`
	ForMS          int64                  `json:"for_ms"`
	WarmUpMS       int64                  `json:"warm_up_ms"`
	Bursts         bool                   `json:"bursts"`
	Actions        []string               `json:"moments,omitempty"`
	Targets        int                    `json:"targets"`
	Slots          int                    `json:"slots"`
	Factors        []float64              `json:"factors"`
	RoundTripUS    int64                  `json:"round_trip_us"`
	Capacity       float64                `json:"capacity"`
	Jobs           int                    `json:"jobs"`
	Measured       int                    `json:"measured"`
	Offered        float64                `json:"offered"`
	Accepted       int                    `json:"accepted"`
	Unanswered     int                    `json:"unheard"`
	DeadlineMisses int                    `json:"deadline_misses"`
	FailedPercent  float64                `json:"lost_percent"`
	Goodput        float64                `json:"goodput"`
	Codes          map[string]int         `json:"codes"`
	Refusals       map[string]int         `json:"refusals"`
	OverIdeal      summaryJSON            `json:"over_ideal"`
	Clairvoyant    *summaryJSON           `json:"clairvoyant_over_ideal,omitempty"`
	Kinds          map[string]summaryJSON `json:"over_ideal_by_kind"`
	ResponseMS     summaryJSON            `json:"response_ms"`
	RefusalMS      summaryJSON            `json:"refusal_ms"`
	SendDelayMS    summaryJSON            `json:"sent_late_ms"`
	Seconds        []secondJSON           `json:"seconds"`
	Starts         startsJSON             `json:"starts"`
	Messages       messagesJSON           `json:"messages"`
}

// MarshalJSON returns the result as JSON.
func (r Result) MarshalJSON() ([]byte, error) { return json.Marshal(r.data) }

// UnmarshalJSON decodes a result from JSON.
func (r *Result) UnmarshalJSON(b []byte) error {
	return eris.Wrap(json.Unmarshal(b, &r.data), "decode load result")
}

// Label returns the label of the load, such as the name of a policy.
func (r Result) Label() string { return r.data.Label }

// Mix returns the name of the mix.
func (r Result) Mix() string { return r.data.Mix }

// Rate returns the requested load as a share of capacity.
func (r Result) Rate() float64 { return r.data.Rate }

// Actions returns the scheduled actions of the load as text.
func (r Result) Actions() []string { return r.data.Actions }

// Jobs returns the number of jobs of the load.
func (r Result) Jobs() int { return r.data.Jobs }

// Measured returns the number of jobs due after the warm-up, to which the
// measurements are limited.
func (r Result) Measured() int { return r.data.Measured }

// Offered returns the work of all jobs as a share of capacity.
func (r Result) Offered() float64 { return r.data.Offered }

// Accepted returns the number of measured jobs that were answered and not refused.
func (r Result) Accepted() int { return r.data.Accepted }

// DeadlineMisses returns the number of accepted jobs that missed their deadline.
func (r Result) DeadlineMisses() int { return r.data.DeadlineMisses }

// FailedPercent returns the percentage of accepted jobs that failed.
func (r Result) FailedPercent() float64 { return r.data.FailedPercent }

// Goodput returns the work completed after the warm-up and before the end of the
// load, as a share of capacity.
func (r Result) Goodput() float64 { return r.data.Goodput }

// Codes returns the number of measured jobs by result code.
func (r Result) Codes() map[string]int { return r.data.Codes }

// Refusals returns the number of measured jobs that were refused, by result code.
func (r Result) Refusals() map[string]int { return r.data.Refusals }

// OverIdeal returns the ratios of the response times of complete jobs to the ideal
// ones.
func (r Result) OverIdeal() Summary { return Summary{r.data.OverIdeal} }

// Clairvoyant returns the ratios of the clairvoyant schedule's response times to the
// ideal ones, and whether the schedule was computed.
func (r Result) Clairvoyant() (Summary, bool) {
	if r.data.Clairvoyant == nil {
		return Summary{}, false
	}
	return Summary{*r.data.Clairvoyant}, true
}

// Response returns the response times of complete jobs in milliseconds.
func (r Result) Response() Summary { return Summary{r.data.ResponseMS} }

// Refusal returns the times from sending a job to its refusal in milliseconds.
func (r Result) Refusal() Summary { return Summary{r.data.RefusalMS} }

// Wasted returns the number of wasted messages by kind. A message is wasted unless
// it is the first delivery of a job or the start of a task.
func (r Result) Wasted() map[string]float64 { return r.data.Messages.Wasted }

// WastedPerJob returns the number of wasted messages per job.
func (r Result) WastedPerJob() float64 { return r.data.Messages.WastedPerJob }

// WastedPercent returns the percentage of wasted messages among all messages.
func (r Result) WastedPercent() float64 { return r.data.Messages.WastedPercent }

// WastedByJobsPercent returns the percentage among all messages of the wasted
// messages other than lease renewals and messages that daemons send even without
// jobs.
func (r Result) WastedByJobsPercent() float64 { return r.data.Messages.WastedByJobsPercent }

// Consistent reports whether the targets' starts agree with the answers: no task
// was started more than once, every task of a complete job was started, and no
// task was started of a job that was reported as not run.
func (r Result) Consistent() bool {
	s := r.data.Starts
	return s.StartedTwice == 0 && s.MissingOfComplete == 0 && s.StartedThoughNotRun == 0
}

// Violations returns the number of tasks that were started more than once, that
// were not started although their job is complete, and that were started
// although their job was reported as not run.
func (r Result) Violations() (startedTwice, missing, startedThoughNotRun int) {
	s := r.data.Starts
	return s.StartedTwice, s.MissingOfComplete, s.StartedThoughNotRun
}

// OverIdealBySecond returns, for the jobs due in each second of the load, the mean
// ratio of the response time to the ideal one, or 0 if no job was complete.
func (r Result) OverIdealBySecond() []float64 {
	out := make([]float64, len(r.data.Seconds))
	for i, s := range r.data.Seconds {
		out[i] = s.OverIdeal
	}
	return out
}

// Count returns the number of values.
func (s Summary) Count() int64 { return s.data.Count }

// Mean returns the mean.
func (s Summary) Mean() float64 { return s.data.Mean }

// P50 returns the median.
func (s Summary) P50() float64 { return s.data.P50 }

// P99 returns the 99th percentile.
func (s Summary) P99() float64 { return s.data.P99 }

// P999 returns the 99.9th percentile.
func (s Summary) P999() float64 { return s.data.P999 }

// Max returns the largest value.
func (s Summary) Max() float64 { return s.data.Max }

// Points returns pairs of a percentile and its value, in ascending order of the
// percentiles.
func (s Summary) Points() [][2]float64 { return s.data.Points }

// summaryPercentiles are the percentiles of a summary's points.
var summaryPercentiles = []float64{1, 5, 10, 20, 30, 40, 50, 60, 70, 80, 85, 90, 92, 94, 95, 96, 97, 98, 99, 99.5, 99.9}

// summariseRatios summarises a histogram of ratios in thousandths.
func summariseRatios(h *hdrhistogram.Histogram) summaryJSON { return summarise(h, ratioScale) }

// summariseDurations summarises a histogram of microseconds in milliseconds.
func summariseDurations(h *hdrhistogram.Histogram) summaryJSON { return summarise(h, 1000) }

func summarise(h *hdrhistogram.Histogram, scale float64) summaryJSON {
	if h.TotalCount() == 0 {
		return summaryJSON{}
	}
	quantile := func(p float64) float64 { return float64(h.ValueAtQuantile(p)) / scale }
	w := summaryJSON{
		Count: h.TotalCount(),
		Mean:  h.Mean() / scale,
		P50:   quantile(50),
		P99:   quantile(99),
		P999:  quantile(99.9),
		Max:   float64(h.Max()) / scale,
	}
	for _, p := range summaryPercentiles {
		w.Points = append(w.Points, [2]float64{p, quantile(p)})
	}
	return w
}
