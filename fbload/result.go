package fbload

import (
	"encoding/json"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/rotisserie/eris"
)

// Result is what a load measured. It is written and read as JSON.
type Result struct {
	wire wireResult
}

// Summary describes a distribution of ratios, or of durations in milliseconds.
type Summary struct {
	wire wireSummary
}

type wireSummary struct {
	Count  int64        `json:"count"`
	Mean   float64      `json:"mean"`
	P50    float64      `json:"p50"`
	P99    float64      `json:"p99"`
	P999   float64      `json:"p99_9"`
	Max    float64      `json:"max"`
	Points [][2]float64 `json:"points,omitempty"`
}

type wireSecond struct {
	Jobs      int     `json:"jobs"`
	Complete  int     `json:"complete"`
	Refused   int     `json:"refused"`
	OverIdeal float64 `json:"over_ideal"`
}

type wireStarts struct {
	Tasks   int `json:"tasks"`
	Doubled int `json:"doubled"`
	Missing int `json:"missing_of_complete"`
	Untrue  int `json:"started_though_not_run"`
}

type wireMessages struct {
	Deliveries    float64            `json:"deliveries"`
	Starts        float64            `json:"starts"`
	Needed        float64            `json:"needed"`
	Wasted        map[string]float64 `json:"wasted"`
	WastedPerJob  float64            `json:"wasted_per_job"`
	WastedPercent float64            `json:"wasted_percent"`
	ByJobsPercent float64            `json:"wasted_by_jobs_percent"`
	Daemons       map[string]float64 `json:"daemons,omitempty"`
}

type wireResult struct {
	Label          string                 `json:"label"`
	Mix            string                 `json:"mix"`
	Rate           float64                `json:"rate"`
	Seed           uint64                 `json:"seed"`
	ForMS          int64                  `json:"for_ms"`
	WarmUpMS       int64                  `json:"warm_up_ms"`
	Bursts         bool                   `json:"bursts"`
	Moments        []string               `json:"moments,omitempty"`
	Targets        int                    `json:"targets"`
	Slots          int                    `json:"slots"`
	Factors        []float64              `json:"factors"`
	RoundTripUS    int64                  `json:"round_trip_us"`
	Capacity       float64                `json:"capacity"`
	Jobs           int                    `json:"jobs"`
	Measured       int                    `json:"measured"`
	Offered        float64                `json:"offered"`
	Accepted       int                    `json:"accepted"`
	Unheard        int                    `json:"unheard"`
	DeadlineMisses int                    `json:"deadline_misses"`
	LostPercent    float64                `json:"lost_percent"`
	Goodput        float64                `json:"goodput"`
	Codes          map[string]int         `json:"codes"`
	Refusals       map[string]int         `json:"refusals"`
	OverIdeal      wireSummary            `json:"over_ideal"`
	Clairvoyant    *wireSummary           `json:"clairvoyant_over_ideal,omitempty"`
	Kinds          map[string]wireSummary `json:"over_ideal_by_kind"`
	ResponseMS     wireSummary            `json:"response_ms"`
	RefusalMS      wireSummary            `json:"refusal_ms"`
	LateMS         wireSummary            `json:"sent_late_ms"`
	Seconds        []wireSecond           `json:"seconds"`
	Starts         wireStarts             `json:"starts"`
	Messages       wireMessages           `json:"messages"`
}

// MarshalJSON returns the result as JSON.
func (r Result) MarshalJSON() ([]byte, error) { return json.Marshal(r.wire) }

// UnmarshalJSON reads a result from JSON.
func (r *Result) UnmarshalJSON(b []byte) error {
	return eris.Wrap(json.Unmarshal(b, &r.wire), "read a result of a load")
}

// Label returns the run's label, such as the name of a policy.
func (r Result) Label() string { return r.wire.Label }

// Mix returns the name of the mix.
func (r Result) Mix() string { return r.wire.Mix }

// Rate returns the load as a share of capacity.
func (r Result) Rate() float64 { return r.wire.Rate }

// Moments returns what happened on the way.
func (r Result) Moments() []string { return r.wire.Moments }

// Jobs returns the number of jobs sent.
func (r Result) Jobs() int { return r.wire.Jobs }

// Measured returns the number of jobs after the warm-up, which the measures
// count.
func (r Result) Measured() int { return r.wire.Measured }

// Offered returns the work of all jobs as a share of capacity.
func (r Result) Offered() float64 { return r.wire.Offered }

// Accepted returns the number of measured jobs that weren't refused.
func (r Result) Accepted() int { return r.wire.Accepted }

// DeadlineMisses returns how many accepted jobs were not complete in time.
func (r Result) DeadlineMisses() int { return r.wire.DeadlineMisses }

