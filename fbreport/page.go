package fbreport

import (
	"bytes"
	"cmp"
	"fmt"
	"html/template"
	"maps"
	"slices"
	"strings"

	"github.com/rotisserie/eris"

	"github.com/filbertford/filbertford/fbload"
)

// ComparisonPage returns an HTML page that compares the results. Results of the
// same mix, rate and actions share a section.
func ComparisonPage(title string, results []fbload.Result) ([]byte, error) {
	page := pageData{Title: title}
	for _, group := range groupResults(results) {
		section, err := newSection(group)
		if err != nil {
			return nil, err
		}
		page.Sections = append(page.Sections, section)
	}
	var out bytes.Buffer
	if err := pageTemplate.Execute(&out, page); err != nil {
		return nil, eris.Wrap(err, "write the report")
	}
	return out.Bytes(), nil
}

// pageData is the data of pageTemplate.
type pageData struct {
	Title    string
	Sections []section
}

type section struct {
	Heading string
	Rows    []row
	Plots   []template.HTML
}

// row is the table row of one run.
type row struct {
	Label                                   string
	Jobs, Accepted                          int
	Mean, P50, P99, P999                    string
	MeanOverClairvoyant, P99OverClairvoyant string
	DeadlineMisses, FailedPercent, Goodput  string
	Refusals, RefusalP99                    string
	WastedPerJob, WastedPercent             string
	WastedByJobsPercent                     string
	WastedByKind                            string
	Violations                              string
}

// groupResults sorts the results by mix, actions and rate and groups those with
// the same heading.
func groupResults(results []fbload.Result) [][]fbload.Result {
	sorted := slices.SortedStableFunc(slices.Values(results), func(a, b fbload.Result) int {
		return cmp.Or(
			cmp.Compare(a.Mix(), b.Mix()),
			cmp.Compare(strings.Join(a.Actions(), " "), strings.Join(b.Actions(), " ")),
			cmp.Compare(a.Rate(), b.Rate()),
		)
	})
	var groups [][]fbload.Result
	for i, r := range sorted {
		if i == 0 || heading(r) != heading(sorted[i-1]) {
			groups = append(groups, nil)
		}
		groups[len(groups)-1] = append(groups[len(groups)-1], r)
	}
	return groups
}

// heading returns the heading of a section: the mix, rate and actions of its results.
func heading(r fbload.Result) string {
	text := fmt.Sprintf("%s mix at %.0f %% of capacity", r.Mix(), 100*r.Rate())
	if len(r.Actions()) > 0 {
		text += ", " + strings.Join(r.Actions(), ", ")
	}
	return text
}

func newSection(results []fbload.Result) (section, error) {
	s := section{Heading: heading(results[0])}
	for _, r := range results {
		s.Rows = append(s.Rows, newRow(r))
	}
	for _, draw := range []func([]fbload.Result) ([]byte, error){drawPercentiles, drawMeanBySecond, drawWastedMessages} {
		svg, err := draw(results)
		if err != nil {
			return section{}, err
		}
		// The SVG is safe: it is drawn from numbers and escaped labels.
		s.Plots = append(s.Plots, template.HTML(svg))
	}
	return s, nil
}

func newRow(r fbload.Result) row {
	overIdeal := r.OverIdeal()
	out := row{
		Label: resultLabel(r), Jobs: r.Jobs(), Accepted: r.Accepted(),
		Mean: formatDecimals(overIdeal.Mean()), P50: formatDecimals(overIdeal.P50()), P99: formatDecimals(overIdeal.P99()), P999: formatDecimals(overIdeal.P999()),
		DeadlineMisses: fmt.Sprint(r.DeadlineMisses()), FailedPercent: formatDecimals(r.FailedPercent()), Goodput: formatDecimals(100 * r.Goodput()),
		Refusals: formatCounts(r.Refusals()), RefusalP99: formatDecimals(r.Refusal().P99()),
		WastedPerJob: formatDecimals(r.WastedPerJob()), WastedPercent: formatDecimals(r.WastedPercent()), WastedByJobsPercent: formatDecimals(r.WastedByJobsPercent()), WastedByKind: formatCounts(r.Wasted()),
		MeanOverClairvoyant: "–", P99OverClairvoyant: "–", Violations: "none",
	}
	if c, ok := r.Clairvoyant(); ok && c.Count() > 0 {
		out.MeanOverClairvoyant, out.P99OverClairvoyant = formatDecimals(overIdeal.Mean()/c.Mean()), formatDecimals(overIdeal.P99()/c.P99())
	}
	if startedTwice, missing, startedThoughNotRun := r.Violations(); !r.Consistent() {
		out.Violations = fmt.Sprintf("started twice %d, missing %d, started though not run %d", startedTwice, missing, startedThoughNotRun)
	}
	return out
}

func resultLabel(r fbload.Result) string { return cmp.Or(r.Label(), "unnamed") }

func formatDecimals(x float64) string { return fmt.Sprintf("%.3f", x) }

// formatCounts lists the counts that are not zero, sorted by name.
func formatCounts[N int | float64](m map[string]N) string {
	var parts []string
	for _, name := range slices.Sorted(maps.Keys(m)) {
		if m[name] != 0 {
			parts = append(parts, fmt.Sprintf("%s %v", name, m[name]))
		}
	}
	return cmp.Or(strings.Join(parts, ", "), "–")
}

var pageTemplate = template.Must(template.New("page").Parse(`<!DOCTYPE html>
<html lang="en"><head><meta charset="utf-8"><title>{{.Title}}</title><style>
body { font: 15px sans-serif; margin: 2em; color: #222; }
table { border-collapse: collapse; margin: 1em 0; }
th, td { border-bottom: 1px solid #ccc; padding: 4px 10px; text-align: right; vertical-align: top; }
th:first-child, td:first-child, td.text { text-align: left; }
figure { display: inline-block; margin: 0 1em 1em 0; }
</style></head><body>
<h1>{{.Title}}</h1>
<p>Response over ideal: the time from when a job was due to be sent to its whole answer, over its longest task on the
fastest eligible target plus two round trips. Over clairvoyant: the same, over that of a list schedule that knows all run times and speeds.</p>
{{range .Sections}}<h2>{{.Heading}}</h2>
<table><tr><th rowspan="2">run</th><th rowspan="2">jobs</th><th rowspan="2">accepted</th><th colspan="4">response over ideal</th>
<th colspan="2">over clairvoyant</th><th rowspan="2">deadline<br>misses</th><th rowspan="2">failed, %</th><th rowspan="2">goodput,<br>% of capacity</th>
<th colspan="2">refusals</th><th colspan="4">wasted messages</th><th rowspan="2">violations</th></tr>
<tr><th>mean</th><th>p50</th><th>p99</th><th>p99.9</th><th>mean</th><th>p99</th><th>by code</th><th>p99, ms</th><th>a job</th><th>% of all</th><th>without<br>control, %</th><th>by kind</th></tr>
{{range .Rows}}<tr><td>{{.Label}}</td><td>{{.Jobs}}</td><td>{{.Accepted}}</td><td>{{.Mean}}</td><td>{{.P50}}</td><td>{{.P99}}</td><td>{{.P999}}</td>
<td>{{.MeanOverClairvoyant}}</td><td>{{.P99OverClairvoyant}}</td><td>{{.DeadlineMisses}}</td><td>{{.FailedPercent}}</td><td>{{.Goodput}}</td><td class="text">{{.Refusals}}</td><td>{{.RefusalP99}}</td>
<td>{{.WastedPerJob}}</td><td>{{.WastedPercent}}</td><td>{{.WastedByJobsPercent}}</td><td class="text">{{.WastedByKind}}</td><td class="text">{{.Violations}}</td></tr>
{{end}}</table>
{{range .Plots}}<figure>{{.}}</figure>{{end}}
{{end}}</body></html>
`))