// LostPercent returns the percentage of accepted jobs that failed.
func (r Result) LostPercent() float64 { return r.wire.LostPercent }

// Goodput returns the completed work as a share of capacity.
func (r Result) Goodput() float64 { return r.wire.Goodput }

// Codes returns the number of jobs by result code.
func (r Result) Codes() map[string]int { return r.wire.Codes }

// Refusals returns the number of refused jobs by result code.
func (r Result) Refusals() map[string]int { return r.wire.Refusals }

// OverIdeal returns the response times of complete jobs over their ideal.
func (r Result) OverIdeal() Summary { return Summary{r.wire.OverIdeal} }

// Clairvoyant returns the clairvoyant schedule's response times over the ideal,
// and whether one was computed.
func (r Result) Clairvoyant() (Summary, bool) {
	if r.wire.Clairvoyant == nil {
		return Summary{}, false
	}
	return Summary{*r.wire.Clairvoyant}, true
}

// Response returns the response times of complete jobs in milliseconds.
func (r Result) Response() Summary { return Summary{r.wire.ResponseMS} }

// Refusal returns the time to a refusal in milliseconds.
func (r Result) Refusal() Summary { return Summary{r.wire.RefusalMS} }

// Wasted returns the number of needless messages by kind.
func (r Result) Wasted() map[string]float64 { return r.wire.Messages.Wasted }

// WastedPerJob returns the number of needless messages for each job.
func (r Result) WastedPerJob() float64 { return r.wire.Messages.WastedPerJob }

// WastedPercent returns the percentage of needless messages among all.
func (r Result) WastedPercent() float64 { return r.wire.Messages.WastedPercent }

// WastedByJobsPercent returns the percentage of needless messages among all,
// less those that daemons send whether or not there are jobs.
func (r Result) WastedByJobsPercent() float64 { return r.wire.Messages.ByJobsPercent }

// Sound reports whether no work was started twice, no complete job lacks a
// start and nothing ran of a job that was said not to have run.
func (r Result) Sound() bool {
	s := r.wire.Starts
	return s.Doubled == 0 && s.Missing == 0 && s.Untrue == 0
}

// Violations returns how many pieces of work were started twice, were missing
// from complete jobs, and were started although the job was said not to have
// run.
func (r Result) Violations() (doubled, missing, untrue int) {
	s := r.wire.Starts
	return s.Doubled, s.Missing, s.Untrue
}

// SecondsOverIdeal returns the mean response over the ideal of the jobs due in
// each second of the load, 0 where none was complete.
func (r Result) SecondsOverIdeal() []float64 {
	out := make([]float64, len(r.wire.Seconds))
	for i, s := range r.wire.Seconds {
		out[i] = s.OverIdeal
	}
	return out
}

// Count returns the number of values.
func (s Summary) Count() int64 { return s.wire.Count }

// Mean returns the mean.
func (s Summary) Mean() float64 { return s.wire.Mean }

// P50 returns the median.
func (s Summary) P50() float64 { return s.wire.P50 }

// P99 returns the 99th percentile.
func (s Summary) P99() float64 { return s.wire.P99 }

// P999 returns the 99.9th percentile.
func (s Summary) P999() float64 { return s.wire.P999 }

// Max returns the greatest value.
func (s Summary) Max() float64 { return s.wire.Max }

// Points returns pairs of a percentile and its value, in ascending order.
func (s Summary) Points() [][2]float64 { return s.wire.Points }

// curve lists the percentiles of a summary's points.
var curve = []float64{1, 5, 10, 20, 30, 40, 50, 60, 70, 80, 85, 90, 92, 94, 95, 96, 97, 98, 99, 99.5, 99.9}

// ratios summarises a histogram of thousandths.
func ratios(h *hdrhistogram.Histogram) wireSummary { return summarise(h, ratioUnit) }

// durations summarises a histogram of microseconds in milliseconds.
func durations(h *hdrhistogram.Histogram) wireSummary { return summarise(h, 1000) }

func summarise(h *hdrhistogram.Histogram, unit float64) wireSummary {
	if h.TotalCount() == 0 {
		return wireSummary{}
	}
	at := func(p float64) float64 { return float64(h.ValueAtQuantile(p)) / unit }
	w := wireSummary{
		Count: h.TotalCount(),
		Mean:  h.Mean() / unit,
		P50:   at(50),
		P99:   at(99),
		P999:  at(99.9),
		Max:   float64(h.Max()) / unit,
	}
	for _, p := range curve {
		w.Points = append(w.Points, [2]float64{p, at(p)})
	}
	return w
}
